package balance

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// unreadPrompts counts the prompt tokens that an engine has yet to read. An engine reads all
// waiting prompts within one pass, whose end delays all of them: a second prompt sent at the
// same moment gets its first event later, and delays every stream that runs there.
type unreadPrompts struct {
	own        int           // of this node's requests without an event yet
	others     float64       // of other nodes' requests, as of reportedAt
	reportedAt clock.Instant // when a node last reported; 0: never
}

// unreadLifetime is how long the tokens that other nodes report count: the pass that an engine
// is running and the next one, which reads the prompts that arrived meanwhile.
const unreadLifetime = 150 * time.Millisecond

func (u *unreadPrompts) remainingOthers(now clock.Instant) float64 {
	age := now.Sub(u.reportedAt)
	if u.reportedAt == 0 || age >= unreadLifetime {
		return 0
	}
	return u.others * (1 - float64(age)/float64(unreadLifetime))
}

// SetPromptTokens records the size of the request's prompt, in tokens.
func (k *Ticket) SetPromptTokens(tokens int) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	k.unreadTokens = tokens
	t.record(k.id).unread.own += tokens
}

// finishPrompt records that the prompt has been read. t.mu is held.
func (k *Ticket) finishPrompt(r *record) {
	r.unread.own -= k.unreadTokens
	k.unreadTokens = 0
}

// AddReported records requests that another node has sent to the endpoint, and the total tokens of
// their prompts. turnover is the approximate run time of a request there.
func (t *Tracker) AddReported(id roster.ID, requests, tokens float64, turnover time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	r := t.record(id)
	r.unread.others, r.unread.reportedAt = r.unread.remainingOthers(now)+tokens, now
	r.othersLoad, r.unconfirmedLoad = r.decayedLoad(r.othersLoad, now, turnover)+requests, r.decayedLoad(r.unconfirmedLoad, now, turnover)+requests
	r.reportedAt = now
}
