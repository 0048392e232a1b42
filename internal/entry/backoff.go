package entry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// backoff spaces the calls to a store that fails. All nodes of a fleet asking twice a second
// each for configuration, endpoints and leases make thousands of calls in an outage of some
// seconds, which can't be answered and which delay the first ones that can. A few nodes of
// each zone go on at the full pace, so that its return is seen as soon; the others ask them
// who has seen it, and the store itself less often the longer it fails: some of them may
// reach a store that turns those few away.
type backoff struct {
	// eager reports whether this node is one of the few.
	eager    func() bool
	failures int // in a row
}

const (
	// backoffFree is how many failures in a row delay nothing: one call may be lost.
	backoffFree = 1
	// backoffMost bounds the pause between two calls of one kind.
	backoffMost = 3 * time.Second
)

// failed returns the pause after a call that failed, where calls are usually that far apart.
func (b *backoff) failed(usual time.Duration) time.Duration {
	b.failures++
	over := b.failures - backoffFree
	if over <= 0 || b.eager == nil || b.eager() {
		return usual
	}
	return max(usual, min(backoffMost, usual<<min(over, 8)))
}

func (b *backoff) succeeded() { b.failures = 0 }

// eagerNodes is how many nodes of a zone look for a failing store at the full pace.
const eagerNodes = 4

// looksFirst reports whether this node is among those of its zone that look for a failing
// store at the full pace: holders of duties, nodes that know nothing yet, and a few of the
// largest nodes, drawn by their names.
func (n *Node) looksFirst() bool {
	if n.holdsAny() || n.config.current.Load() == nil {
		return true
	}
	return slices.Contains(n.leaseRows.first(n.Settings.Zone, eagerNodes), n.Settings.VM)
}

// first returns some nodes of a zone, the largest first, the same at every node that knows
// the same rows.
func (c *leaseCache) first(zone string, most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.directory()
	nodes := slices.Clone(d.zones[zone])
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.cores[b], d.cores[a]), cmp.Compare(drawOf(a), drawOf(b)))
	})
	return nodes[:min(most, len(nodes))]
}

// drawOf returns a number drawn by a name, the same everywhere.
func drawOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}
