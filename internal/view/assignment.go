package view

import (
	"slices"

	"chervilloom/internal/fleet"
)

// Assignment determines which subjects of its zone a node watches: those for
// which it is among the first nodes in rendezvous order. Results are cached
// until the set of nodes changes. It is not safe for concurrent use.
type Assignment struct {
	// First returns the first k nodes for a subject in rendezvous order.
	First    func(subject string, nodes []fleet.VM, k int) []fleet.VM
	Watchers int // number of nodes that watch each subject

	nodes     []fleet.VM
	positions map[string]int
}

// Update sets the nodes of the zone, including this node.
func (a *Assignment) Update(nodes []fleet.VM) {
	if a.positions != nil && slices.Equal(a.nodes, nodes) {
		return
	}
	a.nodes = slices.Clone(nodes)
	a.positions = map[string]int{}
}

// position returns the index of self among the subject's watchers, or Watchers
// if self is not one of them.
func (a *Assignment) position(self fleet.VM, subject string) int {
	n, ok := a.positions[subject]
	if ok {
		return n
	}
	n = slices.Index(a.First(subject, a.nodes, a.Watchers), self)
	if n < 0 {
		n = a.Watchers
	}
	if len(a.positions) >= maxCachedPositions {
		clear(a.positions) // dissolved groups leave entries behind; their IDs are never reused
	}
	a.positions[subject] = n
	return n
}

// maxCachedPositions bounds the cache of positions.
const maxCachedPositions = 16384

// Watches reports whether self watches the subject.
func (a *Assignment) Watches(self fleet.VM, subject string) bool {
	return a.position(self, subject) < a.Watchers
}

// IsFirstWatcher reports whether self is the first of the nodes that watch the subject.
func (a *Assignment) IsFirstWatcher(self fleet.VM, subject string) bool {
	return a.position(self, subject) == 0
}

// ZoneNodes returns the other entry nodes of the snapshot's zone that share its
// watching: those that are alive and not draining. Suspect nodes are left out:
// one watcher too many for an endpoint does no harm, one too few may.
func (s *Snapshot) ZoneNodes() []fleet.VM {
	var out []fleet.VM
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.Zone == s.Zone && n.State == NodeAlive && !n.Draining {
			out = append(out, n.VM)
		}
	}
	return out
}
