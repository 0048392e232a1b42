package retry

import (
	"sync"
	"time"

	"chervilloom/internal/clock"
)

// WindowedBudget limits the repeats that a VM sends in any time window to a ratio of the first
// tries in the window plus a slack. The ratio is counted in a window, so that all of its repeats
// may be used at once: if an endpoint with thirty streams fails, all streams are repeated within
// a few milliseconds. A token bucket with the same mean rate had six repeats and left the other
// streams to their clients.
//
// A process doesn't know what the previous one on its VM has sent. The repeats of the ratio are
// earned by first tries that this process has counted. Those of the slack come from a bucket that
// is empty at the start of the process; its capacity and what it gains in a window add up to the slack, for any
// number of processes one after the other. It is safe for concurrent use.
type WindowedBudget struct {
	Clock  clock.Clock
	Window time.Duration
	Ratio  float64
	// Since is when this process started.
	Since clock.Instant
	// Slack returns the VM's repeats per window beyond the ratio; 0: its share isn't known.
	Slack func() float64

	mu        sync.Mutex
	firsts    slotCounts
	repeats   slotCounts // taken from the ratio
	slackLeft slackBucket
}

// Grant tells whether a repeat is allowed, and from which part of the budget.
type Grant int

// The grants.
const (
	Denied Grant = iota
	FromRatio
	FromSlack
)

func (g Grant) String() string {
	switch g {
	case FromRatio:
		return "ratio"
	case FromSlack:
		return "slack"
	}
	return "denied"
}

// slackBurstShare is the share of the slack that may be used at once. The rest is gained over a
// window.
const slackBurstShare = 0.5

// slackBucket is the token bucket of the slack.
type slackBucket struct {
	tokens     float64
	refilledAt clock.Instant
}

// refill adds the tokens gained since the last call, or since the process started, up to the
// capacity.
func (b *slackBucket) refill(now, started clock.Instant, slack float64, window time.Duration) {
	from := max(b.refilledAt, started)
	gained := (1 - slackBurstShare) * slack * now.Sub(from).Seconds() / window.Seconds()
	b.tokens, b.refilledAt = min(slackBurstShare*slack, b.tokens+gained), now
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

func (s *slotCounts) add(n float64) { s.counts[s.current%int64(len(s.counts))] += n }

func (s *slotCounts) sum() float64 {
	n := 0.0
	for _, c := range s.counts {
		n += c
	}
	return n
}

// advance moves the window and the bucket to the present.
func (w *WindowedBudget) advance() {
	now := w.Clock.Now()
	slot := int64(now) / int64(w.Window/windowedSlots)
	w.firsts.advance(slot)
	w.repeats.advance(slot)
	w.slackLeft.refill(now, w.Since, w.Slack(), w.Window)
}

// CountFirst counts the first try of a request.
func (w *WindowedBudget) CountFirst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.firsts.add(1)
}

// Allow consumes one repeat from the budget and reports whether one was available.
func (w *WindowedBudget) Allow() bool { return w.Take(0) != Denied }

// Take consumes one repeat but leaves a share of each part of the budget unused. What the ratio
// lacks for a whole repeat is taken from the slack: in a large fleet a node's share of it is less
// than one.
func (w *WindowedBudget) Take(keep float64) Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	earned := (1-keep)*w.Ratio*w.firsts.sum() - w.repeats.sum()
	fromRatio := max(0, min(1, earned))
	fromSlack := 1 - fromRatio
	if fromSlack == 0 {
		w.repeats.add(1)
		return FromRatio
	}
	if w.slackLeft.tokens-fromSlack < keep*slackBurstShare*w.Slack() {
		return Denied
	}
	w.repeats.add(fromRatio)
	w.slackLeft.tokens -= fromSlack
	return FromSlack
}
