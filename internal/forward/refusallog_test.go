package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// Guards against log lines without bound for clients that send invalid requests, and against refusals
// for other reasons that are not logged because of them.
func TestLinesForInvalidRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	var l invalidLog
	now := clock.Instant(time.Hour)
	written := 0
	for range 1000 {
		if _, ok := l.next(outcome.UnknownService, now); ok {
			written++
		}
		_, ok := l.next(outcome.Overloaded, now)
		is.True(ok)
	}
	is.Equal(written, maxInvalidLines)
	suppressed, ok := l.next(outcome.Unauthorised, now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 1000-maxInvalidLines)
}
