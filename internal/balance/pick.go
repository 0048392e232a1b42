// Package balance chooses the endpoint of each request. Pick has no state; Tracker records the
// state of the endpoints as seen from this node's requests and the reports of other nodes.
package balance

import (
	"math"
	"math/rand/v2"
)

// Candidate is an endpoint to which a request could be sent.
type Candidate struct {
	Load        float64 // requests known to run or wait there
	Unconfirmed float64 // part of Load that is too uncertain to count the endpoint as full
	Slots       int     // requests that can run at once
	Unread      float64 // prompt tokens that are still to be read
	Local       bool    // in this node's availability zone
	Suspect     bool    // no sign of life within the allowed silence
	Avoid       bool    // fails more often than others, or is too slow for the deadline
	Tried       bool    // an earlier attempt of this request was sent there
}

// Bounds are the weights and limits of a choice.
type Bounds struct {
	// RemotePenalty is added to the load of a candidate in another zone, as a share of its slots. It
	// keeps traffic within the zone while its endpoints are about as loaded as the others.
	RemotePenalty float64
	// QueueShare is how many requests may wait at an endpoint, as a share of its slots. Further
	// requests are refused, so that they can go elsewhere.
	QueueShare float64
	// UnreadWeight is added to the load for every thousand prompt tokens that are still to be read, as a
	// share of the slots.
	UnreadWeight float64
	// SampleSize is how many random candidates of the own zone, and as many of the others, are
	// compared for each request; 0: all. Otherwise nodes with the same information, some 100 ms
	// old, would all send to the endpoint that was the least loaded then.
	SampleSize int
}

// Reason is the outcome of a choice.
type Reason string

// Reasons returned by Pick.
const (
	Chosen      Reason = "least loaded"
	NoCandidate Reason = "no endpoint serves"
	AllFull     Reason = "every endpoint is full"
)

// Pick returns the index of the candidate with the least load for its slots, or -1, and the
// reason. Candidates that are suspect or were tried before are never chosen; those to avoid, or
// full only by an unconfirmed load, only without another. seed rotates the order of candidates
// with equal scores and draws the sample, so that nodes with the same view make different
// choices.
func Pick(cands []Candidate, b Bounds, seed int) (int, Reason) {
	best, reason := pickAmong(cands, b, seed, false, false)
	if best < 0 {
		best, reason = pickAmong(cands, b, seed, true, false)
	}
	if reason == AllFull {
		best, reason = pickAmong(cands, b, seed, true, true)
	}
	return best, reason
}

func pickAmong(cands []Candidate, b Bounds, seed int, includeAvoided, confirmedOnly bool) (int, Reason) {
	reason := NoCandidate
	var local, remote []int
	for k := range cands {
		i := (k + seed) % len(cands)
		c := &cands[i]
		switch {
		case c.Tried || c.Suspect || c.Avoid && !includeAvoided:
		case c.isFull(b, confirmedOnly):
			reason = AllFull
		case c.Local:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	if b.SampleSize > 0 {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(len(cands))))
		local, remote = sample(rng, local, b.SampleSize), sample(rng, remote, b.SampleSize)
	}
	best, bestScore := -1, math.Inf(1)
	for _, i := range append(local, remote...) {
		if s := score(&cands[i], b); s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 {
		return best, Chosen
	}
	return -1, reason
}

// isFull reports whether the endpoint has no room in its slots and queue; with confirmedOnly, by
// the confirmed part of the load alone.
func (c *Candidate) isFull(b Bounds, confirmedOnly bool) bool {
	load := c.Load
	if confirmedOnly {
		load -= c.Unconfirmed
	}
	return load >= float64(c.Slots)*(1+b.QueueShare)
}

// sample returns n random elements of indexes, or all if there are no more. It reorders indexes.
func sample(rng *rand.Rand, indexes []int, n int) []int {
	if len(indexes) <= n {
		return indexes
	}
	for i := range n {
		j := i + rng.IntN(len(indexes)-i)
		indexes[i], indexes[j] = indexes[j], indexes[i]
	}
	return indexes[:n]
}

func score(c *Candidate, b Bounds) float64 {
	s := c.Load / float64(max(1, c.Slots))
	if !c.Local {
		s += b.RemotePenalty
	}
	return s + b.UnreadWeight*c.Unread/1000
}
