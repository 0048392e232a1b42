package retry

import "time"

// Backoff computes retry delays with decorrelated jitter: each wait is drawn between Base
// and three times the previous wait. Requests that failed together are not retried
// together.
type Backoff struct {
	Base time.Duration // minimum wait; default 5ms
	Max  time.Duration // maximum wait; default 500ms
}

const (
	defaultBase  = 5 * time.Millisecond
	defaultMost  = 500 * time.Millisecond
	jitterFactor = 3
)

func (b Backoff) withDefaults() Backoff {
	setDefault(&b.Base, defaultBase)
	setDefault(&b.Max, defaultMost)
	return b
}

// Next returns the wait that follows last (0 for the first retry). draw must be uniform
// in [0, 1).
func (b Backoff) Next(last time.Duration, draw float64) time.Duration {
	b = b.withDefaults()
	upper := min(jitterFactor*max(last, b.Base), b.Max)
	return min(b.Base+time.Duration(draw*float64(upper-b.Base)), b.Max)
}
