package group

import (
	"cmp"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/view"
)

// ZoneShare splits total replicas of the spec over its availability zones and
// returns the number for the snapshot's zone. Every zone computes the same split
// from the spec and the list of VMs, so no coordination is needed. A zone gets no
// more replicas than its VMs have capacity for.
func ZoneShare(s *config.GroupSpec, total int, snap *view.Snapshot) int {
	capacity := zoneCapacity(s, snap)
	zones := make([]fleet.VM, 0, len(capacity)) // of type VM for TopK
	for z := range capacity {
		zones = append(zones, fleet.VM(z))
	}
	slices.Sort(zones)
	// The zone order differs between specs, so that the remainders do not all go
	// to the same zone.
	zones = membership.TopK(s.Name, zones, len(zones))
	assigned := map[fleet.VM]int{}
	for range total {
		z, ok := nextZone(zones, assigned, capacity)
		if !ok {
			break
		}
		assigned[z]++
	}
	return assigned[fleet.VM(snap.Zone)]
}

// nextZone returns the zone with the fewest replicas among those with capacity
// left, false if there is none.
func nextZone(zones []fleet.VM, assigned map[fleet.VM]int, capacity map[fleet.AvailabilityZone]int) (fleet.VM, bool) {
	withCapacity := slices.DeleteFunc(slices.Clone(zones), func(z fleet.VM) bool {
		return assigned[z] >= capacity[fleet.AvailabilityZone(z)]
	})
	if len(withCapacity) == 0 {
		return "", false
	}
	return slices.MinFunc(withCapacity, func(a, b fleet.VM) int { return cmp.Compare(assigned[a], assigned[b]) }), true
}

// zoneCapacity returns how many replicas of the spec each zone's engine VMs
// have capacity for if no other spec uses them.
func zoneCapacity(s *config.GroupSpec, snap *view.Snapshot) map[fleet.AvailabilityZone]int {
	if s.VMs <= 0 {
		return nil
	}
	perDomain := map[fleet.AvailabilityZone]map[fleet.FabricDomain]int{}
	for i := range snap.VMs {
		r := &snap.VMs[i].Record
		if r.Kind != fleet.KindEngine || len(s.Zones) > 0 && !slices.Contains(s.Zones, string(r.Zone)) {
			continue
		}
		d := r.Domain
		if !s.OneDomain {
			d = ""
		}
		if perDomain[r.Zone] == nil {
			perDomain[r.Zone] = map[fleet.FabricDomain]int{}
		}
		perDomain[r.Zone][d]++
	}
	capacity := map[fleet.AvailabilityZone]int{}
	for z, domains := range perDomain {
		for _, n := range domains {
			capacity[z] += n / s.VMs
		}
	}
	return capacity
}
