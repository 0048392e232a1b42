package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

func TestPick(t *testing.T) {
	bounds := Bounds{RemotePenalty: 0.15, QueueShare: -0.1}
	for name, c := range map[string]struct {
		cands  []Candidate
		want   int
		reason Reason
	}{
		"nobody":                         {nil, -1, NoCandidate},
		"least loaded":                   {[]Candidate{{Load: 9, Slots: 20, Local: true}, {Load: 3, Slots: 20, Local: true}}, 1, Chosen},
		"own zone at about the same":     {[]Candidate{{Load: 3, Slots: 20}, {Load: 5, Slots: 20, Local: true}}, 1, Chosen},
		"other zone when much less":      {[]Candidate{{Load: 3, Slots: 20}, {Load: 9, Slots: 20, Local: true}}, 0, Chosen},
		"not tried twice":                {[]Candidate{{Load: 1, Slots: 20, Tried: true}, {Load: 9, Slots: 20}}, 1, Chosen},
		"no suspect":                     {[]Candidate{{Load: 1, Slots: 20, Suspect: true}}, -1, NoCandidate},
		"full":                           {[]Candidate{{Load: 18, Slots: 20}}, -1, AllFull},
		"avoided only without another":   {[]Candidate{{Load: 1, Slots: 20, Avoid: true}, {Load: 9, Slots: 20}}, 1, Chosen},
		"avoided when there is no other": {[]Candidate{{Load: 1, Slots: 20, Avoid: true}, {Load: 19, Slots: 20}}, 0, Chosen},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, reason := Pick(c.cands, bounds, 1)
			is.Equal(got, c.want)
			is.Equal(reason, c.reason)
		})
	}
}

// Guards against nodes with equal information that all choose the first of equal candidates.
func TestPickAlternatesBetweenEquals(t *testing.T) {
	is := is.New(t)
	cands := []Candidate{{Slots: 4}, {Slots: 4}, {Slots: 4}}
	seen := map[int]bool{}
	for offset := range 3 {
		i, _ := Pick(cands, Bounds{}, offset)
		seen[i] = true
	}
	is.Equal(len(seen), 3)
}

func newTracker(silence time.Duration) (*Tracker, *clock.Manual, *[]roster.ID) {
	c := clock.NewManual(clock.Instant(time.Hour))
	var suspected []roster.ID
	return &Tracker{
		Clock: c, Silence: func(roster.ID) time.Duration { return silence },
		OnSuspect: func(id roster.ID) { suspected = append(suspected, id) },
	}, c, &suspected
}

// Guards against a silent head that isn't suspected, as when its group has lost a member: it
// becomes suspect once, and each of its requests may move. A head that serves one of its
// requests is not suspect, however long another one waits.
func TestSilentHeadIsSuspect(t *testing.T) {
	is := is.New(t)
	tr, c, suspected := newTracker(300 * time.Millisecond)
	moved := 0
	one := tr.Start("head", func() { moved++ })
	tr.Start("head", func() { moved++ })
	c.Advance(250 * time.Millisecond)
	one.RecordEvent()
	c.Advance(250 * time.Millisecond)
	tr.CheckSilence()
	is.Equal(len(*suspected), 0)
	c.Advance(100 * time.Millisecond)
	tr.CheckSilence()
	tr.CheckSilence()
	is.Equal(*suspected, []roster.ID{"head"})
	is.Equal(moved, 2)
	is.True(tr.StateOf("head", time.Second).Suspect)
	one.RecordEvent()
	is.True(!tr.StateOf("head", time.Second).Suspect) // a sign of life clears the suspicion
}

// Guards against suspecting an idle head: the first request after a pause counts the silence
// from its own start.
func TestIdleHeadIsNotSuspect(t *testing.T) {
	is := is.New(t)
	tr, c, suspected := newTracker(300 * time.Millisecond)
	tr.Start("head", func() {}).End()
	c.Advance(5 * time.Second)
	tr.Start("head", func() {})
	tr.CheckSilence()
	is.Equal(len(*suspected), 0)
}

// Guards against refusing requests forever after every endpoint has reported that it is full:
// without requests no answer corrects the report, so it must decay.
func TestReportedLoadDecays(t *testing.T) {
	is := is.New(t)
	tr, c, _ := newTracker(time.Second)
	k := tr.Start("e", nil)
	k.RecordLoad(26, 4)
	k.End()
	is.Equal(tr.StateOf("e", 4*time.Second).Load, 29.0)
	c.Advance(2 * time.Second)
	is.Equal(tr.StateOf("e", 4*time.Second).Load, 14.5)
	c.Advance(2 * time.Second)
	is.Equal(tr.StateOf("e", 4*time.Second).Load, 0.0)
}

// Guards against a node that refuses everything because other nodes report requests that have
// since ended: without a request of its own, no answer corrects the load.
func TestReportedRequestsAloneDoNotFillEndpoint(t *testing.T) {
	is := is.New(t)
	tr, c, _ := newTracker(time.Second)
	const turnover = 4 * time.Second
	pick := func() Reason {
		st := tr.StateOf("e", turnover)
		_, reason := Pick([]Candidate{{Load: st.Load, Unconfirmed: st.Unconfirmed, Slots: 8}}, Bounds{}, 0)
		return reason
	}
	reportRequests := func() {
		for range 20 {
			c.Advance(10 * time.Millisecond)
			tr.AddReported("e", 1, 0, turnover)
		}
	}
	reportRequests()
	is.Equal(pick(), Chosen)
	k := tr.Start("e", nil)
	is.Equal(pick(), AllFull) // one request at a time checks the load
	k.RecordLoad(1, 0)
	is.Equal(pick(), Chosen)
	k.RecordLoad(20, 0)
	k.End()
	is.Equal(pick(), AllFull)
	reportRequests()
	is.Equal(pick(), AllFull)
}

func TestGapFollowsEventRate(t *testing.T) {
	is := is.New(t)
	tr, c, _ := newTracker(time.Second)
	k := tr.Start("e", nil)
	for range 200 {
		c.Advance(400 * time.Millisecond)
		k.RecordEvent()
	}
	got := tr.StateOf("e", time.Second).EventGap
	is.True(got > 380*time.Millisecond && got < 401*time.Millisecond)
	c.Advance(3 * time.Second)
	is.Equal(tr.StateOf("e", time.Second).EventGap, time.Duration(0)) // too old to be used
}

// Guards against sending two prompts to the same head at the same moment. It would read both in
// one pass, which delays the first event of the second and all its streams; the other head has
// nothing to read.
func TestPickAvoidsHeadWithUnreadPrompts(t *testing.T) {
	is := is.New(t)
	tr, c, _ := newTracker(time.Second)
	tr.AddReported("a", 1, 1400, 4*time.Second)
	k := tr.Start("b", nil)
	k.SetPromptTokens(700)
	unread := func(id roster.ID) float64 { return tr.StateOf(id, time.Second).Unread }
	is.Equal(unread("a"), 1400.0)
	is.Equal(unread("b"), 700.0)
	is.Equal(tr.StateOf("a", 4*time.Second).Load, 1.0)
	cands := []Candidate{{Slots: 26, Load: 1, Unread: unread("a")}, {Slots: 26, Load: 4, Unread: unread("b")}}
	i, _ := Pick(cands, Bounds{UnreadWeight: 0.25}, 0)
	is.Equal(i, 1)
	c.Advance(unreadLifetime / 2)
	is.Equal(unread("a"), 700.0) // half of it counts as read by now
	k.RecordEvent()
	is.Equal(unread("b"), 0.0) // an event shows that it was read
	k.End()
	is.Equal(unread("b"), 0.0)
}
