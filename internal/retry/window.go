package retry

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	windowSlots = 10
	windowStep  = time.Second
)

// window counts results of the last ten seconds.
type window struct {
	step  int64 // of the newest slot
	slots [windowSlots]tally
}

type tally struct{ good, bad uint32 }

func (w *window) add(now clock.Instant, bad bool) {
	w.advance(now)
	t := &w.slots[w.step%windowSlots]
	if bad {
		t.bad++
		return
	}
	t.good++
}

// advance empties the slots that have become too old.
func (w *window) advance(now clock.Instant) {
	step := int64(now) / int64(windowStep)
	for s := max(w.step+1, step-windowSlots+1); s <= step; s++ {
		w.slots[s%windowSlots] = tally{}
	}
	w.step = max(w.step, step)
}

// rate returns the share of bad results and the number of all.
func (w *window) rate(now clock.Instant) (float64, int) {
	w.advance(now)
	var sum tally
	for _, t := range w.slots {
		sum.good += t.good
		sum.bad += t.bad
	}
	n := sum.good + sum.bad
	if n == 0 {
		return 0, 0
	}
	return float64(sum.bad) / float64(n), int(n)
}
