package quarantine

import (
	"context"
	"time"

	"chervilloom/internal/clock"
)

// Thresholds for a suspect. Over all nodes only one run of it is made at a time until one
// succeeds or it is found harmful: simultaneous client attempts would otherwise each crash one
// more endpoint before the first crash is known.
const (
	// minSuspectCrashes is the number of crashes without another explanation that a request must
	// have seen over at least minSuspectAttempts client attempts.
	minSuspectCrashes  = 2
	minSuspectAttempts = 2
	// minSuspectCrashesOneAttempt is the number that suffices for a single client attempt.
	minSuspectCrashesOneAttempt = 3
)

// Durations for a suspect.
const (
	// suspectRunTimeout is the time without a result after which another run may be made: the
	// node that made the run may have crashed.
	suspectRunTimeout = 2 * time.Second
	// suspectRetryAfter is the retry time sent to a client whose request met another run.
	suspectRetryAfter = 500 * time.Millisecond
	// suspectRunWait is how long a request waits for the run of a suspect that is in flight.
	suspectRunWait = 300 * time.Millisecond
	// suspectRetention is how long a suspect without further crashes is kept.
	suspectRetention = time.Minute
)

// Suspects returns the requests to be limited to one run at a time, without those for which
// isKnownHarmful is true.
func (t *Tally) Suspects(isKnownHarmful func(Fingerprint) bool, isHarmfulPart func(Part) bool) []Verdict {
	found := foundSet{requests: map[Fingerprint]bool{}, isPart: isHarmfulPart}
	for fp := range t.byFingerprint {
		if isKnownHarmful(fp) {
			found.requests[fp] = true
		}
	}
	var out []Verdict
	for fp, ev := range t.byFingerprint {
		if found.requests[fp] || len(ev.crashes) < minSuspectCrashes || ev.isHarmless() {
			continue
		}
		own := t.unexplainedCrashes(fp, found)
		v := Verdict{Fingerprint: fp, Crashes: len(own), Attempts: len(ev.attempts), Suspect: true}
		if isSuspicious(v) && own[len(own)-1].at.After(ev.releasedAt) {
			out = append(out, v)
		}
	}
	return out
}

func isSuspicious(v Verdict) bool {
	return v.Crashes >= minSuspectCrashesOneAttempt || v.Crashes >= minSuspectCrashes && v.Attempts >= minSuspectAttempts
}

// Release removes the request from the suspects until it sees another crash.
func (t *Tally) Release(fp Fingerprint, now clock.Instant) {
	if ev := t.byFingerprint[fp]; ev != nil {
		ev.releasedAt = now
	}
}

// awaitRun waits until the run of a suspect that is in flight ends, deadline passes or ctx ends.
func (g *Guard) awaitRun(ctx context.Context, fp Fingerprint, deadline clock.Instant) {
	g.mu.Lock()
	b, now := g.bans[fp], g.Clock.Now()
	if b == nil || !b.Suspect || b.isTrialDue(now) {
		g.mu.Unlock()
		return
	}
	wait := min(deadline.Sub(now), suspectRunTimeout-now.Sub(b.trialRequestedAt))
	changed := b.changed
	g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// release ends the suspicion against a request at all nodes, and reports whether it was a
// suspect.
func (g *Guard) release(fp Fingerprint, reason string) bool {
	if !g.clearSuspect(fp, reason) {
		return false
	}
	g.Broadcast(Message{Node: g.Node, Released: []Fingerprint{fp}})
	if g.DeletePersisted != nil {
		g.DeletePersisted(fp)
	}
	return true
}

// clearSuspect ends the suspicion at this node only, and reports whether the request was a
// suspect.
func (g *Guard) clearSuspect(fp Fingerprint, reason string) bool {
	g.mu.Lock()
	g.tally.Release(fp, g.Clock.Now())
	b := g.bans[fp]
	if b == nil || !b.Suspect {
		g.mu.Unlock()
		return false
	}
	g.remove(fp)
	g.releasedAt[fp] = g.Clock.Now()
	g.mu.Unlock()
	g.Log.Info("request is no longer a suspect", "fingerprint", fp, "reason", reason)
	return true
}
