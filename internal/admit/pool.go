package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// hasSlot reports whether a slot is free.
func (p *pool) hasSlot() bool {
	return p.total > 0 && float64(p.inflight)+1 <= p.limiter.limit
}

// isGone reports whether nothing has served the pool's targets for longer than
// capacityGrace.
func (p *pool) isGone(now clock.Instant) bool {
	return p.emptySince != 0 && now.Sub(p.emptySince) >= capacityGrace
}

// drainRate returns the cost per second at which the queue is served. It is
// measured once the queue has lasted long enough, and derived from the limit
// before that. The limit moves up and down, and a rate derived from it alone
// would make every cut refuse requests that were queued just before.
func (p *pool) drainRate(now clock.Instant) float64 {
	if rate := p.rateMeter.rate(now); rate > 0 {
		return rate
	}
	return p.estimate.drainRate(p.limiter.limit)
}

// wait estimates how long a request of flow f waits behind requests of the total
// cost ahead in its own flow, if no other request arrives. It is the smaller of two upper
// bounds: all queued work, and the virtual time until the request's start with
// every waiting organisation using its share.
func (p *pool) wait(now clock.Instant, f *flow, ahead float64) time.Duration {
	w := p.weight
	if f.heapIndex < 0 {
		w += f.org.weight
	}
	lead := p.startTime(f) - p.virtualTime
	shared := (lead + ahead/f.org.weight) * w
	work := min(shared, p.queuedCost) + p.estimate.meanCost()
	return clampSeconds(work / p.drainRate(now))
}

// tailWait estimates how long a request waits that is queued behind all of f's.
// Requests of other organisations that arrive later may be served before it. In a
// queue that lasts, the estimate therefore uses the usual weight of waiting
// organisations, not only of those that wait now, and at least the rate at which
// the flow itself was served.
func (p *pool) tailWait(now clock.Instant, f *flow) time.Duration {
	d := p.wait(now, f, f.queuedCost)
	if rate := p.rateMeter.rate(now); rate > 0 {
		w := max(p.usualWeight, p.weight, f.org.weight)
		lead := p.startTime(f) - p.virtualTime
		d = max(d, clampSeconds(((lead+f.queuedCost/f.org.weight)*w+p.estimate.meanCost())/rate))
	}
	if rate := f.rateMeter.rate(now); rate > 0 {
		return max(d, clampSeconds(f.queuedCost/rate))
	}
	return d
}

// wouldMissDeadline reports whether a queued request cannot be answered in time.
func (p *pool) wouldMissDeadline(now clock.Instant, e *entry, wait time.Duration) bool {
	if e.deadline == 0 {
		return false
	}
	left := e.deadline.Sub(now)
	return left <= 0 || wait+p.estimate.serviceTime(e.cost) > left
}

// timeToSlot returns the mean time until one of the pool's slots becomes free.
func (p *pool) timeToSlot(now clock.Instant) time.Duration {
	return min(maxRetryAfter, clampSeconds(p.estimate.meanCost()/p.drainRate(now)))
}

// nextRetryAfter returns the retry delay of a refused caller. It is at least
// excess, and each caller is scheduled after the work of the one refused before
// it, so that they do not all return at once.
func (p *pool) nextRetryAfter(now clock.Instant, excess time.Duration, cost float64) time.Duration {
	next := p.lastRetryAt.Add(clampSeconds(cost / p.drainRate(now)))
	p.lastRetryAt = max(now.Add(excess), next)
	if d := p.lastRetryAt.Sub(now); d < maxRetryAfter {
		return d
	}
	p.lastRetryAt = now.Add(maxRetryAfter)
	return maxRetryAfter
}

func (p *pool) decision(h Handle, v Verdict, k outcome.Kind, r Reason) Decision {
	return Decision{
		Handle: h, Verdict: v, Kind: k, Reason: r,
		Limit: int(p.limiter.limit), InProgress: p.inflight, ShareSlots: int(p.limiter.share),
	}
}

// clampSeconds converts s to a duration of at most an hour.
func clampSeconds(s float64) time.Duration {
	const most = 3600
	if !(s < most) {
		s = most
	}
	return time.Duration(s * float64(time.Second))
}
