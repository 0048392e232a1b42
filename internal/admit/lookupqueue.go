package admit

import (
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// maxLookupWait is the maximum time that a call waits for a slot. Slots become
// free within milliseconds, while a refused caller retries after a second at the
// earliest.
const maxLookupWait = 100 * time.Millisecond

// waitOrRefuse queues a call, or refuses it if no slot is expected in time.
func (l *Lookups) waitOrRefuse(now clock.Instant, s *service, w waitingLookup) Decision {
	expected := s.expectedWait()
	d := s.decision(w.handle, Queue, ReasonNoSlot)
	d.WaitTime = expected
	if expected > maxLookupWait || !l.mayQueue(s, w.org) || w.isExpired(now.Add(expected)) {
		return d.refuse(outcome.Overloaded, ReasonSaturated, lookupRetryAfter)
	}
	w.queuedAt = now
	s.queue = append(s.queue, w)
	l.addWaiting(s, w.org, 1)
	return d
}

// expectedWait returns the estimated time until the queued calls and one more have
// got their slots.
func (s *service) expectedWait() time.Duration {
	ahead := float64(len(s.queue) + 1)
	return clampSeconds(ahead / s.limiter.limit * s.limiter.recentLatency)
}

// mayQueue reports whether one more call of o may be queued. The queue has as many
// places as there are slots, and an organisation may use its weighted share of
// them, so that one above its share leaves places for the others.
func (l *Lookups) mayQueue(s *service, o *lookupOrg) bool {
	if float64(len(s.queue)) >= s.limiter.limit {
		return false
	}
	return o == nil || float64(o.waiting[s]) < s.limiter.limit*o.weight/max(l.totalWeight, o.weight)
}

func (l *Lookups) addWaiting(s *service, o *lookupOrg, n int) {
	l.waiting += n
	if o != nil {
		o.waiting[s] += n
	}
}

// serveQueue gives free slots to queued calls and refuses those that have waited
// too long. If a call exceeds maxLookupWait because the node was paused, it
// still gets a free slot.
func (l *Lookups) serveQueue(now clock.Instant, s *service, out []Decision) []Decision {
	for len(s.queue) > 0 {
		w := s.queue[0]
		free := s.planned && s.total > 0 && s.hasSlot()
		if !free && !w.isExpired(now) && now.Sub(w.queuedAt) < maxLookupWait {
			break
		}
		s.queue = slices.Delete(s.queue, 0, 1)
		l.addWaiting(s, w.org, -1)
		out = append(out, l.dequeueDecision(now, s, w, free))
	}
	return out
}

func (l *Lookups) dequeueDecision(now clock.Instant, s *service, w waitingLookup, free bool) Decision {
	d := s.decision(w.handle, Admit, ReasonDequeued)
	d.WaitTime = now.Sub(w.queuedAt)
	switch {
	case w.isExpired(now):
		return d.refuse(outcome.DeadlineExceeded, ReasonExpired, 0)
	case !free:
		return d.refuse(outcome.Overloaded, ReasonSaturated, lookupRetryAfter)
	}
	if w.org != nil {
		w.org.bucket.take()
	}
	l.addInProgress(w.handle, w.org, s)
	return d
}

// withdraw removes a queued call whose caller has left.
func (l *Lookups) withdraw(now clock.Instant, h Handle, out []Decision) []Decision {
	for _, s := range l.services {
		i := slices.IndexFunc(s.queue, func(w waitingLookup) bool { return w.handle == h })
		if i < 0 {
			continue
		}
		w := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		l.addWaiting(s, w.org, -1)
		d := s.decision(h, Withdrawn, ReasonCallerGone)
		d.WaitTime = now.Sub(w.queuedAt)
		return append(out, d)
	}
	return out
}
