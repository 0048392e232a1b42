package retry

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	windowSlots = 10
	windowStep  = time.Second
)

// resultWindow counts the results of the last ten seconds.
type resultWindow struct {
	currentStep int64 // number of the latest slot
	slots       [windowSlots]resultCount
}

type resultCount struct{ succeeded, failed uint32 }

func (w *resultWindow) add(now clock.Instant, failed bool) {
	w.advance(now)
	t := &w.slots[w.currentStep%windowSlots]
	if failed {
		t.failed++
		return
	}
	t.succeeded++
}

// advance clears the slots that have expired.
func (w *resultWindow) advance(now clock.Instant) {
	step := int64(now) / int64(windowStep)
	for s := max(w.currentStep+1, step-windowSlots+1); s <= step; s++ {
		w.slots[s%windowSlots] = resultCount{}
	}
	w.currentStep = max(w.currentStep, step)
}

// rate returns the share of failures and the number of results.
func (w *resultWindow) rate(now clock.Instant) (float64, int) {
	w.advance(now)
	var sum resultCount
	for _, t := range w.slots {
		sum.succeeded += t.succeeded
		sum.failed += t.failed
	}
	n := sum.succeeded + sum.failed
	if n == 0 {
		return 0, 0
	}
	return float64(sum.failed) / float64(n), int(n)
}
