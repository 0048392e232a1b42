package engine

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Bound of the past loads that are kept for the lag.
const loadsKept = 8192

// loadPoint is the load from an instant on.
type loadPoint struct {
	at   clock.Instant
	load fleet.Load
}

// loadHistory shows the load as it was a while ago. It is not safe for
// concurrent use.
type loadHistory struct {
	lag      time.Duration
	sequence uint64
	past     []loadPoint
}

// record notes the load from now on.
func (h *loadHistory) record(now clock.Instant, l fleet.Load) {
	h.sequence++
	l.Sequence = h.sequence
	h.past = append(h.past, loadPoint{at: now, load: l})
	h.prune(now)
}

// prune keeps the point that is shown now and those after it.
func (h *loadHistory) prune(now clock.Instant) {
	shown := h.index(now)
	if over := len(h.past) - loadsKept; over > shown {
		shown = over
	}
	if shown > len(h.past)/2 {
		h.past = append([]loadPoint(nil), h.past[shown:]...)
	}
}

// index returns the newest point that is at least lag old, or the first.
func (h *loadHistory) index(now clock.Instant) int {
	i := 0
	for i+1 < len(h.past) && now.Sub(h.past[i+1].at) >= h.lag {
		i++
	}
	return i
}

// at returns the report that is shown now. Its age is that of the moment it
// describes.
func (h *loadHistory) at(now clock.Instant) fleet.Load {
	p := h.past[h.index(now)]
	l := p.load
	l.AgeMillis = min(now.Sub(p.at), h.lag).Milliseconds()
	return l
}
