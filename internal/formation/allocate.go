package formation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// candidateGroup is a group that could be formed.
type candidateGroup struct {
	model       *catalog.Model
	members     []roster.ID // by time to ready, shortest first
	timeToReady time.Duration
}

// option is one possible use of a domain's available engines: groups to close, and groups
// to form from their members and the free engines.
type option struct {
	closed []*Group
	formed []candidateGroup
	value  float64
	// without is the value of the best option that closes no group, with the margin that an
	// option which closes groups has to exceed.
	without float64
}

const (
	// valueHorizon is the period over which an option is valued. In a bad hour a zone
	// loses an engine about this often, and then all options are evaluated again.
	valueHorizon = 10 * time.Second
	// assumedUtilisation is the assumed share of a zone's engines that the usual load
	// needs at full batches. It only determines how early a model counts as sufficiently
	// served, equally for all models.
	assumedUtilisation = 0.5
	// saturation is the rate of the curve from groups to requests served in time. It
	// assumes that a model with as many groups as its requests need at full batches
	// serves three quarters of them in time, and with twice as many 19 of 20.
	saturation = 1.5
	// streamMoveTime is the assumed service time that streams lose when their group
	// closes and they move to another one.
	streamMoveTime = time.Second
	// closeMargin is the minimum net gain of closing a group, so that fluctuating
	// estimates don't convert a group back and forth.
	closeMargin = 0.02
	// noFreeEngineMargin is the minimum gain of conversions in a domain without free
	// engines.
	noFreeEngineMargin = 0.1
	// evaluationInterval is the interval between evaluations of a domain without free
	// engines.
	evaluationInterval = time.Second
	// settleTime is the time during which a domain's engines aren't reassigned after one
	// of its groups began to close. Its members leave within a few milliseconds of each
	// other; the first two must not be assigned before the others are free.
	settleTime = 250 * time.Millisecond
	// maxConversionTime limits how long engines are reserved for a conversion.
	maxConversionTime = 6 * time.Second
)

// conversion reserves the free engines of a domain until the groups to be closed there
// have closed.
type conversion struct {
	groups []string
	until  clock.Instant
	formed map[string]int // groups to be formed, by model; only while value is recorded
}

// allocateDomain assigns the free engines of a domain: to new groups, together with
// members of less needed groups, or as spares. After startup no group is formed that
// would wait for a load: its other members would be bound for 12 s or more, while the
// next loss may free engines that complete them at once.
func (p *planner) allocateDomain(domain string) {
	free := p.freeEngines(domain)
	if p.isConverting(domain) || p.isSettling(domain) {
		return
	}
	best := p.bestOption(domain, free)
	if len(best.closed) > 0 {
		p.beginConversion(domain, best)
		return
	}
	for _, g := range best.formed {
		if !p.formGroup(domain, g.model, g.members) {
			break
		}
		free = slices.DeleteFunc(free, func(f *EngineState) bool { return slices.Contains(g.members, f.ID) })
	}
	p.prepareFreeEngines(domain, free)
}

// isConverting reports whether the domain still waits for groups to close in a
// conversion.
func (p *planner) isConverting(domain string) bool {
	t, ok := p.mem.conversions[domain]
	if !ok {
		return false
	}
	closing := slices.ContainsFunc(p.out.Ledger.Groups, func(g Group) bool { return slices.Contains(t.groups, g.Name) })
	if closing && p.in.Now.Before(t.until) {
		return true
	}
	delete(p.mem.conversions, domain)
	return false
}

// isSettling reports whether members of a group that has just begun to close are about to
// become free.
func (p *planner) isSettling(domain string) bool {
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		c := p.mem.closing[g.Name]
		if g.Domain != domain || c == nil || p.in.Now.Sub(c.since) >= settleTime {
			continue
		}
		if slices.ContainsFunc(g.Members, func(id roster.ID) bool { return p.health(id) == alive }) {
			return true
		}
	}
	return false
}

func (p *planner) beginConversion(domain string, o option) {
	t := conversion{until: p.in.Now.Add(maxConversionTime)}
	p.out.Conversions++
	if p.values != nil {
		t.formed = p.recordConversion(&o)
	}
	for _, g := range o.closed {
		c := &closing{reason: "another model needs its engines more", mode: Truncate, since: p.in.Now, begun: true, converts: true}
		if p.countGroups(g.Model, domain) <= 1 {
			c.mode = Finish // no other group of the model could continue its streams
		}
		p.mem.closing[g.Name] = c
		t.groups = append(t.groups, g.Name)
		if p.values != nil {
			c.mode, c.awaitsClaim, g.Ending, p.out.Changed = Truncate, true, true, true
			p.noteDecision("group %s of %s closes: %s, value %.3f with the conversion and %.3f without", g.Name, g.Model, c.reason, o.value, o.without)
			continue
		}
		p.noteDecision("group %s of %s closes: %s", g.Name, g.Model, c.reason)
		p.announceLost(g, c)
	}
	p.mem.conversions[domain] = t
}

// bestOption returns the best use of a domain's free engines.
func (p *planner) bestOption(domain string, free []*EngineState) option {
	best := p.bestFormation(domain, nil, free)
	if p.in.BeforeFirstRequest {
		return best
	}
	if len(free) == 0 {
		// A conversion can still be useful if demand has shifted, or if another domain
		// has lost engines that it can't replace.
		if p.in.Now.Sub(p.mem.evaluatedAt[domain]) < evaluationInterval {
			return best
		}
		p.mem.evaluatedAt[domain] = p.in.Now
		best.value += noFreeEngineMargin
	}
	if p.values != nil && p.isChanging(domain) {
		return best
	}
	without := best.value
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		groups := p.closableGroups(domain, m)
		for k := 1; k <= min(len(groups), p.maxClosedGroups(m)) && p.mayClose(m, k); k++ {
			best = betterOption(best, p.bestFormation(domain, groups[:k], free))
		}
	}
	best.without = without
	return best
}

// maxClosedGroups returns the number of the model's groups that together have enough
// engines for a group of any model.
func (p *planner) maxClosedGroups(m *catalog.Model) int {
	largest := 0
	for i := range p.in.Engine.Models {
		largest = max(largest, p.in.Engine.Models[i].Size)
	}
	return (largest + max(1, m.Size) - 1) / max(1, m.Size)
}

func betterOption(a, b option) option {
	if b.value > a.value {
		return b
	}
	return a
}

// closableGroups returns the model's serving groups in the domain, sorted by the time
// until their members could be ready for another model.
func (p *planner) closableGroups(domain string, m *catalog.Model) []*Group {
	var out []*Group
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service == p.in.Service && g.Domain == domain && g.Model == m.Name && p.mem.closing[g.Name] == nil && p.mem.opened[g.Name] {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b *Group) int { return cmp.Compare(p.timeToReadyElsewhere(a), p.timeToReadyElsewhere(b)) })
	return out
}

// timeToReadyElsewhere returns the shortest time, over the other models, until all
// members of a group could have joined a group of that model.
func (p *planner) timeToReadyElsewhere(g *Group) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Name == g.Model {
			continue
		}
		last := time.Duration(0)
		for _, id := range g.Members {
			if f := p.in.Engines[id]; f != nil {
				last = max(last, p.timeToReady(f, m))
			}
		}
		soonest = min(soonest, last)
	}
	return soonest
}

// bestFormation returns the best set of groups that can be formed from the free engines
// and the members of the closed groups.
func (p *planner) bestFormation(domain string, closed []*Group, free []*EngineState) option {
	pool := slices.Clone(free)
	for _, g := range closed {
		for _, id := range g.Members {
			if p.isEligible(id) {
				pool = append(pool, p.in.Engines[id])
			}
		}
	}
	models := make([]*catalog.Model, 0, len(p.in.Engine.Models))
	for i := range p.in.Engine.Models {
		if m := &p.in.Engine.Models[i]; m.Size > 0 {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int { return cmp.Compare(b.Size, a.Size) })
	best := option{value: math.Inf(-1)}
	p.eachCombination(models, pool, nil, func(formed []candidateGroup) {
		o := option{closed: closed, formed: slices.Clone(formed)}
		o.value = p.optionValue(domain, &o)
		best = betterOption(best, o)
	})
	return best
}

// eachCombination calls f for each combination of groups that can be formed from a pool.
// Of the last model it forms as many groups as the pool allows.
func (p *planner) eachCombination(models []*catalog.Model, pool []*EngineState, formed []candidateGroup, f func([]candidateGroup)) {
	if len(models) == 0 {
		f(formed)
		return
	}
	m := models[0]
	for {
		if len(models) > 1 {
			p.eachCombination(models[1:], pool, formed, f)
		}
		g, rest := p.takeMembers(m, pool)
		if g == nil {
			break
		}
		formed = append(slices.Clone(formed), *g)
		pool = rest
	}
	if len(models) == 1 {
		f(formed)
	}
}

// takeMembers returns a group of the engines that are ready for the model soonest, and
// the remaining engines. The group is nil if there are too few engines or one would need
// a load.
func (p *planner) takeMembers(m *catalog.Model, pool []*EngineState) (*candidateGroup, []*EngineState) {
	if m.Size > len(pool) {
		return nil, pool
	}
	sorted := slices.Clone(pool)
	slices.SortStableFunc(sorted, func(a, b *EngineState) int { return cmp.Compare(p.timeToReady(a, m), p.timeToReady(b, m)) })
	g := &candidateGroup{model: m, timeToReady: p.timeToReady(sorted[m.Size-1], m)}
	if p.in.BeforeFirstRequest {
		g.timeToReady = 0 // the loads of all groups run concurrently
	}
	if g.timeToReady > maxJoinWithoutLoad {
		return nil, pool
	}
	for _, f := range sorted[:m.Size] {
		g.members = append(g.members, f.ID)
	}
	return g, sorted[m.Size:]
}

// optionValue returns the value of the option's serving groups over the horizon, less the
// cost of closing groups. Each model contributes 0 to 1.
func (p *planner) optionValue(domain string, o *option) float64 {
	if p.values != nil {
		return p.weightedValue(domain, o)
	}
	groups := map[string]float64{}
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		groups[m.Name] = float64(p.countGroups(m.Name, domain))
	}
	cost := 0.0
	for _, g := range o.closed {
		if m := p.in.Engine.Model(g.Model); m != nil {
			n := groups[m.Name]
			cost += closeMargin + p.servedShare(m, n)/max(1, n)*horizonShare(streamMoveTime)
		}
	}
	for _, g := range o.closed {
		groups[g.Model]--
	}
	v := 0.0
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		v += p.servedShare(m, groups[m.Name])
	}
	formed := slices.Clone(o.formed)
	slices.SortStableFunc(formed, func(a, b candidateGroup) int { return cmp.Compare(a.timeToReady, b.timeToReady) })
	for _, g := range formed {
		n := groups[g.model.Name]
		v += (p.servedShare(g.model, n+1) - p.servedShare(g.model, n)) * (1 - horizonShare(g.timeToReady))
		groups[g.model.Name]++
	}
	return v - cost
}

// horizonShare returns a duration as a share of the horizon, at most 1.
func horizonShare(d time.Duration) float64 { return min(1, d.Seconds()/valueHorizon.Seconds()) }

// servedShare returns the share of a model's requests that n groups serve in time.
func (p *planner) servedShare(m *catalog.Model, n float64) float64 {
	return 1 - math.Exp(-saturation*max(0, n)/p.neededGroups(m))
}

// neededGroups returns the number of groups that the usual load of a model keeps at full
// batches. The result is cached because every option of every domain uses it: counting
// the engines of a zone of 219 each time took most of a plan (BenchmarkPlanLargeZone: 2.5
// ms without the cache, 0.33 ms with it).
func (p *planner) neededGroups(m *catalog.Model) float64 {
	if n, ok := p.neededGroupsByModel[m.Name]; ok {
		return n
	}
	engines := 0
	for id := range p.in.Engines {
		if p.isEligible(id) {
			engines++
		}
	}
	n := max(0.1, p.workShare(m)*float64(engines)*assumedUtilisation/float64(m.Size))
	if p.neededGroupsByModel == nil {
		p.neededGroupsByModel = map[string]float64{}
	}
	p.neededGroupsByModel[m.Name] = n
	return n
}

// workShare returns the model's share of the engines' work, 0 to 1. It combines the
// recent demand with the declared shares, which dominate while requests are few.
func (p *planner) workShare(m *catalog.Model) float64 {
	declared, asked := 0.0, 0.0
	for i := range p.in.Engine.Models {
		other := &p.in.Engine.Models[i]
		declared += max(other.Share, minShare)
		asked += p.in.Demand.Work[other.Name] * float64(other.Size)
	}
	share := max(m.Share, minShare) / declared
	if asked == 0 {
		return share
	}
	known := p.in.Demand.Requests / (p.in.Demand.Requests + declaredShareWeight)
	return (1-known)*share + known*p.in.Demand.Work[m.Name]*float64(m.Size)/asked
}

// declaredShareWeight is the number of requests that weighs as much as the declared
// shares. Answer lengths of one model differ threefold, so the mean of 40 requests is
// accurate to one sixth.
const declaredShareWeight = 40
