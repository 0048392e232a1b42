package quarantine

import (
	"context"
	"maps"
	"time"

	"chervilloom/internal/clock"
)

// ban is the quarantine state of one request, or of all requests with a part of the prompt: refused
// at every node, or, for a suspect, limited to one run at a time.
type ban struct {
	Verdict
	since            clock.Instant // when this node learnt of the verdict or of the newest trial run
	trialRequestedAt clock.Instant // when a node last requested the trial run, as far as this node knows; 0: never
	hasTrial         bool          // this node makes the trial run
	successes        successCounts // successful runs reported since the ban began
	persisted        bool          // the request has a row in the platform's table
	missingSince     clock.Instant // when the row was first missing from a reading; 0: it is present
	changed          chan struct{} // closed when a suspect is found harmful or released
}

// isTrialDue reports whether a trial run of the request may be requested.
func (b *ban) isTrialDue(now clock.Instant) bool {
	if b.Suspect {
		return b.trialRequestedAt == 0 || now.Sub(b.trialRequestedAt) > suspectRunTimeout
	}
	return now.Sub(b.since) > b.trialDelay() && (b.trialRequestedAt == 0 || now.Sub(b.trialRequestedAt) > trialRetryPause)
}

// trialDelay is how long the request, or all with the part, are refused before the next trial run.
func (v Verdict) trialDelay() time.Duration {
	switch {
	case v.Part == "" || v.Successes == 0 || v.Trials > 1:
		return banDuration
	case v.Trials == 1:
		return secondPartTrial
	}
	return firstPartTrial
}

const (
	// maxBans bounds the bans; the oldest is evicted first. One page of the store lists that
	// many rows in addition to those of 200 nodes.
	maxBans = 256
	// maxSuspects bounds the suspects among them, so that they cannot evict requests that were
	// found harmful. More suspects at once result from the loss of many endpoints.
	maxSuspects = 64
	// missingRowTimeout is how long a row must be missing before its ban counts as lifted: nodes
	// pass on readings that are up to 2.2 s old.
	missingRowTimeout = 5 * time.Second
	// lateFindingWindow is how long after a lift an earlier finding may still arrive.
	lateFindingWindow = time.Second
)

// acquireTrial requests the single trial run of a suspect, or of a request whose ban has run its
// time. An error is also logged.
func (g *Guard) acquireTrial(ctx context.Context, b *ban, v Verdict) (granted bool, err error) {
	v.Trials++
	granted, err = g.AcquireTrial(ctx, v)
	if err != nil {
		g.Log.Info("request trial could not be acquired", "suspect", v.Suspect, "fingerprint", v.Fingerprint, "err", err)
	}
	if !granted {
		return false, err
	}
	g.mu.Lock()
	b.Verdict, b.since, b.hasTrial = v, g.Clock.Now(), true
	g.mu.Unlock()
	g.Log.Info("quarantined request is tried", "suspect", v.Suspect, "fingerprint", v.Fingerprint, "part", v.Part, "ends", v.Crashes, "tries", v.Trials)
	return true, nil
}

// RunSucceeded records a successful run. It releases a suspect, lifts a ban whose trial run this
// was, and otherwise reports the runs of a banned request to the other nodes.
func (g *Guard) RunSucceeded(fp Fingerprint, parts ...Part) {
	now := g.Clock.Now()
	g.mu.Lock()
	g.history.add(fp, now)
	for _, p := range parts {
		g.partHistory.add(p, now)
	}
	b, runs := g.bans[fp], g.history.runs(fp)
	tried := b != nil && b.hasTrial
	suspect := b != nil && b.Suspect
	g.mu.Unlock()
	switch {
	case suspect:
		g.release(fp, "a run of it succeeded")
	case tried:
		g.lift(fp, "a run of it succeeded")
	case b != nil:
		g.reportSuccesses(fp, runs)
	}
	for _, banned := range g.bannedParts(parts) {
		g.lift(banned, "a run of a request with it succeeded")
	}
}

// reportSuccesses sends the number of this node's successful runs of a harmful request. Many
// clients may send the same request all day, and some of these nodes have seen none of its
// crashes.
func (g *Guard) reportSuccesses(fp Fingerprint, runs int) {
	m := Message{Node: g.Node, Successes: &SuccessfulRuns{fp, runs}}
	g.Receive(m)
	g.SendToTalliers(m)
}

// answerQuery reports the successful runs of the request at this node, if there are any.
func (g *Guard) answerQuery(fp Fingerprint) {
	g.mu.Lock()
	runs := g.history.runs(fp)
	g.mu.Unlock()
	if runs > 0 {
		g.reportSuccesses(fp, runs)
	}
}

// answerPartQuery reports the successful runs with the part at this node, if there are any.
func (g *Guard) answerPartQuery(p Part) {
	g.mu.Lock()
	s := g.partHistory.successes(p, g.Clock.Now())
	g.mu.Unlock()
	if s.Runs > 0 {
		m := Message{Node: g.Node, PartSuccesses: &PartReport{p, s}}
		g.Receive(m)
		g.SendToTalliers(m)
	}
}

// ApplyPersisted applies the verdicts that were read from the platform's table. A ban whose row was
// present and stays missing for missingRowTimeout was lifted by another node.
func (g *Guard) ApplyPersisted(persisted []Verdict) {
	now := g.Clock.Now()
	present := map[Fingerprint]bool{}
	for _, v := range persisted {
		if g.isOutdated(v, now) {
			continue
		}
		present[v.Fingerprint] = true
		g.ban(v, "kept")
	}
	var missing []Fingerprint
	g.mu.Lock()
	for fp, b := range g.bans {
		switch {
		case present[fp]:
			b.persisted, b.missingSince = true, 0
		case b.persisted && b.missingSince == 0:
			b.missingSince = now
		case b.persisted && now.Sub(b.missingSince) > missingRowTimeout:
			missing = append(missing, fp)
		}
	}
	g.mu.Unlock()
	for _, fp := range missing {
		const reason = "its row is gone from the table"
		if !g.clearSuspect(fp, reason) {
			g.unban(fp, reason)
		}
	}
}

// isOutdated reports whether a verdict that was read is older than what this node knows: the
// request has since been found harmful, released, or lifted.
func (g *Guard) isOutdated(persisted Verdict, now clock.Instant) bool {
	if g.wasLiftedWithin(persisted.Fingerprint, missingRowTimeout, now) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !persisted.Suspect {
		return false
	}
	releasedAt, released := g.releasedAt[persisted.Fingerprint]
	return g.isFoundHarmful(persisted.Fingerprint) || released && now.Sub(releasedAt) < missingRowTimeout
}

// wasLiftedWithin reports whether the request's ban was lifted less than d ago.
func (g *Guard) wasLiftedWithin(fp Fingerprint, d time.Duration, now clock.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, lifted := g.liftedAt[fp]
	return lifted && now.Sub(at) < d
}

// IsQuarantined reports whether the request is refused here or is a suspect.
func (g *Guard) IsQuarantined(fp Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bans[fp] != nil
}

// TableRestored marks all bans as not persisted, so that they are written again. It is called after
// the platform's table was restored from an older copy: the rows are gone although nobody has
// lifted the bans.
func (g *Guard) TableRestored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.bans {
		b.persisted, b.missingSince = false, 0
	}
}

// Banned is a ban with its age, and whether it has a row in the platform's table.
type Banned struct {
	Verdict
	Age       time.Duration
	Persisted bool
}

// IsExpired reports whether the ban has expired and its row is to be deleted.
func (b Banned) IsExpired() bool { return b.Age > b.retention() }

// retention is how long a ban is kept if no trial run is requested.
func (v Verdict) retention() time.Duration {
	if v.Suspect {
		return suspectRetention
	}
	return banRetention
}

// Banned returns all bans, suspects included.
func (g *Guard) Banned() []Banned {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Banned, 0, len(g.bans))
	for _, b := range g.bans {
		out = append(out, Banned{b.Verdict, now.Sub(b.since), b.persisted})
	}
	return out
}

// ban refuses a request from now on or, if v is a suspect, limits it to one run at a time.
// source is logged: "tally", "kept" or the name of the node that sent the verdict.
func (g *Guard) ban(v Verdict, source string) {
	now := g.Clock.Now()
	g.mu.Lock()
	b := g.bans[v.Fingerprint]
	if b != nil && b.Suspect == v.Suspect || b != nil && v.Suspect {
		if b.Suspect == v.Suspect && v.Trials > b.Trials {
			b.Verdict, b.since, b.trialRequestedAt = v, now, now // another node makes the trial run
		}
		g.mu.Unlock()
		return
	}
	if v.Suspect && g.countSuspects() >= maxSuspects {
		g.mu.Unlock()
		return
	}
	if b == nil && len(g.bans) >= maxBans {
		g.evictOldest()
	}
	g.remove(v.Fingerprint)
	g.bans[v.Fingerprint] = &ban{Verdict: v, since: now, successes: successCounts{}, changed: make(chan struct{})}
	if v.Part != "" {
		g.partBans[v.Part] = v.Fingerprint
	}
	runs := g.history.runs(v.Fingerprint)
	g.mu.Unlock()
	switch {
	case v.Part != "":
		g.metrics.foundParts.Inc()
		g.Log.Warn("prompt part is quarantined", "part", v.Part, "fingerprint", v.Fingerprint, "ends", v.Crashes, "requests", v.Attempts,
			"successes", v.Successes, "source", source, "for_ms", v.trialDelay().Milliseconds())
	case v.Suspect:
		g.metrics.suspects.Inc()
		g.Log.Info("request is limited to one run at a time", "fingerprint", v.Fingerprint, "ends", v.Crashes, "attempts", v.Attempts, "source", source)
		g.keepOneRun(v)
	default:
		g.metrics.found.Inc()
		g.Log.Warn("request is quarantined", "fingerprint", v.Fingerprint, "ends", v.Crashes, "attempts", v.Attempts, "source", source, "for_ms", banDuration.Milliseconds())
	}
	if runs > 0 {
		g.reportSuccesses(v.Fingerprint, runs)
	}
}

// remove deletes a ban and wakes the requests that wait for its change. g.mu is held.
func (g *Guard) remove(fp Fingerprint) {
	if b := g.bans[fp]; b != nil {
		close(b.changed)
		delete(g.bans, fp)
		delete(g.partBans, b.Part)
	}
}

// countSuspects returns the number of requests that are limited to one run at a time.
func (g *Guard) countSuspects() int {
	n := 0
	for _, b := range g.bans {
		if b.Suspect {
			n++
		}
	}
	return n
}

func (g *Guard) evictOldest() {
	var oldest Fingerprint
	for fp, b := range g.bans {
		if o := g.bans[oldest]; o == nil || b.since.Before(o.since) {
			oldest = fp
		}
	}
	g.remove(oldest)
}

// lift ends the ban of a request at all nodes.
func (g *Guard) lift(fp Fingerprint, reason string) {
	if !g.unban(fp, reason) {
		return
	}
	g.Broadcast(Message{Node: g.Node, Lifted: []Fingerprint{fp}})
	if g.DeletePersisted != nil {
		g.DeletePersisted(fp)
	}
}

// unban ends the ban at this node only, and reports whether there was one.
func (g *Guard) unban(fp Fingerprint, reason string) bool {
	g.mu.Lock()
	b := g.bans[fp]
	g.remove(fp)
	g.tally.Clear(fp)
	if b != nil && b.Part != "" {
		g.tally.ClearPart(b.Part)
	}
	g.liftedAt[fp] = g.Clock.Now()
	g.mu.Unlock()
	if b != nil {
		g.logLifted(b, reason)
	}
	return b != nil
}

func (g *Guard) logLifted(b *ban, reason string) {
	if b.Part != "" {
		g.Log.Info("prompt part is quarantined no more", "part", b.Part, "fingerprint", b.Fingerprint, "reason", reason)
		return
	}
	g.Log.Info("request is quarantined no more", "fingerprint", b.Fingerprint, "reason", reason)
}

// removeExpired deletes the expired bans that have no row, and old entries of releasedAt and
// liftedAt.
func (g *Guard) removeExpired(now clock.Instant) {
	for fp, b := range g.bans {
		if !b.persisted && now.Sub(b.since) > b.retention() {
			g.remove(fp)
			g.logLifted(b, "it has expired")
		}
	}
	for _, times := range []map[Fingerprint]clock.Instant{g.releasedAt, g.liftedAt} {
		maps.DeleteFunc(times, func(_ Fingerprint, at clock.Instant) bool { return now.Sub(at) > missingRowTimeout })
	}
}
