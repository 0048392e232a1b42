package capacity

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

const (
	// maxLoadAge is the age up to which a load report is used as the demand.
	maxLoadAge = 30 * time.Second
	// maxProbeSilence is how long a VM of the node's zone may leave probes
	// unanswered and still count as capacity.
	maxProbeSilence = 30 * time.Second
)

// InputFromSnapshot returns the zones, existing replicas and demand of a snapshot as input of
// Decide. The caller sets the time, the history, the lead time and the outage
// fraction.
func InputFromSnapshot(snap *view.Snapshot, now clock.Instant) Input {
	r := snapshotReader{snap: snap, now: now, in: Input{Config: snap.Config}}
	r.addZone(snap.Zone)
	for i := range snap.Nodes {
		if snap.Nodes[i].State == view.NodeAlive {
			r.addZone(snap.Nodes[i].Zone)
		}
	}
	// The holder of each zone's duty decides for all zones and applies its own
	// zone's targets, so all of them must use the same order.
	slices.SortFunc(r.in.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	r.readVMs()
	for i := range snap.Groups {
		r.readGroup(&snap.Groups[i])
	}
	return r.in
}

type snapshotReader struct {
	snap    *view.Snapshot
	now     clock.Instant
	in      Input
	domains [][]fleet.FabricDomain // names for in.Zones[].VMsPerDomain, by zone and domain
}

// addZone adds a reachable zone. A zone without a live node counts as having no
// capacity: its VMs may be down, and its callers may send requests to other zones.
func (r *snapshotReader) addZone(name fleet.AvailabilityZone) {
	if r.zoneIndex(name) < 0 {
		r.in.Zones = append(r.in.Zones, Zone{Name: name})
		r.domains = append(r.domains, nil)
	}
}

func (r *snapshotReader) zoneIndex(name fleet.AvailabilityZone) int {
	return slices.IndexFunc(r.in.Zones, func(z Zone) bool { return z.Name == name })
}

func (r *snapshotReader) readVMs() {
	for i := range r.snap.VMs {
		v := &r.snap.VMs[i]
		z := r.zoneIndex(v.Record.Zone)
		if z < 0 || !r.isUsable(v) {
			continue
		}
		zone := &r.in.Zones[z]
		zone.AcceleratorsPerVM = max(zone.AcceleratorsPerVM, v.Record.Accelerators)
		d := slices.Index(r.domains[z], v.Record.Domain)
		if d < 0 {
			d = len(zone.VMsPerDomain)
			r.domains[z] = append(r.domains[z], v.Record.Domain)
			zone.VMsPerDomain = append(zone.VMsPerDomain, 0)
		}
		zone.VMsPerDomain[d]++
	}
}

// isUsable reports whether the VM can be part of a replica. Only VMs of the node's
// zone are probed; for other zones the platform's list is used.
func (r *snapshotReader) isUsable(v *view.VM) bool {
	if v.Record.Kind != fleet.KindEngine || v.Leaving || v.Record.State == fleet.StateLeaving {
		return false
	}
	if v.Record.Zone != r.snap.Zone {
		return v.Listed
	}
	return v.Probe.FailingSince == 0 || r.now.Sub(v.Probe.FailingSince) <= maxProbeSilence
}

func (r *snapshotReader) readGroup(g *view.Group) {
	h := ExistingReplicas{Spec: g.Spec, Zone: g.Zone}
	switch g.Phase {
	case fleet.PhaseDraining:
		h.Draining = 1
	case fleet.PhaseForming, fleet.PhaseServing:
		h.Active = 1
	default:
		return
	}
	r.in.ExistingReplicas = append(r.in.ExistingReplicas, h)
	if g.Phase != fleet.PhaseForming {
		r.in.Demand = append(r.in.Demand, r.groupDemand(g))
	}
}

// groupDemand returns the demand on a group. A serving group without a recent load
// report counts as used to the target utilization: a missing report must not
// remove its replica.
func (r *snapshotReader) groupDemand(g *view.Group) Demand {
	d := Demand{Spec: g.Spec, Zone: g.Zone, SlotsPerReplica: float64(g.Load.Slots)}
	if g.LoadAt != 0 && r.now.Sub(g.LoadAt) <= maxLoadAge {
		d.Running, d.Waiting = float64(g.Load.Running), float64(g.Load.Waiting)
		return d
	}
	if g.Phase == fleet.PhaseServing {
		d.Running = targetUtilization * max(d.SlotsPerReplica, DefaultSlotsPerReplica)
	}
	return d
}
