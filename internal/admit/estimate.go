package admit

import (
	"math"
	"time"
)

const (
	// promptTokenCost is the cost of a prompt token in output tokens: engines
	// process a prompt in large batches and generate the answer token by token.
	promptTokenCost = 0.125
	// defaultAnswerTokens is the assumed length of an answer that the caller did
	// not limit, until such answers have been measured.
	defaultAnswerTokens = 256
	// sampleDecay gives the samples a memory of about the last hundred.
	sampleDecay = 0.99
	// minSamples is the number of answers before estimates cause refusals.
	minSamples = 8
)

// estimator estimates the duration of a request from its cost by linear regression
// over recent samples.
type estimator struct {
	n, x, y, xx, xy float64 // decayed sums over samples (cost, seconds)
	tokens          float64 // mean length of streams without a limit
	fixed, perCost  float64 // intercept and slope, seconds
}

// cost returns the expected work of a request in output tokens.
func (e *estimator) cost(promptTokens, maxTokens int) float64 {
	out := float64(maxTokens)
	if maxTokens <= 0 {
		out = e.tokens
		if out == 0 {
			out = defaultAnswerTokens
		}
	}
	return 1 + float64(promptTokens)*promptTokenCost + out
}

// addSample adds a completely answered request.
func (e *estimator) addSample(cost float64, total time.Duration) {
	y := total.Seconds()
	e.n = e.n*sampleDecay + 1
	e.x = e.x*sampleDecay + cost
	e.y = e.y*sampleDecay + y
	e.xx = e.xx*sampleDecay + cost*cost
	e.xy = e.xy*sampleDecay + cost*y
	e.fit()
}

// addLength adds the length of a stream without a limit.
func (e *estimator) addLength(tokens int) {
	if e.tokens == 0 {
		e.tokens = float64(tokens)
		return
	}
	e.tokens += (float64(tokens) - e.tokens) * (1 - sampleDecay) * 5
}

// fit computes the least-squares line. If the slope is not positive or the costs do
// not differ, the mean is the estimate for every cost.
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

// isReliable reports whether there are enough samples for an estimate.
func (e *estimator) isReliable() bool { return e.n >= minSamples*0.95 }

// serviceTime returns the expected time from admission to the complete answer,
// or 0 if not known.
func (e *estimator) serviceTime(cost float64) time.Duration {
	if !e.isReliable() {
		return 0
	}
	return time.Duration((e.fixed + e.perCost*cost) * float64(time.Second))
}

// drainRate returns the cost per second at which limit slots serve a queue, or
// +Inf if not known.
func (e *estimator) drainRate(limit float64) float64 {
	if !e.isReliable() || e.y == 0 {
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
