package capacity

import (
	"slices"

	"chervilloom/internal/config"
)

// existingBonus is the advantage of a zone with an existing replica over an even
// spread, in replicas: moving a replica costs a drain and a load of weights.
const existingBonus = 1.5

// freeCapacity counts the unassigned VMs in each fabric domain of each zone.
type freeCapacity struct{ vms [][]int }

func newFreeCapacity(in *Input) *freeCapacity {
	f := &freeCapacity{vms: make([][]int, len(in.Zones))}
	for i, z := range in.Zones {
		f.vms[i] = slices.Clone(z.VMsPerDomain)
	}
	return f
}

// fits reports whether one more replica of the spec fits into the zone. Free VMs of
// several domains do not add up for a spec that requires a single domain.
func (f *freeCapacity) fits(spec *config.GroupSpec, zone int) bool {
	if spec.OneDomain {
		return f.bestFit(spec, zone) >= 0
	}
	sum := 0
	for _, n := range f.vms[zone] {
		sum += n
	}
	return sum >= spec.VMs
}

// bestFit returns the domain with the fewest free VMs that are enough for a
// replica, or -1. Domains with more free VMs are kept for larger replicas.
func (f *freeCapacity) bestFit(spec *config.GroupSpec, zone int) int {
	best := -1
	for d, n := range f.vms[zone] {
		if n >= spec.VMs && (best < 0 || n < f.vms[zone][best]) {
			best = d
		}
	}
	return best
}

func (f *freeCapacity) occupy(spec *config.GroupSpec, zone int) {
	if spec.OneDomain {
		f.vms[zone][f.bestFit(spec, zone)] -= spec.VMs
		return
	}
	left := spec.VMs
	for d, n := range f.vms[zone] {
		take := min(n, left)
		f.vms[zone][d] -= take
		left -= take
	}
}

// placeMinimum places the minimum number of replicas of each spec in turns of one,
// so that no spec uses the capacity for the first replica of another.
func (f *freeCapacity) placeMinimum(plans []*plan) {
	for placed := true; placed; {
		placed = false
		for _, p := range plans {
			if p.totalPlaced < min(p.spec.Min, p.spec.Max) && f.placeReplica(p) {
				placed = true
			}
		}
	}
}

// placeNeeded places replicas in the order of their saving per VM, until no replica
// has a saving or fits.
func (f *freeCapacity) placeNeeded(plans []*plan) {
	full := make(map[*plan]bool)
	for {
		var best *plan
		for _, p := range plans {
			if !full[p] && p.savingPerVM() > 0 && (best == nil || p.savingPerVM() > best.savingPerVM()) {
				best = p
			}
		}
		if best == nil {
			return
		}
		if !f.placeReplica(best) {
			full[best] = true
		}
	}
}

// placeExisting places the existing replicas that are kept although not required.
func (f *freeCapacity) placeExisting(plans []*plan) {
	for _, p := range plans {
		for p.totalPlaced < p.replicasToKeep() {
			if !f.keepReplica(p) {
				break
			}
		}
	}
}

// placeReplica places one more replica of the spec in the zone with the fewest
// relative to its share. It reports whether a zone had enough free VMs.
func (f *freeCapacity) placeReplica(p *plan) bool {
	best, lowestLevel := -1, 0.0
	for k, z := range p.zoneIndexes {
		if !f.fits(p.spec, z) {
			continue
		}
		level := float64(p.placed[k]+1) / max(p.zoneShares[k], 0.01) / float64(len(p.zoneIndexes))
		if p.existing[k] > p.placed[k] {
			level -= existingBonus
		}
		if best < 0 || level < lowestLevel {
			best, lowestLevel = k, level
		}
	}
	return f.assign(p, best)
}

// keepReplica places one more replica in the zone with the most existing replicas
// that are not placed yet. It reports whether there was such a zone.
func (f *freeCapacity) keepReplica(p *plan) bool {
	best := -1
	for k, z := range p.zoneIndexes {
		extra := p.existing[k] - p.placed[k]
		if extra <= 0 || !f.fits(p.spec, z) {
			continue
		}
		if best < 0 || extra > p.existing[best]-p.placed[best] {
			best = k
		}
	}
	return f.assign(p, best)
}

func (f *freeCapacity) assign(p *plan, k int) bool {
	if k < 0 {
		return false
	}
	f.occupy(p.spec, p.zoneIndexes[k])
	p.placed[k]++
	p.totalPlaced++
	return true
}
