package entry

// The ranks of a node for a zone's duty. With each rank, a node waits one more step (half a
// second) before it acquires a free lease.
const (
	rankFirst  = 0
	rankSecond = 1
	// rankOther is the lowest rank of nodes from other zones. In zones with many nodes each
	// such node gets one of spreadRanks by a hash of its own name and the zone's, so that
	// several leases that become free at once don't go to the same node.
	rankOther   = 2
	spreadRanks = 3
	// rankHolder is the rank of nodes that hold a duty already. A node that held three
	// duties of 219 engines each processed their reports late and declared dozens of
	// engines lost.
	rankHolder = rankOther + spreadRanks
	// rankSmall is the rank of a zone's small nodes if it has larger ones. A fifth of a
	// core is too little for 219 engines and 59 followers: such a node could neither read
	// the endpoint list within 700 ms nor renew its lease.
	rankSmall = rankHolder + 1
	// rankNever is the rank of nodes that do not compete for the lease. It is also the number
	// of ranks below it, whose nodes watch the lease.
	rankNever = rankSmall + 1
)

// Node sizes, in cores.
const (
	// largerSizeRatio is the size ratio from which another node counts as larger. Machines
	// of one kind differ by less.
	largerSizeRatio = 1.5
	// A node that has no rows of other nodes yet has the first rank from largeNodeCores on and
	// the second from mediumNodeCores on. Smaller nodes wait until the rows of larger ones can
	// be read.
	largeNodeCores  = 0.5
	mediumNodeCores = 0.3
)

// rank returns this node's rank for a zone's duty. In the zone itself the largest nodes
// come first, half of them one rank lower. Next are the largest nodes of other zones, those
// that hold a duty last, and then the zone's small nodes.
func (n *Node) rank(zone string) int {
	if zone != n.Settings.Zone {
		return n.rankForOtherZone(zone)
	}
	if n.leaseCache.zoneNodeCount(zone) == 0 && n.Settings.Cores > 0 {
		return rankWithoutPeers(n.Settings.Cores)
	}
	if n.isSmall() {
		return rankSmall
	}
	return n.hashedRank(zone, rankSecond+1)
}

// hashedRank returns a rank below the given bound by a hash of the node's and the zone's
// names.
func (n *Node) hashedRank(zone string, bound int) int {
	return int(hashName(n.Settings.VM+" "+zone) % uint32(bound))
}

// rankForOtherZone returns the rank for the duty of another zone.
func (n *Node) rankForOtherZone(zone string) int {
	if n.isSmall() || n.leaseCache.zoneNodeCount(zone) == 0 && n.Settings.Cores > 0 && n.Settings.Cores < mediumNodeCores {
		return rankNever
	}
	if !n.usesBoard(zone) {
		return rankOther
	}
	for _, other := range n.Settings.Zones {
		if other != zone && n.holdsDuty(other) {
			return rankHolder
		}
	}
	return rankOther + n.hashedRank(zone, spreadRanks)
}

// isSmall reports whether this zone has nodes that are clearly larger than this one.
func (n *Node) isSmall() bool {
	return n.Settings.Cores > 0 && n.leaseCache.maxCores(n.Settings.Zone) >= largerSizeRatio*n.Settings.Cores
}

// rankWithoutPeers returns the rank of a node without rows of other nodes, as when all
// nodes start at once.
func rankWithoutPeers(cores float64) int {
	switch {
	case cores >= largeNodeCores:
		return rankFirst
	case cores >= mediumNodeCores:
		return rankSecond
	}
	return rankSmall
}
