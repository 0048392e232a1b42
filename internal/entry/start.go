package entry

import (
	"slices"
	"time"
)

const (
	// seekFor is how long a node that starts looks for one to follow before it reads
	// the store itself: a lease that is free is taken within a second.
	seekFor = 1200 * time.Millisecond
	// seekPause is the pause between two looks meanwhile.
	seekPause = 50 * time.Millisecond
)

// seeking reports whether a node that has just started leaves the store to others. At
// the start of 295 nodes each of them read configuration, endpoints (three pages) and
// leases until it knew whom to follow, some 13 calls a node by the pauses of its reads. A few nodes read at once
// instead: there each call is needed sooner and there are few.
func (n *Node) seeking() bool {
	if n.Clock.Now().Sub(n.began) >= seekFor || n.config.current.Load() != nil {
		return false
	}
	if !n.leaseRows.known() {
		return true // one read of the leases tells how many nodes there are
	}
	if n.rank(n.Settings.Zone) == rankFirst || n.leaseRows.owner(n.Settings.Zone) == n.Settings.VM {
		return false
	}
	return n.Settings.Bootstrap || n.shares(n.Settings.Zone)
}

// leavesStore reports whether the configuration comes from another node.
func (n *Node) leavesStore() bool { return n.follower.following() || n.seeking() }

// leavesList reports whether the endpoints come from another node, which tells only of
// those that take requests. Who holds a duty plans by all of them.
func (n *Node) leavesList() bool { return n.leavesStore() && !n.holdsAny() }

// holdsAny reports whether this node holds the duty of some zone.
func (n *Node) holdsAny() bool { return slices.ContainsFunc(n.Settings.Zones, n.holds) }

// leavesLeases reports whether the lease rows come from another node. Without the own
// zone's holder those that are to be the next one read them: what another zone's holder
// tells is a second older. The small ones of many wait for it.
func (n *Node) leavesLeases() bool {
	if n.follower.followingOwn() {
		return true
	}
	return n.follower.following() && n.rank(n.Settings.Zone) >= rankSmall
}
