// Package clock gives the time that leases, freshness and deadlines are
// measured in.
//
// A lease that is counted on CLOCK_MONOTONIC outlives its term when the VM is
// suspended, because that clock stops with the VM: the holder wakes believing
// that it still owns the lease. CLOCK_BOOTTIME goes on counting, so an expired
// lease is seen as expired at the first look after the wake.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time in nanoseconds since the VM booted. It is
// comparable only within one VM and must not be sent to another: send ages.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// After reports whether i is later than j.
func (i Instant) After(j Instant) bool { return i > j }

// Clock is read by adapters only; decisions take an Instant as an argument.
type Clock interface {
	Now() Instant
}

// Boot reads CLOCK_BOOTTIME.
type Boot struct{}

// Now returns the time since the VM booted, suspended time included.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock id is a constant the kernel has known since 2.6.39; a
		// failure means that no lease can be trusted.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Manual is a clock that moves only when told. It is safe for concurrent use.
type Manual struct{ now atomic.Int64 }

// NewManual returns a clock that stands at start.
func NewManual(start Instant) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the instant the clock stands at.
func (m *Manual) Now() Instant { return Instant(m.now.Load()) }

// Advance moves the clock by d.
func (m *Manual) Advance(d time.Duration) { m.now.Add(int64(d)) }
