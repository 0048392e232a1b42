package entry

import (
	"sync"
	"time"

	"chervilloom/internal/clock"
)

// recentPeak is the largest of the values that were observed within one to two windows. It is safe
// for concurrent use.
type recentPeak struct {
	mu     sync.Mutex
	period int64 // number of the present period, each as long as a window
	// largest values of the present period and the one before
	current, previous int
}

// observe adds a value and returns the peak.
func (p *recentPeak) observe(value int, now clock.Instant, window time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch period := int64(now) / int64(window); period - p.period {
	case 0:
	case 1:
		p.period, p.previous, p.current = period, p.current, 0
	default:
		p.period, p.previous, p.current = period, 0, 0
	}
	p.current = max(p.current, value)
	return max(p.current, p.previous)
}
