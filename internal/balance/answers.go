package balance

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

const (
	// unreadGrace is how long this node gets to read what an endpoint has sent before the endpoint's
	// silence is looked at again.
	unreadGrace = 100 * time.Millisecond
	// maxUnread is how long bytes that this node doesn't read count as a sign of life. They lie
	// there for good if the client doesn't read its answer.
	maxUnread = 300 * time.Millisecond
	// answerCheckInterval is the minimum interval between two checks for answers that have arrived.
	answerCheckInterval = time.Millisecond
)

// answerState is what is known of an answer that this node has yet to read.
type answerState struct {
	hasUnread   func() bool // nil: unknown
	endsRun     bool        // the endpoint has ended the run when its answer begins
	arrived     bool
	unreadSince clock.Instant // since when unread bytes were seen; 0: none were
}

// WatchAnswer sets a function that reports whether bytes of the endpoint have arrived that this node
// has not read. A node that is short of time must not take its own delay for the endpoint's. endsRun
// states that the endpoint has ended the run when its answer begins, as for all but streams.
func (k *Ticket) WatchAnswer(hasUnread func() bool, endsRun bool) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	k.answer.hasUnread, k.answer.endsRun = hasUnread, endsRun
}

// hasUnread reports whether bytes of the endpoint have arrived that this node has not read yet. The
// tracker's mu is held.
func (r *record) hasUnread(now clock.Instant) bool {
	for k := range r.waiting {
		a := &k.answer
		switch {
		case a.hasUnread == nil || !a.hasUnread():
			a.unreadSince = 0
			continue
		case a.unreadSince == 0:
			a.unreadSince = now
		}
		if now.Sub(a.unreadSince) <= maxUnread {
			return true
		}
	}
	return false
}

// FindAnswers looks for answers that have arrived from the endpoints and that this node has not read
// yet. Their requests no longer count as load. It reports whether it found any.
func (t *Tracker) FindAnswers(ids []roster.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if t.answersCheckedAt != 0 && now.Sub(t.answersCheckedAt) < answerCheckInterval {
		return false
	}
	t.answersCheckedAt = now
	found := false
	for _, id := range ids {
		r := t.records[id]
		if r == nil {
			continue
		}
		for k := range r.waiting {
			if a := &k.answer; a.endsRun && !a.arrived && a.hasUnread != nil && a.hasUnread() {
				a.arrived, found = true, true
				r.answered++
			}
		}
	}
	return found
}
