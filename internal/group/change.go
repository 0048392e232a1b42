package group

import (
	"encoding/json"
	"fmt"

	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// txnBuilder collects the checks and writes of one transaction.
type txnBuilder struct {
	p   *planner
	txn platform.Txn
}

// newTxn starts a transaction that is conditional on the version of the lease
// row: a planner whose lease was taken over cannot commit.
func (p *planner) newTxn() *txnBuilder {
	b := &txnBuilder{p: p}
	b.addCheck(platform.TableLeases, p.in.Grant.Duty, p.in.Grant.Version)
	return b
}

func (b *txnBuilder) addCheck(table, key string, version uint64) {
	b.txn.Checks = append(b.txn.Checks, platform.Check{Table: table, Key: key, Version: version})
}

func (b *txnBuilder) addWrite(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil { // claims and groups contain only strings and numbers
		panic(err)
	}
	b.txn.Writes = append(b.txn.Writes, platform.Write{Table: table, Key: key, Value: data})
}

// addClaim writes the VM's claim row with the next fence and returns that fence.
// The fence is also higher than the one the engine reports: after a restore of
// the table to an older state, the engine would refuse a fence derived from the
// row alone.
func (b *txnBuilder) addClaim(vm fleet.VM, id fleet.GroupID, gen fleet.Generation) fleet.Fence {
	old := b.p.in.Claims[vm]
	fence := old.Fence
	if v := b.p.vms[vm]; v != nil {
		fence = max(fence, v.Probe.State.Fence)
	}
	fence++
	b.addCheck(platform.TableVMs, string(vm), old.Version)
	b.addWrite(platform.TableVMs, string(vm), view.Claim{Group: id, Generation: gen, Fence: fence})
	b.p.claimed[vm] = true
	return fence
}

func (b *txnBuilder) addGroup(g *fleet.Group, version uint64) {
	b.addCheck(platform.TableGroups, string(g.ID), version)
	b.addWrite(platform.TableGroups, string(g.ID), g)
}

func (b *txnBuilder) addChange(kind Kind, g *fleet.Group, facts ...explain.Fact) {
	b.p.out.Changes = append(b.p.out.Changes, Change{
		Kind: kind, Group: *g, Txn: b.txn, Reason: g.Reason, Facts: facts,
	})
}

// memberFacts returns the observed state of each member of the group and the
// load of its leader, with the age of each observation.
func (p *planner) memberFacts(g *fleet.Group) []explain.Fact {
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
	case v.Probe.FailingSince != 0:
		f.Value = fmt.Sprintf("%d probes unanswered", v.Probe.Failures)
		f.Age = p.in.Now.Sub(v.Probe.FailingSince)
	case v.Probe.AnsweredAt != 0:
		f.Age = p.in.Now.Sub(v.Probe.AnsweredAt)
		f.Value = view.MemberFault(g, m, &v.Probe.State)
		if v.Leaving {
			f.Value = "is leaving"
		}
		if f.Value == "" {
			f.Value = "reports the generation"
		}
	}
	return f
}

// markChanged records that this plan writes the group's row.
func (p *planner) markChanged(ag *assessedGroup) {
	ag.changed = true
	delete(p.mem.brokenSince, ag.row.Group.ID)
}

// markServing moves the group to the serving phase: every member reports its
// generation.
func (p *planner) markServing(ag *assessedGroup) {
	g := ag.row.Group
	g.Phase = fleet.PhaseServing
	b := p.newTxn()
	b.addGroup(&g, ag.row.Version)
	b.addChange(Serve, &g, p.memberFacts(&g)...)
	p.markChanged(ag)
}

// drainGroup moves the group to the draining phase, in which it gets no new
// requests.
func (p *planner) drainGroup(ag *assessedGroup, reason string) {
	g := ag.row.Group
	g.Phase, g.Reason = fleet.PhaseDraining, reason
	sinceFirst(p.mem.drainingSince, g.ID, p.in.Now)
	b := p.newTxn()
	b.addGroup(&g, ag.row.Version)
	b.addChange(Drain, &g, p.memberFacts(&g)...)
	p.markChanged(ag)
}

// dissolveGroup releases the group's VMs. A VM that another group has claimed is
// left unchanged.
func (p *planner) dissolveGroup(ag *assessedGroup, reason string) {
	g := ag.row.Group
	g.Phase, g.Reason = fleet.PhaseDissolved, reason
	b := p.newTxn()
	for i := range g.Members {
		if p.in.Claims[g.Members[i].VM].Group == g.ID {
			b.addClaim(g.Members[i].VM, "", 0)
		}
	}
	b.addGroup(&g, ag.row.Version)
	b.addChange(Dissolve, &g, p.memberFacts(&g)...)
	p.markChanged(ag)
}

// deleteGroup deletes the row of a dissolved group.
func (p *planner) deleteGroup(ag *assessedGroup) {
	g := ag.row.Group
	g.Reason = "dissolved long ago"
	b := p.newTxn()
	b.addCheck(platform.TableGroups, string(g.ID), ag.row.Version)
	b.txn.Writes = append(b.txn.Writes, platform.Write{Table: platform.TableGroups, Key: string(g.ID), Delete: true})
	b.addChange(Forget, &g)
	p.markChanged(ag)
}

// releaseOrphans releases VMs whose claim names a group that does not exist. It
// also raises the fence of unclaimed VMs whose engine reports a group that it
// joined by an order missing from the table, so that the engine accepts the
// order to leave.
func (p *planner) releaseOrphans() {
	known := make(map[fleet.GroupID]bool, len(p.groups))
	for _, ag := range p.groups {
		known[ag.row.Group.ID] = ag.row.Group.Phase != fleet.PhaseDissolved
	}
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		vm := v.Record.VM
		if v.Record.Zone != p.in.Snap.Zone || v.Record.Kind != fleet.KindEngine || p.claimed[vm] {
			continue
		}
		c, row := p.in.Claims[vm]
		st := &v.Probe.State
		switch {
		case c.Group != "" && !known[c.Group]:
			p.releaseVM(vm, c.Group, fmt.Sprintf("%s was claimed by a group that does not exist", vm))
		case c.Group == "" && st.Group != "" && (!row || st.Fence > c.Fence):
			p.releaseVM(vm, st.Group, fmt.Sprintf("%s is in a group by an order that the table does not know", vm))
		}
	}
}

func (p *planner) releaseVM(vm fleet.VM, id fleet.GroupID, reason string) {
	b := p.newTxn()
	b.addClaim(vm, "", 0)
	b.addChange(Release, &fleet.Group{ID: id, Reason: reason})
}
