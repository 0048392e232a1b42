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

// idle reports whether the engine surely isn't loading: its order got lost. The
// report that says so must be newer than the order by its time-out and the lag.
func (l load) idle(f *Fact) bool {
	return !f.Report.Busy && f.Answered.Sub(l.since) > orderLimit+reportLag
}

func (p *planner) standbyOrder(id roster.ID, model, reason string) Order {
	epoch := p.in.NextEpoch()
	return Order{
		To: id, Op: Join, Group: fmt.Sprintf("%s%d", standbyPrefix, epoch), Epoch: epoch,
		Model: model, Members: []roster.ID{id}, Reason: reason,
	}
}

func (p *planner) needsLoad(f *Fact, model string) bool {
	if f.Report.Model == model || slices.Contains(f.Report.Staged, model) {
		return false
	}
	l, ok := p.mem.loading[f.ID]
	return !ok || l.model != model
}

// mayLoad reports whether n more loads may begin now. The weight store runs a few
// at full speed and shares its rate among more: begun one after the other, the
// first ones are of use long before all of them would be.
func (p *planner) mayLoad(n int) bool {
	return n == 0 || p.in.FreeLoads ||
		len(p.mem.loads)+n <= p.in.Params.LoadsPer && p.loadsRunning()+n <= p.in.Params.LoadsAtOnce
}

// loadsRunning counts the engines of the zone that load weights, those included
// that an earlier owner's orders made load.
func (p *planner) loadsRunning() int {
	n := 0
	for id, f := range p.in.Facts {
		if p.staging(id) && p.health(id) != dead && f.Listed {
			n++
		}
	}
	return n
}

// emptyWaits reports whether an engine that holds no weights could load some.
func (p *planner) emptyWaits() bool {
	for id, f := range p.in.Facts {
		if p.empties(f) && f.Listed && !f.Draining && !p.staging(id) && p.health(id) == alive {
			return true
		}
	}
	return false
}

func (p *planner) empties(f *Fact) bool { return f.Report.Model == "" && len(f.Report.Staged) == 0 }

func (p *planner) startLoad(id roster.ID, model string) {
	p.mem.loading[id] = load{model, p.in.Now}
	p.mem.loads = append(p.mem.loads, p.in.Now)
}

// forgetLoads drops loads that are done or that never began.
func (p *planner) forgetLoads() {
	for id, l := range p.mem.loading {
		f := p.in.Facts[id]
		if f == nil || slices.Contains(f.Report.Staged, l.model) || f.Report.Model == l.model || l.idle(f) {
			delete(p.mem.loading, id)
		}
	}
	p.mem.loads = slices.DeleteFunc(p.mem.loads, func(at clock.Instant) bool {
		return p.in.Now.Sub(at) > p.in.Params.LoadWindow
	})
}

// standbyPrefix begins the names of the one-member groups that keep a spare
// engine ready. They are never opened.
const standbyPrefix = "standby-"

func isStandby(m roster.Membership) bool {
	return len(m.Group) > len(standbyPrefix) && m.Group[:len(standbyPrefix)] == standbyPrefix &&
		(m.State == roster.Ready || m.State == roster.Joining)
}

// prepare makes free engines ready: first those that the next groups lack, then
// the spares. An engine is ready when the weights are staged on its host and it
// is in a group of its own, from which it joins another one in hotJoin.
func (p *planner) prepare(domain string, free []*Fact) {
	rest := slices.Clone(free)
	for {
		m, members := p.nextGroup(domain, rest)
		if m == nil {
			break
		}
		p.coming[m.Name]++
		for _, id := range members {
			p.prepareSpare(p.in.Facts[id], m)
		}
		rest = slices.DeleteFunc(rest, func(f *Fact) bool { return slices.Contains(members, f.ID) })
	}
	for _, m := range p.spareModels(len(rest)) {
		i := p.readiest(rest, m)
		f := rest[i]
		rest = slices.Delete(rest, i, i+1)
		p.prepareSpare(f, m)
	}
}

// lackWeight is how many engines for a share of one a load that is lacking
// outweighs.
const lackWeight = 2.5

// nextGroup returns the model whose next group lacks the fewest loads, and the
// engines for it.
func (p *planner) nextGroup(domain string, free []*Fact) (*catalog.Model, []roster.ID) {
	var best *catalog.Model
	var bestMembers []roster.ID
	var bestCost float64
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Size > len(free) || m.Size <= 0 {
			continue
		}
		members := p.choose(free, m)
		lacks := 0
		for _, id := range members {
			if p.readyIn(p.in.Facts[id], m) > soonLimit {
				lacks++
			}
		}
		// A model without groups for its share goes before one that lacks less.
		cost := float64(lacks)*lackWeight + p.supply(m, domain) + p.supplyOf(m, float64(p.coming[m.Name]))
		if best == nil || cost < bestCost {
			best, bestMembers, bestCost = m, members, cost
		}
	}
	return best, bestMembers
}

// spareModels returns a model for each of n spares: turn by turn, the largest
// share first.
func (p *planner) spareModels(n int) []*catalog.Model {
	models := make([]*catalog.Model, 0, len(p.in.Engine.Models))
	for i := range p.in.Engine.Models {
		models = append(models, &p.in.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int { return cmp.Compare(p.work(b), p.work(a)) })
	out := make([]*catalog.Model, 0, n)
	for i := range n {
		out = append(out, models[i%len(models)])
	}
	return out
}

func (p *planner) readiest(fs []*Fact, m *catalog.Model) int {
	best := 0
	for i, f := range fs {
		if p.readyIn(f, m) < p.readyIn(fs[best], m) {
			best = i
		}
	}
	return best
}

func (p *planner) prepareSpare(f *Fact, m *catalog.Model) {
	switch {
	case f.Report.Model == m.Name:
		return
	case slices.Contains(f.Report.Staged, m.Name):
		p.standBy(f, m)
	case p.empty && !p.empties(f):
		// An engine that holds another model's weights is of use already.
	case !p.staging(f.ID) && p.needsLoad(f, m.Name) && p.mayLoad(1):
		p.startLoad(f.ID, m.Name)
		p.order(Order{To: f.ID, Op: Stage, Model: m.Name, Reason: "spare"})
	}
}

// stageAlternates loads a second model onto the hosts of engines that are ready
// for a first one: an engine joins a group of its newest model in hotJoin
// whatever its host holds, so the host's place is free for another model. After
// a loss, what is left of a domain can then form a group of either model
// without a load.
func (p *planner) stageAlternates() {
	for _, id := range p.sortedIDs() {
		f := p.in.Facts[id]
		hot := f.Report.Model
		if hot == "" || f.Draining || !f.Listed || p.health(id) != alive || !settledIn(f) {
			continue
		}
		m := p.alternate(hot)
		if m == nil || !p.needsLoad(f, m.Name) || p.staging(id) || !p.mayStageAlternate() {
			continue
		}
		p.startLoad(id, m.Name)
		p.order(Order{To: id, Op: Stage, Model: m.Name, Reason: "alternate"})
	}
}

// settledIn reports whether the engine is ready in its group: a join from the
// host waits for a load that is under way there.
func settledIn(f *Fact) bool {
	return f.Report.Member.State == roster.Ready || f.Report.Member.State == roster.Open
}

// alternate returns the model with the largest share beside the one given.
func (p *planner) alternate(hot string) *catalog.Model {
	var best *catalog.Model
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Name != hot && (best == nil || m.Share > best.Share) {
			best = m
		}
	}
	return best
}

// staging reports whether the engine loads weights, by this owner's order or by
// an earlier one's. A second order would begin the load anew.
func (p *planner) staging(id roster.ID) bool {
	if _, ok := p.mem.loading[id]; ok {
		return true
	}
	f := p.in.Facts[id]
	return f != nil && f.Report.Busy && f.Report.Member.State != roster.Joining
}

// mayStageAlternate reports whether a load that nothing waits for may begin: it
// must not slow down the loads that a group waits for.
func (p *planner) mayStageAlternate() bool {
	if p.in.FreeLoads {
		return true
	}
	return !p.empty && p.loadsRunning() < alternatesAtOnce && len(p.mem.loads) < p.in.Params.LoadsPer/2
}

// alternatesAtOnce is how many loads of the zone may run before alternates wait:
// a handful of all zones run at full speed, and new engines need them first.
const alternatesAtOnce = 1

// standBy lets a spare join a group of its own.
func (p *planner) standBy(f *Fact, m *catalog.Model) {
	k := orderKey{f.ID, Join, standbyPrefix}
	if at, ok := p.mem.sent[k]; ok && p.in.Now.Sub(at) < m.Warm+p.in.Params.Resend {
		return
	}
	p.mem.sent[k] = p.in.Now
	p.give(p.standbyOrder(f.ID, m.Name, "spare"))
}
