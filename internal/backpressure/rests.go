package backpressure

import (
	"time"

	"chervilloom/internal/clock"
)

const (
	// trialTime is how long the first request after a rest is waited for before another one
	// is sent.
	trialTime = 2 * time.Second
	// restSpread is the part of a rest by which nodes return later than asked, each at a
	// time of its own, and longestSpread the most.
	restSpread    = 0.1
	longestSpread = time.Second
	// restMemory is how long after a rest an endpoint that gets no request is remembered.
	restMemory = time.Minute
)

// rests is what a node knows of endpoints that turned it away and asked for rest. Each node
// has its own: the word is for the node that heard it. It is pure: no clock, no lock, no I/O.
type rests struct {
	self string
	by   map[ID]*rest
}

type rest struct {
	until clock.Instant
	trial clock.Instant // when the newest request after the rest was sent; 0: none was
}

func newRests(self string) *rests { return &rests{self: self, by: map[ID]*rest{}} }

// answered takes up an answer to a request that was sent at sent, and how long its endpoint
// wants nothing; 0: it doesn't say. It reports whether a rest begins.
func (rs *rests) answered(id ID, asked time.Duration, sent, now clock.Instant) bool {
	r := rs.by[id]
	switch {
	case asked > 0:
		begins := r == nil || now >= r.until
		if begins {
			r = &rest{}
			rs.by[id] = r
		}
		r.until = max(r.until, now.Add(asked+spreadOf(rs.self, id, min(longestSpread, time.Duration(restSpread*float64(asked))))))
		return begins
	case r != nil && sent >= r.until:
		delete(rs.by, id) // the trial was taken
	}
	return false
}

// allows reports whether this node may send a request now. After a rest one at a time goes
// until an answer shows that the endpoint takes requests again.
func (rs *rests) allows(id ID, now clock.Instant) bool {
	r := rs.by[id]
	return r == nil || now >= r.until && (r.trial == 0 || now.Sub(r.trial) >= trialTime)
}

// take notes a request that is about to be sent.
func (rs *rests) take(id ID, now clock.Instant) {
	if r := rs.by[id]; r != nil {
		r.trial = now
	}
}

// comeBack returns after how long the endpoint may be asked again.
func (rs *rests) comeBack(id ID, now clock.Instant) time.Duration {
	r := rs.by[id]
	switch {
	case r == nil:
		return 0
	case now < r.until:
		return r.until.Sub(now)
	}
	return max(0, r.trial.Add(trialTime).Sub(now))
}

// keep forgets rests that are long over.
func (rs *rests) keep(now clock.Instant) {
	for id, r := range rs.by {
		if now >= r.until.Add(restMemory) {
			delete(rs.by, id)
		}
	}
}

// resting counts the endpoints at rest.
func (rs *rests) resting(now clock.Instant) (n int) {
	for _, r := range rs.by {
		if now < r.until {
			n++
		}
	}
	return n
}
