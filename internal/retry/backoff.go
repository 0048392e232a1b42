package retry

import "time"

// Backoff spreads retries in time with decorrelated jitter: each wait is drawn
// between the base and three times the one before. Requests that failed at the
// same moment do not come back at the same moment.
type Backoff struct {
	Base time.Duration // least wait; default 5ms
	Most time.Duration // largest wait; default 500ms
}

const (
	defaultBase = 5 * time.Millisecond
	defaultMost = 500 * time.Millisecond
	growth      = 3
)

func (b Backoff) withDefaults() Backoff {
	setDefault(&b.Base, defaultBase)
	setDefault(&b.Most, defaultMost)
	return b
}

// Next returns the wait that follows last (0: none before). draw is uniform in
// [0, 1).
func (b Backoff) Next(last time.Duration, draw float64) time.Duration {
	b = b.withDefaults()
	top := min(growth*max(last, b.Base), b.Most)
	return min(b.Base+time.Duration(draw*float64(top-b.Base)), b.Most)
}
