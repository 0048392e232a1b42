package formation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/roster"
)

// domains returns the fabric domains of the zone's engines, in order.
func (p *planner) domains() []string {
	var out []string
	for _, f := range p.in.Facts {
		if !slices.Contains(out, f.Domain) {
			out = append(out, f.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// useDomain forms groups of the free engines of a domain and prepares those
// that are left over. Outside the start no group is formed that would wait for
// a load: its other members would be bound for twelve seconds and more, while
// the next loss may leave engines that complete them at once.
func (p *planner) useDomain(domain string) {
	free := p.free(domain)
	for {
		m, members := p.bestGroup(domain, free)
		if m == nil || !p.in.FreeLoads && !p.soon(members, m) || !p.form(domain, m, members) {
			break
		}
		free = slices.DeleteFunc(free, func(f *Fact) bool { return slices.Contains(members, f.ID) })
	}
	p.rebalance(domain, free)
	p.prepare(free)
}

// free returns the engines of a domain that a group may be formed of.
func (p *planner) free(domain string) []*Fact {
	var out []*Fact
	for id, f := range p.in.Facts {
		if f.Domain != domain || p.claimed[id] || !p.fit(id) {
			continue
		}
		if p.unattached(f) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *Fact) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// fit reports whether an engine may be a member of a new group. A group runs at
// the pace of its slowest member.
func (p *planner) fit(id roster.ID) bool {
	f := p.in.Facts[id]
	return f != nil && !f.Draining && f.Listed && p.health(id) == alive && !f.slow()
}

// slowPace is the pace from which an engine is left out of groups. Engines that
// slow down were seen at two to twelve times their usual time; a group at one and
// a half still gives its events in time.
const slowPace = 1.5

func (f *Fact) slow() bool { return f.Report.Pace > slowPace }

// bestGroup returns the model that a group of free engines is best formed for,
// and its members; nil when they are too few for any. What counts is how few
// groups the model has for its share of the work, and how soon the group serves.
func (p *planner) bestGroup(domain string, free []*Fact) (*catalog.Model, []roster.ID) {
	if m, members := p.turnedTo(domain, free); m != nil {
		return m, members
	}
	var best *catalog.Model
	var bestMembers []roster.ID
	var bestCost float64
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Size > len(free) || m.Size <= 0 {
			continue
		}
		members := p.choose(free, m)
		cost := p.supply(m) + p.lastReady(members, m).Seconds()*delayWeight
		if best == nil || cost < bestCost || cost == bestCost && m.Share > best.Share {
			best, bestMembers, bestCost = m, members, cost
		}
	}
	return best, bestMembers
}

// delayWeight is how many groups for a share of one a second of delay outweighs:
// engines that are ready for one model at once go on with it, unless the other
// model has hardly a group left.
const delayWeight = 1.5

// supply returns the groups of a model for its share of the work.
func (p *planner) supply(m *catalog.Model) float64 {
	return float64(p.count(m.Name)) / p.share(m)
}

// share returns the model's share of the work: the declared one, raised by what
// its requests meet. The declared share is of the start, and says nothing of how
// many requests a group of the model takes.
func (p *planner) share(m *catalog.Model) float64 {
	return max(m.Share, minShare) * (1 + pressureWeight*p.in.Pressure[m.Name])
}

// pressureWeight makes a model whose every second request is refused weigh twice
// its share.
const pressureWeight = 2

// lastReady returns when the last of the members, readiest first, can have joined.
func (p *planner) lastReady(members []roster.ID, m *catalog.Model) time.Duration {
	if p.in.FreeLoads {
		return 0 // the loads of all groups run at the same time
	}
	return p.readyIn(p.in.Facts[members[len(members)-1]], m)
}

// soon reports whether the members, readiest first, can all join without a load.
func (p *planner) soon(members []roster.ID, m *catalog.Model) bool {
	return p.readyIn(p.in.Facts[members[len(members)-1]], m) <= soonLimit
}

const (
	// soonLimit divides joins from the host, 1 to 2 s by the engines' published
	// times, from loads.
	soonLimit = 3 * time.Second
	// minShare stands for the share of a model that is declared without one.
	minShare = 0.01
)

// count returns the groups of a model that serve or will. One that has just
// begun to close counts too: what is left of it forms the next one in a moment,
// and another domain's engines must not be turned to its model for that.
func (p *planner) count(model string) int {
	return p.countUnless(func(c *closing) bool { return p.in.Now.Sub(c.since) >= closesSoon }, model)
}

// closes leaves out every group that closes.
func closes(*closing) bool { return true }

// countUnless returns the groups of a model, without those that close and for
// which leftOut holds.
func (p *planner) countUnless(leftOut func(*closing) bool, model string) int {
	n := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Model != model {
			continue
		}
		if c := p.mem.closing[g.Name]; c == nil || !leftOut(c) {
			n++
		}
	}
	return n
}

// closesSoon is how long a group takes to close whose head answers.
const closesSoon = 500 * time.Millisecond

// choose returns the engines that are ready for the model soonest.
func (p *planner) choose(free []*Fact, m *catalog.Model) []roster.ID {
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b *Fact) int {
		return cmp.Compare(p.readyIn(a, m), p.readyIn(b, m))
	})
	ids := make([]roster.ID, m.Size)
	for i := range ids {
		ids[i] = sorted[i].ID
	}
	return ids
}

// hotJoin is how long a join takes an engine whose newest group had the model.
const hotJoin = 200 * time.Millisecond

// readyIn estimates how long the engine needs to join a group of the model.
func (p *planner) readyIn(f *Fact, m *catalog.Model) time.Duration {
	switch {
	case f.Report.Model == m.Name:
		return hotJoin
	case slices.Contains(f.Report.Staged, m.Name):
		return m.Warm
	}
	l, loading := p.mem.loading[f.ID]
	if loading && l.model == m.Name {
		return max(m.Warm, m.Load+m.Warm-p.in.Now.Sub(l.since))
	}
	if other := p.in.Engine.Model(l.model); loading && other != nil {
		return max(0, other.Load-p.in.Now.Sub(l.since)) + m.Load + m.Warm
	}
	return m.Load + m.Warm
}

// form claims the members for a new group if the loads that it needs may begin.
func (p *planner) form(domain string, m *catalog.Model, members []roster.ID) bool {
	cold := 0
	for _, id := range members {
		if p.needsLoad(p.in.Facts[id], m.Name) {
			cold++
		}
	}
	if !p.mayLoad(cold) {
		return false
	}
	for _, id := range members {
		if p.needsLoad(p.in.Facts[id], m.Name) {
			p.startLoad(id, m.Name)
		}
	}
	epoch := p.in.NextEpoch()
	g := Group{
		Name: fmt.Sprintf("%s-%d", p.in.Zone, epoch), Epoch: epoch,
		Service: p.in.Service, Model: m.Name, Domain: domain, Members: members,
	}
	p.mem.since[g.Name] = p.in.Now
	p.mem.formed[g.Name] = true
	p.out.Changed = true
	p.note("group %s forms for %s with %s, %d loads", g.Name, m.Name, p.describe(members, m), cold)
	p.keep(&g)
	p.advance(&g)
	return true
}

// describe lists engines with the time that each needs to join the model.
func (p *planner) describe(ids []roster.ID, m *catalog.Model) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s(%v)", id, p.readyIn(p.in.Facts[id], m).Round(100*time.Millisecond))
	}
	return b.String()
}
