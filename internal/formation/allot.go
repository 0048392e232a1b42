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

// newGroup is a group that is to be formed.
type newGroup struct {
	model   *catalog.Model
	members []roster.ID // readiest first
	ready   time.Duration
}

// option is one use of the engines of a domain that are at hand: groups to close,
// and groups to form of their members and the free engines.
type option struct {
	closed []*Group
	formed []newGroup
	value  float64
}

const (
	// horizon is the time over which an option is valued: an engine of a zone is
	// lost about this often in a bad hour, and then everything is weighed anew.
	horizon = 10 * time.Second
	// usualLoad is the part of a zone's engines that the usual load is taken to need
	// at full batches. It is assumed; it sets only how early a model counts as served
	// enough, the same for all.
	usualLoad = 0.5
	// saturation shapes the worth of a model's groups. It is assumed that with as
	// many as its requests need at full batches three quarters of them are in time,
	// with twice as many 19 of 20.
	saturation = 1.5
	// moveTime is the service that the streams of a closed group are taken to lose on
	// their way to another one; assumed.
	moveTime = time.Second
	// closeMargin is what closing a group must gain beyond its costs, so that
	// estimates that waver turn no group over and back.
	closeMargin = 0.02
	// idleMargin is what it must gain to turn groups over where no engine is free.
	idleMargin = 0.1
	// weighAgain is the pause between two looks at a domain without free engines.
	weighAgain = time.Second
	// settleFor is how long the engines of a domain are left as they are after one
	// of its groups began to close: its members leave within a few milliseconds of
	// each other, and the first two must not be bound before the others are free.
	settleFor = 250 * time.Millisecond
	// turnFor bounds how long engines are kept for a turn.
	turnFor = 6 * time.Second
)

// turn keeps the free engines of a domain until groups there have closed.
type turn struct {
	groups []string
	until  clock.Instant
}

// useDomain decides what the free engines of a domain become: groups, together
// with the members of groups that are needed less, or spares. Outside the start
// no group is formed that would wait for a load: its other members would be bound
// for twelve seconds and more, while the next loss may leave engines that complete
// them at once.
func (p *planner) useDomain(domain string) {
	free := p.free(domain)
	if p.turning(domain) || p.settling(domain) {
		return
	}
	best := p.bestOption(domain, free)
	if len(best.closed) > 0 {
		p.beginTurn(domain, best)
		return
	}
	for _, g := range best.formed {
		if !p.form(domain, g.model, g.members) {
			break
		}
		free = slices.DeleteFunc(free, func(f *Fact) bool { return slices.Contains(g.members, f.ID) })
	}
	p.prepare(domain, free)
}

// turning reports whether groups of the domain are still being closed for others.
func (p *planner) turning(domain string) bool {
	t, ok := p.mem.turning[domain]
	if !ok {
		return false
	}
	closing := slices.ContainsFunc(p.out.Ledger.Groups, func(g Group) bool { return slices.Contains(t.groups, g.Name) })
	if closing && p.in.Now.Before(t.until) {
		return true
	}
	delete(p.mem.turning, domain)
	return false
}

// settling reports whether members of a group that has just begun to close are
// about to be free.
func (p *planner) settling(domain string) bool {
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		c := p.mem.closing[g.Name]
		if g.Domain != domain || c == nil || p.in.Now.Sub(c.since) >= settleFor {
			continue
		}
		if slices.ContainsFunc(g.Members, func(id roster.ID) bool { return p.health(id) == alive }) {
			return true
		}
	}
	return false
}

func (p *planner) beginTurn(domain string, o option) {
	t := turn{until: p.in.Now.Add(turnFor)}
	for _, g := range o.closed {
		c := &closing{reason: "its engines are needed more by another model", mode: Truncate, since: p.in.Now, begun: true}
		if p.count(g.Model, domain) <= 1 {
			c.mode = Finish // its streams have nowhere to go on
		}
		p.mem.closing[g.Name] = c
		t.groups = append(t.groups, g.Name)
		p.note("group %s of %s closes: %s", g.Name, g.Model, c.reason)
		p.tellLost(g, c)
	}
	p.mem.turning[domain] = t
}

// bestOption returns the best use of the free engines of a domain.
func (p *planner) bestOption(domain string, free []*Fact) option {
	best := p.bestOf(domain, nil, free)
	if p.in.FreeLoads {
		return best
	}
	if len(free) == 0 {
		// Demand has shifted, or another domain has lost what it can't replace.
		if p.in.Now.Sub(p.mem.weighed[domain]) < weighAgain {
			return best
		}
		p.mem.weighed[domain] = p.in.Now
		best.value += idleMargin
	}
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		groups := p.closable(domain, m)
		for k := 1; k <= min(len(groups), p.mostClosed(m)); k++ {
			best = better(best, p.bestOf(domain, groups[:k], free))
		}
	}
	return best
}

// mostClosed is how many groups of a model give the engines for a group of any.
func (p *planner) mostClosed(m *catalog.Model) int {
	largest := 0
	for i := range p.in.Engine.Models {
		largest = max(largest, p.in.Engine.Models[i].Size)
	}
	return (largest + max(1, m.Size) - 1) / max(1, m.Size)
}

func better(a, b option) option {
	if b.value > a.value {
		return b
	}
	return a
}

// closable returns the groups of a model that serve in the domain, those first whose
// members are ready for another model soonest.
func (p *planner) closable(domain string, m *catalog.Model) []*Group {
	var out []*Group
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service == p.in.Service && g.Domain == domain && g.Model == m.Name && p.mem.closing[g.Name] == nil && p.mem.opened[g.Name] {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b *Group) int { return cmp.Compare(p.readyElsewhere(a), p.readyElsewhere(b)) })
	return out
}

// readyElsewhere returns when the last member of a group could have joined a group
// of the model for which that is soonest.
func (p *planner) readyElsewhere(g *Group) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Name == g.Model {
			continue
		}
		last := time.Duration(0)
		for _, id := range g.Members {
			if f := p.in.Facts[id]; f != nil {
				last = max(last, p.readyIn(f, m))
			}
		}
		soonest = min(soonest, last)
	}
	return soonest
}

// bestOf returns the best groups that can be formed of the free engines and the
// members of closed groups.
func (p *planner) bestOf(domain string, closed []*Group, free []*Fact) option {
	pool := slices.Clone(free)
	for _, g := range closed {
		for _, id := range g.Members {
			if p.fit(id) {
				pool = append(pool, p.in.Facts[id])
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
	p.eachMix(models, pool, nil, func(formed []newGroup) {
		o := option{closed: closed, formed: slices.Clone(formed)}
		o.value = p.value(domain, &o)
		best = better(best, o)
	})
	return best
}

// eachMix calls f for the ways to form groups of a pool. Of the last model as many
// are formed as the pool allows.
func (p *planner) eachMix(models []*catalog.Model, pool []*Fact, formed []newGroup, f func([]newGroup)) {
	if len(models) == 0 {
		f(formed)
		return
	}
	m := models[0]
	for {
		if len(models) > 1 {
			p.eachMix(models[1:], pool, formed, f)
		}
		g, rest := p.take(m, pool)
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

// take returns a group of the engines that are ready for the model soonest, and
// the others; nil when they are too few or would wait for a load.
func (p *planner) take(m *catalog.Model, pool []*Fact) (*newGroup, []*Fact) {
	if m.Size > len(pool) {
		return nil, pool
	}
	sorted := slices.Clone(pool)
	slices.SortStableFunc(sorted, func(a, b *Fact) int { return cmp.Compare(p.readyIn(a, m), p.readyIn(b, m)) })
	g := &newGroup{model: m, ready: p.readyIn(sorted[m.Size-1], m)}
	if p.in.FreeLoads {
		g.ready = 0 // the loads of all groups run at the same time
	}
	if g.ready > soonLimit {
		return nil, pool
	}
	for _, f := range sorted[:m.Size] {
		g.members = append(g.members, f.ID)
	}
	return g, sorted[m.Size:]
}

// value returns the worth of what serves over the horizon, as a sum over the
// models, each 0 to 1.
func (p *planner) value(domain string, o *option) float64 {
	groups := map[string]float64{}
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		groups[m.Name] = float64(p.count(m.Name, domain))
	}
	cost := 0.0
	for _, g := range o.closed {
		if m := p.in.Engine.Model(g.Model); m != nil {
			n := groups[m.Name]
			cost += closeMargin + p.worth(m, n)/max(1, n)*part(moveTime)
		}
	}
	for _, g := range o.closed {
		groups[g.Model]--
	}
	v := 0.0
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		v += p.worth(m, groups[m.Name])
	}
	formed := slices.Clone(o.formed)
	slices.SortStableFunc(formed, func(a, b newGroup) int { return cmp.Compare(a.ready, b.ready) })
	for _, g := range formed {
		n := groups[g.model.Name]
		v += (p.worth(g.model, n+1) - p.worth(g.model, n)) * (1 - part(g.ready))
		groups[g.model.Name]++
	}
	return v - cost
}

// part returns a time as a part of the horizon.
func part(d time.Duration) float64 { return min(1, d.Seconds()/horizon.Seconds()) }

// worth returns the part of a model's requests that n groups serve in time.
func (p *planner) worth(m *catalog.Model, n float64) float64 {
	return 1 - math.Exp(-saturation*max(0, n)/p.need(m))
}

// need returns how many groups of a model the usual load keeps at full batches. It is
// asked for with each option of each domain: counted anew each time, the engines of a
// zone of 219 took most of a plan (BenchmarkPlanLargeZone: 2.5 ms before, 0.33 ms since).
func (p *planner) need(m *catalog.Model) float64 {
	if n, ok := p.needs[m.Name]; ok {
		return n
	}
	engines := 0
	for id := range p.in.Facts {
		if p.fit(id) {
			engines++
		}
	}
	n := max(0.1, p.work(m)*float64(engines)*usualLoad/float64(m.Size))
	if p.needs == nil {
		p.needs = map[string]float64{}
	}
	p.needs[m.Name] = n
	return n
}

// work returns the model's part of the engines' work, 0 to 1: what requests have
// asked for of late, and what is declared as far as they were few.
func (p *planner) work(m *catalog.Model) float64 {
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
	known := p.in.Demand.Requests / (p.in.Demand.Requests + declaredRequests)
	return (1-known)*share + known*p.in.Demand.Work[m.Name]*float64(m.Size)/asked
}

// declaredRequests is how many requests weigh as much as the declared shares:
// answers of one model differ threefold in length, so that the mean of 40 is
// right to a sixth.
const declaredRequests = 40
