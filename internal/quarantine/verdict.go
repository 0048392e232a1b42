package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// Thresholds for finding a request harmful. Every request that shared an endpoint with the
// harmful one has seen that crash too; what distinguishes the harmful one is that it was present
// at all crashes while the others missed some.
const (
	// minHarmfulCrashes is how many crashes a request must have seen. The platform's bound
	// starts with the third: from 3 s after it at most three more runs are allowed.
	minHarmfulCrashes = 3
	// minHarmfulAttempts is how many client attempts must have seen a crash. A stream that is
	// resumed after a crash and meets the next one at the same endpoint as the harmful request
	// is still a single attempt.
	minHarmfulAttempts = 2
	// conclusiveAttempts is how many client attempts distinguish a harmful request at once from
	// one whose client merely retried. With only two attempts minCrashesFewAttempts crashes are
	// required, a number that a route which lets a request run twice never reaches.
	conclusiveAttempts    = 3
	minCrashesFewAttempts = 5
	// minSeenPerMissed is the minimum ratio of crashes seen to crashes missed when there are
	// only two attempts.
	minSeenPerMissed = 8
	// minMissedByOthers is how many of its crashes each other request must have missed. Streams
	// that move together from one crash to the next share all but a few of them; a harmful
	// request that returns without them gets ahead by its retries.
	minMissedByOthers = 2
	// manyCrashes is the number of crashes from which it suffices that the others missed one: a
	// request that a client sends many times at once may be at most of the endpoints for seconds.
	manyCrashes = 8
	// settleTime is the time after the third crash after which other requests are no longer
	// compared: those that moved along with the harmful one have finished by then.
	settleTime = 2 * time.Second
	// maxSuccessesPerCrash is how many successful runs are allowed for each crash. A request
	// that crashes every other endpoint is found; one that many clients repeat all day and that
	// sees an occasional crash is not.
	maxSuccessesPerCrash = 3
	// minRateRatio is how many times as often for each crash a request must have succeeded as another one
	// that is the likelier cause of their common crashes.
	minRateRatio = 2
	// massLossWindow is the time within which crashes count as one loss if most of them were
	// without the request. The loss of a rack or a zone, or a release, stops many endpoints at
	// once, and a request that clients repeat at once may have been at several of them.
	massLossWindow = 100 * time.Millisecond
	// massLossCrashes is the number of simultaneous crashes from which settleTime alone proves
	// nothing.
	massLossCrashes = 4
)

// Verdict states that a request crashes the endpoints that run it, or is suspected of it, and
// the evidence.
type Verdict struct {
	Fingerprint Fingerprint `json:"f"`
	Crashes     int         `json:"ends"`     // crashes that it has seen and that no other request explains
	Attempts    int         `json:"attempts"` // client attempts that saw a crash
	// Trials is the number of trial runs that were granted since the finding.
	Trials int `json:"tries,omitempty"`
	// Suspect is set if the request is not found harmful but limited to one run at a time.
	Suspect bool `json:"suspect,omitempty"`
	// Part is set if the verdict is on all requests with this part of the prompt. Attempts then
	// counts the requests, and Successes the recent successful runs with the part.
	Part      Part `json:"part,omitempty"`
	Successes int  `json:"successes,omitempty"`
}

// Judge returns the requests that are found harmful at now, without those for which
// isKnownHarmful is true. A crash under one of these, under one that is found earlier in the same
// call or under a harmful part is no evidence against the other requests that were there.
func (t *Tally) Judge(isKnownHarmful func(Fingerprint) bool, isHarmfulPart func(Part) bool, now clock.Instant) []Verdict {
	found := foundSet{requests: map[Fingerprint]bool{}, isPart: isHarmfulPart}
	var undecided []Fingerprint
	for fp, ev := range t.byFingerprint {
		switch {
		case isKnownHarmful(fp):
			found.requests[fp] = true
		case len(ev.crashes) >= minHarmfulCrashes:
			undecided = append(undecided, fp)
		}
	}
	// The request with the most crashes first: its crashes then explain those of the others.
	slices.SortFunc(undecided, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(t.byFingerprint[b].crashes), len(t.byFingerprint[a].crashes)), cmp.Compare(a, b))
	})
	var out []Verdict
	for _, fp := range undecided {
		if v, harmful := t.judgeRequest(fp, found, now); harmful {
			out = append(out, v)
			found.requests[fp] = true
		}
	}
	return out
}

func (s *requestEvidence) isHarmless() bool { return s.successes.isHarmless(len(s.crashes)) }

// successCounts is the number of recent successful runs of a request, by the node that reports
// them.
type successCounts map[string]int

func (c successCounts) record(node string, runs int) { c[node] = max(c[node], runs) }

// isHarmless reports whether the request succeeded too often to be the cause of that many
// crashes.
func (c successCounts) isHarmless(crashes int) bool {
	return c.sum() > maxSuccessesPerCrash*crashes
}

func (c successCounts) sum() int {
	n := 0
	for _, runs := range c {
		n += runs
	}
	return n
}

// judgeRequest weighs the crashes of one request that no request in found explains.
func (t *Tally) judgeRequest(fp Fingerprint, found foundSet, now clock.Instant) (Verdict, bool) {
	ev := t.byFingerprint[fp]
	own := t.unexplainedCrashes(fp, found)
	if ev.successes.sum() > 0 && !isSettled(own) {
		own = t.withoutLikelier(fp, own)
	}
	v := Verdict{Fingerprint: fp, Crashes: len(own), Attempts: len(ev.attempts)}
	if v.Crashes < minHarmfulCrashes || v.Attempts < minHarmfulAttempts || ev.isHarmless() {
		return v, false
	}
	if now.Sub(own[minHarmfulCrashes-1].at) > settleTime && !t.hasMassLoss(own) && !t.isExplainedByUnproven(ev, fp, own) {
		return v, true // requests that moved along with it have finished
	}
	if v.Attempts < conclusiveAttempts && v.Crashes < minCrashesFewAttempts {
		return v, false
	}
	settled := isSettled(own)
	if !settled && v.Attempts < conclusiveAttempts && minSeenPerMissed*t.countMissed(fp, own) > v.Crashes {
		return v, false
	}
	margin := minMissedByOthers
	if settled || v.Crashes >= manyCrashes {
		margin = 1
	}
	return v, t.allOthersMissed(fp, own, margin)
}

// isSettled reports whether the request saw a crash later than settleTime after the third one.
func isSettled(own []*crash) bool {
	return len(own) > minHarmfulCrashes && own[len(own)-1].at.Sub(own[minHarmfulCrashes-1].at) > settleTime
}

// unexplainedCrashes returns the crashes that the request has seen, without those that a harmful
// request explains and those that belong to the same loss as another one.
func (t *Tally) unexplainedCrashes(fp Fingerprint, found foundSet) []*crash {
	attempts := func(c *crash) []uint32 { return c.runs[fp] }
	ev := t.byFingerprint[fp]
	var own []*crash
	for _, c := range ev.crashes {
		if !t.isExplained(c, found, len(ev.crashes)) && !t.isSameLoss(attempts, c, own) {
			own = append(own, c)
		}
	}
	return own
}

// foundSet is what is known to crash endpoints.
type foundSet struct {
	requests map[Fingerprint]bool
	isPart   func(Part) bool
}

// isExplained reports whether a harmful part was present at the crash, or a harmful request that
// has seen at least as many crashes as the judged one. A request that has seen more is judged by
// itself.
func (t *Tally) isExplained(c *crash, found foundSet, crashes int) bool {
	for p := range c.parts {
		if found.isPart(p) {
			return true
		}
	}
	for other := range c.runs {
		if found.requests[other] && len(t.byFingerprint[other].crashes) >= crashes {
			return true
		}
	}
	return false
}

// isExplainedByUnproven reports whether another request that never succeeded was at all the crashes,
// or parts of other prompts that never did were at each of them, while the judged request did succeed:
// they may be the cause although too little is known of them yet.
func (t *Tally) isExplainedByUnproven(ev *requestEvidence, fp Fingerprint, own []*crash) bool {
	if ev.successes.sum() == 0 {
		return false
	}
	everywhere := func(isAt func(*crash) bool) bool {
		return !slices.ContainsFunc(own, func(c *crash) bool { return !isAt(c) })
	}
	for other := range own[0].runs {
		if other != fp && t.byFingerprint[other].successes.sum() == 0 && everywhere(func(c *crash) bool { return c.runs[other] != nil }) {
			return true
		}
	}
	return everywhere(func(c *crash) bool { return t.hasUnprovenPart(c, fp) })
}

// withoutLikelier returns the crashes without those at which a likelier cause was: another request, or a
// part of other prompts, that succeeded less and would be a suspect by these crashes alone. Two harmful
// requests that aren't found yet have been at all crashes of a body that all clients send.
func (t *Tally) withoutLikelier(fp Fingerprint, own []*crash) []*crash {
	ev := t.byFingerprint[fp]
	judged := successRate{ev.successes.sum(), len(ev.crashes)}
	requests, parts := map[Fingerprint]*sharedCrashes{}, map[Part]*sharedCrashes{}
	for _, c := range own {
		for other, attempts := range c.runs {
			ev := t.byFingerprint[other]
			if other != fp && judged.isHigher(successRate{ev.successes.sum(), len(ev.crashes)}) {
				addShared(requests, other, attempts)
			}
		}
		for p, presence := range c.parts {
			ev := t.byPart[p]
			if !slices.Contains(presence.requests, fp) && judged.isHigher(successRate{ev.successes.sum(), len(ev.crashes)}) {
				addShared(parts, p, presence.attempts)
			}
		}
	}
	return slices.DeleteFunc(own, func(c *crash) bool {
		return hasSuspect(requests, c.runs) || hasSuspect(parts, c.parts)
	})
}

// successRate is the number of successful runs of a request or with a part, and that of its crashes.
type successRate struct{ successes, crashes int }

// isHigher reports whether the rate is at least minRateRatio times the other one.
func (r successRate) isHigher(other successRate) bool {
	return minRateRatio*other.successes*r.crashes <= r.successes*other.crashes
}

// sharedCrashes is what a request, or a part, has of another request's crashes.
type sharedCrashes struct {
	crashes  int
	attempts map[uint32]bool
}

func addShared[K comparable](shared map[K]*sharedCrashes, k K, attempts []uint32) {
	s := shared[k]
	if s == nil {
		s = &sharedCrashes{attempts: map[uint32]bool{}}
		shared[k] = s
	}
	s.crashes++
	for _, a := range attempts {
		s.attempts[a] = true
	}
}

// hasSuspect reports whether one of those that were present would be a suspect by the shared crashes.
func hasSuspect[K comparable, V any](shared map[K]*sharedCrashes, present map[K]V) bool {
	for k := range present {
		if s := shared[k]; s != nil && isSuspicious(Verdict{Crashes: s.crashes, Attempts: len(s.attempts)}) {
			return true
		}
	}
	return false
}

// hasUnprovenPart reports whether a part of other prompts that never succeeded was at the crash.
func (t *Tally) hasUnprovenPart(c *crash, fp Fingerprint) bool {
	for p, presence := range c.parts {
		if !slices.Contains(presence.requests, fp) && t.byPart[p].successes.sum() == 0 {
			return true
		}
	}
	return false
}

// ExplainedByParts returns those of the requests whose crashes harmful parts of other prompts
// explain.
func (t *Tally) ExplainedByParts(requests []Fingerprint, isHarmfulPart func(Part) bool) []Fingerprint {
	return slices.DeleteFunc(requests, func(fp Fingerprint) bool {
		ev := t.byFingerprint[fp]
		return ev == nil || slices.ContainsFunc(ev.crashes, func(c *crash) bool { return !c.hasHarmfulPart(isHarmfulPart, fp) })
	})
}

// hasHarmfulPart reports whether a harmful part was at the crash with another request than fp alone.
func (c *crash) hasHarmfulPart(isHarmful func(Part) bool, fp Fingerprint) bool {
	for p, presence := range c.parts {
		if isHarmful(p) && !slices.Contains(presence.requests, fp) {
			return true
		}
	}
	return false
}

// allOthersMissed reports whether every other request that may be harmful missed at least margin
// of the crashes.
func (t *Tally) allOthersMissed(fp Fingerprint, own []*crash, margin int) bool {
	shared := map[Fingerprint]int{}
	for _, c := range own {
		for other := range c.runs {
			shared[other]++
		}
	}
	for other, n := range shared {
		if other != fp && len(own)-n < margin && !t.byFingerprint[other].isHarmless() {
			return false
		}
	}
	return true
}

// countMissed counts the crashes without the request between its first and its last one.
func (t *Tally) countMissed(fp Fingerprint, own []*crash) int {
	n := 0
	for _, c := range t.order {
		if c.runs[fp] == nil && c.at.After(own[0].at) && c.at.Before(own[len(own)-1].at) {
			n++
		}
	}
	return n
}

// isSameLoss reports whether the crash adds no evidence to the simultaneous ones in own: many
// endpoints were lost together, or the request was at several of them because its clients had
// sent it more than once. A single client attempt that meets one crash after the other within a
// few milliseconds is evidence for each of them. attemptsAt returns the client attempts at a crash
// of the judged request, or of those with the judged part.
func (t *Tally) isSameLoss(attemptsAt func(*crash) []uint32, c *crash, own []*crash) bool {
	simultaneous, chained := false, false
	for _, o := range own {
		if isSimultaneous(c, o) {
			simultaneous = true
			chained = chained || shareAttempt(attemptsAt(o), attemptsAt(c))
		}
	}
	if !simultaneous {
		return false
	}
	with, without := 0, 0
	for _, o := range t.order {
		switch {
		case !isSimultaneous(c, o):
		case attemptsAt(o) != nil:
			with++
		default:
			without++
		}
	}
	return without > 0 && (!chained || without >= with)
}

func shareAttempt(a, b []uint32) bool {
	return slices.ContainsFunc(a, func(attempt uint32) bool { return slices.Contains(b, attempt) })
}

// hasMassLoss reports whether one of the crashes was among massLossCrashes simultaneous ones.
func (t *Tally) hasMassLoss(own []*crash) bool {
	return slices.ContainsFunc(own, func(c *crash) bool {
		n := 0
		for _, o := range t.order {
			if isSimultaneous(c, o) {
				n++
			}
		}
		return n >= massLossCrashes
	})
}
