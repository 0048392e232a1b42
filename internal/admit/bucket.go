package admit

import (
	"time"

	"chervilloom/internal/clock"
)

// burstSeconds is how much of a rate cap may be used at once after a pause.
const burstSeconds = 2.0

// maxRetryAfter bounds the advice given to refused callers.
const maxRetryAfter = 60 * time.Second

// bucket is a token bucket whose rate may change at any time. It also books
// the times at which refused callers are told to come back, so that they come
// one by one and not all together.
type bucket struct {
	rate   float64 // tokens a second; 0: no cap
	tokens float64
	filled clock.Instant // when tokens was true
	booked clock.Instant // the latest time given to a refused caller
}

// setRate changes the rate. Tokens above the new burst are lost.
func (b *bucket) setRate(now clock.Instant, rate float64) {
	if b.rate == 0 && rate > 0 {
		b.tokens = burstOf(rate)
		b.filled = now
	}
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, burstOf(rate))
}

func burstOf(rate float64) float64 { return max(1, rate*burstSeconds) }

func (b *bucket) fill(now clock.Instant) {
	if now.After(b.filled) {
		b.tokens = min(burstOf(b.rate), b.tokens+b.rate*now.Sub(b.filled).Seconds())
		b.filled = now
	}
}

// has reports whether a token is there.
func (b *bucket) has(now clock.Instant) bool {
	if b.rate == 0 {
		return true
	}
	b.fill(now)
	return b.tokens >= 1
}

// take uses a token that has reported.
func (b *bucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// giveBack returns the token of a request that did not run after all.
func (b *bucket) giveBack() {
	if b.rate > 0 {
		b.tokens = min(burstOf(b.rate), b.tokens+1)
	}
}

// book returns when the next refused caller should come back: one token's
// time after the caller before it.
func (b *bucket) book(now clock.Instant) time.Duration {
	b.fill(now)
	first := now.Add(seconds((1 - b.tokens) / b.rate))
	next := b.booked.Add(seconds(1 / b.rate))
	b.booked = max(first, next)
	if d := b.booked.Sub(now); d < maxRetryAfter {
		return d
	}
	b.booked = now.Add(maxRetryAfter)
	return maxRetryAfter
}

func seconds(s float64) time.Duration {
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
