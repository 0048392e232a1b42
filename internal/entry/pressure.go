package entry

import (
	"slices"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/news"
	"chervilloom/internal/roster"
)

func (n *Node) newPressure() *backpressure.Guard {
	return backpressure.New(backpressure.Options{
		Node: n.Settings.VM, Clock: n.Clock, Log: n.Log, Registerer: n.Registry,
		Order: n.pressureOrder, Announce: n.announcePressure, Leaves: n.endpointLeaves,
	})
}

// pressureOrder returns the nodes in rendezvous order for an endpoint, those of its zone
// first: they reach it also while the zone is cut off.
func (n *Node) pressureOrder(id backpressure.ID) []string {
	var zone string
	if e := n.roster.current.Load().Get(roster.ID(id)); e != nil {
		zone = e.Zone
	}
	near, far := n.leaseRows.nodesBeside(zone, n.Settings.VM, n.Settings.Zone)
	return slices.Concat(rendezvous(id, near), rendezvous(id, far))
}

func rendezvous(id backpressure.ID, vms []string) []string {
	all := make([]fleet.VM, len(vms))
	for i, vm := range vms {
		all[i] = fleet.VM(vm)
	}
	out := make([]string, 0, len(vms))
	for _, vm := range membership.TopK(string(id), all, len(all)) {
		out = append(out, string(vm))
	}
	return out
}

// announcePressure tells all nodes. The end of a limit is told twice: whoever misses it
// holds requests back for longer than the endpoint needs.
func (n *Node) announcePressure(m backpressure.Notice) {
	if m.Ended {
		n.spread(news.Message{Pressure: &m})
	}
	n.spread(news.Message{Pressure: &m})
}

func (n *Node) listed(id backpressure.ID) bool {
	return n.roster.current.Load().Get(roster.ID(id)) != nil
}

// endpointLeaves has all nodes leave an endpoint out that said that it leaves: the list may
// tell it later, or be out of reach.
func (n *Node) endpointLeaves(id backpressure.ID) {
	e := n.roster.current.Load().Get(roster.ID(id))
	if e == nil || !e.Usable() {
		return // the list told it, or another node
	}
	leaves := []roster.ID{e.ID}
	n.roster.leaving(leaves, nil)
	n.spread(news.Message{Leaving: leaves})
}
