package formation

import "time"

// roundTrip is how long reports take to come, as this node sees it: the engine's
// time, the way, and what this node itself is late by.
type roundTrip struct {
	n      int
	mean   time.Duration
	spread time.Duration // smoothed distance from the mean
}

const (
	// roundTripSmoothing is how many reports a change needs to show.
	roundTripSmoothing = 16
	// roundTripKnown is how many reports tell the pace: a node that has just taken a
	// zone over asks all engines at once, and its first answers are late.
	roundTripKnown = 8
	// briefSpreads is how far from the mean a report is too late to come: the same
	// bound that TCP takes for its retransmissions.
	briefSpreads = 4
	// briefLeast: engines that live answer in a few milliseconds.
	briefLeast = 50 * time.Millisecond
)

func (r *roundTrip) took(d time.Duration) {
	r.n++
	if r.n == 1 {
		r.mean, r.spread = d, d/2
		return
	}
	off := d - r.mean
	r.mean += off / roundTripSmoothing
	r.spread += (off.Abs() - r.spread) / roundTripSmoothing
}

// brief returns the limit of a report while the requests of the engine's group stand
// still. A node that is short of processor time sees reports late; with a limit of
// 50 ms it took engines for lost that answered within 100 ms, and each took a whole
// group apart.
func (r *roundTrip) brief() time.Duration {
	if r.n < roundTripKnown {
		return probeLimit
	}
	return min(probeLimit, max(briefLeast, r.mean+briefSpreads*r.spread))
}
