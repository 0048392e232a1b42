package probe

import (
	"slices"

	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/view"
)

// Watched returns the endpoints of the snapshot's availability zone that node
// self is to watch: those for which it is among the first watchers of the zone's
// usable nodes in rendezvous order.
func Watched(snap *view.Snapshot, watchers int) []fleet.Record {
	nodes := append(ZoneNodes(snap), snap.Self.VM)
	var out []fleet.Record
	for i := range snap.VMs {
		r := &snap.VMs[i].Record
		if r.Zone != snap.Zone || r.Kind == fleet.KindEntry || r.Addr == "" {
			continue
		}
		if slices.Contains(membership.TopK(string(r.VM), nodes, watchers), snap.Self.VM) {
			out = append(out, *r)
		}
	}
	return out
}

// ZoneNodes returns the other entry nodes of the snapshot's zone that are alive.
// A suspected node is left out: watching an endpoint by one node too many does
// no harm, by one too few may.
func ZoneNodes(snap *view.Snapshot) []fleet.VM {
	var out []fleet.VM
	for i := range snap.Nodes {
		n := &snap.Nodes[i]
		if n.Zone == snap.Zone && n.State == view.NodeAlive && !n.Draining {
			out = append(out, n.VM)
		}
	}
	return out
}
