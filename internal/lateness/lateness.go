// Package lateness measures how late a process runs, so that a process which is short of processor
// time, was stopped or runs on a slow VM doesn't take its own delay for that of others.
package lateness

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilloom/internal/clock"
)

const (
	// window is how long an observation counts at least, and at most twice as long.
	window = 500 * time.Millisecond
	// maxExtension bounds what is added to a timeout: requests wait for its end.
	maxExtension = 500 * time.Millisecond
	// minExtension is the lateness below which timeouts stay as they are.
	minExtension = 20 * time.Millisecond
)

// Monitor keeps the lateness that was observed lately. A nil Monitor has observed none.
type Monitor struct {
	Clock clock.Clock

	mu                sync.Mutex
	period            int64
	current, previous time.Duration // most in the current and the previous window
}

// Observe records how late the process did something that was due.
func (m *Monitor) Observe(late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.current = max(m.current, late)
}

// Recent returns the most lateness of the last half second or second.
func (m *Monitor) Recent() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	return max(m.current, m.previous)
}

// Allowance returns the time that a wait for others should be longer.
func (m *Monitor) Allowance() time.Duration { return allowance(m.Recent()) }

func allowance(late time.Duration) time.Duration {
	if late < minExtension {
		return 0
	}
	return min(late, maxExtension)
}

func (m *Monitor) advance() {
	period := int64(m.Clock.Now()) / int64(window)
	switch period - m.period {
	case 0:
		return
	case 1:
		m.previous = m.current
	default:
		m.previous = 0
	}
	m.period, m.current = period, 0
}

// WithTimeout returns a context like that of context.WithTimeout. It ends later by as much as the
// process is late then: what has arrived meanwhile is processed first.
func (m *Monitor) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(parent, d)
	}
	ctx, cancel := context.WithCancelCause(parent)
	due := m.Clock.Now().Add(d)
	expire := func() { cancel(errTimeout) }
	var mu sync.Mutex // guards timer
	var timer *time.Timer
	mu.Lock()
	timer = time.AfterFunc(d, func() {
		late := max(0, m.Clock.Now().Sub(due))
		more := allowance(max(late, m.Recent()))
		if more == 0 {
			expire()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() == nil {
			timer = time.AfterFunc(more, expire)
		}
	})
	mu.Unlock()
	return timeoutContext{ctx}, func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
		cancel(nil)
	}
}

// errTimeout is the cause of a context that has ended by its timeout.
var errTimeout = errors.New("lateness: the timeout is over")

// timeoutContext reports the end by a timeout as context.WithTimeout does.
type timeoutContext struct{ context.Context }

// Err implements context.Context.
func (c timeoutContext) Err() error {
	if errors.Is(context.Cause(c.Context), errTimeout) {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}
