package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

func newSilenceTracker(c clock.Clock) (tr *Tracker, suspects, doubts *[]roster.ID) {
	suspects, doubts = &[]roster.ID{}, &[]roster.ID{}
	return &Tracker{
		Clock: c, Silence: func(roster.ID) time.Duration { return 350 * time.Millisecond },
		OnSuspect: func(id roster.ID) { *suspects = append(*suspects, id) },
		OnDoubt:   func(id roster.ID) { *doubts = append(*doubts, id) },
	}, suspects, doubts
}

// Guards against a node that is short of time, or was stopped, and suspects endpoints whose bytes it
// has not read yet.
func TestUnreadBytesAreNoSilence(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	tr, suspects, doubts := newSilenceTracker(c)
	unread, moved := false, 0
	k := tr.Start("head", func() { moved++ })
	k.WatchAnswer(func() bool { return unread }, false)
	for range 5 {
		k.RecordEvent()
		c.Advance(50 * time.Millisecond)
	}
	unread = true
	c.Advance(time.Second) // the process does not run
	tr.CheckSilence()
	is.Equal(len(*suspects)+len(*doubts)+moved, 0)
	k.RecordEvent()
	unread = false
	tr.CheckSilence()
	is.Equal(len(*suspects)+len(*doubts), 0)
	c.Advance(400 * time.Millisecond) // now the endpoint is silent
	tr.CheckSilence()
	is.Equal(*suspects, []roster.ID{"head"})
	is.Equal(moved, 1)
}

// Guards against a lost group that is not noticed because one client doesn't read its answer, so that
// bytes of the endpoint lie unread for good.
func TestAnswerThatNobodyReadsHidesNoSilence(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	tr, suspects, _ := newSilenceTracker(c)
	tr.Start("head", func() {}).WatchAnswer(func() bool { return true }, false)
	other := tr.Start("head", func() {})
	other.WatchAnswer(func() bool { return false }, false)
	other.RecordEvent()
	for silent := time.Duration(0); silent < 350*time.Millisecond+maxUnread+2*unreadGrace; silent += SilenceCheckInterval {
		c.Advance(SilenceCheckInterval)
		tr.CheckSilence()
	}
	is.Equal(*suspects, []roster.ID{"head"})
}

// Guards against endpoints that are taken for full of requests whose answers lie unread in this node's
// sockets.
func TestUnreadAnswersAreNoLoad(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	tr, _, _ := newSilenceTracker(c)
	const turnover = time.Second
	var tickets []*Ticket
	for i := range 4 {
		k := tr.Start("e", func() {})
		k.WatchAnswer(func() bool { return i < 3 }, true)
		tickets = append(tickets, k)
	}
	stream := tr.Start("e", func() {})
	stream.WatchAnswer(func() bool { return true }, false) // its run goes on
	is.Equal(tr.StateOf("e", turnover).Load, 5.0)
	is.True(tr.FindAnswers([]roster.ID{"e", "unknown"}))
	is.Equal(tr.StateOf("e", turnover).Load, 2.0)
	c.Advance(answerCheckInterval)
	is.True(!tr.FindAnswers([]roster.ID{"e"})) // none since
	for _, k := range tickets {
		k.End()
	}
	is.Equal(tr.StateOf("e", turnover).Load, 1.0)
	stream.End()
	is.Equal(tr.StateOf("e", turnover).Load, 0.0)
}

// Guards against a node that is short of time and takes its own delay for the silence of endpoints: it
// would tell the others, and move its requests.
func TestOwnDelayIsNoSilence(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	tr, suspects, doubts := newSilenceTracker(c)
	delay := 300 * time.Millisecond
	tr.OwnDelay = func() time.Duration { return delay }
	k := tr.Start("head", func() {})
	for range 5 {
		k.RecordEvent()
		c.Advance(50 * time.Millisecond)
	}
	c.Advance(300 * time.Millisecond) // 350 ms since the last event
	tr.CheckSilence()
	is.Equal(len(*suspects)+len(*doubts), 0)
	delay = 0
	c.Advance(time.Millisecond)
	tr.CheckSilence()
	is.Equal(*suspects, []roster.ID{"head"})
}
