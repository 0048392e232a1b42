package retryafter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
)

const start = clock.Instant(time.Hour)

// request returns a request with six seconds left at start.
func request(key string, level int) Request {
	return Request{Key: key, Level: level, Deadline: start.Add(6 * time.Second)}
}

// Guards against clients that are refused for the same time and return together, and against less
// urgent requests that return before more urgent ones.
func TestRefusedRequestsReturnAtTheRateOfFreeSlots(t *testing.T) {
	is := is.New(t)
	var q Queue
	const rate, middle = 10, 0.5
	for i := range 5 {
		got := q.Refuse(start, request(fmt.Sprint("late", i), 1), rate, middle)
		is.Equal(got, time.Duration(i+1)*100*time.Millisecond)
	}
	is.Equal(q.Refuse(start, request("urgent", 0), rate, middle), 100*time.Millisecond)
	is.Equal(q.Refuse(start, request("late", 1), rate, middle), 700*time.Millisecond)
	is.Equal(q.Refuse(start, request("last", 2), rate, 0), 600*time.Millisecond) // 800 ms less the jitter
	later := start.Add(time.Second)                                              // all of them have returned
	is.Equal(q.Refuse(later, request("new", 1), rate, middle), 100*time.Millisecond)
}

// Guards against a client that gains by a retry before its time, and against one that loses its
// place by waiting.
func TestEarlyRetryLosesItsPlace(t *testing.T) {
	is := is.New(t)
	var q Queue
	const rate, middle = 10, 0.5
	for _, key := range []string{"a", "b", "c", "d"} {
		q.Refuse(start, request(key, 1), rate, middle)
	}
	now := start.Add(10 * time.Millisecond)
	is.True(q.IsEarly(now, request("b", 1)))
	is.Equal(q.Refuse(now, request("b", 1), rate, middle), 400*time.Millisecond) // after c and d
	is.Equal(q.Refuse(now, request("d", 1), rate, middle), 400*time.Millisecond) // no earlier than it was asked to: after a, c and b
	now = start.Add(100 * time.Millisecond)
	is.True(!q.IsEarly(now, request("a", 1)))
	is.Equal(q.Refuse(now, request("a", 1), rate, middle), 100*time.Millisecond) // still the oldest
	other := request("c", 1)
	other.Deadline = other.Deadline.Add(time.Second)
	is.True(!q.IsEarly(now, other)) // an equal request of another client
}

// Guards, for any refusals, against delays beyond their limits and against state that grows.
func TestDelaysAndStateAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			left := time.Duration(rapid.IntRange(0, 8000).Draw(t, "left")) * time.Millisecond
			r := Request{Key: rapid.StringMatching("[a-e]").Draw(t, "key"), Level: rapid.IntRange(0, 9).Draw(t, "level"), Deadline: now.Add(left)}
			got := q.Refuse(now, r, rapid.Float64Range(0, 100).Draw(t, "rate"), rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			if got < MinDelay || got > max(MinDelay, left/3) {
				t.Fatalf("%v with %v left", got, left)
			}
		}
		if len(q.entries) > maxEntries {
			t.Fatalf("%d entries", len(q.entries))
		}
	})
	var q Queue
	for i := range 10 * maxEntries {
		q.Refuse(start, request(fmt.Sprint(i), 0), 1, 0.5)
	}
	if len(q.entries) != maxEntries {
		t.Errorf("%d entries", len(q.entries))
	}
}

// Guards against a request that is refused although it may be served in time.
func TestOnlyUnservableRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	is.True(!IsUnservable(0, time.Millisecond)) // no prediction
	is.True(!IsUnservable(2*time.Second, time.Second))
	is.True(IsUnservable(2*time.Second+1, time.Second))
}
