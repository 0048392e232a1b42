package group

import (
	"fmt"
	"maps"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// form plans one new group of the spec and reports whether there was room.
func (p *planner) form(s *config.GroupSpec) bool {
	vms := p.place(s)
	if vms == nil {
		p.note(s.Name, "wait", fmt.Sprintf("no fabric domain has %d free VMs", s.VMs))
		return false
	}
	p.mem.formed++
	g := fleet.Group{
		ID:         fleet.GroupID(fmt.Sprintf("%s.%s.%d.%d", p.in.Snap.Zone, s.Name, p.in.Grant.Fence, p.mem.formed)),
		Spec:       s.Name,
		Generation: 1, Phase: fleet.PhaseForming,
		Zone: p.in.Snap.Zone, Domain: vms[0].Record.Domain,
		Model: s.Model, Version: s.ModelVer, Adapters: slices.Clone(s.Adapters),
		Reason: "wanted",
	}
	for _, v := range vms {
		g.Members = append(g.Members, fleet.Member{VM: v.Record.VM})
	}
	b := p.begin()
	p.claimMembers(b, &g)
	b.group(&g, 0)
	b.done(Form, &g)
	p.takeSpares(vms)
	return true
}

// place chooses the VMs of a new group, or nil.
func (p *planner) place(s *config.GroupSpec) []*view.VM {
	if !s.OneDomain {
		all := p.allFree()
		if len(all) < s.VMs {
			return nil
		}
		return slices.Clone(all[:s.VMs])
	}
	best := fleet.FabricDomain("")
	bestLeft := -1
	for _, d := range slices.Sorted(maps.Keys(p.free)) {
		left := len(p.free[d]) - s.VMs
		if left < 0 || bestLeft >= 0 && left >= bestLeft {
			continue
		}
		best, bestLeft = d, left
	}
	if bestLeft < 0 {
		return nil
	}
	return slices.Clone(p.free[best][:s.VMs])
}
