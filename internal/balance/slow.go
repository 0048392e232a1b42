package balance

import (
	"math"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// recentGap is this node's average time between the events of a stream over the last few events.
type recentGap struct {
	average time.Duration
	updated clock.Instant
}

const (
	// recentGapSmoothing is the number of events over which recentGap follows a change. A node of
	// a large fleet has one to three streams at a head; with gapSmoothing it would notice a group
	// that became 12 times slower only after more than ten seconds.
	recentGapSmoothing = 4
	// minOpenGap is the wait from which a stream's pending event counts as a gap. A shorter one is
	// usual after a stream's first event.
	minOpenGap = 150 * time.Millisecond
	// signalLifetime is how long a gap or pace from the board is valid if no further board arrives.
	signalLifetime = 2 * time.Second
	// gapRetention is how long a gap is valid while boards arrive but no node measures a newer one. A
	// slow group without streams gets a trial request a second on average; with signalLifetime,
	// every seventh pause between two trials would expose the group to all requests.
	gapRetention = 10 * time.Second
	// gapResolution is the unit to which reported gaps are rounded, in ms, so that boards need not
	// repeat heads whose gap varies by less.
	gapResolution = 5
)

func (g *recentGap) add(d time.Duration, now clock.Instant) {
	if g.updated == 0 || now.Sub(g.updated) >= gapLifetime+d {
		g.average = d
	}
	g.average += (d - g.average) / recentGapSmoothing
	g.updated = now
}

// at returns the gap as of now; 0: unknown. While started streams wait for their next event for
// longer than the average, the gap is at least as long as the wait.
func (g *recentGap) at(r *record, now clock.Instant) time.Duration {
	gap := time.Duration(0)
	if g.updated != 0 && now.Sub(g.updated) < gapLifetime {
		gap = g.average
	}
	if wait := now.Sub(r.lastSign); r.startedStreams > 0 && wait >= minOpenGap {
		gap = max(gap, wait)
	}
	return gap
}

// roundGap returns the gap in ms for a report, rounded up to gapResolution.
func roundGap(gap time.Duration) int {
	ms := int(gap.Milliseconds())
	return (ms + gapResolution - 1) / gapResolution * gapResolution
}

// reportedGap returns the zone's gap, or this node's own if the board has none, and the load at
// which it was measured. load is the present load, and boardAt when a board last arrived.
func (r *record) reportedGap(now clock.Instant, load float64, boardAt clock.Instant) (time.Duration, float64) {
	age := now.Sub(r.zoneGapAt)
	if r.zoneGapAt != 0 && (age < signalLifetime || age < gapRetention && now.Sub(boardAt) < signalLifetime) {
		return r.zoneGap, r.zoneGapLoad
	}
	return r.recentGap.at(r, now), load
}

func (r *record) reportedPace(now clock.Instant) float64 {
	if r.paceAt != 0 && now.Sub(r.paceAt) < signalLifetime {
		return r.pace
	}
	return 1
}

// trialInterval is the mean interval between two trial requests of a zone's nodes at a slow
// endpoint.
const trialInterval = time.Second

// TrialDue reports whether this node should send a request to a slow endpoint, to find out whether
// it has recovered. The nodes of a zone decide independently, at a rate that makes one request per
// trialInterval of all of them together. draw is a random number in [0, 1).
func (t *Tracker) TrialDue(id roster.ID, nodes int, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, now := t.record(id), t.Clock.Now()
	since := time.Duration(0)
	if r.trialCheckedAt != 0 {
		since = min(now.Sub(r.trialCheckedAt), trialInterval)
	}
	r.trialCheckedAt = now
	return draw < -math.Expm1(-float64(since)/float64(trialInterval)/float64(max(1, nodes)))
}
