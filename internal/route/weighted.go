package route

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	fullScanLimit = 16 // pools up to this size are compared completely
	sampleSize    = 12 // entries drawn from larger pools, besides the prefix candidates

	// costTolerance is the cost difference, as a share of a request's duration,
	// below which the load estimates cannot tell candidates apart. Among those
	// the least recently chosen one is used.
	costTolerance = 0.04
	// batchSlowdown weighs the used slots of an endpoint that has free ones: a
	// batch slows down as it fills.
	batchSlowdown = 0.3
	// peerFollowShare is the share of this node's own load change since a report
	// that each peer is assumed to have made too, as it reads the same report.
	peerFollowShare = 0.5
	// failureCost weighs the share of failures, in request durations. Without it
	// an endpoint that fails immediately looks idle and attracts every request.
	failureCost = 4.0
)

// candidate is an entry that may be chosen, with its cost in seconds.
type candidate struct {
	entry          int32
	reason         string
	expectedLoad   float64 // requests expected at the entry now
	queueTime      float64 // expected queueing time
	cachedShare    float64 // share of the prompt expected in the entry's cache
	uncachedTokens float64 // prompt tokens expected to need prefill
	cost           float64
}

// weighted selects the destination with the least expected time to the answer.
func (d *decision) weighted() (Choice, Refusal) {
	var buf [fullScanLimit]candidate
	cands := d.gatherCandidates(buf[:0])
	if len(cands) == 0 {
		return d.routeToOtherZone()
	}
	load, slots := d.totalLoad(cands)
	if z := d.spillZone(load, slots); z >= 0 {
		return d.nodeChoice(z, reasonSpill), Accepted
	}
	if d.p.kind == ToGroup && len(d.f.Prefix) > 0 {
		d.addPrefillCosts(cands, load/float64(len(cands)))
	}
	return d.candidateChoice(&cands[d.leastRecentNearBest(cands)]), Accepted
}

// gatherCandidates appends the entries to compare: all entries of a small pool, or
// the prefix candidates and a random sample of a large one.
func (d *decision) gatherCandidates(cands []candidate) []candidate {
	if len(d.p.local) <= fullScanLimit {
		for _, i := range d.p.local {
			cands = d.addCandidate(cands, i, reasonWait)
		}
		return cands
	}
	if d.p.kind == ToGroup && len(d.f.Prefix) > 0 {
		cands = d.addPrefixCandidates(cands)
	}
	for range sampleSize {
		i := d.p.local[d.rng.IntN(len(d.p.local))]
		cands = d.addCandidate(cands, i, reasonSample)
	}
	if len(cands) > 0 {
		return cands
	}
	// No entry of the sample is eligible; others in the pool may be.
	for _, i := range d.p.local {
		if len(cands) < fullScanLimit {
			cands = d.addCandidate(cands, i, reasonWait)
		}
	}
	return cands
}

func (d *decision) addCandidate(cands []candidate, i int32, reason string) []candidate {
	if !d.isEligible(i) {
		return cands
	}
	cands = append(cands, candidate{entry: i, reason: reason})
	d.setCost(&cands[len(cands)-1], &d.c.entryStats[i])
	return cands
}

// setCost computes the load, the wait and the cost of a candidate without prefill.
func (d *decision) setCost(k *candidate, l *entryStats) {
	s := l.state
	k.expectedLoad = d.expectedLoad(l)
	if over := k.expectedLoad + 1 - l.usableSlots; over > 0 {
		k.queueTime = over * l.slotReleaseTime
	}
	busy := min(1, (k.expectedLoad+1)/l.usableSlots)
	k.cost = k.queueTime + l.demotionCost + l.serviceTime*(batchSlowdown*busy+failureCost*s.failureShare)
}

// expectedLoad estimates the current load of an entry. This node's own requests
// were subtracted from the report and are replaced by the current count. Peers act
// on the same report, so their change since then is extrapolated from this node's.
// Random noise, as large as the unseen changes of peers, keeps nodes with the same
// information from making the same choice.
func (d *decision) expectedLoad(l *entryStats) float64 {
	change := float64(l.state.inflight) - l.ownReported
	others := l.othersLoad + peerFollowShare*change*float64(d.t.peers)
	if l.noise > 0 {
		others += l.noise * (2*d.rng.Float64() - 1)
	}
	return max(0, others) + float64(l.state.inflight)
}

// totalLoad returns the sums of load and slots of the candidates.
func (d *decision) totalLoad(cands []candidate) (load, slots float64) {
	for i := range cands {
		load += cands[i].expectedLoad
		slots += d.t.entries[cands[i].entry].slots
	}
	return load, slots
}

// leastRecentNearBest returns the candidate that this node chose least recently,
// among those whose cost is within costTolerance of the lowest.
func (d *decision) leastRecentNearBest(cands []candidate) int {
	least := cands[0].cost
	for i := range cands {
		least = min(least, cands[i].cost)
	}
	limit := least + costTolerance*d.c.entryStats[cands[0].entry].serviceTime
	best := -1
	// A random start keeps nodes that have chosen nothing yet from all starting
	// with the same candidate.
	from := d.rng.IntN(len(cands))
	for n := range cands {
		i := (from + n) % len(cands)
		if cands[i].cost > limit {
			continue
		}
		if best < 0 || d.lastBegin(&cands[i]) < d.lastBegin(&cands[best]) {
			best = i
		}
	}
	return best
}

// lastBegin returns when this node last sent a request to the candidate.
func (d *decision) lastBegin(k *candidate) clock.Instant {
	return d.c.entryStats[k.entry].state.lastBegin
}

func (d *decision) candidateChoice(k *candidate) Choice {
	ch := d.entryChoice(k.entry, k.reason)
	prefill := k.uncachedTokens * d.c.entryStats[k.entry].prefillPerToken
	ch.expected = estimate{
		uncachedTokens: k.uncachedTokens,
		firstByteWait:  time.Duration((k.queueTime + prefill) * float64(time.Second)),
		queued:         k.queueTime > 0,
	}
	return ch
}
