// Package retryafter decides when requests that were refused for want of slots should return, and
// which requests cannot be served in the time that they have. Its decisions depend only on their
// arguments and on the recorded refusals; callers provide clocks, random draws and locks.
package retryafter

import (
	"slices"
	"time"

	"chervilloom/internal/clock"
)

const (
	// MinDelay is the least time after which a refused request returns.
	MinDelay = 50 * time.Millisecond
	// waitShare is the greatest part of its time left for which a request is asked to wait. Clients
	// wait no longer.
	waitShare = 1.0 / 3
	// jitter is the greatest deviation of a delay from its mean, as a share, so that clients that
	// are refused at the same moment do not return at the same moment.
	jitter = 0.25
	// earlyTolerance is the time by which a retry may precede the stated one: the header has
	// hundredths of a second.
	earlyTolerance = 10 * time.Millisecond
	// sameDeadline is the greatest difference of the deadlines of two attempts of one client
	// request. A client sends what remains of its time, and the time to the node varies.
	sameDeadline = 50 * time.Millisecond
	// retention is how long after its time a refusal is remembered, so that a request that
	// returns late keeps its place.
	retention = 2 * time.Second
	// maxEntries bounds the refusals that are remembered for a model.
	maxEntries = 256
	// unservableFactor is how many times the time left the best predicted time must exceed to
	// refuse a request: predictions are not exact, and late answers have some value.
	unservableFactor = 2
)

// IsUnservable reports whether a request certainly misses its deadline. best is the predicted total
// time at the best endpoint; 0: unknown.
func IsUnservable(best, left time.Duration) bool { return best > unservableFactor*left }

// Request is a request as far as its return depends on it.
type Request struct {
	Key      string        // the same for attempts of the same request
	Deadline clock.Instant // of the client
	Level    int           // position of its rank; 0 is the most urgent
}

// Queue remembers the refused requests of one model at this node until they return. Its zero value
// is ready for use.
type Queue struct {
	entries  []entry
	refusals uint64 // so far
}

// entry is a refused request.
type entry struct {
	Request
	order uint64        // number of its first refusal
	due   clock.Instant // when it was asked to return
}

// IsEarly reports whether a request returns before the time that its refusal stated.
func (q *Queue) IsEarly(now clock.Instant, r Request) bool {
	i := q.find(r)
	return i >= 0 && now.Add(earlyTolerance).Before(q.entries[i].due)
}

// Forget removes a request that has not been refused again.
func (q *Queue) Forget(r Request) {
	if i := q.find(r); i >= 0 {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// Refuse records a refusal and returns the time after which the request should return. rate is the
// number of slots a second that become free for this node's requests that return, 0 or less if new
// requests take them all; draw is uniform in [0, 1).
// Requests return at this rate, the most urgent and the oldest first. One that returns too
// early counts as refused now for the first time, and is asked to return no earlier than before.
func (q *Queue) Refuse(now clock.Instant, r Request, rate, draw float64) time.Duration {
	q.expire(now)
	q.refusals++
	e := entry{Request: r, order: q.refusals}
	var stated time.Duration
	if i := q.find(r); i >= 0 {
		if q.IsEarly(now, r) {
			stated = q.entries[i].due.Sub(now)
		} else {
			e.order = q.entries[i].order
		}
		q.entries = slices.Delete(q.entries, i, i+1)
	}
	longest := time.Duration(waitShare * float64(r.Deadline.Sub(now)))
	delay := max(stated, min(q.delay(now, &e, rate, longest, draw), longest))
	delay = max(MinDelay, min(delay, longest))
	e.due = now.Add(delay)
	if len(q.entries) >= maxEntries {
		q.entries = slices.Delete(q.entries, 0, 1)
	}
	q.entries = append(q.entries, e)
	return delay
}

// delay returns the time until a slot is expected to be free for the request, with jitter.
func (q *Queue) delay(now clock.Instant, e *entry, rate float64, longest time.Duration, draw float64) time.Duration {
	mean := float64(longest) // no slots are expected to become free before the load changes
	if rate > 0 {
		before := 0
		for i := range q.entries {
			if o := &q.entries[i]; o.due.After(now) && o.precedes(e) {
				before++
			}
		}
		mean = float64(before+1) / rate * float64(time.Second)
	}
	// The limits hold with jitter as well, and requests at a limit do not return together.
	mean = max(float64(MinDelay)/(1-jitter), min(mean, float64(longest)/(1+jitter)))
	return time.Duration(mean * (1 - jitter + 2*jitter*draw))
}

// precedes reports whether the request returns before another one.
func (e *entry) precedes(o *entry) bool {
	if e.Level != o.Level {
		return e.Level < o.Level
	}
	return e.order < o.order
}

// find returns the index of the request's entry, or -1. Requests of several clients may be equal;
// they differ in their deadlines.
func (q *Queue) find(r Request) int {
	return slices.IndexFunc(q.entries, func(e entry) bool {
		return e.Key == r.Key && e.Deadline.Sub(r.Deadline).Abs() <= sameDeadline
	})
}

// expire removes the requests that have not returned.
func (q *Queue) expire(now clock.Instant) {
	q.entries = slices.DeleteFunc(q.entries, func(e entry) bool { return now.Sub(e.due) > retention })
}
