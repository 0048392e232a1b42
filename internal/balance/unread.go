package balance

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// unread counts prompt tokens that an engine has yet to read. An engine reads all
// prompts that wait within one pass, which ends later for each of them: a second
// prompt that is sent at once comes later to its first event, and holds up every
// stream that runs there.
type unread struct {
	own    int           // of this node's requests without an event yet
	told   float64       // of other nodes' requests, as of toldAt
	toldAt clock.Instant // when a node told last; 0: never
}

// readTime is how long what other nodes tell is counted: one pass of an engine
// that runs and the next one, which reads what came meanwhile.
const readTime = 150 * time.Millisecond

func (u *unread) others(now clock.Instant) float64 {
	age := now.Sub(u.toldAt)
	if u.toldAt == 0 || age >= readTime {
		return 0
	}
	return u.told * (1 - float64(age)/float64(readTime))
}

// Reads notes the size of the request's prompt, in tokens.
func (k *Ticket) Reads(tokens int) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	k.prompt = tokens
	t.record(k.id).unread.own += tokens
}

// read notes that the prompt has been read. The tracker is locked.
func (k *Ticket) read(r *record) {
	r.unread.own -= k.prompt
	k.prompt = 0
}

// Told notes that another node has sent requests to the endpoint, with prompts of
// that many tokens together. turnover is about how long a request runs there.
func (t *Tracker) Told(id roster.ID, requests, tokens float64, turnover time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	r := t.record(id)
	r.unread.told, r.unread.toldAt = r.unread.others(now)+tokens, now
	r.others, r.placed = r.faded(r.others, now, turnover)+requests, r.faded(r.placed, now, turnover)+requests
	r.reported = now
}
