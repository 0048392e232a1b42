package quarantine

import (
	"time"

	"chervilloom/internal/clock"
)

// history counts the recent successful runs of each request at this node, in two generations.
type history struct {
	current, previous map[Fingerprint]int
	startedAt         clock.Instant // when current was started
}

// Bounds of a history. Of 4,200 requests a second each of 370 nodes sees 11: two generations of
// 2,048 cover the last 3 to 6 minutes. A request whose runs are older counts as one without
// successful runs.
const (
	maxHistory         = 2048
	generationLifetime = crashRetention / 2
)

func (h *history) add(fp Fingerprint, now clock.Instant) {
	if h.current == nil || len(h.current) >= maxHistory || now.Sub(h.startedAt) > generationLifetime {
		h.previous, h.current, h.startedAt = h.current, map[Fingerprint]int{}, now
	}
	h.current[fp]++
}

func (h *history) runs(fp Fingerprint) int { return h.current[fp] + h.previous[fp] }

// Durations of the quarantine.
const (
	// banDuration is how long a request is refused before a trial run: operators of the engines
	// need minutes to see what the request does, and each trial may crash an engine with
	// everything it serves.
	banDuration = 10 * time.Minute
	// banRetention is how long a ban is kept for which no trial was requested. After that the
	// request is treated as one that was never seen.
	banRetention = time.Hour
	// trialRetryPause is the minimum pause between two trial requests that a node makes for the
	// same request: another node may have the trial, or the store may be unavailable.
	trialRetryPause = 10 * time.Second
)
