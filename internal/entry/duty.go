package entry

import "hash/fnv"

// The ranks of a node for a zone's duty. Each rank waits a step (half a second) longer
// for a lease that has become free.
const (
	rankFirst  = 0
	rankSecond = 1
	rankLater  = 2
	// rankOther is of nodes of other zones where a zone has many of its own. What a node
	// is told of leases is up to 0.9 s old: with a step less, another zone's node was
	// often there first, and one held three duties of 219 engines each. Late with their
	// reports, it took engines for lost by the dozen.
	rankOther   = 4
	rankNever   = 6 // as many ranks follow a lease
	largerBy    = 1.5
	largeAlone  = 0.5 // of a core: carries a duty beside its requests
	mediumAlone = 0.3
)

// rank spreads the duties. Of a zone's nodes the largest try first, half of them a step
// later; then its smaller ones, and the largest of the other zones. The holder of a zone
// with 219 engines takes 20 to 47 s of processor time over 48 s; a machine with a fifth
// of a core can't carry that, and is late with all that it knows.
//
// A node that holds another duty comes after those that hold none.
func (n *Node) rank(zone string) int {
	if zone != n.Settings.Zone {
		return n.rankElsewhere(zone)
	}
	if n.leaseRows.zoneNodes(zone) == 0 && n.Settings.Cores > 0 {
		return rankAlone(n.Settings.Cores)
	}
	if n.small() {
		return rankLater
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.Settings.VM)) // never fails
	return int(h.Sum32() % (rankSecond + 1))
}

// rankElsewhere is the rank for another zone's duty.
func (n *Node) rankElsewhere(zone string) int {
	if n.small() || n.leaseRows.zoneNodes(zone) == 0 && n.Settings.Cores > 0 && n.Settings.Cores < mediumAlone {
		return rankNever
	}
	if !n.shares(zone) {
		return rankLater
	}
	rank := rankOther
	for _, other := range n.Settings.Zones {
		if other != zone && n.holds(other) {
			rank++
		}
	}
	return rank
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
	return rankLater
}
