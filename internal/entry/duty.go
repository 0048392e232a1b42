package entry

import "hash/fnv"

// The ranks of a node for a zone's duty. Each rank waits a step (half a second) longer
// for a lease that has become free; who is last of all leaves it alone.
const (
	rankFirst   = 0
	rankSecond  = 1
	rankLater   = 2
	rankNever   = 3 // as many as follow a lease
	largerBy    = 1.5
	largeAlone  = 0.5 // of a core: carries a duty beside its requests
	mediumAlone = 0.3
)

// rank spreads the duties. Of a zone's nodes the largest try first, half of them a step
// later; then its smaller ones, and the largest of the other zones. The holder of a zone
// with 219 engines takes 20 to 47 s of processor time over 48 s; a machine with a fifth
// of a core can't carry that, and is late with all that it knows.
func (n *Node) rank(zone string) int {
	zoned := n.leaseRows.zoneNodes(zone) > 0
	small := n.Settings.Cores > 0 && n.leaseRows.largest(n.Settings.Zone) >= largerBy*n.Settings.Cores
	switch {
	case zone != n.Settings.Zone && (small || !zoned && n.Settings.Cores < mediumAlone):
		return rankNever
	case zone != n.Settings.Zone || zoned && small:
		return rankLater
	case !zoned && n.Settings.Cores > 0:
		return rankAlone(n.Settings.Cores)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.Settings.VM)) // never fails
	return int(h.Sum32() % (rankSecond + 1))
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
