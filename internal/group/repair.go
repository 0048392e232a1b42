package group

import (
	"cmp"
	"fmt"
	"slices"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// stepDraining ends the drain of a group when its leader has no requests left or
// the drain can no longer succeed.
func (p *planner) stepDraining(ag *assessedGroup) {
	reason, done := p.drainResult(ag)
	if !done {
		return
	}
	// A group that was drained because a member is leaving is repaired if no
	// other group has replaced it.
	if ag.assess.state == membersLeaving && p.isWanted(ag) && p.repairGroup(ag) {
		return
	}
	p.dissolveGroup(ag, reason)
}

func (p *planner) drainResult(ag *assessedGroup) (string, bool) {
	g := &ag.row.Group
	began := sinceFirst(p.mem.drainingSince, g.ID, p.in.Now)
	elapsed := p.in.Now.Sub(began)
	leader := p.vms[g.Members[0].VM]
	switch {
	case ag.assess.state == broken || ag.assess.state == allDead:
		return "draining, and " + ag.assess.reason, true
	case elapsed > p.in.Params.DrainTimeout:
		return "the drain took too long", true
	case leader == nil || leader.Load.Boot != g.Members[0].Boot || leader.Load.Running+leader.Load.Waiting > 0:
		return "", false
	case leader.LoadAt.After(began.Add(p.in.Params.DrainPropagation)):
		return "drained", true
	}
	return "", false
}

// repairAll repairs the broken groups of all fabric domains in one plan, in each
// domain those that need the fewest spares first.
func (p *planner) repairAll() {
	perDomain := map[fleet.FabricDomain][]*assessedGroup{}
	var domains []fleet.FabricDomain
	for _, ag := range p.groups {
		if !p.needsRepair(ag) {
			continue
		}
		d := ag.row.Group.Domain
		if perDomain[d] == nil {
			domains = append(domains, d)
		}
		perDomain[d] = append(perDomain[d], ag)
	}
	for _, d := range domains {
		p.repairDomain(perDomain[d])
	}
}

// needsRepair reports whether the group must get a new generation. A serving group
// whose members are only leaving is drained first, so that its requests complete.
func (p *planner) needsRepair(ag *assessedGroup) bool {
	g := &ag.row.Group
	if ag.changed || g.Phase == fleet.PhaseDissolved || g.Phase == fleet.PhaseDraining {
		return false
	}
	if ag.assess.state != broken && ag.assess.state != membersLeaving {
		delete(p.mem.brokenSince, g.ID)
		return false
	}
	if ag.assess.state == membersLeaving && g.Phase == fleet.PhaseServing {
		p.drainGroup(ag, ag.assess.reason)
		return false
	}
	return true
}

func (p *planner) repairDomain(items []*assessedGroup) {
	slices.SortStableFunc(items, func(a, b *assessedGroup) int { return cmp.Compare(len(a.assess.toReplace), len(b.assess.toReplace)) })
	var left []*assessedGroup
	for _, ag := range items {
		if !p.repairGroup(ag) {
			left = append(left, ag)
		}
	}
	p.dissolveForSpares(left)
	for _, ag := range left {
		if !ag.changed {
			p.dissolveOrWait(ag)
		}
	}
}

// dissolveForSpares dissolves the group that lacks the most members if its
// remaining VMs and the free ones can complete the group that lacks the fewest.
// Two groups that each lost a member then yield one serving group instead of none.
func (p *planner) dissolveForSpares(left []*assessedGroup) {
	if len(left) < 2 {
		return
	}
	first, last := left[0], left[len(left)-1]
	pool := len(p.freeVMs[first.row.Group.Domain]) + p.countAlive(last)
	if pool >= len(first.assess.toReplace) {
		p.dissolveGroup(last, fmt.Sprintf("%s; its other VMs complete %s", last.assess.reason, first.row.Group.ID))
	}
}

// countAlive returns the number of members that another group could use.
func (p *planner) countAlive(ag *assessedGroup) int {
	n := 0
	for i := range ag.row.Group.Members {
		v := p.vms[ag.row.Group.Members[i].VM]
		if p.health(v) == alive {
			n++
		}
	}
	return n
}

// repairGroup plans a new generation of the group and reports whether that was
// possible. A member that restarted stays with its new boot id; a member to be
// replaced gets a free VM, of the same fabric domain if the spec requires one.
func (p *planner) repairGroup(ag *assessedGroup) bool {
	old := &ag.row.Group
	if !p.areMembersKnown(ag) {
		return false
	}
	spares := p.spareVMs(old, len(ag.assess.toReplace))
	if len(spares) < len(ag.assess.toReplace) {
		return false
	}
	g := *old
	g.Generation = p.nextGeneration(old)
	g.Phase = fleet.PhaseForming
	g.Reason = "repair: " + ag.assess.reason
	g.Members = slices.Clone(old.Members)
	b := p.newTxn()
	for n, i := range ag.assess.toReplace {
		if vm := old.Members[i].VM; p.in.Claims[vm].Group == old.ID {
			b.addClaim(vm, "", 0)
		}
		g.Members[i].VM = spares[n].Record.VM
	}
	p.claimMembers(b, &g)
	b.addGroup(&g, ag.row.Version)
	b.addChange(Repair, &g, p.memberFacts(old)...)
	p.markChanged(ag)
	p.removeFree(spares)
	return true
}

// nextGeneration returns a generation above the group's own and above any that an
// engine reports for it: a table restored to an older state may lack the newest
// generations.
func (p *planner) nextGeneration(g *fleet.Group) fleet.Generation {
	next := g.Generation
	for _, v := range p.vms {
		if st := &v.Probe.State; st.Group == g.ID {
			next = max(next, st.Generation)
		}
	}
	return next + 1
}

// areMembersKnown reports whether every member that stays is alive, so that its
// boot id is known. A member whose probes have just begun to fail may be dead: a
// new generation must not include it.
func (p *planner) areMembersKnown(ag *assessedGroup) bool {
	g := &ag.row.Group
	for i := range g.Members {
		if slices.Contains(ag.assess.toReplace, i) {
			continue
		}
		if p.health(p.vms[g.Members[i].VM]) != alive {
			return false
		}
	}
	return true
}

// claimMembers claims every member's VM for the group's generation and sets the
// members' boot ids, addresses, ranks and fences.
func (p *planner) claimMembers(b *txnBuilder, g *fleet.Group) {
	for i := range g.Members {
		m := &g.Members[i]
		v := p.vms[m.VM]
		m.Boot = v.Probe.State.Boot
		m.Addr = v.Record.Addr
		m.Rank = i
		m.Fence = b.addClaim(m.VM, g.ID, g.Generation)
	}
}

// spareVMs returns up to n free VMs that can join the group.
func (p *planner) spareVMs(g *fleet.Group, n int) []*view.VM {
	spec := p.spec(g.Spec)
	if spec != nil && !spec.OneDomain {
		return p.chooseAcrossDomains(n)
	}
	pool := p.freeVMs[g.Domain]
	return slices.Clone(pool[:min(n, len(pool))])
}

// dissolveOrWait dissolves a group that cannot be repaired: immediately if other
// groups meet the target without it, else after DissolveDelay.
func (p *planner) dissolveOrWait(ag *assessedGroup) {
	g := &ag.row.Group
	waited := p.in.Now.Sub(sinceFirst(p.mem.brokenSince, g.ID, p.in.Now))
	switch {
	case !p.isWanted(ag):
		p.dissolveGroup(ag, ag.assess.reason+"; other groups have taken its place")
	case waited >= p.in.Params.DissolveDelay:
		p.dissolveGroup(ag, fmt.Sprintf("%s and its fabric domain had no spare VM for %v", ag.assess.reason, waited))
	default:
		p.deferAction(string(g.ID), "wait", ag.assess.reason+" and its fabric domain has no spare VM")
	}
}
