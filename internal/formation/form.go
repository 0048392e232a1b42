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

// supply returns the engines in groups of a model for its share of the work.
func (p *planner) supply(m *catalog.Model, domain string) float64 {
	return p.supplyOf(m, float64(p.count(m.Name, domain)))
}

// supplyOf returns the same for a number of groups. What a share is declared of
// is the engines' time: a group of four takes twice the engines of a group of two,
// and does the work of one group.
func (p *planner) supplyOf(m *catalog.Model, groups float64) float64 {
	return groups * float64(m.Size) / p.work(m)
}

const (
	// soonLimit divides joins from the host, 1 to 2 s by the engines' published
	// times, from loads.
	soonLimit = 3 * time.Second
	// minShare stands for the share of a model that is declared without one.
	minShare = 0.01
)

// count returns the groups of a model that serve or will, as the engines of a
// domain are decided on. A group of another domain that has just begun to close
// counts: what is left of it forms the next one in a moment, and this domain's
// engines must not be turned to its model for that.
func (p *planner) count(model, domain string) int {
	n := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Model != model {
			continue
		}
		c := p.mem.closing[g.Name]
		if c == nil || g.Domain != domain && p.in.Now.Sub(c.since) < closesSoon {
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
