package formation

import (
	"cmp"
	"fmt"
	"slices"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

type load struct {
	model string
	since clock.Instant
}

// isLost reports whether the load order was lost, so that the engine certainly isn't
// loading. Only a report newer than the order by the order timeout and the report lag is
// conclusive.
func (l load) isLost(f *EngineState) bool {
	return !f.Report.Busy && f.ReportedAt.Sub(l.since) > orderTimeout+reportLag
}

func (p *planner) standbyOrder(id roster.ID, model, reason string) Order {
	epoch := p.in.NextEpoch()
	return Order{
		To: id, Op: Join, Group: fmt.Sprintf("%s%d", standbyPrefix, epoch), Epoch: epoch,
		Model: model, Members: []roster.ID{id}, Reason: reason,
	}
}

func (p *planner) needsLoad(f *EngineState, model string) bool {
	if f.Report.Model == model || slices.Contains(f.Report.Staged, model) {
		return false
	}
	l, ok := p.mem.loading[f.ID]
	return !ok || l.model != model
}

// canStartLoads reports whether n more loads may start now. The weight store runs a few
// loads at full speed and divides its rate among more: started in sequence, the first
// ones finish long before all of them would.
func (p *planner) canStartLoads(n int) bool {
	return n == 0 || p.in.BeforeFirstRequest ||
		len(p.mem.loadStarts)+n <= p.in.Params.LoadsPerWindow && p.countRunningLoads()+n <= p.in.Params.MaxConcurrentLoads
}

// countRunningLoads counts the engines of the zone that load weights, including loads
// ordered by a previous owner.
func (p *planner) countRunningLoads() int {
	n := 0
	for id, f := range p.in.Engines {
		if p.isStaging(id) && p.health(id) != dead && f.Listed {
			n++
		}
	}
	return n
}

// hasWaitingEmptyEngine reports whether an engine without weights could start a load.
func (p *planner) hasWaitingEmptyEngine() bool {
	for id, f := range p.in.Engines {
		if p.hasNoWeights(f) && f.Listed && !f.Draining && !p.isStaging(id) && p.health(id) == alive {
			return true
		}
	}
	return false
}

func (p *planner) hasNoWeights(f *EngineState) bool {
	return f.Report.Model == "" && len(f.Report.Staged) == 0
}

func (p *planner) recordLoad(id roster.ID, model string) {
	p.mem.loading[id] = load{model, p.in.Now}
	p.mem.loadStarts = append(p.mem.loadStarts, p.in.Now)
}

// pruneLoads drops loads that are complete or whose order was lost.
func (p *planner) pruneLoads() {
	for id, l := range p.mem.loading {
		f := p.in.Engines[id]
		if f == nil || slices.Contains(f.Report.Staged, l.model) || f.Report.Model == l.model || l.isLost(f) {
			delete(p.mem.loading, id)
		}
	}
	p.mem.loadStarts = slices.DeleteFunc(p.mem.loadStarts, func(at clock.Instant) bool {
		return p.in.Now.Sub(at) > p.in.Params.LoadWindow
	})
}

// standbyPrefix starts the names of the one-member groups that keep a spare engine ready.
// They are never opened.
const standbyPrefix = "standby-"

func isStandby(m roster.Membership) bool {
	return len(m.Group) > len(standbyPrefix) && m.Group[:len(standbyPrefix)] == standbyPrefix &&
		(m.State == roster.Ready || m.State == roster.Joining)
}

// prepareFreeEngines prepares free engines: first those for the next groups, then the
// spares. A prepared engine has the weights staged on its host and is in a group of its
// own, from which it can join another one in hotJoinTime.
func (p *planner) prepareFreeEngines(domain string, free []*EngineState) {
	rest := slices.Clone(free)
	for {
		m, members := p.nextGroup(domain, rest)
		if m == nil {
			break
		}
		p.groupsInPreparation[m.Name]++
		for _, id := range members {
			p.prepareSpare(p.in.Engines[id], m)
		}
		rest = slices.DeleteFunc(rest, func(f *EngineState) bool { return slices.Contains(members, f.ID) })
	}
	for _, m := range p.spareModels(len(rest)) {
		i := p.readiestIndex(rest, m)
		f := rest[i]
		rest = slices.Delete(rest, i, i+1)
		p.prepareSpare(f, m)
	}
}

// missingLoadWeight is the weight of one missing load relative to the supply, which is in
// engines divided by the model's share.
const missingLoadWeight = 2.5

// nextGroup returns the model whose next group costs the least, by missing loads and
// supply, and the engines for it. The model is nil if there are too few engines.
func (p *planner) nextGroup(domain string, free []*EngineState) (*catalog.Model, []roster.ID) {
	var best *catalog.Model
	var bestMembers []roster.ID
	var bestCost float64
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Size > len(free) || m.Size <= 0 {
			continue
		}
		members := p.chooseMembers(free, m)
		missingLoads := 0
		for _, id := range members {
			if p.timeToReady(p.in.Engines[id], m) > maxJoinWithoutLoad {
				missingLoads++
			}
		}
		// A model with few groups for its share takes precedence over one with fewer
		// missing loads.
		cost := float64(missingLoads)*missingLoadWeight + p.supply(m, domain) + p.supplyOf(m, float64(p.groupsInPreparation[m.Name]))
		if best == nil || cost < bestCost {
			best, bestMembers, bestCost = m, members, cost
		}
	}
	return best, bestMembers
}

// spareModels returns a model for each of n spares, in rotation, largest work share
// first.
func (p *planner) spareModels(n int) []*catalog.Model {
	models := make([]*catalog.Model, 0, len(p.in.Engine.Models))
	for i := range p.in.Engine.Models {
		models = append(models, &p.in.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int { return cmp.Compare(p.workShare(b), p.workShare(a)) })
	out := make([]*catalog.Model, 0, n)
	for i := range n {
		out = append(out, models[i%len(models)])
	}
	return out
}

func (p *planner) readiestIndex(fs []*EngineState, m *catalog.Model) int {
	best := 0
	for i, f := range fs {
		if p.timeToReady(f, m) < p.timeToReady(fs[best], m) {
			best = i
		}
	}
	return best
}

func (p *planner) prepareSpare(f *EngineState, m *catalog.Model) {
	switch {
	case f.Report.Model == m.Name:
		return
	case slices.Contains(f.Report.Staged, m.Name):
		p.orderStandby(f, m)
	case p.emptyEngineWaits && !p.hasNoWeights(f):
		// Engines with another model's weights are usable already; empty engines load
		// first.
	case !p.isStaging(f.ID) && p.needsLoad(f, m.Name) && p.canStartLoads(1):
		p.recordLoad(f.ID, m.Name)
		p.orderOnce(Order{To: f.ID, Op: Stage, Model: m.Name, Reason: "spare"})
	}
}

// stageAlternates loads a second model onto the hosts of engines that are ready with a
// first one. An engine joins a group of its newest model in hotJoinTime without the
// host's copy, so the host can store another model. After a loss, the remaining engines
// of a domain can then form a group of either model without a load.
func (p *planner) stageAlternates() {
	for _, id := range p.sortedIDs() {
		f := p.in.Engines[id]
		hot := f.Report.Model
		if hot == "" || f.Draining || !f.Listed || p.health(id) != alive || !isReadyInGroup(f) {
			continue
		}
		m := p.alternateModel(hot)
		if m == nil || !p.needsLoad(f, m.Name) || p.isStaging(id) || !p.canStageAlternate() {
			continue
		}
		p.recordLoad(id, m.Name)
		p.orderOnce(Order{To: id, Op: Stage, Model: m.Name, Reason: "alternate"})
	}
}

// isReadyInGroup reports whether the engine has completed its join. Staging during a join
// would delay it, because a join from the host waits for a running load.
func isReadyInGroup(f *EngineState) bool {
	return f.Report.Member.State == roster.Ready || f.Report.Member.State == roster.Open
}

// alternateModel returns the model with the largest share other than the given one, or
// nil.
func (p *planner) alternateModel(hot string) *catalog.Model {
	var best *catalog.Model
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Name != hot && (best == nil || m.Share > best.Share) {
			best = m
		}
	}
	return best
}

// isStaging reports whether the engine is loading weights, ordered by this owner or a
// previous one. A second order would restart the load.
func (p *planner) isStaging(id roster.ID) bool {
	if _, ok := p.mem.loading[id]; ok {
		return true
	}
	f := p.in.Engines[id]
	return f != nil && f.Report.Busy && f.Report.Member.State != roster.Joining
}

// canStageAlternate reports whether a load with no group waiting for it may start. It
// must not slow down loads that a group waits for.
func (p *planner) canStageAlternate() bool {
	if p.in.BeforeFirstRequest {
		return true
	}
	return !p.emptyEngineWaits && p.countRunningLoads() < maxConcurrentAlternates && len(p.mem.loadStarts) < p.in.Params.LoadsPerWindow/2
}

// maxConcurrentAlternates is the number of running loads in the zone at which alternates
// wait. Only a handful of loads across all zones run at full speed, and new engines take
// precedence.
const maxConcurrentAlternates = 1

// orderStandby orders a spare to join a group of its own.
func (p *planner) orderStandby(f *EngineState, m *catalog.Model) {
	k := orderKey{f.ID, Join, standbyPrefix}
	if at, ok := p.mem.sent[k]; ok && p.in.Now.Sub(at) < m.Warm+p.in.Params.ResendInterval {
		return
	}
	p.mem.sent[k] = p.in.Now
	p.addOrder(p.standbyOrder(f.ID, m.Name, "spare"))
}
