package admit

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	// minWindowDuration and minWindowSamples are the minimum duration and the
	// minimum number of samples of a latency window.
	minWindowDuration = time.Second
	minWindowSamples  = 64
	// windowCapacity is the number of windows over which the lowest mean is taken.
	windowCapacity = 30
	// latencyTolerance is the ratio of recent latency to the lowest window mean
	// above which the endpoints are assumed to be queueing.
	latencyTolerance = 2.0
	// latencySlack is allowed in addition: latencies of small services jitter by
	// this much.
	latencySlack = 0.002 // seconds
	// recentSampleWeight is the weight of a new sample in the recent latency.
	recentSampleWeight = 0.03
	// minCutInterval is the minimum time between two cuts: a cut takes effect
	// only after earlier requests have ended.
	minCutInterval = 250 * time.Millisecond
	// cutWithinShare and cutAboveShare are the factors by which a node's limit
	// is cut when it is within and above its share, so that nodes above their
	// share yield first.
	cutWithinShare = 0.9
	cutAboveShare  = 0.7
	// raiseBelowShare is the number of slots added over as many answers as the
	// limit, while the limit is below the share.
	raiseBelowShare = 4.0
	// minShareKept is the part of its share that a node keeps in spite of latency
	// and load reports, because both also rise when requests get larger.
	minShareKept = 0.5
	// waitingTolerance is the part of the slots that may be queued inside the
	// endpoints. Nodes that share endpoints without coordination sometimes send to
	// the same one at the same time.
	waitingTolerance = 0.1
)

// limiter is a pool's adaptive concurrency limit. It starts at the node's share of
// the slots. It rises, up to all slots, while requests are queued here and none
// inside the endpoints, to use what other nodes leave idle. It is cut when
// latencies rise, when endpoints report queued requests, and when they refuse.
type limiter struct {
	limit      float64
	share      float64
	total      float64
	lastReport clock.Instant // time of the newest load report used
	lastCut    clock.Instant

	recentLatency float64 // exponential moving average of latency, seconds
	windowStart   clock.Instant
	windowSum     float64
	windowCount   int
	windowMeans   [windowCapacity]float64 // 0: empty
	nextWindow    int
	lowestMean    float64 // lowest of windowMeans; 0: none yet
	floorLifted   bool    // endpoints refused, and limit was not raised to minShareKept since: the floor is 1 slot
}

// resize applies the slots of a new plan.
func (l *limiter) resize(now clock.Instant, c *Pool) {
	l.total = c.TotalSlots
	if c.TotalSlots <= 0 {
		return // keep limit and share until endpoints are available again
	}
	switch {
	case l.limit == 0:
		l.limit = max(1, c.ShareSlots)
	case c.ShareSlots != l.share && l.share > 0:
		l.limit *= c.ShareSlots / l.share
	}
	l.share = c.ShareSlots
	l.clamp()
	if !c.ReportedAt.After(l.lastReport) {
		return
	}
	l.lastReport = c.ReportedAt
	if float64(c.Waiting) > max(1, c.TotalSlots*waitingTolerance) {
		l.cut(now)
	}
}

func (l *limiter) clamp() {
	floor := 1.0
	if !l.floorLifted {
		floor = max(1, l.share*minShareKept)
	}
	if l.total > 0 {
		l.limit = min(l.limit, l.total)
	}
	l.limit = max(floor, l.limit)
}

// addSample adds the latency of a request in seconds: time to the first token of a
// stream, or to the answer of a lookup. waiting is set if requests are queued here.
func (l *limiter) addSample(now clock.Instant, latency float64, waiting bool) {
	if l.recentLatency == 0 {
		l.recentLatency = latency
	}
	l.recentLatency += (latency - l.recentLatency) * recentSampleWeight
	l.addToWindow(now, latency)
	if l.lowestMean > 0 && l.recentLatency > l.lowestMean*latencyTolerance+latencySlack {
		l.cut(now)
		return
	}
	if waiting || l.limit < l.share {
		l.raise()
	}
}

func (l *limiter) addToWindow(now clock.Instant, latency float64) {
	if l.windowCount == 0 {
		l.windowStart = now
	}
	l.windowSum += latency
	l.windowCount++
	if l.windowCount < minWindowSamples || now.Sub(l.windowStart) < minWindowDuration {
		return
	}
	l.windowMeans[l.nextWindow] = l.windowSum / float64(l.windowCount)
	l.nextWindow = (l.nextWindow + 1) % windowCapacity
	l.windowSum, l.windowCount = 0, 0
	l.lowestMean = 0
	for _, m := range l.windowMeans {
		if m > 0 && (l.lowestMean == 0 || m < l.lowestMean) {
			l.lowestMean = m
		}
	}
}

// raise raises the limit after an answer: by one slot over as many answers as the
// limit, and by raiseBelowShare slots while the limit is below the share.
func (l *limiter) raise() {
	step := 1.0
	if l.limit < l.share {
		step = raiseBelowShare
	}
	l.limit += step / max(1, l.limit)
	if l.limit >= l.share*minShareKept {
		l.floorLifted = false
	}
	l.clamp()
}

func (l *limiter) cut(now clock.Instant) {
	pause := max(minCutInterval, time.Duration(l.recentLatency*float64(time.Second)))
	if l.lastCut != 0 && now.Sub(l.lastCut) < pause {
		return
	}
	l.lastCut = now
	if l.limit > l.share {
		l.limit = max(l.limit*cutAboveShare, l.share*cutWithinShare)
	} else {
		l.limit *= cutWithinShare
	}
	l.clamp()
}

// cutOnRefusal handles a refusal by the endpoints for lack of capacity. It is
// the strongest overload signal and may reduce the limit to one slot.
func (l *limiter) cutOnRefusal(now clock.Instant) {
	l.floorLifted = true
	l.cut(now)
}
