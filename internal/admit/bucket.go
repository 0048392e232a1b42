package admit

import (
	"time"

	"chervilloom/internal/clock"
)

// burstSeconds is the burst size of a rate cap, in seconds of the rate.
const burstSeconds = 2.0

// maxRetryAfter limits the retry delay given to refused callers.
const maxRetryAfter = 60 * time.Second

// bucket is a token bucket whose rate may change at any time. It also assigns
// retry times to refused callers, so that they return one at a time.
type bucket struct {
	rate        float64 // tokens per second; 0: no cap
	tokens      float64
	lastFill    clock.Instant // when tokens was last updated
	lastRetryAt clock.Instant // latest assigned retry time
}

// setRate changes the rate. Tokens above the new burst size are dropped.
func (b *bucket) setRate(now clock.Instant, rate float64) {
	if b.rate == 0 && rate > 0 {
		b.tokens = burstSize(rate)
		b.lastFill = now
	}
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, burstSize(rate))
}

func burstSize(rate float64) float64 { return max(1, rate*burstSeconds) }

func (b *bucket) fill(now clock.Instant) {
	if now.After(b.lastFill) {
		b.tokens = min(burstSize(b.rate), b.tokens+b.rate*now.Sub(b.lastFill).Seconds())
		b.lastFill = now
	}
}

// hasToken refills the bucket and reports whether a token is available.
func (b *bucket) hasToken(now clock.Instant) bool {
	if b.rate == 0 {
		return true
	}
	b.fill(now)
	return b.tokens >= 1
}

// take removes a token that hasToken has reported as available.
func (b *bucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// refund returns the token of a request that did not run.
func (b *bucket) refund() {
	if b.rate > 0 {
		b.tokens = min(burstSize(b.rate), b.tokens+1)
	}
}

// nextRetryAfter returns the retry delay of the next refused caller: one token
// interval after the previous one.
func (b *bucket) nextRetryAfter(now clock.Instant) time.Duration {
	b.fill(now)
	first := now.Add(retryDuration((1 - b.tokens) / b.rate))
	next := b.lastRetryAt.Add(retryDuration(1 / b.rate))
	b.lastRetryAt = max(first, next)
	if d := b.lastRetryAt.Sub(now); d < maxRetryAfter {
		return d
	}
	b.lastRetryAt = now.Add(maxRetryAfter)
	return maxRetryAfter
}

// retryDuration converts s to a duration of at most maxRetryAfter.
func retryDuration(s float64) time.Duration {
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
