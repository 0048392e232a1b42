package route

import (
	"chervilloom/internal/clock"
	"time"
)

const (
	scanLimit  = 96 // pools up to this size are looked at whole
	sampleSize = 16 // of larger ones

	// nearEqual is the difference of cost, as a share of a request's time, that
	// the load estimates cannot resolve; among such candidates the choice is
	// random, or all nodes would make the same one.
	nearEqual = 0.04
	// crowding weighs the slots in use of an endpoint that has free ones: a
	// batch slows down as it fills.
	crowding = 0.3
	// herding is the part of this node's own new requests since a report that
	// each peer, which reads the same report, is taken to have sent too.
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
	if d.p.kind == ToGroup {
		d.creditPrefixes(cands, load/float64(len(cands)))
	}
	return d.toCandidate(&cands[d.nearBest(cands)]), Accepted
}

// gather lists the entries to compare: all of a small pool, a sample of a large
// one.
func (d *decision) gather(into []candidate) []candidate {
	if len(d.p.local) <= scanLimit {
		for _, i := range d.p.local {
			into = d.consider(into, i, reasonWait)
		}
		return into
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
	e := &d.t.entries[i]
	if !d.can(e) {
		return into
	}
	into = append(into, candidate{entry: i, reason: reason, uncached: float64(d.f.PromptTokens)})
	d.price(&into[len(into)-1], e, d.c.entries[i])
	return into
}

// price sets the load, the wait and the cost of a candidate, its prefix cache
// left aside.
func (d *decision) price(k *candidate, e *entry, s *state) {
	cl := d.c.byClass[e.class]
	k.load = d.expectedLoad(e, s, cl)
	slots := e.slots * s.ramp(d.now)
	if over := k.load + 1 - slots; over > 0 {
		k.wait = over * s.slow * cl.drain(e)
	}
	busy := min(1, (k.load+1)/slots)
	k.cost = k.wait + s.lag + cl.service*(crowding*busy+(s.slow-1)+failureCost*s.failing)
}

// expectedLoad estimates what is at an entry now. A report holds part of what
// this node has there, so that part is taken out and the present number put in.
// What others have there is believed less with age, down to the pool's mean.
func (d *decision) expectedLoad(e *entry, s *state, cl *class) float64 {
	age := max(0, d.now.Sub(e.loadAt).Seconds())
	trust := cl.service / (cl.service + age)
	others := d.ps.mean + (s.others-d.ps.mean)*trust
	herd := 0.0
	if fresh := s.inflight - s.own; fresh > 0 {
		herd = herding * float64(fresh*d.t.peers)
	}
	return others + herd + float64(s.inflight)
}

// drain returns the seconds in which one request of a full endpoint ends. The
// reported rate is that of a full batch only when the slots are taken.
func (cl *class) drain(e *entry) float64 {
	if e.load.Running >= e.load.Slots && e.load.TokensPerSecond > 0 && cl.tokens > 0 {
		return cl.tokens / e.load.TokensPerSecond
	}
	return cl.service / e.slots
}

// ramp returns the share of its slots that an entry counts with. A newly whole
// group is idle and its cache is cold; without the ramp every node sends it all
// requests at once.
func (s *state) ramp(now clock.Instant) float64 {
	if s.ramped {
		return 1
	}
	return min(1, max(slowStartMin, float64(now.Sub(s.since))/float64(slowStart)))
}

// use sums the load and the slots of the candidates.
func (d *decision) use(cands []candidate) (load, slots float64) {
	for i := range cands {
		load += cands[i].load
		slots += d.t.entries[cands[i].entry].slots
	}
	return load, slots
}

// nearBest draws one of the candidates whose cost the estimates cannot tell
// from the least.
func (d *decision) nearBest(cands []candidate) int {
	least := cands[0].cost
	for i := range cands {
		least = min(least, cands[i].cost)
	}
	limit := least + nearEqual*d.c.byClass[d.t.entries[cands[0].entry].class].service
	best, seen := 0, 0
	for i := range cands {
		if cands[i].cost > limit {
			continue
		}
		seen++
		if d.rng.IntN(seen) == 0 {
			best = i
		}
	}
	return best
}

func (d *decision) toCandidate(k *candidate) Choice {
	ch := d.toEntry(k.entry, k.reason)
	prefill := k.uncached * d.c.byClass[d.t.entries[k.entry].class].prefill
	ch.est = estimate{
		uncached: k.uncached,
		wait:     time.Duration((k.wait + prefill) * float64(time.Second)),
		queued:   k.wait > 0,
	}
	return ch
}
