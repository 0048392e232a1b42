package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// Thresholds for finding a part of the prompt harmful. All requests with such a part crash their
// endpoints, while those with any other part of the same prompts also succeed, unless that part
// is never used without the harmful one.
const (
	// minPartCrashes is the number of crashes that the part must have seen, and minPartRequests the
	// number of different requests with it at these crashes.
	minPartCrashes  = 4
	minPartRequests = 2
	// maxMissedPerSeen bounds the crashes without the part between its first and its last one, per
	// crash with it: while many endpoints crash for other reasons, a rarely used part may see several.
	maxMissedPerSeen = 2
	// minCrashesPerSuccess is the number of crashes for each recent successful run, and as many more,
	// from which a part counts as hardly ever sound. A short answer may be complete before its
	// endpoint crashes.
	minCrashesPerSuccess = 4
	// manyAttemptsPerCrash is the mean number of client attempts with the part at a crash from
	// which it counts as widely used: a harmful part crashes the endpoint under the first of them.
	manyAttemptsPerCrash = 3
	// minTurnedCrashes and minTurnedRequests are the numbers of crashes and of different requests
	// since the latest successful run for a part that was sound before. A request may crash four
	// endpoints, and requests may come seconds apart: a fourth one would come too late.
	minTurnedCrashes  = 8
	minTurnedRequests = 3
	// turnedGrace is how long before the latest successful run the crashes are counted from: a run that
	// began before the part turned harmful may succeed after its first crashes.
	turnedGrace = 500 * time.Millisecond
	// turnedCrashesFactor is how many times the crashes of a part that was hardly ever sound one
	// that was sound before must have seen to be the more likely cause of them.
	turnedCrashesFactor = 2
	// maxPartsPerCrash bounds the parts that are remembered for a crash.
	maxPartsPerCrash = 128
	// maxPartsPerRun bounds the parts of a request that are reported.
	maxPartsPerRun = 8
)

// partPresence is what ran with a part at an endpoint when it crashed.
type partPresence struct {
	requests []Fingerprint // the requests with the part
	attempts []uint32      // their client attempts
}

// partEvidence is the evidence on a part that has seen a crash.
type partEvidence struct {
	part          Part
	depth         int
	crashes       []*crash
	successes     successCounts
	lastSuccessAt clock.Instant // the latest successful run that a node has reported; 0: none
}

// addParts records the parts of a run at a crash.
func (t *Tally) addParts(node string, c *crash, r Run, now clock.Instant) {
	for _, p := range r.Parts {
		presence := c.parts[p.Part]
		if presence == nil && len(c.parts) >= maxPartsPerCrash {
			continue
		}
		ev := t.byPart[p.Part]
		if ev == nil {
			ev = &partEvidence{part: p.Part, successes: successCounts{}}
			t.byPart[p.Part] = ev
		}
		if presence == nil {
			presence = &partPresence{}
			c.parts[p.Part] = presence
			ev.crashes = append(ev.crashes, c)
		}
		if !slices.Contains(presence.requests, r.Fingerprint) {
			presence.requests = append(presence.requests, r.Fingerprint)
		}
		if !slices.Contains(presence.attempts, r.Attempt) {
			presence.attempts = append(presence.attempts, r.Attempt)
		}
		ev.depth = max(ev.depth, p.Depth)
		ev.recordSuccesses(node, p.PartSuccesses, now)
	}
}

func (e *partEvidence) recordSuccesses(node string, s PartSuccesses, now clock.Instant) {
	if s.Runs == 0 {
		return
	}
	e.successes.record(node, s.Runs)
	e.lastSuccessAt = max(e.lastSuccessAt, now.Add(-time.Duration(s.AgeMs)*time.Millisecond))
}

// RecordPartSuccesses records the successful runs of a part at a node.
func (t *Tally) RecordPartSuccesses(node string, p Part, s PartSuccesses, now clock.Instant) {
	if ev := t.byPart[p]; ev != nil {
		ev.recordSuccesses(node, s, now)
	}
}

// removeFromParts removes an evicted crash from the evidence on parts.
func (t *Tally) removeFromParts(old *crash) {
	for p := range old.parts {
		ev := t.byPart[p]
		ev.crashes = slices.DeleteFunc(ev.crashes, func(c *crash) bool { return c == old })
		if len(ev.crashes) == 0 {
			delete(t.byPart, p)
		}
	}
}

// ClearPart removes a part from all crashes, so that its count starts again.
func (t *Tally) ClearPart(p Part) {
	if ev := t.byPart[p]; ev != nil {
		for _, c := range ev.crashes {
			delete(c.parts, p)
		}
		delete(t.byPart, p)
	}
}

// partCase is a part with the crashes that speak against it.
type partCase struct {
	*partEvidence
	own       []*crash
	wasSound  bool // it has had successful runs, or is widely used; own are the crashes since shortly before the latest one
	succeeded int  // number of successful runs
}

// JudgeParts returns the parts that are found harmful, without those for which isKnownHarmful is
// true. foundRequests reports requests that were found harmful as a whole: their crashes are no
// evidence against parts that were only at some of them.
func (t *Tally) JudgeParts(isKnownHarmful func(Part) bool, foundRequests func(Fingerprint) bool) []Verdict {
	found := map[Part]bool{}
	isHarmful := func(p Part) bool { return found[p] || isKnownHarmful(p) }
	var out []Verdict
	for {
		cases := t.partCases(isHarmful, t.findCulprits(isHarmful, foundRequests))
		i := slices.IndexFunc(cases, func(c partCase) bool { return t.isProven(c) && !isBlocked(c, cases) })
		if i < 0 {
			return out
		}
		c := cases[i]
		found[c.part] = true
		out = append(out, Verdict{
			Fingerprint: c.part.Fingerprint(), Part: c.part, Crashes: len(c.own), Attempts: c.countRequests(), Successes: c.succeeded,
		})
	}
}

// culprits are the harmful parts and requests that were running at each crash.
type culprits struct {
	parts    map[*crash][]Part
	requests map[*crash][]*requestEvidence
}

func (t *Tally) findCulprits(isHarmful func(Part) bool, foundRequests func(Fingerprint) bool) culprits {
	out := culprits{map[*crash][]Part{}, map[*crash][]*requestEvidence{}}
	for p, ev := range t.byPart {
		if isHarmful(p) {
			for _, c := range ev.crashes {
				out.parts[c] = append(out.parts[c], p)
			}
		}
	}
	for fp, ev := range t.byFingerprint {
		if foundRequests(fp) {
			for _, c := range ev.crashes {
				out.requests[c] = append(out.requests[c], ev)
			}
		}
	}
	return out
}

// explain reports whether another harmful part was present at the crash, or a harmful request that
// has also crashed an endpoint without the part. One that never did may have been found by mistake,
// because of the part.
func (k culprits) explain(c *crash, p Part) bool {
	if slices.ContainsFunc(k.parts[c], func(other Part) bool { return other != p }) {
		return true
	}
	return slices.ContainsFunc(k.requests[c], func(ev *requestEvidence) bool {
		return slices.ContainsFunc(ev.crashes, func(o *crash) bool { return o.parts[p] == nil })
	})
}

// partCases returns the parts that may be harmful, first those that were hardly ever sound, then
// those with the most crashes.
func (t *Tally) partCases(isHarmful func(Part) bool, known culprits) []partCase {
	var cases []partCase
	for p, ev := range t.byPart {
		if len(ev.crashes) < minPartCrashes-1 || isHarmful(p) {
			continue
		}
		c := partCase{partEvidence: ev, succeeded: ev.successes.sum()}
		c.wasSound = !isHardlySound(c.succeeded, len(ev.crashes))
		if !c.wasSound {
			c.own = t.unexplainedPartCrashes(ev, known, 0)
			c.wasSound = !isHardlySound(c.succeeded, len(c.own)) || c.countAttempts() >= manyAttemptsPerCrash*len(c.own)
		}
		if c.wasSound {
			c.own = t.unexplainedPartCrashes(ev, known, ev.lastSuccessAt.Add(-turnedGrace))
		}
		if len(c.own) > 0 {
			cases = append(cases, c)
		}
	}
	slices.SortFunc(cases, func(a, b partCase) int {
		if a.wasSound != b.wasSound {
			if b.wasSound {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.own), len(a.own)), cmp.Compare(a.part, b.part))
	})
	return cases
}

// isHardlySound reports whether a part with these numbers of successful runs and crashes was hardly
// ever sound.
func isHardlySound(successes, crashes int) bool {
	return successes == 0 || minCrashesPerSuccess*(successes+1) <= crashes
}

// countAttempts counts the client attempts with the part at its crashes.
func (c partCase) countAttempts() int {
	n := 0
	for _, o := range c.own {
		n += len(o.parts[c.part].attempts)
	}
	return n
}

// isProven reports whether the crashes suffice to find the part harmful, if no other part is.
func (t *Tally) isProven(c partCase) bool {
	requests := c.countRequests()
	if c.wasSound {
		return len(c.own) >= minTurnedCrashes && requests >= minTurnedRequests
	}
	return requests >= minPartRequests && len(c.own) >= minPartCrashes &&
		t.countMissedByPart(c) <= maxMissedPerSeen*len(c.own)
}

// isBlocked reports whether another part explains the crashes better.
func isBlocked(c partCase, cases []partCase) bool {
	return slices.ContainsFunc(cases, func(other partCase) bool {
		if other.wasSound && !c.wasSound && len(other.own) < turnedCrashesFactor*len(c.own) {
			return false
		}
		return other.explainsBetter(c)
	})
}

// countRequests returns the number of different requests with the part at its crashes.
func (c partCase) countRequests() int {
	requests := map[Fingerprint]bool{}
	for _, o := range c.own {
		for _, fp := range o.parts[c.part].requests {
			requests[fp] = true
		}
	}
	return len(requests)
}

// explainsBetter reports whether the part is more likely the cause of the other one's crashes: it was
// at most of them and has seen more, or it has seen the same and has had fewer successful runs or
// is the more specific part of the prompt.
func (c partCase) explainsBetter(other partCase) bool {
	if c.part == other.part || len(c.own) == 0 {
		return false
	}
	shared, present := 0, 0
	for _, o := range other.own {
		if slices.Contains(c.own, o) {
			shared++
		}
		if o.parts[c.part] != nil {
			present++
		}
	}
	if c.wasSound && other.wasSound {
		return 2*shared >= len(other.own) && isMost(present, len(other.own)) && c.isLikelierTurned(other)
	}
	if !isMost(shared, len(other.own)) {
		return false
	}
	if !isMost(shared, len(c.own)) {
		return true
	}
	return cmp.Or(cmp.Compare(c.succeeded, other.succeeded), cmp.Compare(other.depth, c.depth), cmp.Compare(c.part, other.part)) < 0
}

// isLikelierTurned reports whether the part is more likely than another one to have turned harmful: it has
// seen more crashes since its successful runs, or is the more specific part of the prompt. How often the
// parts were used before says nothing. Crashes before a success count for its presence, since the other's
// successes may be older.
func (c partCase) isLikelierTurned(other partCase) bool {
	if len(c.own) > len(other.own) {
		return true
	}
	return cmp.Or(cmp.Compare(other.depth, c.depth), cmp.Compare(len(other.own), len(c.own)), cmp.Compare(c.part, other.part)) < 0
}

// isMost reports whether n is most of some crashes.
func isMost(n, of int) bool { return 4*n >= 3*of }

// unexplainedPartCrashes returns the part's crashes after a time, without those that the culprits
// explain and those that belong to the same loss as another one.
func (t *Tally) unexplainedPartCrashes(ev *partEvidence, known culprits, after clock.Instant) []*crash {
	var own []*crash
	attempts := func(o *crash) []uint32 { return o.partAttempts(ev.part) }
	for _, c := range ev.crashes {
		if c.at.After(after) && !known.explain(c, ev.part) && !t.isSameLoss(attempts, c, own) {
			own = append(own, c)
		}
	}
	return own
}

// partAttempts returns the client attempts with the part at the crash, nil if there was none.
func (c *crash) partAttempts(p Part) []uint32 {
	if presence := c.parts[p]; presence != nil {
		return presence.attempts
	}
	return nil
}

// countMissedByPart counts the crashes without the part between its first and its last one.
func (t *Tally) countMissedByPart(c partCase) int {
	first, last := c.own[0].at, c.own[len(c.own)-1].at
	between := func(crashes []*crash) int {
		n := 0
		for _, o := range crashes {
			if o.at.After(first) && o.at.Before(last) {
				n++
			}
		}
		return n
	}
	return between(t.order) - between(c.crashes)
}
