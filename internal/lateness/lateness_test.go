package lateness

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// wallClock follows the time of a synctest bubble.
type wallClock struct{}

func (wallClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

func TestRecentForgets(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	m := &Monitor{Clock: c}
	m.Observe(80 * time.Millisecond)
	m.Observe(10 * time.Millisecond)
	is.Equal(m.Recent(), 80*time.Millisecond)
	is.Equal(m.Allowance(), 80*time.Millisecond)
	c.Advance(window)
	is.Equal(m.Recent(), 80*time.Millisecond)
	c.Advance(window)
	is.Equal(m.Recent(), time.Duration(0))
	m.Observe(time.Minute)
	is.Equal(m.Allowance(), maxExtension)
	c.Advance(10 * window)
	m.Observe(minExtension - 1)
	is.Equal(m.Allowance(), time.Duration(0))
	is.Equal((*Monitor)(nil).Allowance(), time.Duration(0))
}

// Guards against timeouts of a late process that end before it has processed what arrived in time,
// and against those of a punctual one that take longer.
func TestTimeoutIsLongerWhileLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &Monitor{Clock: wallClock{}}
		for _, late := range []time.Duration{0, 200 * time.Millisecond} {
			m.Observe(late)
			began := time.Now()
			ctx, cancel := m.WithTimeout(t.Context(), 300*time.Millisecond)
			<-ctx.Done()
			is.Equal(ctx.Err(), context.DeadlineExceeded)
			is.Equal(time.Since(began), 300*time.Millisecond+late)
			cancel()
			is.Equal(ctx.Err(), context.DeadlineExceeded)
		}
	})
}

// Guards against contexts that outlive their parent or their cancellation.
func TestContextEndsWithParentAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &Monitor{Clock: wallClock{}}
		m.Observe(200 * time.Millisecond)
		parent, end := context.WithCancel(t.Context())
		ctx, cancel := m.WithTimeout(parent, time.Second)
		defer cancel()
		child, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		end()
		<-child.Done()
		is.True(errors.Is(ctx.Err(), context.Canceled))
		for _, wait := range []time.Duration{0, 200 * time.Millisecond} { // before and after the first expiry
			ctx, cancel := m.WithTimeout(t.Context(), 100*time.Millisecond)
			m.Observe(400 * time.Millisecond)
			time.Sleep(wait) // virtual time
			cancel()
			is.Equal(ctx.Err(), context.Canceled)
		}
		synctest.Wait()
	})
}
