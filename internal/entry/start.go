package entry

import (
	"slices"
	"time"
)

const (
	// seekDuration is how long a starting node looks for a node to follow before it reads the
	// store itself: a free lease is acquired within a second.
	seekDuration = 1200 * time.Millisecond
	// seekInterval is the polling interval during that time.
	seekInterval = 50 * time.Millisecond
)

// isSeeking reports whether this node has just started and leaves reading the store to
// others. When 295 nodes started at once, each read the configuration, the endpoints (three
// pages) and the leases until it knew which node to follow: some 13 calls a node by the
// intervals of its reads. In a small fleet each node reads at once, because the data is
// needed sooner and the calls are few.
func (n *Node) isSeeking() bool {
	if n.Clock.Now().Sub(n.startedAt) >= seekDuration || n.config.current.Load() != nil {
		return false
	}
	if !n.leaseCache.hasRows() {
		return true // one read of the leases is needed to know the number of nodes
	}
	if n.rank(n.Settings.Zone) == rankFirst || n.leaseCache.owner(n.Settings.Zone) == n.Settings.VM {
		return false
	}
	return n.Settings.Bootstrap || n.usesBoard(n.Settings.Zone)
}

// isConfigFed reports whether the configuration comes from another node.
func (n *Node) isConfigFed() bool { return n.follower.isFollowing() || n.isSeeking() }

// isRosterFed reports whether the endpoints come from another node. Such a list contains
// only endpoints that accept requests, while a duty holder plans with all of them and reads
// the store.
func (n *Node) isRosterFed() bool { return n.isConfigFed() && !n.holdsAnyDuty() }

// holdsAnyDuty reports whether this node holds the duty of any zone.
func (n *Node) holdsAnyDuty() bool { return slices.ContainsFunc(n.Settings.Zones, n.holdsDuty) }

// areLeasesFed reports whether the lease rows come from another node. While the local zone
// has no holder, its candidates read the rows themselves, because those from another zone's
// holder are a second older. Small nodes of a zone with larger ones don't.
func (n *Node) areLeasesFed() bool {
	if n.follower.isFollowingOwnZone() {
		return true
	}
	return n.follower.isFollowing() && n.rank(n.Settings.Zone) >= rankSmall
}
