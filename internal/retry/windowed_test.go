package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
)

// manualClock is a clock set by the test.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

// An engine with thirty streams fails, at a node with 25 requests per second. All streams
// must be repeated at once; a token bucket with the same mean rate allowed seven.
func TestAllStreamsOfALostEngineRepeatAtOnce(t *testing.T) {
	is := is.New(t)
	c := &manualClock{now: clock.Instant(time.Hour)}
	w := &WindowedBudget{Clock: c, Window: 10 * time.Second, Ratio: 0.16, Slack: func() float64 { return 13 }}
	for range 250 {
		c.now = c.now.Add(40 * time.Millisecond)
		w.CountFirst()
	}
	for range 30 {
		is.True(w.Allow())
	}
}

// At any traffic, repeats in any window stay below the ratio of the first tries in that
// window plus one slot, plus the slack.
func TestRepeatsStayWithinTheLimitOfAnyWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const (
			window = 10 * time.Second
			ratio  = 0.2
			slack  = 5.0
		)
		c := &manualClock{now: clock.Instant(time.Hour)}
		w := &WindowedBudget{Clock: c, Window: window, Ratio: ratio, Slack: func() float64 { return slack }}
		var first, repeat []clock.Instant
		for range rapid.IntRange(1, 400).Draw(r, "events") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(r, "kind") == 0 {
				w.CountFirst()
				first = append(first, c.now)
				continue
			}
			if !w.Allow() {
				continue
			}
			repeat = append(repeat, c.now)
			since := c.now.Add(-window)
			firsts := countAfter(first, since.Add(-window/windowedSlots))
			if n := countAfter(repeat, since); float64(n) > ratio*float64(firsts)+slack {
				r.Fatalf("%d repeats with %d first tries", n, firsts)
			}
		}
	})
}

// Guards against retries of the least urgent requests that use up the budget before more urgent
// ones, and against a budget that changes for those.
func TestShareOfTheBudgetIsKept(t *testing.T) {
	fromSlack := func(w *WindowedBudget, c *manualClock) {
		w.Slack = func() float64 { return 8 / slackBurstShare }
		w.Allow()
		c.now = c.now.Add(20 * time.Second)
	}
	fromRatio := func(w *WindowedBudget, _ *manualClock) {
		w.Ratio, w.Slack = 1, func() float64 { return 0 }
		for range 8 {
			w.CountFirst()
		}
	}
	for name, fill := range map[string]func(*WindowedBudget, *manualClock){"slack": fromSlack, "ratio": fromRatio} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &manualClock{now: clock.Instant(time.Hour)}
			w := &WindowedBudget{Clock: c, Window: 10 * time.Second}
			fill(w, c)
			for range 6 {
				is.True(w.Take(0.25) != Denied)
			}
			is.Equal(w.Take(0.25), Denied)
			is.True(w.Allow())
			is.True(w.Allow())
			is.True(!w.Allow())
		})
	}
}

// Guards against slack that each of several processes on one VM uses as if it were the first, and
// against a share below one that is never used.
func TestProcessesInSeriesShareTheSlackOfAWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const window = 10 * time.Second
		slack := rapid.SampledFrom([]float64{0.84, 3, 20}).Draw(r, "slack")
		c := &manualClock{now: clock.Instant(time.Hour)}
		start := func() *WindowedBudget {
			return &WindowedBudget{Clock: c, Window: window, Since: c.now, Slack: func() float64 { return slack }}
		}
		w := start()
		var repeats []clock.Instant
		for range rapid.IntRange(1, 400).Draw(r, "events") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(r, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(r, "restart") == 0 {
				w = start()
			}
			if !w.Allow() {
				continue
			}
			repeats = append(repeats, c.now)
			if n := countAfter(repeats, c.now.Add(-window)); float64(n) > slack {
				r.Fatalf("%d repeats in a window, %v allowed", n, slack)
			}
		}
	})
	is := is.New(t)
	c := &manualClock{now: clock.Instant(time.Hour)}
	w := &WindowedBudget{Clock: c, Window: 10 * time.Second, Ratio: 0.16, Since: c.now, Slack: func() float64 { return 0.84 }}
	is.True(!w.Allow())
	c.now = c.now.Add(20 * time.Second)
	for range 4 {
		w.CountFirst()
	}
	is.Equal(w.Take(0), FromSlack) // 0.64 of it from the ratio
	is.True(!w.Allow())
}

// Guards against a budget that is created with the first request of a service and has no slack then,
// although its process has run for long enough to have gained some.
func TestSlackIsGainedFromTheStartOfTheProcess(t *testing.T) {
	is := is.New(t)
	c := &manualClock{now: clock.Instant(time.Hour)}
	w := &WindowedBudget{Clock: c, Window: 10 * time.Second, Since: c.now.Add(-time.Second), Slack: func() float64 { return 20 }}
	is.True(w.Allow())
	is.True(!w.Allow())
}

// countAfter counts the instants after since.
func countAfter(all []clock.Instant, since clock.Instant) int {
	n := 0
	for _, at := range all {
		if at.After(since) {
			n++
		}
	}
	return n
}
