package entry

// The ranks of a node for a zone's duty. Each rank waits a step (half a second) longer
// for a lease that has become free.
const (
	rankFirst  = 0
	rankSecond = 1
	// rankOther is the first of the ranks of other zones' nodes; where zones have many
	// nodes each gets one of spreadRanks by its name and the zone's, so that several
	// duties that become free at once don't fall to one.
	rankOther   = 2
	spreadRanks = 3
	// rankHolder is of nodes that hold a duty already. One that held three of 219 engines
	// each was late with their reports and took engines for lost by the dozen.
	rankHolder = rankOther + spreadRanks
	// rankSmall is of a zone's small nodes where it has larger ones: a fifth of a core
	// doesn't carry 219 engines and 59 followers. It could not read the list within
	// 700 ms, nor renew its lease.
	rankSmall = rankHolder + 1
	rankNever = rankSmall + 1 // as many ranks follow a lease
)

// Sizes of nodes, in cores.
const (
	// largerBy is from how many times its size another node counts as larger: machines
	// of one kind differ by less.
	largerBy = 1.5
	// A node that knows no others yet tries first from largeAlone on and second from
	// mediumAlone on; smaller ones leave it the time to be known.
	largeAlone  = 0.5
	mediumAlone = 0.3
)

// rank spreads the duties. Of a zone's nodes the largest try first, half of them a step
// later; then the largest of the other zones, those that hold a duty last; then the
// zone's small ones.
func (n *Node) rank(zone string) int {
	if zone != n.Settings.Zone {
		return n.rankElsewhere(zone)
	}
	if n.leaseRows.zoneNodes(zone) == 0 && n.Settings.Cores > 0 {
		return rankAlone(n.Settings.Cores)
	}
	if n.small() {
		return rankSmall
	}
	return n.drawn(zone, rankSecond+1)
}

// drawn returns a number below n by the names of the node and the zone.
func (n *Node) drawn(zone string, below int) int {
	return int(drawOf(n.Settings.VM+" "+zone) % uint32(below))
}

// rankElsewhere is the rank for another zone's duty.
func (n *Node) rankElsewhere(zone string) int {
	if n.small() || n.leaseRows.zoneNodes(zone) == 0 && n.Settings.Cores > 0 && n.Settings.Cores < mediumAlone {
		return rankNever
	}
	if !n.shares(zone) {
		return rankOther
	}
	for _, other := range n.Settings.Zones {
		if other != zone && n.holds(other) {
			return rankHolder
		}
	}
	return rankOther + n.drawn(zone, spreadRanks)
}

// small reports whether the own zone has nodes that are clearly larger than this one.
func (n *Node) small() bool {
	return n.Settings.Cores > 0 && n.leaseRows.largest(n.Settings.Zone) >= largerBy*n.Settings.Cores
}

// rankAlone is the rank of a node that knows no others: all start at once.
func rankAlone(cores float64) int {
	switch {
	case cores >= largeAlone:
		return rankFirst
	case cores >= mediumAlone:
		return rankSecond
	}
	return rankSmall
}
