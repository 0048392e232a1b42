package entry

import (
	"slices"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/news"
	"chervilloom/internal/roster"
)

func (n *Node) newBackpressureGuard() *backpressure.Guard {
	return backpressure.New(backpressure.Options{
		Node: n.Settings.VM, Clock: n.Clock, Log: n.Log, Registerer: n.Registry,
		SenderOrder: n.backpressureOrder, Broadcast: n.announceBackpressure, OnLeaving: n.handleEndpointLeaving,
	})
}

// backpressureOrder returns the nodes in rendezvous order for an endpoint. Nodes of its zone
// come first because they can reach it even if the zone is partitioned from the others. It returns
// none while this node isn't listed among them.
func (n *Node) backpressureOrder(id backpressure.ID) []string {
	var zone string
	if e := n.roster.current.Load().Get(roster.ID(id)); e != nil {
		zone = e.Zone
	}
	near, far := n.leaseCache.listedNodesByZone(zone)
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

// announceBackpressure sends a notice to all nodes. The end of a limit is sent twice: a node
// that misses it would hold requests back for longer than necessary.
func (n *Node) announceBackpressure(m backpressure.Notice) {
	if m.Ended {
		n.broadcast(news.Message{Pressure: &m})
	}
	n.broadcast(news.Message{Pressure: &m})
}

func (n *Node) isListed(id backpressure.ID) bool {
	return n.roster.current.Load().Get(roster.ID(id)) != nil
}

func (n *Node) isCold(id backpressure.ID) bool {
	e := n.roster.current.Load().Get(roster.ID(id))
	return e != nil && (e.Cold || n.evacuations.presumedCold()[e.Zone])
}

// handleEndpointLeaving removes an endpoint that reported its shutdown from selection at all
// nodes: the endpoint list may show it later or be unavailable.
func (n *Node) handleEndpointLeaving(id backpressure.ID) {
	e := n.roster.current.Load().Get(roster.ID(id))
	if e == nil || !e.Usable() {
		return // known already from the list or another node
	}
	leaves := []roster.ID{e.ID}
	n.roster.markLeaving(leaves, nil)
	n.broadcast(news.Message{Leaving: leaves})
}
