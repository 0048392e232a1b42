package backpressure

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/clock"
)

// ID identifies one process lifetime of an endpoint.
type ID string

// Parameters for sharing a limit. With a total rate of headroom x limit and one token for each
// sender, two views of the nodes that have no sender in common stay within 1.5 times the limit
// plus four requests, in any window of 4 s.
const (
	// minSenders is how many nodes at least send to a rate-limited endpoint, and sendersPerRate
	// how many more for each request a second, since a single node may have few requests for the
	// endpoint.
	minSenders     = 2
	sendersPerRate = 0.6
	// headroom is the share of a limit that the senders use.
	headroom = 0.6
	// minSenderRate is the minimum rate of a sender, in requests a second: only an answer shows
	// that a limit has ended.
	minSenderRate = 0.05
	// announceInterval is the minimum interval between two announcements of an active sender.
	announceInterval = 2 * time.Second
	// senderTimeout is the time without an announcement after which a sender counts as idle or
	// lost. It covers two announcements.
	senderTimeout = 5 * time.Second
	// returnJitter is the time over which the nodes resume sending after a limit has ended.
	returnJitter = time.Second
	// staleNoticeWindow is the time after an answer that named the limit in which another node's
	// notice of its end is ignored as older.
	staleNoticeWindow = 200 * time.Millisecond
)

// limits has the endpoints that name a rate limit, as far as this node knows. It has no clock
// and no lock, and does no I/O.
type limits struct {
	node string
	byID map[ID]*limit
}

// limit is the rate limit of one endpoint and the state of its senders.
type limit struct {
	rate        float64                  // requests a second from all nodes
	order       []string                 // the nodes in the order in which they become senders; empty: not known yet
	learntAt    clock.Instant            // when this node first learnt of the limit
	namedAt     clock.Instant            // when an answer to this node last named it; 0: known from notices only
	heardAt     map[string]clock.Instant // when each sending node last announced itself
	tokens      float64                  // requests that this node may send at once, as of refilledAt
	refilledAt  clock.Instant
	announcedAt clock.Instant // when this node last announced itself
	releasedAt  clock.Instant // when this node sends without limit again; 0: the limit is in force
}

// Notice informs other nodes of an endpoint's rate limit or its end.
type Notice struct {
	Node     string  `json:"node"`
	ID       ID      `json:"id"`
	Rate     float64 `json:"rate,omitempty"`
	IsSender bool    `json:"sends,omitempty"` // the node sends requests to the endpoint
	Ended    bool    `json:"ended,omitempty"`
}

func newLimits(self string) *limits { return &limits{node: self, byID: map[ID]*limit{}} }

// recordAnswer processes an answer to a request that was sent at sentAt. rate is the limit that
// it names, nil if none. It returns a notice for the other nodes, or nil.
func (ls *limits) recordAnswer(id ID, rate *float64, sentAt, now clock.Instant, order func(ID) []string) (notice *Notice) {
	l := ls.byID[id]
	switch {
	case rate != nil && l == nil:
		l = ls.add(id, *rate, now, order)
		l.namedAt = now
		return &Notice{Node: ls.node, ID: id, Rate: *rate}
	case rate != nil:
		l.rate, l.namedAt, l.releasedAt = *rate, now, 0
		return nil
	case l == nil || l.releasedAt != 0 || !sentAt.After(max(l.learntAt, l.namedAt)):
		// An answer to a request that was sent before the limit was known may arrive after those
		// that name it.
		return nil
	}
	l.release(ls.node, id, now)
	return &Notice{Node: ls.node, ID: id, Ended: true}
}

func (ls *limits) add(id ID, rate float64, now clock.Instant, order func(ID) []string) *limit {
	l := &limit{rate: rate, order: order(id), learntAt: now, refilledAt: now, heardAt: map[string]clock.Instant{}}
	ls.byID[id] = l
	return l
}

// release ends the limit for this node after a delay that differs between nodes.
func (l *limit) release(self string, id ID, now clock.Instant) {
	l.releasedAt = now.Add(jitter(self, id, returnJitter))
}

// jitter returns a fraction of over that differs between nodes.
func jitter(self string, id ID, over time.Duration) time.Duration {
	const steps = 1000
	return over * time.Duration(xxhash.Sum64String(self+" "+string(id))%steps) / steps
}

// applyNotice processes another node's notice. It reports whether it starts or ends a limit
// here.
func (ls *limits) applyNotice(n Notice, now clock.Instant, order func(ID) []string) bool {
	l := ls.byID[n.ID]
	switch {
	case n.Ended:
		if l == nil || l.releasedAt != 0 || l.namedAt != 0 && now.Sub(l.namedAt) < staleNoticeWindow {
			return false
		}
		l.release(ls.node, n.ID, now)
		return true
	case l == nil:
		l = ls.add(n.ID, n.Rate, now, order)
		l.noteSender(n, now)
		return true
	}
	l.noteSender(n, now)
	if l.namedAt == 0 || now.Sub(l.namedAt) > announceInterval {
		l.rate = n.Rate
	}
	return false
}

func (l *limit) noteSender(n Notice, now clock.Instant) {
	if n.IsSender {
		l.heardAt[n.Node] = now
	}
}

// isAllowed reports whether this node may send a request now.
func (ls *limits) isAllowed(id ID, now clock.Instant) bool {
	l := ls.byID[id]
	return l == nil || l.isReleased(now) || l.isSender(ls.node, now) && l.availableTokens(now) >= 1
}

// tryTake reports whether a request may be sent now, and counts it. It also returns a notice for
// the other nodes, or nil.
func (ls *limits) tryTake(id ID, now clock.Instant) (ok bool, notice *Notice) {
	l := ls.byID[id]
	switch {
	case l == nil:
		return true, nil
	case l.isReleased(now):
		delete(ls.byID, id)
		return true, nil
	case !l.isSender(ls.node, now) || l.availableTokens(now) < 1:
		return false, nil
	}
	l.tokens, l.refilledAt = l.availableTokens(now)-1, now
	if now.Sub(l.announcedAt) < announceInterval {
		return true, nil
	}
	l.announcedAt = now
	return true, &Notice{Node: ls.node, ID: id, Rate: l.rate, IsSender: true}
}

func (l *limit) isReleased(now clock.Instant) bool { return l.releasedAt != 0 && now >= l.releasedAt }

// senders returns the number of nodes that share the limit.
func (l *limit) senders() int {
	n := minSenders + int(min(sendersPerRate*l.rate, float64(len(l.order))))
	return max(1, min(n, len(l.order)))
}

// ratePerSender returns the rate of one sender, in requests a second.
func (l *limit) ratePerSender() float64 {
	return max(minSenderRate, headroom*l.rate/float64(l.senders()))
}

// availableTokens returns the number of tokens now, at most one: with more, simultaneous
// requests would exceed the bound.
func (l *limit) availableTokens(now clock.Instant) float64 {
	return min(1, l.tokens+l.ratePerSender()*now.Sub(l.refilledAt).Seconds())
}

// announceTimeout returns the time without an announcement after which a sender counts as idle.
// It is longer for a low rate, at which a sender rarely sends.
func (l *limit) announceTimeout() time.Duration {
	return max(senderTimeout, time.Duration(2/l.ratePerSender()*float64(time.Second)))
}

// isSender reports whether this node is a sender. The first nodes in order are; those without
// recent announcements are idle, cut off or lost, and the next ones replace them. While enough
// other nodes are active no further one joins, and an active sender yields to those before it.
func (l *limit) isSender(self string, now clock.Instant) bool {
	if len(l.order) == 0 {
		return false
	}
	if l.isActive(l.announcedAt, now) {
		return l.countBefore(self, now) < l.senders()
	}
	others := 0
	for _, heard := range l.heardAt {
		if l.isActive(heard, now) {
			others++
		}
	}
	return others < l.senders() && l.countBefore(self, now) < l.senders()
}

// isActive reports whether a node that last announced itself at announcedAt (0: never) counts as a
// sender.
func (l *limit) isActive(announcedAt, now clock.Instant) bool {
	return announcedAt != 0 && now.Sub(announcedAt) < l.announceTimeout()
}

// countBefore returns how many nodes before this one are active or may still become so, up to
// the number of senders.
func (l *limit) countBefore(self string, now clock.Instant) (n int) {
	senders := l.senders()
	for k, node := range l.order {
		if node == self || n == senders {
			break
		}
		heard := l.heardAt[node]
		if l.isActive(heard, now) || heard == 0 && now < l.learntAt.Add(l.joinDelay(k)) {
			n++
		}
	}
	return n
}

// joinDelay returns the time that the node at position k has until its first announcement. It
// grows by one timeout each time the position doubles: many idle nodes must not become senders
// at the same moment.
func (l *limit) joinDelay(k int) time.Duration {
	return time.Duration(max(1, bits.Len(uint(k)))) * l.announceTimeout()
}

// retryAfter returns the time until the endpoint can accept another request, from any node.
func (ls *limits) retryAfter(id ID) time.Duration {
	l := ls.byID[id]
	if l == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / max(minSenderRate, headroom*l.rate))
}

// refresh updates the order of senders, and deletes limits that were released and those of
// unlisted endpoints without recent news.
func (ls *limits) refresh(listed func(ID) bool, now clock.Instant, order func(ID) []string) {
	for id, l := range ls.byID {
		l.order = order(id)
		lastSeen := max(l.learntAt, l.namedAt)
		for _, heard := range l.heardAt {
			lastSeen = max(lastSeen, heard)
		}
		if l.isReleased(now) || !listed(id) && now.Sub(lastSeen) > unlistedMemory {
			delete(ls.byID, id)
		}
	}
}

// unlistedMemory is how long an endpoint that isn't listed is remembered: its entry may reappear
// after an outage of the platform.
const unlistedMemory = time.Minute
