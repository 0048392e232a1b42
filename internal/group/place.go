package group

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/config"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// domainDarkShare is the share of time for which a fabric domain is taken to be
// dark when spreading is weighed against stranding.
const domainDarkShare = 0.01

// form plans one new group of the spec and reports whether there was room.
func (p *planner) form(s *config.GroupSpec) bool {
	vms := p.place(s)
	if vms == nil {
		p.note(s.Name, "wait", fmt.Sprintf("no room for a replica of %d VMs", s.VMs))
		return false
	}
	p.mem.formed++
	g := fleet.Group{
		ID:         p.newID(s.Name),
		Spec:       s.Name,
		Generation: 1, Phase: fleet.PhaseForming,
		Zone: p.in.Snap.Zone, Domain: vms[0].Record.Domain,
		Model: s.Model, Version: s.ModelVer, Adapters: slices.Clone(s.Adapters),
		Reason: fmt.Sprintf("%d groups, %d wanted", p.bySpec[s.Name].have(), p.bySpec[s.Name].want),
	}
	for _, v := range vms {
		g.Members = append(g.Members, fleet.Member{VM: v.Record.VM})
	}
	b := p.begin()
	p.claimMembers(b, &g)
	b.group(&g, 0)
	b.done(Form, &g, explain.Fact{
		Name: "free VMs of " + string(g.Domain), Value: strconv.Itoa(len(p.free[g.Domain])), Age: p.in.Now.Sub(p.in.Snap.At),
	})
	p.bySpec[s.Name].planned++
	p.takeSpares(vms)
	return true
}

// newID returns an id that no group had before, also when the table was restored
// to an older state: an engine that still reports the place it had in a group of
// the same id and generation would count as a member of the new one. So the id
// names the life of the process that drew it, not something read from the table.
func (p *planner) newID(spec string) fleet.GroupID {
	life := uint32(xxhash.Sum64String(p.in.Snap.Self.String()))
	return fleet.GroupID(fmt.Sprintf("%s.%s.%08x-%d", p.in.Snap.Zone, spec, life, p.mem.formed))
}

// place chooses the VMs of a new group, or nil.
func (p *planner) place(s *config.GroupSpec) []*view.VM {
	if !s.OneDomain {
		if vms := p.scattered(s.VMs); len(vms) == s.VMs {
			return vms
		}
		return nil
	}
	return p.placeIn(s, p.replicasPerDomain(s.Name))
}

// placeIn chooses the fabric domain, given how many replicas of the spec each
// holds, and VMs in it.
func (p *planner) placeIn(s *config.GroupSpec, counts map[fleet.FabricDomain]int) []*view.VM {
	best := fleet.FabricDomain("")
	var bestCost placeCost
	for _, d := range slices.Sorted(maps.Keys(p.free)) {
		if len(p.free[d]) < s.VMs {
			continue
		}
		if c := p.costOf(d, s, counts[d]); best == "" || c.less(bestCost) {
			best, bestCost = d, c
		}
	}
	if best == "" {
		return nil
	}
	return slices.Clone(p.free[best][:s.VMs])
}

// placeCost orders the fabric domains for a new replica.
type placeCost struct {
	weighed float64 // by the objective
	same    int     // replicas of the spec in the domain
	left    int     // free VMs that remain
}

func (c placeCost) less(o placeCost) bool {
	if c.weighed != o.weighed {
		return c.weighed < o.weighed
	}
	if c.same != o.same {
		return c.same < o.same
	}
	return c.left < o.left
}

// costOf weighs what a replica in the domain strands against what a dark domain
// would take down together.
func (p *planner) costOf(d fleet.FabricDomain, s *config.GroupSpec, same int) placeCost {
	free := len(p.free[d])
	stranded := stranding(free-s.VMs, p.sizes) - stranding(free, p.sizes) + lostRoom(free, s.VMs, p.sizes)
	accelerators := max(p.free[d][0].Record.Accelerators, 1)
	o := p.doc.Objective
	return placeCost{
		weighed: o.StrandingWeight*float64(stranded*accelerators) + o.DowntimeWeight*domainDarkShare*float64(same),
		same:    same,
		left:    free - s.VMs,
	}
}

// replicasPerDomain counts the spec's groups, those of this plan included.
func (p *planner) replicasPerDomain(spec string) map[fleet.FabricDomain]int {
	n := map[fleet.FabricDomain]int{}
	for _, it := range p.bySpec[spec].current {
		n[it.row.Group.Domain]++
	}
	for i := range p.out.Changes {
		if c := &p.out.Changes[i]; c.Kind == Form && c.Group.Spec == spec {
			n[c.Group.Domain]++
		}
	}
	return n
}

// stranding returns how many of n free VMs of one fabric domain no set of
// replicas of the given sizes can use.
func stranding(n int, sizes []int) int {
	if n <= 0 || len(sizes) == 0 {
		return 0
	}
	reach := make([]bool, n+1)
	reach[0] = true
	most := 0
	for i := 1; i <= n; i++ {
		for _, s := range sizes {
			if s > 0 && s <= i && reach[i-s] {
				reach[i], most = true, i
			}
		}
	}
	return n - most
}

// lostRoom returns how many VMs' worth of larger replicas a domain with n free
// VMs can hold no more after a replica of the given size. A small replica belongs
// into a remainder that no large one can use.
func lostRoom(n, size int, sizes []int) int {
	lost := 0
	for _, s := range sizes {
		if s > size {
			lost += (n/s - (n-size)/s) * s
		}
	}
	return lost
}

// scattered returns up to n free VMs of any fabric domain, taking first those
// that replicas bound to one domain can use least.
func (p *planner) scattered(n int) []*view.VM {
	left := make(map[fleet.FabricDomain]int, len(p.free))
	for d, vms := range p.free {
		left[d] = len(vms)
	}
	domains := slices.Sorted(maps.Keys(p.free))
	var out []*view.VM
	for len(out) < n {
		best, bestCost := fleet.FabricDomain(""), 0
		for _, d := range domains {
			if left[d] == 0 {
				continue
			}
			cost := stranding(left[d]-1, p.sizes) - stranding(left[d], p.sizes)
			if best == "" || cost < bestCost || cost == bestCost && left[d] < left[best] {
				best, bestCost = d, cost
			}
		}
		if best == "" {
			break
		}
		left[best]--
		out = append(out, p.free[best][left[best]])
	}
	return out
}

func (p *planner) takeSpares(vms []*view.VM) {
	for _, v := range vms {
		d := v.Record.Domain
		p.free[d] = slices.DeleteFunc(p.free[d], func(f *view.VM) bool { return f == v })
		if len(p.free[d]) == 0 {
			delete(p.free, d)
		}
	}
}
