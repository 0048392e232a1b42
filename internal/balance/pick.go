// Package balance chooses the endpoint of each request. Pick is pure; the
// Tracker keeps what this node sees of the endpoints from its own requests.
package balance

import "math"

// Candidate is an endpoint that could take a request.
type Candidate struct {
	Load    float64 // requests that run or wait there, as far as known
	Slots   int     // requests that run at once
	Unread  float64 // prompt tokens that it has yet to read
	Local   bool    // in this node's availability zone
	Suspect bool    // gave no sign of life when it should have
	Avoid   bool    // it fails more than others, or is too slow to be on time
	Tried   bool    // this request has been sent there before
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
// to avoid only when there is no other. offset rotates the order in which equals are looked at, so
// that nodes with the same view don't all choose the first.
func Pick(cands []Candidate, b Bounds, offset int) (int, Reason) {
	best, reason := pickAmong(cands, b, offset, false)
	if best < 0 {
		best, reason = pickAmong(cands, b, offset, true)
	}
	return best, reason
}

func pickAmong(cands []Candidate, b Bounds, offset int, avoided bool) (int, Reason) {
	best, reason := -1, None
	bestScore := math.Inf(1)
	for k := range cands {
		i := (k + offset) % len(cands)
		c := &cands[i]
		if c.Tried || c.Suspect || c.Avoid && !avoided {
			continue
		}
		if c.Load >= float64(c.Slots)*(1+b.Queue) {
			reason = AllFull
			continue
		}
		if s := score(c, b); s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 {
		return best, Chosen
	}
	return -1, reason
}

func score(c *Candidate, b Bounds) float64 {
	s := c.Load / float64(max(1, c.Slots))
	if !c.Local {
		s += b.Remote
	}
	return s + b.Read*c.Unread/1000
}
