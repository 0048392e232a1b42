package retry

import (
	"sync"
	"time"

	"chervilloom/internal/clock"
)

// Windowed allows repeats up to a bound over any window of time: a ratio of the
// first tries in the window, and a slack beside it. All of it may be taken at once.
// When an endpoint with thirty streams is lost they all go on elsewhere within a
// few milliseconds; a bucket that is filled at the same mean rate held six repeats
// and left the other streams to their clients. It is safe for concurrent use.
type Windowed struct {
	Clock  clock.Clock
	Window time.Duration
	Ratio  float64
	Slack  func() float64 // repeats in a window that are allowed at any traffic

	mu     sync.Mutex
	first  slotCounts
	repeat slotCounts
}

// budgetSlots is how many slots a window is counted in. The oldest slot counts
// whole, so at most a twentieth more than a window is looked at.
const budgetSlots = 20

// slotCounts counts events by the time in which they fell.
type slotCounts struct {
	count [budgetSlots + 1]float64
	at    int64 // number of the newest slot
}

// move makes now the newest slot.
func (s *slotCounts) move(now int64) {
	for n := max(s.at+1, now-budgetSlots); n <= now; n++ {
		s.count[n%int64(len(s.count))] = 0
	}
	s.at = max(s.at, now)
}

func (s *slotCounts) add() { s.count[s.at%int64(len(s.count))]++ }

func (s *slotCounts) sum() float64 {
	n := 0.0
	for _, c := range s.count {
		n += c
	}
	return n
}

func (w *Windowed) move() {
	now := int64(w.Clock.Now()) / int64(w.Window/budgetSlots)
	w.first.move(now)
	w.repeat.move(now)
}

// First counts a request's first try.
func (w *Windowed) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.move()
	w.first.add()
}

// Allow takes one repeat from the budget and reports whether there was one.
func (w *Windowed) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.move()
	if w.repeat.sum()+1 > w.Ratio*w.first.sum()+w.Slack() {
		return false
	}
	w.repeat.add()
	return true
}
