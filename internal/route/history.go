package route

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	historySlots = 128
	historyStep  = 50 * time.Millisecond
)

// history records the number of requests in flight over the last 6.4 s, so that
// this node's own requests can be subtracted from a lagging report.
type history struct {
	newestStep int64 // of the newest slot; 0 if empty
	slots      [historySlots]int16
}

func stepOf(t clock.Instant) int64 { return int64(t) / int64(historyStep) }

// record sets the number in flight from now on to n; before is the number until
// now.
func (h *history) record(now clock.Instant, before, n int) {
	step := stepOf(now)
	from := max(h.newestStep+1, step-historySlots+1)
	for s := from; s <= step; s++ {
		h.slots[s%historySlots] = int16(before)
	}
	h.newestStep = max(h.newestStep, step)
	h.slots[h.newestStep%historySlots] = int16(n)
}

// at returns the number in flight at an instant; present is the current number.
// For an instant before the recorded period it returns the oldest slot.
func (h *history) at(when clock.Instant, present int) int {
	step := stepOf(when)
	if step >= h.newestStep {
		return present
	}
	step = max(step, h.newestStep-historySlots+1, 0)
	return int(h.slots[step%historySlots])
}
