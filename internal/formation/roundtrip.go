package formation

import "time"

// roundTrip estimates the duration of probes as observed by this node, including the
// engine's processing time, the network and this node's own delays.
type roundTrip struct {
	samples       int
	mean          time.Duration
	meanDeviation time.Duration // smoothed absolute deviation from the mean
}

const (
	// roundTripSmoothing is the divisor of the moving averages, in samples.
	roundTripSmoothing = 16
	// roundTripMinSamples is the number of samples from which the estimate is used. A
	// new owner probes all engines at once, so its first responses are late.
	roundTripMinSamples = 8
	// shortTimeoutDeviations is the distance from the mean, in mean deviations, after
	// which a response counts as late. TCP uses the same factor for its retransmission
	// timeout.
	shortTimeoutDeviations = 4
	// minShortTimeout is ample for a live engine, which responds within a few
	// milliseconds.
	minShortTimeout = 50 * time.Millisecond
)

func (r *roundTrip) observe(d time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.mean, r.meanDeviation = d, d/2
		return
	}
	off := d - r.mean
	r.mean += off / roundTripSmoothing
	r.meanDeviation += (off.Abs() - r.meanDeviation) / roundTripSmoothing
}

// shortTimeout returns the probe timeout while the requests of the engine's group are
// stalled. A node short of processor time receives responses late: with a fixed 50 ms it
// declared engines lost that responded within 100 ms, and each cost a whole group.
func (r *roundTrip) shortTimeout() time.Duration {
	if r.samples < roundTripMinSamples {
		return probeTimeout
	}
	return min(probeTimeout, max(minShortTimeout, r.mean+shortTimeoutDeviations*r.meanDeviation))
}
