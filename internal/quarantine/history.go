package quarantine

import (
	"time"

	"chervilloom/internal/clock"
)

// generations are entries of recent minutes in two generations: the older one is deleted when the
// newer one is full or has reached its lifetime.
type generations[K comparable, V any] struct {
	current, previous map[K]V
	startedAt         clock.Instant // when current was started
}

// Bounds of the generations. Of 4,200 requests a second each of 370 nodes sees 11: two generations of
// 2,048 requests cover the last 3 to 6 minutes. Prompts have far fewer parts that other requests
// share. What was last seen before counts as never seen.
const (
	maxHistory         = 2048 // entries of a generation
	generationLifetime = crashRetention / 2
)

// rotate starts a new generation if it is time.
func (g *generations[K, V]) rotate(now clock.Instant) {
	if g.current == nil || len(g.current) >= maxHistory || now.Sub(g.startedAt) > generationLifetime {
		g.previous, g.current, g.startedAt = g.current, map[K]V{}, now
	}
}

// history counts the recent successful runs of each request at this node.
type history struct {
	generations[Fingerprint, int]
}

func (h *history) add(fp Fingerprint, now clock.Instant) {
	h.rotate(now)
	h.current[fp]++
}

func (h *history) runs(fp Fingerprint) int { return h.current[fp] + h.previous[fp] }

// partHistory keeps the recent successful runs with each part of a prompt at this node.
type partHistory struct {
	generations[Part, partRuns]
}

type partRuns struct {
	runs   int
	lastAt clock.Instant
}

func (h *partHistory) add(p Part, now clock.Instant) {
	h.rotate(now)
	h.current[p] = partRuns{h.current[p].runs + 1, now}
}

// successes returns the recent successful runs with the part.
func (h *partHistory) successes(p Part, now clock.Instant) PartSuccesses {
	older, newer := h.previous[p], h.current[p]
	runs := older.runs + newer.runs
	if runs == 0 {
		return PartSuccesses{}
	}
	return PartSuccesses{runs, now.Sub(max(older.lastAt, newer.lastAt)).Milliseconds()}
}

// Durations of the quarantine.
const (
	// banDuration is how long a request is refused before a trial run: operators of the engines
	// need minutes to see what the request does, and each trial may crash an engine with
	// everything it serves.
	banDuration = 10 * time.Minute
	// firstPartTrial and secondPartTrial replace banDuration before the first two trial runs of a
	// part that was sound before: if it is found by mistake, many requests are refused.
	firstPartTrial  = 10 * time.Second
	secondPartTrial = 2 * time.Minute
	// banRetention is how long a ban is kept for which no trial was requested. After that the
	// request is treated as one that was never seen.
	banRetention = time.Hour
	// trialRetryPause is the minimum pause between two trial requests that a node makes for the
	// same request: another node may have the trial, or the store may be unavailable.
	trialRetryPause = 10 * time.Second
)
