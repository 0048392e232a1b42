package route

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	historySlots = 128
	historyStep  = 50 * time.Millisecond
)

// history remembers how many requests were in flight over the last 6.4 s, so
// that this node's own share can be taken out of a report that lags.
type history struct {
	step  int64 // of the newest slot; 0: nothing yet
	slots [historySlots]int16
}

func stepOf(at clock.Instant) int64 { return int64(at) / int64(historyStep) }

// set records that n are in flight from now on; before is the number until now.
func (h *history) set(now clock.Instant, before, n int) {
	step := stepOf(now)
	from := max(h.step+1, step-historySlots+1)
	for s := from; s <= step; s++ {
		h.slots[s%historySlots] = int16(before)
	}
	h.step = max(h.step, step)
	h.slots[h.step%historySlots] = int16(n)
}

// at returns the number in flight at an instant; present is the number now. An
// instant that is older than the history is answered with its oldest slot.
func (h *history) at(when clock.Instant, present int) int {
	step := stepOf(when)
	if step >= h.step {
		return present
	}
	step = max(step, h.step-historySlots+1, 0)
	return int(h.slots[step%historySlots])
}
