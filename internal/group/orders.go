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

// orders compares what each engine reports with the table and orders what
// differs. An order that was lost is sent again by the next plan; one that was
// overtaken by a stale one is corrected by it.
func (p *planner) orders() {
	for i := range p.in.Snap.VMs {
		p.orderLeave(&p.in.Snap.VMs[i])
	}
	p.orderJoins()
}

// reachable reports whether the VM can get an order from this plan.
func (p *planner) reachable(v *view.VM) bool {
	r := &v.Record
	return r.Zone == p.in.Snap.Zone && r.Kind == fleet.KindEngine && !p.taken[r.VM] &&
		p.mayOrder(r.VM) && p.health(v) == alive
}

// orderLeave frees an engine that is in a group although its claim is free.
func (p *planner) orderLeave(v *view.VM) {
	st := &v.Probe.State
	c, claimed := p.in.Claims[v.Record.VM]
	if !claimed || c.Group != "" || st.Group == "" || !p.reachable(v) {
		return
	}
	p.order(v, engine.Order{Verb: engine.VerbLeave, Fence: c.Fence, Boot: st.Boot})
}

// orderJoins orders the members of groups to their places. Loading weights is
// bounded over the zone, because the weight store's rate is shared: loads that
// all run at once all end late, while one group after the other serves as soon
// as its own loads are done.
func (p *planner) orderJoins() {
	budget := p.in.Tune.LoadsAtOnce - p.loading()
	queue := p.joinQueue()
	for _, j := range queue {
		if j.loads > 0 && j.loads > budget && budget < p.in.Tune.LoadsAtOnce {
			p.note(string(j.it.row.Group.ID), "wait", "the weight store is busy with other groups")
			continue
		}
		budget -= j.loads
		for _, i := range j.members {
			g := &j.it.row.Group
			p.order(p.vms[g.Members[i].VM], joinOrder(g, i))
		}
	}
}

// join is the orders that one group still needs.
type join struct {
	it      *item
	members []int
	loads   int // of members: those that have to load weights
	serving int // groups of the same spec that serve
}

// joinQueue returns the groups that need orders, in the order in which they may
// load: specs with the fewest serving groups first, then those with the least
// to load.
func (p *planner) joinQueue() []join {
	var queue []join
	for _, it := range p.items {
		g := &it.row.Group
		if it.changed || g.Phase == fleet.PhaseDissolved {
			continue
		}
		j := join{it: it, serving: p.bySpec[g.Spec].serving}
		for i := range g.Members {
			p.queueMember(&j, i)
		}
		if len(j.members) > 0 {
			queue = append(queue, j)
		}
	}
	slices.SortStableFunc(queue, func(a, b join) int {
		if c := cmp.Compare(a.serving, b.serving); c != 0 {
			return c
		}
		return cmp.Compare(a.loads, b.loads)
	})
	return queue
}

func (p *planner) queueMember(j *join, i int) {
	g := &j.it.row.Group
	m := &g.Members[i]
	v := p.vms[m.VM]
	c := p.in.Claims[m.VM]
	if v == nil || c.Group != g.ID || c.Generation != g.Generation || !p.reachable(v) {
		return
	}
	st := &v.Probe.State
	if m.Boot != st.Boot || inPlace(g, m, st) {
		return
	}
	j.members = append(j.members, i)
	if !holdsModel(g, st) {
		j.loads++
	}
}

// inPlace reports whether the engine has taken its place, loaded or not.
func inPlace(g *fleet.Group, m *fleet.Member, st *fleet.EngineState) bool {
	return st.Group == g.ID && st.Generation == g.Generation && st.Rank == m.Rank &&
		(st.Fence == 0 || st.Fence >= m.Fence) && st.Model == g.Model && st.Version == g.Version
}

// holdsModel reports whether the weights are in the engine's memory already.
func holdsModel(g *fleet.Group, st *fleet.EngineState) bool {
	return st.Loaded && st.Model == g.Model && st.Version == g.Version
}

// loading counts the VMs of the zone that load weights now.
func (p *planner) loading() int {
	n := 0
	for _, it := range p.items {
		g := &it.row.Group
		for i := range g.Members {
			v := p.vms[g.Members[i].VM]
			if v != nil && !v.Probe.State.Loaded && inPlace(g, &g.Members[i], &v.Probe.State) &&
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

func (p *planner) order(v *view.VM, o engine.Order) {
	p.out.Orders = append(p.out.Orders, VMOrder{VM: v.Record.VM, Addr: v.Record.Addr, Order: o})
}
