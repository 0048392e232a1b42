package admit

import (
	"math"
	"time"
)

const (
	// promptWeight is the cost of a prompt token in output tokens: engines read
	// a prompt in large batches and write an answer token by token.
	promptWeight = 0.125
	// unboundedTokens is the length taken for an answer that the caller did not
	// bound, until answers have been seen.
	unboundedTokens = 256
	// sampleDecay forgets all but about the last hundred samples.
	sampleDecay = 0.99
	// minSamples is how many answers are seen before estimates refuse anybody.
	minSamples = 8
)

// estimator learns how long a request of a given cost takes, as a line fitted
// to the newest samples.
type estimator struct {
	n, x, y, xx, xy float64 // decayed sums over samples (cost, seconds)
	tokens          float64 // mean length of streams whose caller gave no bound
	fixed, perCost  float64 // the line, seconds
}

// cost returns the expected work of a request in output tokens.
func (e *estimator) cost(promptTokens, maxTokens int) float64 {
	out := float64(maxTokens)
	if maxTokens <= 0 {
		out = e.tokens
		if out == 0 {
			out = unboundedTokens
		}
	}
	return 1 + float64(promptTokens)*promptWeight + out
}

// sample takes a request that was answered whole.
func (e *estimator) sample(cost float64, total time.Duration) {
	y := total.Seconds()
	e.n = e.n*sampleDecay + 1
	e.x = e.x*sampleDecay + cost
	e.y = e.y*sampleDecay + y
	e.xx = e.xx*sampleDecay + cost*cost
	e.xy = e.xy*sampleDecay + cost*y
	e.fit()
}

// length takes the length of a stream whose caller gave no bound.
func (e *estimator) length(tokens int) {
	if e.tokens == 0 {
		e.tokens = float64(tokens)
		return
	}
	e.tokens += (float64(tokens) - e.tokens) * (1 - sampleDecay) * 5
}

// fit solves the least squares. A slope that is not positive, or costs that do
// not differ, leave the mean as the estimate for every cost.
func (e *estimator) fit() {
	mean := e.y / e.n
	e.fixed, e.perCost = mean, 0
	spread := e.n*e.xx - e.x*e.x
	if spread <= 1e-9*e.n*e.xx {
		return
	}
	slope := (e.n*e.xy - e.x*e.y) / spread
	if slope <= 0 {
		return
	}
	fixed := (e.y - slope*e.x) / e.n
	if fixed < 0 {
		slope, fixed = e.xy/e.xx, 0
	}
	e.fixed, e.perCost = fixed, slope
}

// known reports whether enough answers were seen.
func (e *estimator) known() bool { return e.n >= minSamples*0.95 }

// service returns the expected time from admission to the whole answer; 0 when
// not known.
func (e *estimator) service(cost float64) time.Duration {
	if !e.known() {
		return 0
	}
	return time.Duration((e.fixed + e.perCost*cost) * float64(time.Second))
}

// drain returns how much cost per second leaves a queue that is served by
// limit slots; +Inf when not known.
func (e *estimator) drain(limit float64) float64 {
	if !e.known() || e.y == 0 {
		return math.Inf(1)
	}
	return limit * e.x / e.y
}

// meanCost returns the mean cost of the newest samples.
func (e *estimator) meanCost() float64 {
	if e.n == 0 {
		return 0
	}
	return e.x / e.n
}
