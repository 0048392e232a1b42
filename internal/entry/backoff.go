package entry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// backoff delays calls to a failing store. If every node of a fleet kept asking for
// configuration, endpoints and leases twice a second, an outage of some seconds would cause
// thousands of calls that cannot be answered and that delay the first successful ones. A
// few nodes of each zone keep the usual rate, so that the recovery is noticed without
// delay. The other nodes ask those nodes and leave the store to them while they answer.
// Otherwise they call the store less often the longer it fails.
type backoff struct {
	// usesFullRate reports whether this node keeps the usual rate.
	usesFullRate func() bool
	// peerAsks reports whether another node that calls the store itself answers this one; nil: none.
	peerAsks            func() bool
	consecutiveFailures int
	failedAt            clock.Instant // when the newest failure was recorded
}

const (
	// freeFailures is the number of consecutive failures without a delay: a single call may
	// be lost.
	freeFailures = 1
	// maxBackoff is the longest delay between two calls of one kind.
	maxBackoff = 3 * time.Second
	// maxBackoffWithPeer is the same while another node calls the store and answers this one. It is
	// bounded, because the store may answer this node and not the other.
	maxBackoffWithPeer = 15 * time.Second
)

// isLeftToPeer reports whether the next call is left to another node after a failure. That node passes
// on what it reads once the store is back.
func (b *backoff) isLeftToPeer(now clock.Instant) bool {
	return b.consecutiveFailures > 0 && now.Sub(b.failedAt) < maxBackoffWithPeer &&
		b.peerAsks != nil && b.peerAsks() && !b.usesFullRate()
}

// recordFailure records a failed call and returns the delay before the next one; interval
// is the time between successful calls.
func (b *backoff) recordFailure(interval time.Duration, now clock.Instant) time.Duration {
	b.consecutiveFailures++
	b.failedAt = now
	excess := b.consecutiveFailures - freeFailures
	if excess <= 0 || b.usesFullRate == nil || b.usesFullRate() {
		return interval
	}
	return max(interval, min(maxBackoff, interval<<min(excess, 8)))
}

// reset resets the backoff.
func (b *backoff) reset() { b.consecutiveFailures = 0 }

// fullRateNodes is the number of nodes per zone that call a failing store at the usual rate.
const fullRateNodes = 4

// usesFullRate reports whether this node calls a failing store at the usual rate: duty
// holders and a few of the zone's largest nodes, ordered by a hash of their names. The calls of a
// node that knows no other one are spaced by the storeGate.
func (n *Node) usesFullRate() bool {
	if n.holdsAnyDuty() || n.config.current.Load() == nil && !n.leaseCache.hasRows() {
		return true
	}
	return slices.Contains(n.leaseCache.largestNodes(n.Settings.Zone, fullRateNodes), n.Settings.VM)
}

// leavesStoreToPeer reports whether this node may leave a failing store to another node. It then
// answers no polls: two nodes that waited for each other would both not call the store.
func (n *Node) leavesStoreToPeer() bool { return n.follower.isAnswered() && !n.usesFullRate() }

// largestNodes returns up to limit nodes of a zone, the largest first. All nodes with the
// same rows compute the same result.
func (c *leaseCache) largestNodes(zone string, limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.rowIndex()
	nodes := slices.Clone(d.nodes[zone])
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.cores[b], d.cores[a]), cmp.Compare(hashName(a), hashName(b)))
	})
	return nodes[:min(limit, len(nodes))]
}

// hashName returns the FNV-1a hash of a name, which is the same on every node.
func hashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}
