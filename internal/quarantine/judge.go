package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// The evidence that it takes to find a request harmful. Whoever shared an endpoint with
// it saw that endpoint end as well; what sets the harmful one apart is that it was at
// all ends, and that others were not.
const (
	// harmEnds is how many ends a request must have seen. The platform's bound begins
	// with the third: from 3 s after it on three more runs are allowed.
	harmEnds = 3
	// harmAttempts is how many client attempts must have seen one. A stream that is sent
	// again after an end, and meets the next one at the same endpoint as the harmful
	// request, is one attempt all the while.
	harmAttempts = 2
	// harmSurely is how many client attempts tell a harmful request at once from one whose
	// client merely came back. With two of them it takes harmFew ends, which a route that
	// lets a request run twice never allows.
	harmSurely = 3
	harmFew    = 5
	// harmClearly is how many times as many ends it must have seen as missed with two
	// attempts.
	harmClearly = 8
	// harmMargin is how many of its ends each other request must have missed. Streams
	// that move together from one end to the next share all but few of them; a harmful
	// request that comes again without them gets ahead of them by its repeats.
	harmMargin = 2
	// harmMany is from how many ends on one that the others missed is enough: what a
	// client sends many times at once may be at most endpoints for seconds.
	harmMany = 8
	// harmSettles is the time after its third end after which nothing else is weighed: what
	// moved along with it is over by then.
	harmSettles = 2 * time.Second
	// harmSound is how many runs may have ended well for each end: a request that ends
	// its endpoint every other time is found, one that many clients repeat all day and
	// that sees an end now and then isn't.
	harmSound = 3
	// herdSpan is the time within which ends count as one loss if most of them were
	// without the request: a rack, a zone or a release takes many endpoints at once, and
	// a request that clients repeat at once may have been at several of them.
	herdSpan = 100 * time.Millisecond
	// herdEnds is from how many ends at one moment on time alone proves nothing.
	herdEnds = 4
)

// Verdict says that a request ends the endpoints that run it, and on what evidence.
type Verdict struct {
	Fingerprint Fingerprint `json:"f"`
	Ends        int         `json:"ends"`     // that it has seen and no other request explains
	Attempts    int         `json:"attempts"` // of clients that saw one
	// Tries is how many runs were allowed since to see whether it still does.
	Tries int `json:"tries,omitempty"`
	// Suspect says that it isn't found harmful: it is run, one run at a time.
	Suspect bool `json:"suspect,omitempty"`
}

// Judge returns the requests that are found harmful at now, without those that known
// holds. An end under one of these, or under one that is found first, says nothing of the
// others that were there.
func (t *Tally) Judge(known func(Fingerprint) bool, now clock.Instant) []Verdict {
	found := map[Fingerprint]bool{}
	var open []Fingerprint
	for fp, s := range t.byPrint {
		switch {
		case known(fp):
			found[fp] = true
		case len(s.ends) >= harmEnds:
			open = append(open, fp)
		}
	}
	// Whoever saw the most ends first: its ends then explain those of the others.
	slices.SortFunc(open, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(t.byPrint[b].ends), len(t.byPrint[a].ends)), cmp.Compare(a, b))
	})
	var out []Verdict
	for _, fp := range open {
		if v, harmful := t.judge(fp, found, now); harmful {
			out = append(out, v)
			found[fp] = true
		}
	}
	return out
}

func (s *suspect) harmless() bool { return s.sound.harmless(len(s.ends)) }

// soundCounts are the runs of a request that ended well, of late, by the node that tells.
type soundCounts map[string]int

func (c soundCounts) note(node string, runs int) { c[node] = max(c[node], runs) }

// harmless reports whether the request ran well too often to be what ended that many
// endpoints.
func (c soundCounts) harmless(ends int) bool {
	n := 0
	for _, runs := range c {
		n += runs
	}
	return n > harmSound*ends
}

// judge weighs the ends of one request that none of those found explains.
func (t *Tally) judge(fp Fingerprint, found map[Fingerprint]bool, now clock.Instant) (Verdict, bool) {
	s := t.byPrint[fp]
	own := t.ownEnds(fp, found)
	v := Verdict{Fingerprint: fp, Ends: len(own), Attempts: len(s.attempts)}
	if v.Ends < harmEnds || v.Attempts < harmAttempts || s.harmless() {
		return v, false
	}
	third, last := own[harmEnds-1], own[len(own)-1]
	if now.Sub(third.at) > harmSettles && !t.herd(own) {
		return v, true // those that moved along with it are over
	}
	if v.Attempts < harmSurely && v.Ends < harmFew {
		return v, false
	}
	settled := last.at.Sub(third.at) > harmSettles
	if !settled && v.Attempts < harmSurely && harmClearly*t.missed(fp, own) > v.Ends {
		return v, false
	}
	margin := harmMargin
	if settled || v.Ends >= harmMany {
		margin = 1
	}
	return v, t.ahead(fp, own, margin)
}

// ownEnds returns the ends that the request has seen, without those that another one
// explains and those that tell nothing beside another.
func (t *Tally) ownEnds(fp Fingerprint, found map[Fingerprint]bool) []*end {
	s := t.byPrint[fp]
	var own []*end
	for _, e := range s.ends {
		if !t.explained(e, found, len(s.ends)) && !t.sameLoss(fp, e, own) {
			own = append(own, e)
		}
	}
	return own
}

// explained reports whether a request that was found harmful was at the end, and at no
// fewer ends than the one that is judged: what has seen more is harmful by itself.
func (t *Tally) explained(e *end, found map[Fingerprint]bool, ends int) bool {
	for other := range e.runs {
		if found[other] && len(t.byPrint[other].ends) >= ends {
			return true
		}
	}
	return false
}

// ahead reports whether every other request that may be harmful missed at least margin
// of the ends.
func (t *Tally) ahead(fp Fingerprint, own []*end, margin int) bool {
	shared := map[Fingerprint]int{}
	for _, e := range own {
		for other := range e.runs {
			shared[other]++
		}
	}
	for other, n := range shared {
		if other != fp && len(own)-n < margin && !t.byPrint[other].harmless() {
			return false
		}
	}
	return true
}

// missed counts the ends without the request between its first and its last one.
func (t *Tally) missed(fp Fingerprint, own []*end) int {
	n := 0
	for _, e := range t.order {
		if e.runs[fp] == nil && e.at.After(own[0].at) && e.at.Before(own[len(own)-1].at) {
			n++
		}
	}
	return n
}

// sameLoss reports whether the end tells nothing beside those of own at the same moment:
// many endpoints ended together, or the request was at several of them because its
// clients had sent it more than once. One client attempt that met one end after the other
// within a few milliseconds tells of each.
func (t *Tally) sameLoss(fp Fingerprint, e *end, own []*end) bool {
	beside, chained := false, false
	for _, o := range own {
		if near(e, o) {
			beside = true
			chained = chained || sameAttempt(o.runs[fp], e.runs[fp])
		}
	}
	if !beside {
		return false
	}
	with, without := 0, 0
	for _, o := range t.order {
		switch {
		case !near(e, o):
		case o.runs[fp] != nil:
			with++
		default:
			without++
		}
	}
	return without > 0 && (!chained || without >= with)
}

func sameAttempt(a, b []uint32) bool {
	return slices.ContainsFunc(a, func(attempt uint32) bool { return slices.Contains(b, attempt) })
}

// herd reports whether one of the ends was among many at the same moment.
func (t *Tally) herd(own []*end) bool {
	return slices.ContainsFunc(own, func(e *end) bool {
		n := 0
		for _, o := range t.order {
			if near(e, o) {
				n++
			}
		}
		return n >= herdEnds
	})
}
