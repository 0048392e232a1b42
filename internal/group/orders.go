package group

import (
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
func (p *planner) orders(groups []view.TableGroup) {
	byID := make(map[fleet.GroupID]*fleet.Group, len(groups))
	for i := range groups {
		byID[groups[i].Group.ID] = &groups[i].Group
	}
	budget := p.in.Tune.LoadsAtOnce - p.loading(byID)
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		if v.Record.Zone != p.in.Snap.Zone || v.Record.Kind != fleet.KindEngine || p.taken[v.Record.VM] {
			continue
		}
		if healthOf(v, p.in.Now, &p.in.Tune) == alive {
			p.orderVM(v, byID, &budget)
		}
	}
}

func (p *planner) orderVM(v *view.VM, byID map[fleet.GroupID]*fleet.Group, budget *int) {
	st := &v.Probe.State
	c, claimed := p.in.Claims[v.Record.VM]
	if c.Group == "" {
		if claimed && st.Group != "" {
			p.order(v, engine.Order{Verb: engine.VerbLeave, Fence: c.Fence, Boot: st.Boot})
		}
		return
	}
	g := byID[c.Group]
	if g == nil || g.Generation != c.Generation {
		return
	}
	i := slices.IndexFunc(g.Members, func(m fleet.Member) bool { return m.VM == v.Record.VM })
	if i < 0 || g.Members[i].Boot != st.Boot || inPlace(g, &g.Members[i], st) {
		return
	}
	if !holdsModel(g, st) {
		if *budget <= 0 {
			return // the weight store is busy; a later plan sends it
		}
		*budget--
	}
	p.order(v, joinOrder(g, i))
}

// inPlace reports whether the engine has taken its place, loaded or not.
func inPlace(g *fleet.Group, m *fleet.Member, st *fleet.EngineState) bool {
	return st.Group == g.ID && st.Generation == g.Generation && st.Rank == m.Rank && holdsOrLoads(g, st)
}

func holdsOrLoads(g *fleet.Group, st *fleet.EngineState) bool {
	return st.Model == g.Model && st.Version == g.Version
}

// holdsModel reports whether the weights are in the engine's memory already.
func holdsModel(g *fleet.Group, st *fleet.EngineState) bool {
	return st.Loaded && holdsOrLoads(g, st)
}

// loading counts the VMs that load weights now.
func (p *planner) loading(byID map[fleet.GroupID]*fleet.Group) int {
	n := 0
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		st := &v.Probe.State
		if v.Record.Zone == p.in.Snap.Zone && st.Group != "" && !st.Loaded && byID[st.Group] != nil &&
			healthOf(v, p.in.Now, &p.in.Tune) == alive {
			n++
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
