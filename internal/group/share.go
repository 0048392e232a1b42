package group

import (
	"cmp"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/view"
)

// Share splits total replicas of the spec over its availability zones and
// returns the part of the snapshot's zone. Every zone computes the same split
// from the spec and the list of VMs, so no agreement is needed; zones without
// room get no part while others have some.
func Share(s *config.GroupSpec, total int, snap *view.Snapshot) int {
	room := zoneRoom(s, snap)
	zones := make([]fleet.VM, 0, len(room)) // ranked like VMs
	for z := range room {
		zones = append(zones, fleet.VM(z))
	}
	slices.Sort(zones)
	// Specs start at different zones, so that remainders do not all fall to
	// the same one.
	zones = membership.TopK(s.Name, zones, len(zones))
	got := map[fleet.VM]int{}
	for range total {
		z, ok := nextZone(zones, got, room)
		if !ok {
			break
		}
		got[z]++
	}
	return got[fleet.VM(snap.Zone)]
}

// nextZone is the zone with room that has the fewest replicas.
func nextZone(zones []fleet.VM, got map[fleet.VM]int, room map[fleet.AvailabilityZone]int) (fleet.VM, bool) {
	open := slices.DeleteFunc(slices.Clone(zones), func(z fleet.VM) bool {
		return got[z] >= room[fleet.AvailabilityZone(z)]
	})
	if len(open) == 0 {
		return "", false
	}
	return slices.MinFunc(open, func(a, b fleet.VM) int { return cmp.Compare(got[a], got[b]) }), true
}

// zoneRoom counts how many replicas each zone's listed VMs could hold if no
// other spec used them.
func zoneRoom(s *config.GroupSpec, snap *view.Snapshot) map[fleet.AvailabilityZone]int {
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
	room := map[fleet.AvailabilityZone]int{}
	for z, domains := range perDomain {
		for _, n := range domains {
			room[z] += n / s.VMs
		}
	}
	return room
}
