package retry

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// OutlierOptions configures the ejection. Zero values are replaced by the defaults.
type OutlierOptions struct {
	Consecutive  int           // consecutive failures that cause an ejection; default 5
	MinRequests  int           // minimum results in the window for comparing rates; default 20
	Margin       float64       // failure rate above the peers' median that causes an ejection; default 0.25
	MaxShare     float64       // maximum share of candidates ejected at once; default 0.3
	BaseEjection time.Duration // duration of a candidate's first ejection; default 2s
	MaxEjection  time.Duration // maximum duration of an ejection; default 60s
	TrialTimeout time.Duration // timeout of a trial's result; default 5s
}

func (o OutlierOptions) withDefaults() OutlierOptions {
	setDefault(&o.Consecutive, 5)
	setDefault(&o.MinRequests, 20)
	setDefault(&o.Margin, 0.25)
	setDefault(&o.MaxShare, 0.3)
	setDefault(&o.BaseEjection, 2*time.Second)
	setDefault(&o.MaxEjection, time.Minute)
	setDefault(&o.TrialTimeout, 5*time.Second)
	return o
}

// ID identifies an endpoint or a serving group.
type ID string

// Event is an input of Outliers.Step.
type Event interface{ event() }

// Types of events.
type (
	// Candidates replaces the set of candidates. The state of those that are not listed
	// is dropped.
	Candidates struct{ IDs []ID }
	// Succeeded reports a successful request.
	Succeeded struct{ ID ID }
	// Failed reports a failure caused by the candidate.
	Failed struct{ ID ID }
	// SendRequested asks whether a request may be sent.
	SendRequested struct{ ID ID }
)

func (Candidates) event()    {}
func (Succeeded) event()     {}
func (Failed) event()        {}
func (SendRequested) event() {}

// Verdict is the result of an event.
type Verdict uint8

// Verdicts.
const (
	NoChange Verdict = iota // nothing changed; the requested send is allowed
	Eject                   // ejected until Decision.Until
	Refuse                  // the requested send is not allowed: the candidate is ejected
	Trial                   // the requested send is allowed as the single trial
	Restore                 // the trial succeeded and the ejection ended
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	Until   clock.Instant // set for Eject
	Reason  string
}

// Reasons of decisions.
const (
	reasonConsecutive = "failures in a row"
	reasonRate        = "failure rate above the peers'"
	reasonTrial       = "the trial failed"
	reasonLimit       = "as many are ejected as may be"
	reasonEjected     = "ejected"
)

// Outliers ejects candidates that fail while their peers do not. It is a state machine
// without a clock, lock or random source.
type Outliers struct {
	opt     OutlierOptions
	members map[ID]*candidateState
	ejected int
}

// candidateState is the state of one candidate.
type candidateState struct {
	consecutiveFailures int
	window              resultWindow
	ejected             bool
	ejectedUntil        clock.Instant // if ejected: end of the ejection
	trialStarted        clock.Instant // if ejected: start of the trial, 0 if none
	ejections           int           // number of ejections; each doubles the next duration
	restoredAt          clock.Instant
}

// NewOutliers returns a state machine without candidates.
func NewOutliers(o OutlierOptions) *Outliers {
	return &Outliers{opt: o.withDefaults(), members: map[ID]*candidateState{}}
}

// Step applies an event. Events of unknown candidates are ignored: a late result must not
// restore a removed candidate.
func (s *Outliers) Step(now clock.Instant, ev Event) Decision {
	switch ev := ev.(type) {
	case Candidates:
		s.setCandidates(ev.IDs)
	case Succeeded:
		return s.succeeded(now, s.members[ev.ID])
	case Failed:
		return s.failed(now, s.members[ev.ID])
	case SendRequested:
		return s.sendRequested(now, s.members[ev.ID])
	}
	return Decision{}
}

func (s *Outliers) setCandidates(ids []ID) {
	next := make(map[ID]*candidateState, len(ids))
	for _, id := range ids {
		if next[id] = s.members[id]; next[id] == nil {
			next[id] = &candidateState{}
		}
	}
	s.members, s.ejected = next, 0
	for _, m := range next {
		if m.ejected {
			s.ejected++
		}
	}
	s.enforceLimit()
}

// enforceLimit ends the ejections that expire first while more candidates are ejected
// than allowed: after a removal of candidates, all remaining ones could be ejected.
func (s *Outliers) enforceLimit() {
	if s.ejected <= s.maxEjected() {
		return
	}
	var out []ID
	for id, m := range s.members {
		if m.ejected {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b ID) int {
		return cmp.Or(cmp.Compare(s.members[a].ejectedUntil, s.members[b].ejectedUntil), cmp.Compare(a, b))
	})
	for _, id := range out[:s.ejected-max(s.maxEjected(), 0)] {
		m := s.members[id]
		*m = candidateState{ejections: m.ejections}
		s.ejected--
	}
}

func (s *Outliers) succeeded(now clock.Instant, m *candidateState) Decision {
	if m == nil {
		return Decision{}
	}
	m.consecutiveFailures = 0
	m.window.add(now, false)
	if !m.ejected || m.trialStarted == 0 {
		s.reducePenalty(now, m)
		return Decision{}
	}
	// Results from before the ejection belong to a failure that is over.
	*m = candidateState{ejections: m.ejections, restoredAt: now}
	s.ejected--
	return Decision{Verdict: Restore, Reason: "the trial succeeded"}
}

// reducePenalty shortens the next ejection of a candidate that has not been ejected for
// longer than the maximum ejection.
func (s *Outliers) reducePenalty(now clock.Instant, m *candidateState) {
	if m.ejections > 0 && !m.ejected && now.Sub(m.restoredAt) > s.opt.MaxEjection {
		m.ejections--
		m.restoredAt = now
	}
}

func (s *Outliers) failed(now clock.Instant, m *candidateState) Decision {
	if m == nil {
		return Decision{}
	}
	m.consecutiveFailures++
	m.window.add(now, true)
	switch {
	case m.ejected && m.trialStarted != 0:
		return s.eject(now, m, reasonTrial)
	case m.ejected:
		return Decision{} // sent before the ejection
	case m.consecutiveFailures >= s.opt.Consecutive:
		return s.eject(now, m, reasonConsecutive)
	case s.isWorseThanPeers(now, m):
		return s.eject(now, m, reasonRate)
	}
	return Decision{}
}

func (s *Outliers) eject(now clock.Instant, m *candidateState, reason string) Decision {
	if !m.ejected {
		if s.ejected >= s.maxEjected() {
			return Decision{Reason: reasonLimit}
		}
		s.ejected++
	}
	duration := min(s.opt.BaseEjection<<min(m.ejections, 10), s.opt.MaxEjection)
	m.ejections++
	m.ejected, m.trialStarted, m.ejectedUntil = true, 0, now.Add(duration)
	return Decision{Verdict: Eject, Until: m.ejectedUntil, Reason: reason}
}

// maxEjected returns how many candidates may be ejected at once. If all fail, the cause
// is not a single endpoint, and ejecting more only overloads the rest. One of two may be
// ejected; the last candidate never.
func (s *Outliers) maxEjected() int {
	n := len(s.members)
	return min(max(int(s.opt.MaxShare*float64(n)), 1), n-1)
}

// isWorseThanPeers reports whether the failure rate exceeds the median of the others' by
// at least Margin.
func (s *Outliers) isWorseThanPeers(now clock.Instant, m *candidateState) bool {
	rate, n := m.window.rate(now)
	if n < s.opt.MinRequests || rate < s.opt.Margin {
		return false
	}
	var others []float64
	for _, o := range s.members {
		if r, n := o.window.rate(now); o != m && !o.ejected && n >= s.opt.MinRequests {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return rate >= others[len(others)/2]+s.opt.Margin
}

func (s *Outliers) sendRequested(now clock.Instant, m *candidateState) Decision {
	switch {
	case m == nil || !m.ejected:
		return Decision{}
	case now.Before(m.ejectedUntil):
		return Decision{Verdict: Refuse, Reason: reasonEjected}
	case m.trialStarted != 0 && now.Sub(m.trialStarted) < s.opt.TrialTimeout:
		return Decision{Verdict: Refuse, Reason: "a trial is under way"}
	}
	// Also reached if the result of the previous trial never arrived.
	m.trialStarted = now
	return Decision{Verdict: Trial, Reason: "the ejection is over"}
}
