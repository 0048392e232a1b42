package engine

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// maxLoadPoints bounds the load points that are kept to report the load with a lag.
const maxLoadPoints = 8192

// loadPoint is the load that applies from an instant on.
type loadPoint struct {
	at   clock.Instant
	load fleet.Load
}

// loadHistory reports the load as it was lag ago. It is not safe for concurrent use.
type loadHistory struct {
	lag      time.Duration
	sequence uint64 // of the newest point
	points   []loadPoint
}

// record adds l as the load from now on.
func (h *loadHistory) record(now clock.Instant, l fleet.Load) {
	h.sequence++
	l.Sequence = h.sequence
	h.points = append(h.points, loadPoint{at: now, load: l})
	h.prune(now)
}

// prune drops the points before the one that is reported now, and the oldest ones
// beyond maxLoadPoints. It copies only when more than half of the points are dropped.
func (h *loadHistory) prune(now clock.Instant) {
	reported := h.reportedIndex(now)
	if over := len(h.points) - maxLoadPoints; over > reported {
		reported = over
	}
	if reported > len(h.points)/2 {
		h.points = append([]loadPoint(nil), h.points[reported:]...)
	}
}

// reportedIndex returns the index of the newest point that is at least lag old, or 0.
func (h *loadHistory) reportedIndex(now clock.Instant) int {
	i := 0
	for i+1 < len(h.points) && now.Sub(h.points[i+1].at) >= h.lag {
		i++
	}
	return i
}

// reportAt returns the load report at now. Its age is the time since the moment that the
// report describes, at most lag.
func (h *loadHistory) reportAt(now clock.Instant) fleet.Load {
	p := h.points[h.reportedIndex(now)]
	l := p.load
	l.AgeMillis = min(now.Sub(p.at), h.lag).Milliseconds()
	return l
}
