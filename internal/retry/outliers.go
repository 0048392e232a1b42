package retry

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// OutlierOptions tune the ejection. Zero values stand for the defaults.
type OutlierOptions struct {
	Consecutive int           // failures in a row that eject; default 5
	MinRequests int           // results in the window before rates are compared; default 20
	Margin      float64       // failure rate above the peers' median that ejects; default 0.25
	MaxShare    float64       // of the candidates that may be ejected at once; default 0.3
	First       time.Duration // length of a first ejection; default 2s
	Longest     time.Duration // of any ejection; default 60s
	Trial       time.Duration // how long a trial's result is waited for; default 5s
}

func (o OutlierOptions) withDefaults() OutlierOptions {
	setDefault(&o.Consecutive, 5)
	setDefault(&o.MinRequests, 20)
	setDefault(&o.Margin, 0.25)
	setDefault(&o.MaxShare, 0.3)
	setDefault(&o.First, 2*time.Second)
	setDefault(&o.Longest, time.Minute)
	setDefault(&o.Trial, 5*time.Second)
	return o
}

// ID names an endpoint or a serving group.
type ID string

// Event is something that the ejection learns of.
type Event interface{ event() }

// The events.
type (
	// Candidates sets who there is to choose from. Who is no longer named is
	// forgotten.
	Candidates struct{ IDs []ID }
	// Succeeded tells of a good result.
	Succeeded struct{ ID ID }
	// Failed tells of a result that the endpoint is to blame for.
	Failed struct{ ID ID }
	// Wanted asks to send a request.
	Wanted struct{ ID ID }
)

func (Candidates) event() {}
func (Succeeded) event()  {}
func (Failed) event()     {}
func (Wanted) event()     {}

// Verdict is what follows from an event.
type Verdict uint8

// The verdicts.
const (
	Keep   Verdict = iota // nothing changed; a wanted request may go
	Eject                 // ejected until Decision.Until
	Refuse                // a wanted request may not go: ejected
	Trial                 // the wanted request may go as the one trial
	Return                // the trial succeeded: ejected no more
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	Until   clock.Instant // Eject
	Reason  string
}

// The reasons.
const (
	reasonRow     = "failures in a row"
	reasonRate    = "failure rate above the peers'"
	reasonTrial   = "the trial failed"
	reasonCap     = "as many are ejected as may be"
	reasonEjected = "ejected"
)

// Outliers ejects candidates that fail while their peers do not. It is a state
// machine without clock, lock or random source.
type Outliers struct {
	opt     OutlierOptions
	members map[ID]*member
	ejected int
}

// member is what is known of one candidate.
type member struct {
	row       int // failures in a row
	window    window
	out       bool
	until     clock.Instant // out: the end of the ejection
	trial     clock.Instant // out: when the trial was let go; 0: none is under way
	ejections int           // lengthens the next one
	returned  clock.Instant
}

// NewOutliers returns a state machine that knows no candidates.
func NewOutliers(o OutlierOptions) *Outliers {
	return &Outliers{opt: o.withDefaults(), members: map[ID]*member{}}
}

// Step applies an event. Events of unknown candidates change nothing: a late
// result must not bring back who has left.
func (s *Outliers) Step(now clock.Instant, ev Event) Decision {
	switch ev := ev.(type) {
	case Candidates:
		s.set(ev.IDs)
	case Succeeded:
		return s.succeeded(now, s.members[ev.ID])
	case Failed:
		return s.failed(now, s.members[ev.ID])
	case Wanted:
		return s.wanted(now, s.members[ev.ID])
	}
	return Decision{}
}

func (s *Outliers) set(ids []ID) {
	next := make(map[ID]*member, len(ids))
	for _, id := range ids {
		if next[id] = s.members[id]; next[id] == nil {
			next[id] = &member{}
		}
	}
	s.members, s.ejected = next, 0
	for _, m := range next {
		if m.out {
			s.ejected++
		}
	}
	s.keepCap()
}

// keepCap brings back those whose ejection ends first while more are out than
// may be: when others have left, the ejected could be all that there is.
func (s *Outliers) keepCap() {
	if s.ejected <= s.limit() {
		return
	}
	var out []ID
	for id, m := range s.members {
		if m.out {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b ID) int {
		return cmp.Or(cmp.Compare(s.members[a].until, s.members[b].until), cmp.Compare(a, b))
	})
	for _, id := range out[:s.ejected-max(s.limit(), 0)] {
		m := s.members[id]
		*m = member{ejections: m.ejections}
		s.ejected--
	}
}

func (s *Outliers) succeeded(now clock.Instant, m *member) Decision {
	if m == nil {
		return Decision{}
	}
	m.row = 0
	m.window.add(now, false)
	if !m.out || m.trial == 0 {
		s.forgive(now, m)
		return Decision{}
	}
	// What was counted before the ejection speaks of the fault that is over.
	*m = member{ejections: m.ejections, returned: now}
	s.ejected--
	return Decision{Verdict: Return, Reason: "the trial succeeded"}
}

// forgive shortens the next ejection of who has been good for long.
func (s *Outliers) forgive(now clock.Instant, m *member) {
	if m.ejections > 0 && !m.out && now.Sub(m.returned) > s.opt.Longest {
		m.ejections--
		m.returned = now
	}
}

func (s *Outliers) failed(now clock.Instant, m *member) Decision {
	if m == nil {
		return Decision{}
	}
	m.row++
	m.window.add(now, true)
	switch {
	case m.out && m.trial != 0:
		return s.eject(now, m, reasonTrial)
	case m.out:
		return Decision{} // sent before the ejection
	case m.row >= s.opt.Consecutive:
		return s.eject(now, m, reasonRow)
	case s.worseThanPeers(now, m):
		return s.eject(now, m, reasonRate)
	}
	return Decision{}
}

func (s *Outliers) eject(now clock.Instant, m *member, reason string) Decision {
	if !m.out {
		if s.ejected >= s.limit() {
			return Decision{Reason: reasonCap}
		}
		s.ejected++
	}
	long := min(s.opt.First<<min(m.ejections, 10), s.opt.Longest)
	m.ejections++
	m.out, m.trial, m.until = true, 0, now.Add(long)
	return Decision{Verdict: Eject, Until: m.until, Reason: reason}
}

// limit is how many may be ejected at once. When everyone fails, the fault is
// not an endpoint's, and ejecting more only loads the rest. One of two may go;
// the last never.
func (s *Outliers) limit() int {
	n := len(s.members)
	return min(max(int(s.opt.MaxShare*float64(n)), 1), n-1)
}

// worseThanPeers compares the failure rate with the median of the others'.
func (s *Outliers) worseThanPeers(now clock.Instant, m *member) bool {
	rate, n := m.window.rate(now)
	if n < s.opt.MinRequests || rate < s.opt.Margin {
		return false
	}
	var others []float64
	for _, o := range s.members {
		if r, n := o.window.rate(now); o != m && !o.out && n >= s.opt.MinRequests {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return rate >= others[len(others)/2]+s.opt.Margin
}

func (s *Outliers) wanted(now clock.Instant, m *member) Decision {
	switch {
	case m == nil || !m.out:
		return Decision{}
	case now.Before(m.until):
		return Decision{Verdict: Refuse, Reason: reasonEjected}
	case m.trial != 0 && now.Sub(m.trial) < s.opt.Trial:
		return Decision{Verdict: Refuse, Reason: "a trial is under way"}
	}
	// Also when the result of an earlier trial never came.
	m.trial = now
	return Decision{Verdict: Trial, Reason: "the ejection is over"}
}
