package admit

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	// windowLength and windowSamples are the least length and the least number
	// of samples of one window of latencies.
	windowLength  = time.Second
	windowSamples = 64
	// windowsKept is how many windows the lowest mean is looked for in.
	windowsKept = 30
	// latencyTolerance is how far the recent latency may be over the lowest
	// window's mean before the endpoints are taken to be queueing.
	latencyTolerance = 2.0
	// latencySlack is allowed on top: small services jitter by this much.
	latencySlack = 0.002 // seconds
	// recentWeight is the weight of a new sample in the recent latency.
	recentWeight = 0.03
	// cutPause is the least time between two cuts: a cut shows its effect only
	// when the requests before it have ended.
	cutPause = 250 * time.Millisecond
	// gentleCut and hardCut shrink the limit of a node within and above its
	// share of the slots, so that nodes above their share give way first.
	gentleCut = 0.9
	hardCut   = 0.7
	// returnSteps is how many slots are added for each limit answers below the
	// share.
	returnSteps = 4.0
	// floorOfShare is the part of its share that latency and load reports
	// cannot take from a node: both are also raised by a change of the
	// requests' sizes.
	floorOfShare = 0.5
	// waitingTolerance is the part of the slots that may wait inside the
	// endpoints. Nodes that share endpoints without talking hit some of them
	// at the same time.
	waitingTolerance = 0.1
)

// limiter is a pool's concurrency limit. It starts at the node's share of the
// slots and goes up while requests wait here and nothing waits in the
// endpoints, at most to all slots: what other nodes leave idle is used. It goes
// down when latencies rise, when the endpoints report that requests wait in
// them, and when they refuse.
type limiter struct {
	limit    float64
	share    float64
	total    float64
	reported clock.Instant // of the newest load report seen
	cutAt    clock.Instant

	recent    float64 // decayed mean latency, seconds
	began     clock.Instant
	sum       float64
	n         int
	means     [windowsKept]float64 // 0: none yet
	at        int
	lowest    float64 // of means; 0: none yet
	shedFloor bool    // endpoints refused since the last raise: the floor is 1
}

// resize takes the slots of a new plan.
func (l *limiter) resize(now clock.Instant, c *Pool) {
	l.total = c.Total
	if c.Total <= 0 {
		return // limit and share are kept for the time when endpoints are back
	}
	switch {
	case l.limit == 0:
		l.limit = max(1, c.Share)
	case c.Share != l.share && l.share > 0:
		l.limit *= c.Share / l.share
	}
	l.share = c.Share
	l.clamp()
	if !c.Reported.After(l.reported) {
		return
	}
	l.reported = c.Reported
	if float64(c.Waiting) > max(1, c.Total*waitingTolerance) {
		l.cut(now)
	}
}

func (l *limiter) clamp() {
	floor := 1.0
	if !l.shedFloor {
		floor = max(1, l.share*floorOfShare)
	}
	if l.total > 0 {
		l.limit = min(l.limit, l.total)
	}
	l.limit = max(floor, l.limit)
}

// sample takes the latency of one request, in seconds: time to the first token
// of a stream, time to the answer of a lookup. waiting is set when requests
// wait for a slot here.
func (l *limiter) sample(now clock.Instant, latency float64, waiting bool) {
	if l.recent == 0 {
		l.recent = latency
	}
	l.recent += (latency - l.recent) * recentWeight
	l.window(now, latency)
	if l.lowest > 0 && l.recent > l.lowest*latencyTolerance+latencySlack {
		l.cut(now)
		return
	}
	if waiting || l.limit < l.share {
		l.raise()
	}
}

func (l *limiter) window(now clock.Instant, latency float64) {
	if l.n == 0 {
		l.began = now
	}
	l.sum += latency
	l.n++
	if l.n < windowSamples || now.Sub(l.began) < windowLength {
		return
	}
	l.means[l.at] = l.sum / float64(l.n)
	l.at = (l.at + 1) % windowsKept
	l.sum, l.n = 0, 0
	l.lowest = 0
	for _, m := range l.means {
		if m > 0 && (l.lowest == 0 || m < l.lowest) {
			l.lowest = m
		}
	}
}

// raise adds one slot for each limit answers, and more below the share.
func (l *limiter) raise() {
	step := 1.0
	if l.limit < l.share {
		step = returnSteps
	}
	l.limit += step / max(1, l.limit)
	if l.limit >= l.share*floorOfShare {
		l.shedFloor = false
	}
	l.clamp()
}

func (l *limiter) cut(now clock.Instant) {
	pause := max(cutPause, time.Duration(l.recent*float64(time.Second)))
	if l.cutAt != 0 && now.Sub(l.cutAt) < pause {
		return
	}
	l.cutAt = now
	if l.limit > l.share {
		l.limit = max(l.limit*hardCut, l.share*gentleCut)
	} else {
		l.limit *= gentleCut
	}
	l.clamp()
}

// shed takes a refusal by the endpoints for want of room. It is the surest sign
// of all and may bring the limit down to one.
func (l *limiter) shed(now clock.Instant) {
	l.shedFloor = true
	l.cut(now)
}
