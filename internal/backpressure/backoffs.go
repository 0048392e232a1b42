package backpressure

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	// trialTimeout is how long the trial request after a backoff may stay without an answer
	// before another one is sent.
	trialTimeout = 2 * time.Second
	// backoffJitter is the share of a backoff by which it is extended at most, by a different
	// amount on each node; maxBackoffJitter bounds the extension.
	backoffJitter    = 0.1
	maxBackoffJitter = time.Second
	// backoffMemory is how long an endpoint that gets no request is remembered after its
	// backoff.
	backoffMemory = time.Minute
)

// backoffs holds the endpoints that rejected requests of this node and asked it to back off.
// Other nodes have their own. It has no clock and no lock, and does no I/O.
type backoffs struct {
	node string
	byID map[ID]*backoff
}

type backoff struct {
	until       clock.Instant
	trialSentAt clock.Instant // when the newest request after the backoff was sent; 0: none yet
}

func newBackoffs(self string) *backoffs { return &backoffs{node: self, byID: map[ID]*backoff{}} }

// recordAnswer processes an answer to a request that was sent at sentAt. requested is the
// backoff that it asks for, 0 if none. It reports whether a new backoff begins.
func (bs *backoffs) recordAnswer(id ID, requested time.Duration, sentAt, now clock.Instant) bool {
	b := bs.byID[id]
	switch {
	case requested > 0:
		begins := b == nil || now >= b.until
		if begins {
			b = &backoff{}
			bs.byID[id] = b
		}
		b.until = max(b.until, now.Add(requested+jitter(bs.node, id, min(maxBackoffJitter, time.Duration(backoffJitter*float64(requested))))))
		return begins
	case b != nil && sentAt >= b.until:
		delete(bs.byID, id) // the trial request was accepted
	}
	return false
}

// isAllowed reports whether this node may send a request now. After a backoff, requests are sent
// one at a time until an answer shows that the endpoint accepts them again.
func (bs *backoffs) isAllowed(id ID, now clock.Instant) bool {
	b := bs.byID[id]
	return b == nil || now >= b.until && (b.trialSentAt == 0 || now.Sub(b.trialSentAt) >= trialTimeout)
}

// recordSend records a request that is about to be sent.
func (bs *backoffs) recordSend(id ID, now clock.Instant) {
	if b := bs.byID[id]; b != nil {
		b.trialSentAt = now
	}
}

// retryAfter returns the time until the endpoint may get a request again.
func (bs *backoffs) retryAfter(id ID, now clock.Instant) time.Duration {
	b := bs.byID[id]
	switch {
	case b == nil:
		return 0
	case now < b.until:
		return b.until.Sub(now)
	}
	return max(0, b.trialSentAt.Add(trialTimeout).Sub(now))
}

// removeExpired deletes the backoffs that ended more than backoffMemory ago.
func (bs *backoffs) removeExpired(now clock.Instant) {
	for id, b := range bs.byID {
		if now >= b.until.Add(backoffMemory) {
			delete(bs.byID, id)
		}
	}
}

// countActive returns the number of backoffs that have not ended.
func (bs *backoffs) countActive(now clock.Instant) (n int) {
	for _, b := range bs.byID {
		if now < b.until {
			n++
		}
	}
	return n
}
