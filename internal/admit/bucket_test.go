package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Many callers of one organisation are refused at the same moment. Each is told
// a time of its own, a token's time after the one before, so that they do not
// all come back together and are refused again; and none is sent away for more
// than a minute.
func TestRefusedCallersComeOneByOne(t *testing.T) {
	is := is.New(t)
	now := simStart
	var b bucket
	b.setRate(now, 10)
	for range int(10 * burstSeconds) {
		is.True(b.has(now))
		b.take()
	}
	is.True(!b.has(now))
	for i := range 5 {
		is.Equal(b.book(now).Round(time.Millisecond), time.Duration(i+1)*100*time.Millisecond)
	}
	for range 10_000 {
		is.True(b.book(now) <= maxRetryAfter)
	}
	is.True(b.has(now.Add(100 * time.Millisecond)))
}

// A node's share of a cap shrinks. Tokens beyond the new burst are lost, and a
// cap that is very small lets one request through at a time all the same.
func TestBucketFollowsItsRate(t *testing.T) {
	is := is.New(t)
	now := simStart
	var b bucket
	is.True(b.has(now)) // no cap
	b.setRate(now, 100)
	is.Equal(b.tokens, 200.0)
	b.setRate(now, 1)
	is.Equal(b.tokens, 2.0)
	b.setRate(now, 0.01)
	is.Equal(b.tokens, 1.0)
	b.take()
	is.True(!b.has(now.Add(99 * time.Second)))
	is.True(b.has(now.Add(100 * time.Second)))
	b.giveBack()
	is.Equal(b.tokens, 1.0)
}

// The time of an answer grows with its cost; a fixed part and a part for each
// token are told apart, whatever the order of the samples.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	var e estimator
	is.Equal(e.service(100), time.Duration(0)) // nothing known: nobody is refused
	for i := range 200 {
		cost := float64(1 + (i*37)%400)
		e.sample(cost, 50*time.Millisecond+time.Duration(cost*float64(2*time.Millisecond)))
	}
	is.Equal(e.service(300).Round(time.Millisecond), 650*time.Millisecond)
	is.Equal(e.service(0).Round(time.Millisecond), 50*time.Millisecond)
	var same estimator
	for range 20 {
		same.sample(100, time.Second)
	}
	is.Equal(same.service(1000), time.Second) // costs that never differ tell nothing of others
}
