package group

import (
	"cmp"
	"fmt"
	"slices"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// drainStep ends a drain: once the leader has nothing left to do, or when
// nothing is left that a drain could save.
func (p *planner) drainStep(it *item) {
	reason, done := p.drained(it)
	if !done {
		return
	}
	// A group that drained because a member is leaving is still wanted when no
	// other could be formed in its place.
	if it.assess.state == fading && p.wanted(it) && p.renew(it) {
		return
	}
	p.dissolve(it, reason)
}

func (p *planner) drained(it *item) (string, bool) {
	g := &it.row.Group
	began := since(p.mem.draining, g.ID, p.in.Now)
	took := p.in.Now.Sub(began)
	leader := p.vms[g.Members[0].VM]
	switch {
	case it.assess.state == broken || it.assess.state == dark:
		return "draining, and " + it.assess.reason, true
	case took > p.in.Tune.DrainLimit:
		return "the drain took too long", true
	case leader == nil || leader.Load.Boot != g.Members[0].Boot || leader.Load.Running+leader.Load.Waiting > 0:
		return "", false
	case leader.LoadAt.After(began.Add(p.in.Tune.DrainSettle)):
		return "drained", true
	}
	return "", false
}

// repairAll repairs the broken groups of all fabric domains in one plan, those
// that need the fewest spares first.
func (p *planner) repairAll() {
	perDomain := map[fleet.FabricDomain][]*item{}
	var domains []fleet.FabricDomain
	for _, it := range p.items {
		if !p.needsRepair(it) {
			continue
		}
		d := it.row.Group.Domain
		if perDomain[d] == nil {
			domains = append(domains, d)
		}
		perDomain[d] = append(perDomain[d], it)
	}
	for _, d := range domains {
		p.repairDomain(perDomain[d])
	}
}

// needsRepair reports whether the group must get a new generation. A fading
// group that serves drains first, so that its requests end well.
func (p *planner) needsRepair(it *item) bool {
	g := &it.row.Group
	if it.changed || g.Phase == fleet.PhaseDissolved || g.Phase == fleet.PhaseDraining {
		return false
	}
	if it.assess.state != broken && it.assess.state != fading {
		delete(p.mem.broken, g.ID)
		return false
	}
	if it.assess.state == fading && g.Phase == fleet.PhaseServing {
		p.drain(it, it.assess.reason)
		return false
	}
	return true
}

func (p *planner) repairDomain(items []*item) {
	slices.SortStableFunc(items, func(a, b *item) int { return cmp.Compare(len(a.assess.gone), len(b.assess.gone)) })
	var left []*item
	for _, it := range items {
		if !p.renew(it) {
			left = append(left, it)
		}
	}
	p.sacrifice(left)
	for _, it := range left {
		if !it.changed {
			p.giveUp(it)
		}
	}
}

// sacrifice dissolves the group with the most members gone when what is left of
// it completes another: two groups that each lost a member become one that
// serves instead of none.
func (p *planner) sacrifice(left []*item) {
	if len(left) < 2 {
		return
	}
	first, last := left[0], left[len(left)-1]
	pool := len(p.free[first.row.Group.Domain]) + p.survivors(last)
	if pool >= len(first.assess.gone) {
		p.dissolve(last, fmt.Sprintf("%s; its other VMs complete %s", last.assess.reason, first.row.Group.ID))
	}
}

// survivors counts the members that could serve in another group.
func (p *planner) survivors(it *item) int {
	n := 0
	for i := range it.row.Group.Members {
		v := p.vms[it.row.Group.Members[i].VM]
		if p.health(v) == alive {
			n++
		}
	}
	return n
}

// renew plans a new generation and reports whether that was possible: a member
// that restarted stays under its new boot id, a member that is gone is replaced
// by a free VM of the same fabric domain.
func (p *planner) renew(it *item) bool {
	old := &it.row.Group
	if !p.membersKnown(it) {
		return false
	}
	spares := p.sparesFor(old, len(it.assess.gone))
	if len(spares) < len(it.assess.gone) {
		return false
	}
	g := *old
	g.Generation = p.nextGeneration(old)
	g.Phase = fleet.PhaseForming
	g.Reason = "repair: " + it.assess.reason
	g.Members = slices.Clone(old.Members)
	b := p.begin()
	for n, i := range it.assess.gone {
		if vm := old.Members[i].VM; p.in.Claims[vm].Group == old.ID {
			b.claim(vm, "", 0)
		}
		g.Members[i].VM = spares[n].Record.VM
	}
	p.claimMembers(b, &g)
	b.group(&g, it.row.Version)
	b.done(Repair, &g, p.facts(old)...)
	p.written(it)
	p.takeSpares(spares)
	return true
}

// nextGeneration is above the group's own and above any that an engine reports
// for it: a table restored to an older state has forgotten generations.
func (p *planner) nextGeneration(g *fleet.Group) fleet.Generation {
	next := g.Generation
	for _, v := range p.vms {
		if st := &v.Probe.State; st.Group == g.ID {
			next = max(next, st.Generation)
		}
	}
	return next + 1
}

// membersKnown reports whether the boot id of every member that stays is known.
// A member that has just begun to fail may be dead or not: the new generation
// must not name it.
func (p *planner) membersKnown(it *item) bool {
	g := &it.row.Group
	for i := range g.Members {
		if slices.Contains(it.assess.gone, i) {
			continue
		}
		if p.health(p.vms[g.Members[i].VM]) != alive {
			return false
		}
	}
	return true
}

// claimMembers claims every member's VM for the group's generation and fills
// in what the generation names of it.
func (p *planner) claimMembers(b *builder, g *fleet.Group) {
	for i := range g.Members {
		m := &g.Members[i]
		v := p.vms[m.VM]
		m.Boot = v.Probe.State.Boot
		m.Addr = v.Record.Addr
		m.Rank = i
		m.Fence = b.claim(m.VM, g.ID, g.Generation)
	}
}

// sparesFor returns up to n free VMs that can join the group.
func (p *planner) sparesFor(g *fleet.Group, n int) []*view.VM {
	spec := p.spec(g.Spec)
	if spec != nil && !spec.OneDomain {
		return p.scattered(n)
	}
	pool := p.free[g.Domain]
	return slices.Clone(pool[:min(n, len(pool))])
}

// giveUp dissolves a group that has been beyond repair for long enough, or at
// once when another group has taken its place.
func (p *planner) giveUp(it *item) {
	g := &it.row.Group
	waited := p.in.Now.Sub(since(p.mem.broken, g.ID, p.in.Now))
	switch {
	case !p.wanted(it):
		p.dissolve(it, it.assess.reason+"; other groups have taken its place")
	case waited >= p.in.Tune.DissolveAfter:
		p.dissolve(it, fmt.Sprintf("%s and its fabric domain had no spare VM for %v", it.assess.reason, waited))
	default:
		p.note(string(g.ID), "wait", it.assess.reason+" and its fabric domain has no spare VM")
	}
}
