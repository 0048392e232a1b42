package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// room reports whether a slot is free.
func (p *pool) room() bool {
	return p.total > 0 && float64(p.inflight)+1 <= p.limiter.limit
}

// gone reports whether nothing has served the pool's targets for longer than
// the grace.
func (p *pool) gone(now clock.Instant) bool {
	return p.lost != 0 && now.Sub(p.lost) >= capacityGrace
}

// drain returns the cost per second at which the queue is served: as measured
// while it lasts, before that as reckoned from the limit. The limit moves up and
// down, and reckoned from it alone every cut would refuse requests that were
// queued a moment before.
func (p *pool) drain(now clock.Instant) float64 {
	if rate := p.pace.rate(now); rate > 0 {
		return rate
	}
	return p.estimate.drain(p.limiter.limit)
}

// wait estimates how long a request of flow f waits that has ahead queued
// before it in its own flow, if no other request comes. Two bounds hold, and
// the smaller one is taken: all queued work, and the virtual time up to the
// request's start with every waiting organisation taking its share of it.
func (p *pool) wait(now clock.Instant, f *flow, ahead float64) time.Duration {
	w := p.weight
	if f.at < 0 {
		w += f.org.weight
	}
	lead := p.startOf(f) - p.virtual
	shared := (lead + ahead/f.org.weight) * w
	work := min(shared, p.cost) + p.estimate.meanCost()
	return clampSeconds(work / p.drain(now))
}

// tailWait estimates how long a request waits that is queued behind all of f's.
// Requests of other organisations that are still to come may go before it. So
// in a queue that lasts, the organisations that usually wait are reckoned with,
// not only those that wait now; and a flow that has waited for a while is held
// to the rate at which it was served.
func (p *pool) tailWait(now clock.Instant, f *flow) time.Duration {
	d := p.wait(now, f, f.cost)
	if rate := p.pace.rate(now); rate > 0 {
		w := max(p.usual, p.weight, f.org.weight)
		lead := p.startOf(f) - p.virtual
		d = max(d, clampSeconds(((lead+f.cost/f.org.weight)*w+p.estimate.meanCost())/rate))
	}
	if rate := f.pace.rate(now); rate > 0 {
		return max(d, clampSeconds(f.cost/rate))
	}
	return d
}

// hopeless reports whether a request that still has to wait cannot be answered
// in time.
func (p *pool) hopeless(now clock.Instant, e *entry, wait time.Duration) bool {
	if e.deadline == 0 {
		return false
	}
	left := e.deadline.Sub(now)
	return left <= 0 || wait+p.estimate.service(e.cost) > left
}

// slotTime is the mean time until one of the pool's slots is free.
func (p *pool) slotTime(now clock.Instant) time.Duration {
	return min(maxRetryAfter, clampSeconds(p.estimate.meanCost()/p.drain(now)))
}

// book returns when a refused caller should come back: not before excess has
// passed, and each after the work of the refused one before it, so that they
// do not all come together.
func (p *pool) book(now clock.Instant, excess time.Duration, cost float64) time.Duration {
	next := p.booked.Add(clampSeconds(cost / p.drain(now)))
	p.booked = max(now.Add(excess), next)
	if d := p.booked.Sub(now); d < maxRetryAfter {
		return d
	}
	p.booked = now.Add(maxRetryAfter)
	return maxRetryAfter
}

func (p *pool) decision(h Handle, v Verdict, k outcome.Kind, r Reason) Decision {
	return Decision{
		Handle: h, Verdict: v, Kind: k, Reason: r,
		Limit: int(p.limiter.limit), InProgress: p.inflight, Share: int(p.limiter.share),
	}
}

// clampSeconds turns seconds into a duration of at most an hour.
func clampSeconds(s float64) time.Duration {
	const most = 3600
	if !(s < most) {
		s = most
	}
	return time.Duration(s * float64(time.Second))
}
