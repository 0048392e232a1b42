package admit

import (
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// lookupWait is how long a call waits for a slot at most. Slots free within milliseconds,
// and a refused caller comes back after a second at the earliest.
const lookupWait = 100 * time.Millisecond

// wait has a call wait for a slot, unless none can be expected in time.
func (l *Lookups) wait(now clock.Instant, s *service, w waitingLookup) Decision {
	expected := s.expectedWait()
	d := s.decision(w.handle, Queue, ReasonBusy)
	d.Wait = expected
	if expected > lookupWait || !l.mayWait(s, w.org) || w.late(now.Add(expected)) {
		return d.refuse(outcome.Overloaded, ReasonSaturated, lookupRetry)
	}
	w.came = now
	s.queue = append(s.queue, w)
	l.count(s, w.org, 1)
	return d
}

// expectedWait is the time in which the calls that are ahead and one more get their slots.
func (s *service) expectedWait() time.Duration {
	ahead := float64(len(s.queue) + 1)
	return clampSeconds(ahead / s.limiter.limit * s.limiter.recent)
}

// mayWait reports whether one more call of o may wait. An organisation fills at most its
// weighted part of a queue as long as the slots, so that one that asks for more than its
// share leaves room to the others.
func (l *Lookups) mayWait(s *service, o *lookupOrg) bool {
	if float64(len(s.queue)) >= s.limiter.limit {
		return false
	}
	return o == nil || float64(o.waiting[s]) < s.limiter.limit*o.weight/max(l.weight, o.weight)
}

func (l *Lookups) count(s *service, o *lookupOrg, n int) {
	l.waiting += n
	if o != nil {
		o.waiting[s] += n
	}
}

// serveQueue gives free slots to the calls that wait, and refuses those whose time is over.
// A call that is found late, because the node stood still, gets a slot that is free all the
// same.
func (l *Lookups) serveQueue(now clock.Instant, s *service, out []Decision) []Decision {
	for len(s.queue) > 0 {
		w := s.queue[0]
		free := s.planned && s.total > 0 && s.room()
		if !free && !w.late(now) && now.Sub(w.came) < lookupWait {
			break
		}
		s.queue = slices.Delete(s.queue, 0, 1)
		l.count(s, w.org, -1)
		out = append(out, l.endWait(now, s, w, free))
	}
	return out
}

func (l *Lookups) endWait(now clock.Instant, s *service, w waitingLookup, free bool) Decision {
	d := s.decision(w.handle, Admit, ReasonTurn)
	d.Wait = now.Sub(w.came)
	switch {
	case w.late(now):
		return d.refuse(outcome.DeadlineExceeded, ReasonExpired, 0)
	case !free:
		return d.refuse(outcome.Overloaded, ReasonSaturated, lookupRetry)
	}
	if w.org != nil {
		w.org.bucket.take()
	}
	l.take(w.handle, w.org, s)
	return d
}

// withdraw forgets a call whose caller has left while it waited.
func (l *Lookups) withdraw(now clock.Instant, h Handle, out []Decision) []Decision {
	for _, s := range l.services {
		i := slices.IndexFunc(s.queue, func(w waitingLookup) bool { return w.handle == h })
		if i < 0 {
			continue
		}
		w := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		l.count(s, w.org, -1)
		d := s.decision(h, Withdrawn, ReasonCallerGone)
		d.Wait = now.Sub(w.came)
		return append(out, d)
	}
	return out
}
