package backpressure

import (
	"maps"
	"math"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// notCold is the cold rate of an endpoint that isn't cold.
const notCold = 0

// fewNodesShare is the share of a cold rate that is used if there are fewer nodes than senders are
// wanted. Each node may then send more than one request in a second, and a second may contain one
// more of each node than its rate.
const fewNodesShare = 0.75

// coldRates shares the rates that cold endpoints accept from all nodes together. The first nodes
// of an endpoint's order send one request at a time, the others none. An endpoint is cold for
// seconds, so that no other node replaces a sender that is idle or lost: two nodes with different
// views of the senders' state would both send. It has no clock and no lock, and does no I/O.
type coldRates struct {
	node      string
	startedAt clock.Instant // of this process
	byID      map[ID]*coldBucket
}

// coldBucket is this node's share of the rate of one cold endpoint.
type coldBucket struct {
	rate       float64 // requests a second of this node; 0: it sends nothing
	isShared   bool    // the other nodes were known when the rate was shared
	tokens     float64 // requests that it may send at once, as of refilledAt
	refilledAt clock.Instant
}

func newColdRates(self string, now clock.Instant) *coldRates {
	return &coldRates{node: self, startedAt: now, byID: map[ID]*coldBucket{}}
}

// isAllowed reports whether this node may send a request to an endpoint with that cold rate now.
func (cs *coldRates) isAllowed(id ID, rate float64, now clock.Instant, order func(ID) []string) bool {
	if rate <= notCold {
		return true
	}
	b := cs.byID[id]
	if b == nil || !b.isShared {
		senders := order(id)
		// The node's previous process may have used its share just before this one started.
		b = &coldBucket{rate: shareOfColdRate(rate, cs.node, senders), isShared: len(senders) > 0, refilledAt: cs.startedAt}
		cs.byID[id] = b
	}
	return b.rate > 0 && b.availableTokens(now) >= 1
}

// recordSend counts a request that is allowed.
func (cs *coldRates) recordSend(id ID, rate float64, now clock.Instant) {
	if b := cs.byID[id]; b != nil && rate > notCold {
		b.tokens, b.refilledAt = b.availableTokens(now)-1, now
	}
}

// availableTokens returns the number of tokens now, at most one.
func (b *coldBucket) availableTokens(now clock.Instant) float64 {
	return min(1, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
}

// shareOfColdRate returns a node's share of a rate; order has all nodes, senders first, or none
// while they aren't known. Each of the senders has a rate below one a second, so that together they
// send no more than their number in any second.
func shareOfColdRate(rate float64, node string, order []string) float64 {
	senders := int(math.Ceil(rate)) + 1
	switch i := slices.Index(order, node); {
	case i < 0 || i >= senders:
		return 0
	case len(order) < senders:
		return fewNodesShare * rate / float64(len(order))
	}
	return rate / float64(senders)
}

// retryAfter returns the time until this node may send the endpoint another request.
func (cs *coldRates) retryAfter(id ID, now clock.Instant) time.Duration {
	b := cs.byID[id]
	if b == nil {
		return 0
	}
	if b.rate == 0 {
		return time.Second
	}
	return max(0, time.Duration((1-b.availableTokens(now))/b.rate*float64(time.Second)))
}

// retain deletes the state of all endpoints for which keep is false.
func (cs *coldRates) retain(keep func(ID) bool) {
	maps.DeleteFunc(cs.byID, func(id ID, _ *coldBucket) bool { return !keep(id) })
}
