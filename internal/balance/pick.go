// Package balance chooses the endpoint of each request. Pick is pure; the
// Tracker keeps what this node sees of the endpoints from its own requests.
package balance

import (
	"math"
	"math/rand/v2"
)

// Candidate is an endpoint that could take a request.
type Candidate struct {
	Load        float64 // requests that run or wait there, as far as known
	Unconfirmed float64 // the part of Load that doesn't show that it is full
	Slots       int     // requests that run at once
	Unread      float64 // prompt tokens that it has yet to read
	Local       bool    // in this node's availability zone
	Suspect     bool    // gave no sign of life when it should have
	Avoid       bool    // it fails more than others, or is too slow to be on time
	Tried       bool    // this request has been sent there before
}

// Bounds tune a choice.
type Bounds struct {
	// Remote is what being in another zone adds to a candidate's load, as a
	// share of its slots. It keeps bytes within the zone while its endpoints
	// are about as loaded as the others.
	Remote float64
	// Queue is how many requests may wait at an endpoint, as a share of its
	// slots. What would wait longer is refused, so that it can go elsewhere.
	Queue float64
	// Read is what a thousand prompt tokens that a candidate has yet to read add
	// to its load, as a share of its slots.
	Read float64
	// Sample is how many candidates of the own zone, and as many of the others, are
	// looked at, drawn anew for each request; 0: all. Nodes that all know the same of
	// some 100 ms ago would else all send to the one that was least loaded then.
	Sample int
}

// Reason says why a choice came out as it did.
type Reason string

// The reasons.
const (
	Chosen  Reason = "least loaded"
	None    Reason = "no endpoint serves"
	AllFull Reason = "every endpoint is full"
)

// Pick returns the index of the candidate with the least load for its slots,
// or -1. Endpoints that were tried before or are suspect are not taken, those
// to avoid, or full by an unconfirmed load, only when there is no other. draw rotates
// the order in which equals are looked at, and draws the sample, so that nodes with
// the same view don't all choose the same.
func Pick(cands []Candidate, b Bounds, draw int) (int, Reason) {
	best, reason := pickAmong(cands, b, draw, false, false)
	if best < 0 {
		best, reason = pickAmong(cands, b, draw, true, false)
	}
	if reason == AllFull {
		best, reason = pickAmong(cands, b, draw, true, true)
	}
	return best, reason
}

func pickAmong(cands []Candidate, b Bounds, draw int, avoided, confirmed bool) (int, Reason) {
	reason := None
	var local, remote []int
	for k := range cands {
		i := (k + draw) % len(cands)
		c := &cands[i]
		switch {
		case c.Tried || c.Suspect || c.Avoid && !avoided:
		case c.full(b, confirmed):
			reason = AllFull
		case c.Local:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	if b.Sample > 0 {
		rng := rand.New(rand.NewPCG(uint64(draw), uint64(len(cands))))
		local, remote = sample(rng, local, b.Sample), sample(rng, remote, b.Sample)
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

// full reports whether requests would wait there for too long; with confirmed, by the
// confirmed part of the load alone.
func (c *Candidate) full(b Bounds, confirmed bool) bool {
	load := c.Load
	if confirmed {
		load -= c.Unconfirmed
	}
	return load >= float64(c.Slots)*(1+b.Queue)
}

// sample returns n of the indexes, or all if they are no more.
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
		s += b.Remote
	}
	return s + b.Read*c.Unread/1000
}
