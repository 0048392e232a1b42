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

// domainOutageFraction is the assumed fraction of time for which a fabric domain
// is down; it weighs spreading against stranding.
const domainOutageFraction = 0.01

// formGroup plans one new group of the spec and reports whether enough VMs were
// free.
func (p *planner) formGroup(s *config.GroupSpec) bool {
	vms := p.chooseVMs(s)
	if vms == nil {
		p.deferAction(s.Name, "wait", fmt.Sprintf("no room for a replica of %d VMs", s.VMs))
		return false
	}
	p.mem.groupsFormed++
	g := fleet.Group{
		ID:         p.newGroupID(s.Name),
		Spec:       s.Name,
		Generation: 1, Phase: fleet.PhaseForming,
		Zone: p.in.Snap.Zone, Domain: vms[0].Record.Domain,
		Model: s.Model, Version: s.ModelVer, Adapters: slices.Clone(s.Adapters),
		Reason: fmt.Sprintf("%d groups, %d wanted", p.bySpec[s.Name].total(), p.bySpec[s.Name].wanted),
	}
	for _, v := range vms {
		g.Members = append(g.Members, fleet.Member{VM: v.Record.VM})
	}
	b := p.newTxn()
	p.claimMembers(b, &g)
	b.addGroup(&g, 0)
	b.addChange(Form, &g, explain.Fact{
		Name: "free VMs of " + string(g.Domain), Value: strconv.Itoa(len(p.freeVMs[g.Domain])), Age: p.in.Now.Sub(p.in.Snap.At),
	})
	p.bySpec[s.Name].added++
	p.removeFree(vms)
	return true
}

// newGroupID returns an id that no group had before, even if the table was
// restored to an older state: an engine that still reports an earlier group with
// the same id and generation would count as a member of the new one. The id is
// therefore derived from the node's incarnation and not from the table.
func (p *planner) newGroupID(spec string) fleet.GroupID {
	processHash := uint32(xxhash.Sum64String(p.in.Snap.Self.String()))
	return fleet.GroupID(fmt.Sprintf("%s.%s.%08x-%d", p.in.Snap.Zone, spec, processHash, p.mem.groupsFormed))
}

// chooseVMs returns the VMs for a new group of the spec, nil if too few are free.
func (p *planner) chooseVMs(s *config.GroupSpec) []*view.VM {
	if !s.OneDomain {
		if vms := p.chooseAcrossDomains(s.VMs); len(vms) == s.VMs {
			return vms
		}
		return nil
	}
	return p.chooseInDomain(s, p.replicasPerDomain(s.Name))
}

// chooseInDomain returns VMs of the fabric domain with the lowest cost, nil if no
// domain has enough; counts is the number of replicas of the spec in each domain.
func (p *planner) chooseInDomain(s *config.GroupSpec, counts map[fleet.FabricDomain]int) []*view.VM {
	best := fleet.FabricDomain("")
	var bestCost placementCost
	for _, d := range slices.Sorted(maps.Keys(p.freeVMs)) {
		if len(p.freeVMs[d]) < s.VMs {
			continue
		}
		if c := p.costOf(d, s, counts[d]); best == "" || c.less(bestCost) {
			best, bestCost = d, c
		}
	}
	if best == "" {
		return nil
	}
	return slices.Clone(p.freeVMs[best][:s.VMs])
}

// placementCost orders the fabric domains for a new replica; the lowest is best.
type placementCost struct {
	weighted float64 // weighted by the objective
	sameSpec int     // replicas of the spec in the domain
	freeLeft int     // free VMs after the placement
}

func (c placementCost) less(o placementCost) bool {
	if c.weighted != o.weighted {
		return c.weighted < o.weighted
	}
	if c.sameSpec != o.sameSpec {
		return c.sameSpec < o.sameSpec
	}
	return c.freeLeft < o.freeLeft
}

// costOf weighs the VMs that a replica in the domain would strand against the
// replicas that an outage of the domain would stop together.
func (p *planner) costOf(d fleet.FabricDomain, s *config.GroupSpec, same int) placementCost {
	free := len(p.freeVMs[d])
	stranded := strandedVMs(free-s.VMs, p.replicaSizes) - strandedVMs(free, p.replicaSizes) + lostCapacity(free, s.VMs, p.replicaSizes)
	accelerators := max(p.freeVMs[d][0].Record.Accelerators, 1)
	o := p.doc.Objective
	return placementCost{
		weighted: o.StrandingWeight*float64(stranded*accelerators) + o.DowntimeWeight*domainOutageFraction*float64(same),
		sameSpec: same,
		freeLeft: free - s.VMs,
	}
}

// replicasPerDomain counts the spec's groups by fabric domain, including those
// that this plan forms.
func (p *planner) replicasPerDomain(spec string) map[fleet.FabricDomain]int {
	n := map[fleet.FabricDomain]int{}
	for _, ag := range p.bySpec[spec].current {
		n[ag.row.Group.Domain]++
	}
	for i := range p.out.Changes {
		if c := &p.out.Changes[i]; c.Kind == Form && c.Group.Spec == spec {
			n[c.Group.Domain]++
		}
	}
	return n
}

// strandedVMs returns how many of n free VMs of one fabric domain are left over by
// the set of replicas of the given sizes that uses the most of them.
func strandedVMs(n int, sizes []int) int {
	if n <= 0 || len(sizes) == 0 {
		return 0
	}
	reachable := make([]bool, n+1)
	reachable[0] = true
	most := 0
	for i := 1; i <= n; i++ {
		for _, s := range sizes {
			if s > 0 && s <= i && reachable[i-s] {
				reachable[i], most = true, i
			}
		}
	}
	return n - most
}

// lostCapacity returns by how many VMs the capacity of a domain with n free VMs
// for larger replicas shrinks when a replica of the given size is placed in it.
// Adding it to the cost places small replicas in remainders that are too small for
// large ones.
func lostCapacity(n, size int, sizes []int) int {
	lost := 0
	for _, s := range sizes {
		if s > size {
			lost += (n/s - (n-size)/s) * s
		}
	}
	return lost
}

// chooseAcrossDomains returns up to n free VMs of any fabric domain. It prefers
// VMs whose removal strands the fewest VMs for replicas bound to one domain.
func (p *planner) chooseAcrossDomains(n int) []*view.VM {
	left := make(map[fleet.FabricDomain]int, len(p.freeVMs))
	for d, vms := range p.freeVMs {
		left[d] = len(vms)
	}
	domains := slices.Sorted(maps.Keys(p.freeVMs))
	var out []*view.VM
	for len(out) < n {
		best, bestCost := fleet.FabricDomain(""), 0
		for _, d := range domains {
			if left[d] == 0 {
				continue
			}
			cost := strandedVMs(left[d]-1, p.replicaSizes) - strandedVMs(left[d], p.replicaSizes)
			if best == "" || cost < bestCost || cost == bestCost && left[d] < left[best] {
				best, bestCost = d, cost
			}
		}
		if best == "" {
			break
		}
		left[best]--
		out = append(out, p.freeVMs[best][left[best]])
	}
	return out
}

func (p *planner) removeFree(vms []*view.VM) {
	for _, v := range vms {
		d := v.Record.Domain
		p.freeVMs[d] = slices.DeleteFunc(p.freeVMs[d], func(f *view.VM) bool { return f == v })
		if len(p.freeVMs[d]) == 0 {
			delete(p.freeVMs, d)
		}
	}
}
