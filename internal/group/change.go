package group

import (
	"encoding/json"
	"fmt"

	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// builder collects the checks and writes of one transaction.
type builder struct {
	p   *planner
	txn platform.Txn
}

// begin starts a transaction that holds only while the lease row is unchanged:
// a planner whose lease was taken over cannot commit.
func (p *planner) begin() *builder {
	b := &builder{p: p}
	b.check(platform.TableLeases, p.in.Grant.Duty, p.in.Grant.Version)
	return b
}

func (b *builder) check(table, key string, version uint64) {
	b.txn.Checks = append(b.txn.Checks, platform.Check{Table: table, Key: key, Version: version})
}

func (b *builder) write(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil { // claims and groups hold strings and numbers
		panic(err)
	}
	b.txn.Writes = append(b.txn.Writes, platform.Write{Table: table, Key: key, Value: data})
}

// claim writes the VM's row with the next fence and returns that fence. The
// fence goes above the highest the engine has seen too: a table restored to an
// older state would otherwise hand out fences that the engine refuses.
func (b *builder) claim(vm fleet.VM, id fleet.GroupID, gen fleet.Generation) fleet.Fence {
	old := b.p.in.Claims[vm]
	fence := old.Fence
	if v := b.p.vms[vm]; v != nil {
		fence = max(fence, v.Probe.State.Fence)
	}
	fence++
	b.check(platform.TableVMs, string(vm), old.Version)
	b.write(platform.TableVMs, string(vm), view.Claim{Group: id, Generation: gen, Fence: fence})
	b.p.taken[vm] = true
	return fence
}

func (b *builder) group(g *fleet.Group, version uint64) {
	b.check(platform.TableGroups, string(g.ID), version)
	b.write(platform.TableGroups, string(g.ID), g)
}

func (b *builder) done(kind Kind, g *fleet.Group, facts ...explain.Fact) {
	b.p.out.Changes = append(b.p.out.Changes, Change{
		Kind: kind, Group: *g, Txn: b.txn, Reason: g.Reason, Facts: facts,
	})
}

// facts are what is believed of the group's members, with the age of each.
func (p *planner) facts(g *fleet.Group) []explain.Fact {
	out := make([]explain.Fact, 0, len(g.Members)+1)
	for i := range g.Members {
		m := &g.Members[i]
		out = append(out, p.memberFact(g, m))
	}
	if v := p.vms[g.Members[0].VM]; v != nil && v.LoadAt != 0 {
		out = append(out, explain.Fact{
			Name: "load", Value: fmt.Sprintf("%d running, %d waiting", v.Load.Running, v.Load.Waiting), Age: p.in.Now.Sub(v.LoadAt),
		})
	}
	return out
}

func (p *planner) memberFact(g *fleet.Group, m *fleet.Member) explain.Fact {
	f := explain.Fact{Name: string(m.VM), Value: "not known"}
	v := p.vms[m.VM]
	switch {
	case v == nil:
	case v.Probe.Failing != 0:
		f.Value = fmt.Sprintf("%d probes unanswered", v.Probe.Failures)
		f.Age = p.in.Now.Sub(v.Probe.Failing)
	case v.Probe.Answered != 0:
		f.Age = p.in.Now.Sub(v.Probe.Answered)
		f.Value = view.StateFault(g, m, &v.Probe.State)
		if v.Leaving {
			f.Value = "is leaving"
		}
		if f.Value == "" {
			f.Value = "reports the generation"
		}
	}
	return f
}

// written marks the group's row as changed by this plan.
func (p *planner) written(it *item) {
	it.changed = true
	delete(p.mem.broken, it.row.Group.ID)
}

// serve marks the group as serving: every member reports this generation.
func (p *planner) serve(it *item) {
	g := it.row.Group
	g.Phase = fleet.PhaseServing
	b := p.begin()
	b.group(&g, it.row.Version)
	b.done(Serve, &g, p.facts(&g)...)
	p.written(it)
}

// drain stops new requests to the group.
func (p *planner) drain(it *item, reason string) {
	g := it.row.Group
	g.Phase, g.Reason = fleet.PhaseDraining, reason
	since(p.mem.draining, g.ID, p.in.Now)
	b := p.begin()
	b.group(&g, it.row.Version)
	b.done(Drain, &g, p.facts(&g)...)
	p.written(it)
}

// dissolve frees the group's VMs. A VM that is already claimed elsewhere is
// left alone.
func (p *planner) dissolve(it *item, reason string) {
	g := it.row.Group
	g.Phase, g.Reason = fleet.PhaseDissolved, reason
	b := p.begin()
	for i := range g.Members {
		if p.in.Claims[g.Members[i].VM].Group == g.ID {
			b.claim(g.Members[i].VM, "", 0)
		}
	}
	b.group(&g, it.row.Version)
	b.done(Dissolve, &g, p.facts(&g)...)
	p.written(it)
}

// forget deletes the row of a dissolved group.
func (p *planner) forget(it *item) {
	g := it.row.Group
	g.Reason = "dissolved long ago"
	b := p.begin()
	b.check(platform.TableGroups, string(g.ID), it.row.Version)
	b.txn.Writes = append(b.txn.Writes, platform.Write{Table: platform.TableGroups, Key: string(g.ID), Delete: true})
	b.done(Forget, &g)
	p.written(it)
}

// releaseOrphans frees VMs whose claim names a group that does not exist, and
// raises the fence of free VMs whose engine is in a group by an order that the
// table does not know of, so that an order to leave is not refused.
func (p *planner) releaseOrphans() {
	known := make(map[fleet.GroupID]bool, len(p.items))
	for _, it := range p.items {
		known[it.row.Group.ID] = it.row.Group.Phase != fleet.PhaseDissolved
	}
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		vm := v.Record.VM
		if v.Record.Zone != p.in.Snap.Zone || v.Record.Kind != fleet.KindEngine || p.taken[vm] {
			continue
		}
		c, row := p.in.Claims[vm]
		st := &v.Probe.State
		switch {
		case c.Group != "" && !known[c.Group]:
			p.release(vm, c.Group, fmt.Sprintf("%s was claimed by a group that does not exist", vm))
		case c.Group == "" && st.Group != "" && (!row || st.Fence > c.Fence):
			p.release(vm, st.Group, fmt.Sprintf("%s is in a group by an order that the table does not know", vm))
		}
	}
}

func (p *planner) release(vm fleet.VM, id fleet.GroupID, reason string) {
	b := p.begin()
	b.claim(vm, "", 0)
	b.done(Release, &fleet.Group{ID: id, Reason: reason})
}
