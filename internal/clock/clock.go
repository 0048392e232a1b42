// Package clock provides the time base of leases, freshness and deadlines.
//
// A lease measured with CLOCK_MONOTONIC would outlast its term when the VM is suspended,
// because that clock stops as well: the holder would resume and assume that it still owns
// the lease. CLOCK_BOOTTIME includes suspended time, so an expired lease is detected at the
// first check after the resume.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time in nanoseconds since the VM booted. It is comparable only
// within one VM and must not be sent to another; send ages instead.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// After reports whether i is later than j.
func (i Instant) After(j Instant) bool { return i > j }

// Clock is a time source. Only adapters read it; decision functions take an Instant as an
// argument.
type Clock interface {
	Now() Instant
}

// Boot reads CLOCK_BOOTTIME.
type Boot struct{}

// Now returns the time since the VM booted, suspended time included.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it no lease can be evaluated
		// safely.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Manual is a clock that is advanced explicitly. It is safe for concurrent use.
type Manual struct{ now atomic.Int64 }

// NewManual returns a clock set to start.
func NewManual(start Instant) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the current instant of the clock.
func (m *Manual) Now() Instant { return Instant(m.now.Load()) }

// Advance advances the clock by d.
func (m *Manual) Advance(d time.Duration) { m.now.Add(int64(d)) }
