package backpressure

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	// trialTimeout is how long the first request after a backoff is waited for before another
	// one is sent.
	trialTimeout = 2 * time.Second
	// backoffJitter is the part of a backoff by which it is prolonged, each node's by another
	// time, and maxBackoffJitter the most.
	backoffJitter    = 0.1
	maxBackoffJitter = time.Second
	// backoffMemory is how long after a backoff an endpoint that gets no request is remembered.
	backoffMemory = time.Minute
)

// backoffs holds the endpoints that turned this node's requests away and asked it to send none
// for a while. Other nodes have backoffs of their own. It is pure: no clock, no lock, no I/O.
type backoffs struct {
	self string
	by   map[ID]*backoff
}

type backoff struct {
	until clock.Instant
	trial clock.Instant // when the newest request after the backoff was sent; 0: none was
}

func newBackoffs(self string) *backoffs { return &backoffs{self: self, by: map[ID]*backoff{}} }

// answered takes up an answer to a request that was sent at sent, and how long its endpoint
// wants nothing; 0: it doesn't say. It reports whether a backoff begins.
func (bs *backoffs) answered(id ID, asked time.Duration, sent, now clock.Instant) bool {
	b := bs.by[id]
	switch {
	case asked > 0:
		begins := b == nil || now >= b.until
		if begins {
			b = &backoff{}
			bs.by[id] = b
		}
		b.until = max(b.until, now.Add(asked+jitter(bs.self, id, min(maxBackoffJitter, time.Duration(backoffJitter*float64(asked))))))
		return begins
	case b != nil && sent >= b.until:
		delete(bs.by, id) // the trial was taken
	}
	return false
}

// allows reports whether this node may send a request now. After a backoff one at a time goes
// until an answer shows that the endpoint takes requests again.
func (bs *backoffs) allows(id ID, now clock.Instant) bool {
	b := bs.by[id]
	return b == nil || now >= b.until && (b.trial == 0 || now.Sub(b.trial) >= trialTimeout)
}

// take notes a request that is about to be sent.
func (bs *backoffs) take(id ID, now clock.Instant) {
	if b := bs.by[id]; b != nil {
		b.trial = now
	}
}

// retryAfter returns after how long the endpoint may be asked again.
func (bs *backoffs) retryAfter(id ID, now clock.Instant) time.Duration {
	b := bs.by[id]
	switch {
	case b == nil:
		return 0
	case now < b.until:
		return b.until.Sub(now)
	}
	return max(0, b.trial.Add(trialTimeout).Sub(now))
}

// keep forgets backoffs that are long over.
func (bs *backoffs) keep(now clock.Instant) {
	for id, b := range bs.by {
		if now >= b.until.Add(backoffMemory) {
			delete(bs.by, id)
		}
	}
}

// active counts the backoffs that last.
func (bs *backoffs) active(now clock.Instant) (n int) {
	for _, b := range bs.by {
		if now < b.until {
			n++
		}
	}
	return n
}
