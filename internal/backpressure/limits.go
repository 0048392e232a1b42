package backpressure

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/clock"
)

// ID names one life of an endpoint.
type ID string

// Constants of the sharing of a limit. With headroom x limit in all and a token for each
// sender, two views of the nodes that have no sender in common stay within one and a half
// times the limit and four requests, in any window of 4 s.
const (
	// leastSenders is how many nodes send to an endpoint that names a limit, and
	// sendersPerRate how many more for each request a second: a node may have few requests
	// for the endpoint.
	leastSenders   = 2
	sendersPerRate = 0.6
	// headroom is the part of a limit that is used.
	headroom = 0.6
	// leastRate is a sender's rate at least, in requests a second: only an answer shows
	// that a limit has ended.
	leastRate = 0.05
	// announcePause is between two announcements of a sender that sends.
	announcePause = 2 * time.Second
	// senderTimeout is after how long a sender that announces nothing is taken for idle or
	// lost. It outlasts two announcements.
	senderTimeout = 5 * time.Second
	// returnJitter is the time over which nodes return to an endpoint whose limit has ended.
	returnJitter = time.Second
	// staleNotice is how much older than an own answer the word of another node may be.
	staleNotice = 200 * time.Millisecond
)

// limits is what a node knows of endpoints that name a rate limit. It is pure: no clock, no
// lock, no I/O.
type limits struct {
	self string
	by   map[ID]*limit
}

// limit is what an endpoint takes, and who sends it.
type limit struct {
	rate      float64                  // requests a second from all nodes
	order     []string                 // the nodes in the order in which they become senders
	learnt    clock.Instant            // when this node learnt of it
	named     clock.Instant            // newest own answer that named it; 0: others told
	heard     map[string]clock.Instant // nodes that announced that they send
	tokens    float64                  // requests that this node may send at once, as of filled
	filled    clock.Instant
	announced clock.Instant // newest own announcement
	released  clock.Instant // when this node sends freely again; 0: the limit stands
}

// Notice is what a node tells the others of an endpoint's limit.
type Notice struct {
	Node  string  `json:"node"`
	ID    ID      `json:"id"`
	Rate  float64 `json:"rate,omitempty"`
	Sends bool    `json:"sends,omitempty"` // the node sends requests there
	Ended bool    `json:"ended,omitempty"`
}

func newLimits(self string) *limits { return &limits{self: self, by: map[ID]*limit{}} }

// answered takes up an answer: the limit that it named, nil for none, and when its request
// was sent. It returns whether the others should be told.
func (ls *limits) answered(id ID, rate *float64, sent, now clock.Instant, order func(ID) []string) (tell *Notice) {
	l := ls.by[id]
	switch {
	case rate != nil && l == nil:
		l = ls.add(id, *rate, now, order)
		l.named = now
		return &Notice{Node: ls.self, ID: id, Rate: *rate}
	case rate != nil:
		l.rate, l.named, l.released = *rate, now, 0
		return nil
	case l == nil || l.released != 0 || !sent.After(max(l.learnt, l.named)):
		// An answer to a request that was sent before the limit was known may have
		// overtaken those that name it.
		return nil
	}
	l.release(ls.self, id, now)
	return &Notice{Node: ls.self, ID: id, Ended: true}
}

func (ls *limits) add(id ID, rate float64, now clock.Instant, order func(ID) []string) *limit {
	l := &limit{rate: rate, order: order(id), learnt: now, filled: now, heard: map[string]clock.Instant{}}
	ls.by[id] = l
	return l
}

// release ends the limit for this node a little later, each node at a time of its own.
func (l *limit) release(self string, id ID, now clock.Instant) {
	l.released = now.Add(jitter(self, id, returnJitter))
}

// jitter returns a part of a time that differs from node to node.
func jitter(self string, id ID, over time.Duration) time.Duration {
	const steps = 1000
	return over * time.Duration(xxhash.Sum64String(self+" "+string(id))%steps) / steps
}

// hear takes up another node's notice. It reports whether the limit is new here, or ended.
func (ls *limits) hear(n Notice, now clock.Instant, order func(ID) []string) bool {
	l := ls.by[n.ID]
	switch {
	case n.Ended:
		if l == nil || l.released != 0 || l.named != 0 && now.Sub(l.named) < staleNotice {
			return false
		}
		l.release(ls.self, n.ID, now)
		return true
	case l == nil:
		l = ls.add(n.ID, n.Rate, now, order)
		l.noteSender(n, now)
		return true
	}
	l.noteSender(n, now)
	if l.named == 0 || now.Sub(l.named) > announcePause {
		l.rate = n.Rate
	}
	return false
}

func (l *limit) noteSender(n Notice, now clock.Instant) {
	if n.Sends {
		l.heard[n.Node] = now
	}
}

// allows reports whether this node may send a request now.
func (ls *limits) allows(id ID, now clock.Instant) bool {
	l := ls.by[id]
	return l == nil || l.over(now) || l.sends(ls.self, now) && l.level(now) >= 1
}

// take counts a request that is about to be sent. It returns what the others should be told.
func (ls *limits) take(id ID, now clock.Instant) (ok bool, tell *Notice) {
	l := ls.by[id]
	switch {
	case l == nil:
		return true, nil
	case l.over(now):
		delete(ls.by, id)
		return true, nil
	case !l.sends(ls.self, now) || l.level(now) < 1:
		return false, nil
	}
	l.tokens, l.filled = l.level(now)-1, now
	if now.Sub(l.announced) < announcePause {
		return true, nil
	}
	l.announced = now
	return true, &Notice{Node: ls.self, ID: id, Rate: l.rate, Sends: true}
}

func (l *limit) over(now clock.Instant) bool { return l.released != 0 && now >= l.released }

// senders is how many nodes share the limit.
func (l *limit) senders() int {
	n := leastSenders + int(min(sendersPerRate*l.rate, float64(len(l.order))))
	return max(1, min(n, len(l.order)))
}

// share is the rate of one sender.
func (l *limit) share() float64 {
	return max(leastRate, headroom*l.rate/float64(l.senders()))
}

// level returns the tokens now. More than one would let requests that come together exceed
// the bound.
func (l *limit) level(now clock.Instant) float64 {
	return min(1, l.tokens+l.share()*now.Sub(l.filled).Seconds())
}

// announceTimeout is how long a sender may announce nothing: one with a low rate sends rarely.
func (l *limit) announceTimeout() time.Duration {
	return max(senderTimeout, time.Duration(2/l.share()*float64(time.Second)))
}

// sends reports whether this node is a sender. The first nodes in order are; those that
// announce nothing for a while are idle, cut off or lost, and the next ones take their place.
// Once others work no further one joins, and one that works gives way to those before it.
func (l *limit) sends(self string, now clock.Instant) bool {
	if l.active(l.announced, now) {
		return l.before(self, now) < l.senders()
	}
	others := 0
	for _, heard := range l.heard {
		if l.active(heard, now) {
			others++
		}
	}
	return others < l.senders() && l.before(self, now) < l.senders()
}

// active reports whether a node that announced at announced (0: never) sends.
func (l *limit) active(announced, now clock.Instant) bool {
	return announced != 0 && now.Sub(announced) < l.announceTimeout()
}

// before returns how many nodes before this one send or may still begin to, as many as share
// the limit at most.
func (l *limit) before(self string, now clock.Instant) (n int) {
	most := l.senders()
	for k, node := range l.order {
		if node == self || n == most {
			break
		}
		heard := l.heard[node]
		if l.active(heard, now) || heard == 0 && now < l.learnt.Add(l.joinDelay(k)) {
			n++
		}
	}
	return n
}

// joinDelay is how long the node at position k may take until it sends first. It grows by one
// silence each time that twice as many nodes could have: many that are all idle must not
// become senders at the same moment.
func (l *limit) joinDelay(k int) time.Duration {
	return time.Duration(max(1, bits.Len(uint(k)))) * l.announceTimeout()
}

// retryAfter returns after how long the endpoint can take another request, whoever sends it.
func (ls *limits) retryAfter(id ID) time.Duration {
	l := ls.by[id]
	if l == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / max(leastRate, headroom*l.rate))
}

// keep drops what is known of endpoints that are neither listed nor spoken of, and takes up
// which nodes there are now.
func (ls *limits) keep(listed func(ID) bool, now clock.Instant, order func(ID) []string) {
	for id, l := range ls.by {
		l.order = order(id)
		newest := max(l.learnt, l.named)
		for _, heard := range l.heard {
			newest = max(newest, heard)
		}
		if l.over(now) || !listed(id) && now.Sub(newest) > unlistedMemory {
			delete(ls.by, id)
		}
	}
}

// unlistedMemory is how long an endpoint that isn't listed is remembered: its entry may be back
// after an outage of the platform.
const unlistedMemory = time.Minute
