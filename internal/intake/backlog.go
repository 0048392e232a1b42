package intake

import (
	"cmp"
	"time"

	"chervilloom/internal/clock"
)

const (
	// settleTime is how long connections must have waited without a break before any is turned
	// away: a burst, or the connections of a pause of the process, are served.
	settleTime = 100 * time.Millisecond
	// maxWait is the age at which a waiting connection is turned away. Clients that wait longer
	// without being read go elsewhere by themselves.
	maxWait = 250 * time.Millisecond
	// maxBacklog bounds the waiting connections if nothing else is set. Each takes a descriptor.
	maxBacklog = 1024
	// minBacklog is kept even if hardly any connection was started lately.
	minBacklog = 8
)

// Backlog holds accepted connections that wait to be served, and decides which of them to serve
// next and which to turn away. The newest is served first: while there are more than the node
// bears, the oldest wait in vain, and their clients may have left. It is not safe for concurrent use.
type Backlog[C any] struct {
	Max     int           // maximum number of waiting connections; 0: maxBacklog
	waiting []entry[C]    // the oldest first
	since   clock.Instant // since when connections have waited without a break; 0: none wait
	started startCounter
}

type entry[C any] struct {
	conn C
	at   clock.Instant
}

// Len returns the number of waiting connections.
func (b *Backlog[C]) Len() int { return len(b.waiting) }

// Add adds a connection that was just accepted. It returns a connection to turn away if there are
// too many.
func (b *Backlog[C]) Add(c C, now clock.Instant) (excess C, full bool) {
	if len(b.waiting) == 0 {
		b.since = now
	}
	b.waiting = append(b.waiting, entry[C]{c, now})
	if len(b.waiting) <= cmp.Or(b.Max, maxBacklog) {
		return excess, false
	}
	excess = b.waiting[0].conn
	b.waiting = b.waiting[1:]
	return excess, true
}

// Next removes the connection to serve next and returns it with the time when it was accepted. ok is
// false if none waits.
func (b *Backlog[C]) Next(now clock.Instant) (c C, accepted clock.Instant, ok bool) {
	if len(b.waiting) == 0 {
		return c, 0, false
	}
	last := len(b.waiting) - 1
	c, accepted = b.waiting[last].conn, b.waiting[last].at
	b.waiting[last] = entry[C]{}
	b.waiting = b.waiting[:last]
	if last == 0 {
		b.since, b.waiting = 0, nil
	}
	b.CountStart(now)
	return c, accepted, true
}

// CountStart counts a connection that is served.
func (b *Backlog[C]) CountStart(now clock.Instant) { b.started.add(now) }

// Excess removes the connections to turn away: those that have waited for maxWait and, once
// connections have waited for settleTime without a break, the oldest beyond the number that the node
// has started in such a time.
func (b *Backlog[C]) Excess(now clock.Instant) []C {
	if len(b.waiting) == 0 || now.Sub(b.since) < settleTime {
		return nil
	}
	n := max(0, len(b.waiting)-max(minBacklog, b.started.recent(now)))
	for n < len(b.waiting) && now.Sub(b.waiting[n].at) > maxWait {
		n++
	}
	out := make([]C, n)
	for i := range out {
		out[i] = b.waiting[i].conn
	}
	b.waiting = b.waiting[n:]
	if len(b.waiting) == 0 {
		b.since, b.waiting = 0, nil
	}
	return out
}

// TakeAll removes all connections.
func (b *Backlog[C]) TakeAll() []C {
	out := make([]C, len(b.waiting))
	for i := range out {
		out[i] = b.waiting[i].conn
	}
	b.waiting, b.since = nil, 0
	return out
}

// startCounter counts starts in periods of settleTime.
type startCounter struct {
	period            int64
	current, previous int
}

func (s *startCounter) advance(now clock.Instant) {
	period := int64(now) / int64(settleTime)
	switch period - s.period {
	case 0:
		return
	case 1:
		s.previous = s.current
	default:
		s.previous = 0
	}
	s.period, s.current = period, 0
}

func (s *startCounter) add(now clock.Instant) {
	s.advance(now)
	s.current++
}

// recent returns the most starts of the current and the previous period.
func (s *startCounter) recent(now clock.Instant) int {
	s.advance(now)
	return max(s.current, s.previous)
}
