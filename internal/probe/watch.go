package probe

import (
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// WatchedEndpoints returns the endpoints of the snapshot's availability zone that are assigned to
// its own node among the zone's usable nodes.
func WatchedEndpoints(snap *view.Snapshot, assignment *view.Assignment) []fleet.Record {
	assignment.Update(append(snap.ZoneNodes(), snap.Self.VM))
	var out []fleet.Record
	for i := range snap.VMs {
		r := &snap.VMs[i].Record
		if r.Zone != snap.Zone || r.Kind == fleet.KindEntry || r.Addr == "" {
			continue
		}
		if assignment.Watches(snap.Self.VM, string(r.VM)) {
			out = append(out, *r)
		}
	}
	return out
}

// ZoneNodes returns the other usable entry nodes of the snapshot's zone.
func ZoneNodes(snap *view.Snapshot) []fleet.VM { return snap.ZoneNodes() }
