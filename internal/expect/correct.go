package expect

import (
	"math"
	"sync"
	"time"
)

// Correction is what has been learnt from the predictions of one model: the natural logarithm of
// the factor by which they are too low. The zero value corrects nothing.
type Correction float64

const (
	// maxCorrection is the largest factor, and its inverse the smallest. A prediction that is
	// further off is wrong for a reason that other requests do not share, such as a group that
	// turned slow.
	maxCorrection = 1.5
	// correctionRate is the share of a prediction's error that is corrected at once, and
	// maxCorrectionStep limits it, so that a few requests at groups that hang hardly count: the
	// correction follows the middle of the errors, not their mean.
	correctionRate    = 0.05
	maxCorrectionStep = 0.01
)

// Observe returns the correction after a prediction, which is not corrected, and what was
// observed.
func (c Correction) Observe(predicted, observed time.Duration) Correction {
	if predicted <= 0 || observed <= 0 {
		return c
	}
	step := correctionRate * (math.Log(float64(observed)/float64(predicted)) - float64(c))
	step = max(-maxCorrectionStep, min(maxCorrectionStep, step))
	bound := Correction(math.Log(maxCorrection))
	return max(-bound, min(bound, c+Correction(step)))
}

// Factor returns the factor for predictions.
func (c Correction) Factor() float64 { return math.Exp(float64(c)) }

// Corrector holds the corrections of all models. Its zero value is ready for use.
type Corrector struct {
	mu     sync.Mutex
	models map[string]Correction
}

// Observe records the time to the first event that was predicted, without a correction, and
// observed at a group of the model.
func (c *Corrector) Observe(model string, predicted, observed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.models == nil {
		c.models = map[string]Correction{}
	}
	c.models[model] = c.models[model].Observe(predicted, observed)
}

// Factor returns the factor by which predictions of the time to the first event are to be
// multiplied.
func (c *Corrector) Factor(model string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.models[model].Factor()
}
