package group

import (
	"cmp"
	"slices"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// VMOrder is an order for one VM.
type VMOrder struct {
	VM    fleet.VM
	Addr  string
	Order engine.Order
}

// planOrders compares the state that each engine reports with the table and adds
// an order for each difference. The next plan repeats an order that was lost and
// corrects an engine that carried out a stale one.
func (p *planner) planOrders() {
	for i := range p.in.Snap.VMs {
		p.planLeave(&p.in.Snap.VMs[i])
	}
	p.planJoins()
}

// canReceiveOrder reports whether this plan may send an order to the VM.
func (p *planner) canReceiveOrder(v *view.VM) bool {
	r := &v.Record
	return r.Zone == p.in.Snap.Zone && r.Kind == fleet.KindEngine && !p.claimed[r.VM] &&
		p.canOrder(r.VM) && p.health(v) == alive
}

// planLeave orders an engine to leave its group if its VM is unclaimed.
func (p *planner) planLeave(v *view.VM) {
	st := &v.Probe.State
	c, claimed := p.in.Claims[v.Record.VM]
	if !claimed || c.Group != "" || st.Group == "" || !p.canReceiveOrder(v) {
		return
	}
	p.addOrder(v, engine.Order{Verb: engine.VerbLeave, Fence: c.Fence, Boot: st.Boot})
}

// planJoins orders the members of groups to join their generation. The number of
// concurrent weight loads in the zone is limited because they share the weight
// store's bandwidth: when all run at once, all finish late, while a group that
// loads before the others serves as soon as its own loads are done.
func (p *planner) planJoins() {
	budget := p.in.Params.MaxConcurrentLoads - p.countLoading()
	queue := p.joinQueue()
	for _, j := range queue {
		if j.loads > 0 && j.loads > budget && budget < p.in.Params.MaxConcurrentLoads {
			p.deferAction(string(j.ag.row.Group.ID), "wait", "the weight store is busy with other groups")
			continue
		}
		budget -= j.loads
		for _, i := range j.members {
			g := &j.ag.row.Group
			p.addOrder(p.vms[g.Members[i].VM], joinOrder(g, i))
		}
	}
}

// pendingJoin lists the members of one group that need an order to join.
type pendingJoin struct {
	ag      *assessedGroup
	members []int
	loads   int // members that must load weights
	serving int // serving groups of the same spec
}

// joinQueue returns the groups that need orders in the order of their turn to
// load: specs with the fewest serving groups first, then groups with the fewest
// members to load.
func (p *planner) joinQueue() []pendingJoin {
	var queue []pendingJoin
	for _, ag := range p.groups {
		g := &ag.row.Group
		if ag.changed || g.Phase == fleet.PhaseDissolved {
			continue
		}
		j := pendingJoin{ag: ag, serving: p.bySpec[g.Spec].serving}
		for i := range g.Members {
			p.addJoin(&j, i)
		}
		if len(j.members) > 0 {
			queue = append(queue, j)
		}
	}
	slices.SortStableFunc(queue, func(a, b pendingJoin) int {
		if c := cmp.Compare(a.serving, b.serving); c != 0 {
			return c
		}
		return cmp.Compare(a.loads, b.loads)
	})
	return queue
}

func (p *planner) addJoin(j *pendingJoin, i int) {
	g := &j.ag.row.Group
	m := &g.Members[i]
	v := p.vms[m.VM]
	c := p.in.Claims[m.VM]
	if v == nil || c.Group != g.ID || c.Generation != g.Generation || !p.canReceiveOrder(v) {
		return
	}
	st := &v.Probe.State
	if m.Boot != st.Boot || hasJoined(g, m, st) {
		return
	}
	j.members = append(j.members, i)
	if !hasModel(g, st) {
		j.loads++
	}
}

// hasJoined reports whether the engine has joined the group's generation with the
// member's rank, loaded or not.
func hasJoined(g *fleet.Group, m *fleet.Member, st *fleet.EngineState) bool {
	return st.Group == g.ID && st.Generation == g.Generation && st.Rank == m.Rank &&
		(st.Fence == 0 || st.Fence >= m.Fence) && st.Model == g.Model && st.Version == g.Version
}

// hasModel reports whether the engine has already loaded the group's weights.
func hasModel(g *fleet.Group, st *fleet.EngineState) bool {
	return st.Loaded && st.Model == g.Model && st.Version == g.Version
}

// countLoading returns the number of VMs of the zone that are loading weights.
func (p *planner) countLoading() int {
	n := 0
	for _, ag := range p.groups {
		g := &ag.row.Group
		for i := range g.Members {
			v := p.vms[g.Members[i].VM]
			if v != nil && !v.Probe.State.Loaded && hasJoined(g, &g.Members[i], &v.Probe.State) &&
				p.health(v) == alive {
				n++
			}
		}
	}
	return n
}

func joinOrder(g *fleet.Group, i int) engine.Order {
	peers := make([]string, len(g.Members))
	for n := range g.Members {
		peers[n] = g.Members[n].Addr
	}
	m := &g.Members[i]
	return engine.Order{
		Verb: engine.VerbJoin, Fence: m.Fence, Boot: m.Boot,
		Group: g.ID, Generation: g.Generation, Rank: m.Rank,
		Model: g.Model, Version: g.Version, Adapters: g.Adapters, Peers: peers,
	}
}

func (p *planner) addOrder(v *view.VM, o engine.Order) {
	p.out.Orders = append(p.out.Orders, VMOrder{VM: v.Record.VM, Addr: v.Record.Addr, Order: o})
}
