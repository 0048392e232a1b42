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
	// loadCounts is the age up to which a load report tells the demand.
	loadCounts = 30 * time.Second
	// silentFor is how long a VM of the own zone may leave probes unanswered
	// and still count as room for a replica.
	silentFor = 30 * time.Second
)

// Read takes zones, what is held and what is asked out of a snapshot. Wall,
// History, Lead and Outage are left to the caller.
func Read(snap *view.Snapshot, now clock.Instant) Input {
	r := reader{snap: snap, now: now, in: Input{Config: snap.Config}}
	r.zone(snap.Zone)
	for i := range snap.Nodes {
		if snap.Nodes[i].State == view.NodeAlive {
			r.zone(snap.Nodes[i].Zone)
		}
	}
	// Every zone's holder decides for all zones and carries out its own part:
	// the order must be the same for all of them.
	slices.SortFunc(r.in.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	r.readVMs()
	for i := range snap.Groups {
		r.readGroup(&snap.Groups[i])
	}
	return r.in
}

type reader struct {
	snap    *view.Snapshot
	now     clock.Instant
	in      Input
	domains [][]fleet.FabricDomain // by zone, as in.Zones[].Domains
}

// zone adds a zone that can be reached. Of a zone without a node to ask nothing
// is expected: its callers may come here, and its VMs may be dark.
func (r *reader) zone(name fleet.AvailabilityZone) {
	if r.zoneAt(name) < 0 {
		r.in.Zones = append(r.in.Zones, Zone{Name: name})
		r.domains = append(r.domains, nil)
	}
}

func (r *reader) zoneAt(name fleet.AvailabilityZone) int {
	return slices.IndexFunc(r.in.Zones, func(z Zone) bool { return z.Name == name })
}

func (r *reader) readVMs() {
	for i := range r.snap.VMs {
		v := &r.snap.VMs[i]
		z := r.zoneAt(v.Record.Zone)
		if z < 0 || !r.usable(v) {
			continue
		}
		zone := &r.in.Zones[z]
		zone.Accelerators = max(zone.Accelerators, v.Record.Accelerators)
		d := slices.Index(r.domains[z], v.Record.Domain)
		if d < 0 {
			d = len(zone.Domains)
			r.domains[z] = append(r.domains[z], v.Record.Domain)
			zone.Domains = append(zone.Domains, 0)
		}
		zone.Domains[d]++
	}
}

// usable reports whether a replica could lie on the VM. Probes are made in the
// own zone only; of other zones the platform's list has to do.
func (r *reader) usable(v *view.VM) bool {
	if v.Record.Kind != fleet.KindEngine || v.Leaving || v.Record.State == fleet.StateLeaving {
		return false
	}
	if v.Record.Zone != r.snap.Zone {
		return v.Listed
	}
	return v.Probe.Failing == 0 || r.now.Sub(v.Probe.Failing) <= silentFor
}

func (r *reader) readGroup(g *view.Group) {
	h := Held{Spec: g.Spec, Zone: g.Zone}
	switch g.Phase {
	case fleet.PhaseDraining:
		h.Draining = 1
	case fleet.PhaseForming, fleet.PhaseServing:
		h.Replicas = 1
	default:
		return
	}
	r.in.Held = append(r.in.Held, h)
	if g.Phase != fleet.PhaseForming {
		r.in.Demand = append(r.in.Demand, r.demand(g))
	}
}

// demand reads what is asked of a group. A group that serves and has told
// nothing lately counts as filled: silence must not let its replica go.
func (r *reader) demand(g *view.Group) Demand {
	d := Demand{Spec: g.Spec, Zone: g.Zone, Slots: float64(g.Load.Slots)}
	if g.LoadAt != 0 && r.now.Sub(g.LoadAt) <= loadCounts {
		d.Running, d.Waiting = float64(g.Load.Running), float64(g.Load.Waiting)
		return d
	}
	if g.Phase == fleet.PhaseServing {
		d.Running = fill * max(d.Slots, DefaultSlots)
	}
	return d
}
