package capacity

import (
	"slices"

	"chervilloom/internal/config"
)

// stayBonus is what a replica that exists in a zone is worth against an even
// spread, in replicas: a move costs a drain and a load of weights.
const stayBonus = 1.5

// floor is the VMs that are left in each fabric domain of each zone.
type floor struct{ free [][]int }

func newFloor(in *Input) *floor {
	f := &floor{free: make([][]int, len(in.Zones))}
	for i, z := range in.Zones {
		f.free[i] = slices.Clone(z.Domains)
	}
	return f
}

// fits reports whether one more replica of the spec has room in the zone. What
// is left over in several domains makes no replica that must lie in one.
func (f *floor) fits(spec *config.GroupSpec, zone int) bool {
	if spec.OneDomain {
		return f.tightest(spec, zone) >= 0
	}
	sum := 0
	for _, n := range f.free[zone] {
		sum += n
	}
	return sum >= spec.VMs
}

// tightest returns the domain with the least room that still holds a replica:
// larger rooms are left for larger replicas.
func (f *floor) tightest(spec *config.GroupSpec, zone int) int {
	best := -1
	for d, n := range f.free[zone] {
		if n >= spec.VMs && (best < 0 || n < f.free[zone][best]) {
			best = d
		}
	}
	return best
}

func (f *floor) occupy(spec *config.GroupSpec, zone int) {
	if spec.OneDomain {
		f.free[zone][f.tightest(spec, zone)] -= spec.VMs
		return
	}
	left := spec.VMs
	for d, n := range f.free[zone] {
		take := min(n, left)
		f.free[zone][d] -= take
		left -= take
	}
}

// placeMinimum gives each spec its least number of replicas, in turns, so that
// no spec takes the room of another one's first replica.
func (f *floor) placeMinimum(plans []*plan) {
	for more := true; more; {
		more = false
		for _, p := range plans {
			if p.total < min(p.spec.Min, p.spec.Max) && f.place(p) {
				more = true
			}
		}
	}
}

// placeNeeded gives replicas to the specs that they save most, for each VM,
// until no replica saves anything or no room is left.
func (f *floor) placeNeeded(plans []*plan) {
	full := make(map[*plan]bool)
	for {
		var best *plan
		for _, p := range plans {
			if !full[p] && p.gain() > 0 && (best == nil || p.gain() > best.gain()) {
				best = p
			}
		}
		if best == nil {
			return
		}
		if !f.place(best) {
			full[best] = true
		}
	}
}

// placeHeld keeps replicas that exist and are worth the wait.
func (f *floor) placeHeld(plans []*plan) {
	for _, p := range plans {
		for p.total < p.kept() {
			if !f.keep(p) {
				break
			}
		}
	}
}

// place puts one more replica of the spec into the zone that has fewest for its
// share. It reports whether a zone had room.
func (f *floor) place(p *plan) bool {
	best, least := -1, 0.0
	for k, z := range p.zones {
		if !f.fits(p.spec, z) {
			continue
		}
		level := float64(p.placed[k]+1) / max(p.share[k], 0.01) / float64(len(p.zones))
		if p.held[k] > p.placed[k] {
			level -= stayBonus
		}
		if best < 0 || level < least {
			best, least = k, level
		}
	}
	return f.take(p, best)
}

// keep puts one more replica into a zone that holds more than were placed.
func (f *floor) keep(p *plan) bool {
	best := -1
	for k, z := range p.zones {
		extra := p.held[k] - p.placed[k]
		if extra <= 0 || !f.fits(p.spec, z) {
			continue
		}
		if best < 0 || extra > p.held[best]-p.placed[best] {
			best = k
		}
	}
	return f.take(p, best)
}

func (f *floor) take(p *plan, k int) bool {
	if k < 0 {
		return false
	}
	f.occupy(p.spec, p.zones[k])
	p.placed[k]++
	p.total++
	return true
}
