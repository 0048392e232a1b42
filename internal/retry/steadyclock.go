package retry

import (
	"time"

	"chervilloom/internal/clock"
)

// steadyClock is the default clock. Budgets and ejections do not need time during which
// the VM is suspended, and unlike CLOCK_BOOTTIME this clock is read without a system
// call.
type steadyClock struct{ start time.Time }

func newSteadyClock() clock.Clock { return steadyClock{start: time.Now()} }

// Now returns the time since the clock was created plus one hour, so that no instant is
// 0, which means "never".
func (s steadyClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(s.start)) }
