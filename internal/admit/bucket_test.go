package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Many callers of an organisation are refused at the same time. Their retry times
// must be one token interval apart, so that they do not return together and get
// refused again. No retry delay may exceed a minute.
func TestRetryTimesAreSpacedByTokenInterval(t *testing.T) {
	is := is.New(t)
	now := simStart
	var b bucket
	b.setRate(now, 10)
	for range int(10 * burstSeconds) {
		is.True(b.hasToken(now))
		b.take()
	}
	is.True(!b.hasToken(now))
	for i := range 5 {
		is.Equal(b.nextRetryAfter(now).Round(time.Millisecond), time.Duration(i+1)*100*time.Millisecond)
	}
	for range 10_000 {
		is.True(b.nextRetryAfter(now) <= maxRetryAfter)
	}
	is.True(b.hasToken(now.Add(100 * time.Millisecond)))
}

// A node's share of a cap shrinks. Tokens above the new burst size are dropped, and
// even a very low cap admits one request at a time.
func TestBucketAdaptsToRateChange(t *testing.T) {
	is := is.New(t)
	now := simStart
	var b bucket
	is.True(b.hasToken(now)) // no cap
	b.setRate(now, 100)
	is.Equal(b.tokens, 200.0)
	b.setRate(now, 1)
	is.Equal(b.tokens, 2.0)
	b.setRate(now, 0.01)
	is.Equal(b.tokens, 1.0)
	b.take()
	is.True(!b.hasToken(now.Add(99 * time.Second)))
	is.True(b.hasToken(now.Add(100 * time.Second)))
	b.refund()
	is.Equal(b.tokens, 1.0)
}

// The duration of an answer grows linearly with its cost. The fixed part and the
// part per token must be separated for any order of the samples.
func TestEstimatorFitsServiceTime(t *testing.T) {
	is := is.New(t)
	var e estimator
	is.Equal(e.serviceTime(100), time.Duration(0)) // no samples yet: refuses nobody
	for i := range 200 {
		cost := float64(1 + (i*37)%400)
		e.addSample(cost, 50*time.Millisecond+time.Duration(cost*float64(2*time.Millisecond)))
	}
	is.Equal(e.serviceTime(300).Round(time.Millisecond), 650*time.Millisecond)
	is.Equal(e.serviceTime(0).Round(time.Millisecond), 50*time.Millisecond)
	var same estimator
	for range 20 {
		same.addSample(100, time.Second)
	}
	is.Equal(same.serviceTime(1000), time.Second) // equal costs give no estimate for other costs
}
