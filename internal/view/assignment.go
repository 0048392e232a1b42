package view

import (
	"slices"

	"chervilloom/internal/fleet"
)

// Assignment says which subjects of its zone a node watches: those for which it
// is among the first nodes in rendezvous order. It remembers the answers as long
// as the nodes are the same. It is not safe for concurrent use.
type Assignment struct {
	// First returns the k nodes that come first for a subject in rendezvous
	// order.
	First    func(subject string, nodes []fleet.VM, k int) []fleet.VM
	Watchers int // nodes that watch a subject

	nodes  []fleet.VM
	places map[string]int
}

// Update sets the nodes, self included.
func (a *Assignment) Update(nodes []fleet.VM) {
	if a.places != nil && slices.Equal(a.nodes, nodes) {
		return
	}
	a.nodes = slices.Clone(nodes)
	a.places = map[string]int{}
}

// place returns the position of self for the subject, Watchers when it is none
// of the first.
func (a *Assignment) place(self fleet.VM, subject string) int {
	n, ok := a.places[subject]
	if ok {
		return n
	}
	n = slices.Index(a.First(subject, a.nodes, a.Watchers), self)
	if n < 0 {
		n = a.Watchers
	}
	if len(a.places) >= maxPlaces {
		clear(a.places) // groups come and go; their ids are never used again
	}
	a.places[subject] = n
	return n
}

// maxPlaces bounds the answers that are remembered.
const maxPlaces = 16384

// Watches reports whether self watches the subject.
func (a *Assignment) Watches(self fleet.VM, subject string) bool {
	return a.place(self, subject) < a.Watchers
}

// Leads reports whether self comes first of those that watch the subject.
func (a *Assignment) Leads(self fleet.VM, subject string) bool { return a.place(self, subject) == 0 }

// ZoneNodes returns the other entry nodes of the snapshot's zone that share its
// duties: those that are alive and not draining. A suspected node is left out:
// an endpoint watched by one node too many does no harm, by one too few may.
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
