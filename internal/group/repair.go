package group

import (
	"fmt"
	"slices"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// repair makes a new generation: a member that restarted stays under its new
// boot id, a member that is gone is replaced by a free VM of the same fabric
// domain. A group that cannot be repaired is dissolved after a while.
func (p *planner) repair(row *view.TableGroup, a *assessment) {
	old := &row.Group
	spares := p.sparesFor(old, len(a.gone))
	if len(spares) < len(a.gone) {
		p.giveUp(row, a)
		return
	}
	g := *old
	g.Generation++
	g.Phase = fleet.PhaseForming
	g.Reason = "repair: " + a.reason
	g.Members = slices.Clone(old.Members)
	for n, i := range a.gone {
		g.Members[i].VM = spares[n].Record.VM
	}
	b := p.begin()
	for _, i := range a.gone {
		if vm := old.Members[i].VM; p.in.Claims[vm].Group == old.ID {
			b.claim(vm, "", 0)
		}
	}
	p.claimMembers(b, &g)
	b.group(&g, row.Version)
	b.done(Repair, &g)
	p.takeSpares(spares)
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
	var pool []*view.VM
	if spec == nil || spec.OneDomain {
		pool = p.free[g.Domain]
	} else {
		pool = p.allFree()
	}
	return pool[:min(n, len(pool))]
}

func (p *planner) takeSpares(vms []*view.VM) {
	for _, v := range slices.Clone(vms) {
		d := v.Record.Domain
		p.free[d] = slices.DeleteFunc(p.free[d], func(f *view.VM) bool { return f == v })
	}
}

// giveUp dissolves a group that has been beyond repair for long enough.
func (p *planner) giveUp(row *view.TableGroup, a *assessment) {
	id := row.Group.ID
	waited := p.in.Now.Sub(since(p.mem.broken, id, p.in.Now))
	if waited < p.in.Tune.DissolveAfter {
		p.note(string(id), "wait", fmt.Sprintf("%s and its fabric domain has no spare VM", a.reason))
		return
	}
	p.dissolve(row, fmt.Sprintf("%s and its fabric domain had no spare VM for %v", a.reason, waited))
}

func (p *planner) note(subject, decision, reason string) {
	p.out.Notes = append(p.out.Notes, Note{subject, decision, reason})
}
