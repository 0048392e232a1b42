package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
)

// handClock is a clock that a test moves.
type handClock struct{ now clock.Instant }

func (c *handClock) Now() clock.Instant { return c.now }

// An engine is lost with thirty streams of a node that takes 25 requests a second.
// All of them go on elsewhere at once; a bucket of the same mean rate let seven.
func TestAllStreamsOfALostEngineMoveAtOnce(t *testing.T) {
	is := is.New(t)
	c := &handClock{now: clock.Instant(time.Hour)}
	w := &Windowed{Clock: c, Window: 10 * time.Second, Ratio: 0.16, Slack: func() float64 { return 13 }}
	for range 250 {
		c.now = c.now.Add(40 * time.Millisecond)
		w.First()
	}
	for range 30 {
		is.True(w.Allow())
	}
}

// Whatever the traffic, repeats in any window stay under the ratio of the first
// tries in that window, a slot more, and the slack.
func TestRepeatsKeepToTheBoundOfAnyWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const (
			window = 10 * time.Second
			ratio  = 0.2
			slack  = 5.0
		)
		c := &handClock{now: clock.Instant(time.Hour)}
		w := &Windowed{Clock: c, Window: window, Ratio: ratio, Slack: func() float64 { return slack }}
		var first, repeat []clock.Instant
		for range rapid.IntRange(1, 400).Draw(r, "events") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(r, "kind") == 0 {
				w.First()
				first = append(first, c.now)
				continue
			}
			if !w.Allow() {
				continue
			}
			repeat = append(repeat, c.now)
			since := c.now.Add(-window)
			firsts := within(first, since.Add(-window/budgetSlots))
			if n := within(repeat, since); float64(n) > ratio*float64(firsts)+slack {
				r.Fatalf("%d repeats beside %d first tries", n, firsts)
			}
		}
	})
}

// within counts the instants after since.
func within(all []clock.Instant, since clock.Instant) int {
	n := 0
	for _, at := range all {
		if at.After(since) {
			n++
		}
	}
	return n
}
