package retry

import (
	"time"

	"chervilloom/internal/clock"
)

// steady is the default clock. Budgets and ejections need no time that passes
// while the VM is suspended, and unlike CLOCK_BOOTTIME this clock is read
// without a system call.
type steady struct{ start time.Time }

func newSteady() clock.Clock { return steady{start: time.Now()} }

// Now returns the time since the clock was made. It begins at an hour, so that
// no instant is 0, which stands for "never".
func (s steady) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(s.start)) }
