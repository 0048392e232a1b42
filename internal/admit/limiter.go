package admit

// limiter is a pool's concurrency limit.
type limiter struct {
	limit float64
}

// resize takes the slots of a new plan.
func (l *limiter) resize(c *Pool) {
	l.limit = max(1, c.Share)
	if c.Total == 0 {
		l.limit = 0
	}
}
