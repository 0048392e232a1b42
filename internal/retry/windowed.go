package retry

import (
	"sync"
	"time"

	"chervilloom/internal/clock"
)

// WindowedBudget limits repeats over any time window to a ratio of the first tries in the
// window plus a fixed slack. All of them may be used at once: if an endpoint with thirty
// streams fails, all streams are repeated within a few milliseconds. A token bucket with
// the same mean rate had six repeats and left the other streams to their clients. It is
// safe for concurrent use.
type WindowedBudget struct {
	Clock  clock.Clock
	Window time.Duration
	Ratio  float64
	Slack  func() float64 // repeats per window allowed at any traffic

	mu      sync.Mutex
	firsts  slotCounts
	repeats slotCounts
}

// windowedSlots is the number of slots in a window. The oldest slot is counted
// completely, so up to a twentieth more than a window is covered.
const windowedSlots = 20

// slotCounts counts events in time slots.
type slotCounts struct {
	counts  [windowedSlots + 1]float64
	current int64 // number of the latest slot
}

// advance makes now the latest slot and clears expired ones.
func (s *slotCounts) advance(now int64) {
	for n := max(s.current+1, now-windowedSlots); n <= now; n++ {
		s.counts[n%int64(len(s.counts))] = 0
	}
	s.current = max(s.current, now)
}

func (s *slotCounts) add() { s.counts[s.current%int64(len(s.counts))]++ }

func (s *slotCounts) sum() float64 {
	n := 0.0
	for _, c := range s.counts {
		n += c
	}
	return n
}

func (w *WindowedBudget) advance() {
	now := int64(w.Clock.Now()) / int64(w.Window/windowedSlots)
	w.firsts.advance(now)
	w.repeats.advance(now)
}

// CountFirst counts the first try of a request.
func (w *WindowedBudget) CountFirst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.firsts.add()
}

// Allow consumes one repeat from the budget and reports whether one was available.
func (w *WindowedBudget) Allow() bool { return w.AllowKeeping(0) }

// AllowKeeping does the same but leaves a share of the budget unused.
func (w *WindowedBudget) AllowKeeping(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.repeats.sum()+1 > (1-share)*(w.Ratio*w.firsts.sum()+w.Slack()) {
		return false
	}
	w.repeats.add()
	return true
}
