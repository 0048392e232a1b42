package route

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	scanLimit  = 16 // pools up to this size are looked at whole
	sampleSize = 12 // of larger ones; the places of the prompt's prefix come on top

	// nearEqual is the difference of cost, as a share of a request's time, that
	// the load estimates cannot resolve. Among such candidates the one goes
	// first that this node chose longest ago.
	nearEqual = 0.04
	// crowding weighs the slots in use of an endpoint that has free ones: a
	// batch slows down as it fills.
	crowding = 0.3
	// herding is the part of this node's own change since a report that each
	// peer, which reads the same report, is taken to have made too.
	herding = 0.5
	// failureCost weighs the share of failures, in times of a request: an
	// endpoint that fails at once looks idle and would draw every request.
	failureCost = 4.0
)

// candidate is an entry that may be chosen, with its cost in seconds.
type candidate struct {
	entry    int32
	reason   string
	load     float64 // requests expected to be there now
	wait     float64 // expected time in the queue
	share    float64 // of the prompt expected in its cache
	uncached float64 // prompt tokens expected to be computed
	cost     float64
}

// weighted chooses by expected time to the answer.
func (d *decision) weighted() (Choice, Refusal) {
	var room [scanLimit]candidate
	cands := d.gather(room[:0])
	if len(cands) == 0 {
		return d.elsewhere()
	}
	load, slots := d.use(cands)
	if z := d.spill(load, slots); z >= 0 {
		return d.toNode(z, reasonSpill), Accepted
	}
	if d.p.kind == ToGroup && len(d.f.Prefix) > 0 {
		d.creditPrefixes(cands, load/float64(len(cands)))
	}
	return d.toCandidate(&cands[d.nearBest(cands)]), Accepted
}

// gather lists the entries to compare: all of a small pool; of a large one the
// places of the prompt's prefix and a random sample.
func (d *decision) gather(into []candidate) []candidate {
	if len(d.p.local) <= scanLimit {
		for _, i := range d.p.local {
			into = d.consider(into, i, reasonWait)
		}
		return into
	}
	if d.p.kind == ToGroup && len(d.f.Prefix) > 0 {
		into = d.prefixPlaces(into)
	}
	for range sampleSize {
		i := d.p.local[d.rng.IntN(len(d.p.local))]
		into = d.consider(into, i, reasonSample)
	}
	if len(into) > 0 {
		return into
	}
	// Nothing in the sample can take it; something else in the pool may.
	for _, i := range d.p.local {
		if len(into) < scanLimit {
			into = d.consider(into, i, reasonWait)
		}
	}
	return into
}

func (d *decision) consider(into []candidate, i int32, reason string) []candidate {
	if !d.can(i) {
		return into
	}
	into = append(into, candidate{entry: i, reason: reason})
	d.price(&into[len(into)-1], &d.c.lanes[i])
	return into
}

// price sets the load, the wait and the cost of a candidate, its prefix cache
// left aside.
func (d *decision) price(k *candidate, l *lane) {
	s := l.s
	k.load = d.expectedLoad(l)
	if over := k.load + 1 - l.slots; over > 0 {
		k.wait = over * l.drain
	}
	busy := min(1, (k.load+1)/l.slots)
	k.cost = k.wait + l.demotion + l.service*(crowding*busy+failureCost*s.failing)
}

// expectedLoad estimates what is at an entry now. The report holds part of what
// this node has there: that part was taken out, and the present number is put
// in. Peers read the same report and act alike, so their change since then is
// taken from this node's own. The noise is as large as what peers may have
// done unseen; with it nodes that know the same do not choose the same.
func (d *decision) expectedLoad(l *lane) float64 {
	change := float64(l.s.inflight) - l.own
	others := l.others + herding*change*float64(d.t.peers)
	if l.noise > 0 {
		others += l.noise * (2*d.rng.Float64() - 1)
	}
	return max(0, others) + float64(l.s.inflight)
}

// use sums the load and the slots of the candidates.
func (d *decision) use(cands []candidate) (load, slots float64) {
	for i := range cands {
		load += cands[i].load
		slots += d.t.entries[cands[i].entry].slots
	}
	return load, slots
}

// nearBest returns, of the candidates whose cost the estimates cannot tell from
// the least, the one that this node chose longest ago.
func (d *decision) nearBest(cands []candidate) int {
	least := cands[0].cost
	for i := range cands {
		least = min(least, cands[i].cost)
	}
	limit := least + nearEqual*d.c.lanes[cands[0].entry].service
	best := -1
	// Nodes that start together have chosen nothing yet: each begins elsewhere.
	from := d.rng.IntN(len(cands))
	for n := range cands {
		i := (from + n) % len(cands)
		if cands[i].cost > limit {
			continue
		}
		if best < 0 || d.begun(&cands[i]) < d.begun(&cands[best]) {
			best = i
		}
	}
	return best
}

// begun returns when this node last sent a request to the candidate.
func (d *decision) begun(k *candidate) clock.Instant { return d.c.lanes[k.entry].s.begun }

func (d *decision) toCandidate(k *candidate) Choice {
	ch := d.toEntry(k.entry, k.reason)
	prefill := k.uncached * d.c.lanes[k.entry].prefill
	ch.est = estimate{
		uncached: k.uncached,
		wait:     time.Duration((k.wait + prefill) * float64(time.Second)),
		queued:   k.wait > 0,
	}
	return ch
}
