package formation

import (
	"slices"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// turn says that the engines of a domain are to form a group of a model next.
type turn struct {
	model string
	until clock.Instant
}

// rebalance closes a group whose model has more groups for its share of the work
// than another model, when its members complete a group of that other model
// together with the free engines. Without it, what is left of a group after a
// loss waits for a load of twelve seconds and more, beside a group that is not
// needed as much.
func (p *planner) rebalance(domain string, free []*Fact) {
	if len(free) == 0 || p.in.FreeLoads {
		return
	}
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Domain != domain || p.mem.closing[g.Name] != nil || !p.mem.opened[g.Name] {
			continue
		}
		m := p.worthMore(g, free)
		if m == nil {
			continue
		}
		p.mem.closing[g.Name] = &closing{reason: "its members complete a group of " + m.Name, mode: Finish, since: p.in.Now}
		p.mem.turning[domain] = turn{m.Name, p.in.Now.Add(turnFor)}
		p.note("group %s closes: its members complete a group of %s", g.Name, m.Name)
		return
	}
}

// turns returns the domains that are being turned over to a model.
func (p *planner) turns(model string) int {
	n := 0
	for _, t := range p.mem.turning {
		if t.model == model {
			n++
		}
	}
	return n
}

// turnFor is how long a group may take to let its requests end before the turn
// is forgotten: longer than most streams run.
const turnFor = 6 * time.Second

// worthMore returns the model that the members of a group and the free engines
// can form a group of soon, if that model stays the one with fewer groups for
// its share after the change; nil when there is none.
func (p *planner) worthMore(g *Group, free []*Fact) *catalog.Model {
	own := p.in.Engine.Model(g.Model)
	if own == nil {
		return nil
	}
	all := slices.Clone(free)
	for _, id := range g.Members {
		if f := p.in.Facts[id]; f != nil && p.health(id) == alive && !f.Draining {
			all = append(all, f)
		}
	}
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m == own || m.Size <= 0 || m.Size > len(all) || !p.soon(p.choose(all, m), m) {
			continue
		}
		after := float64(p.countUnless(closes, m.Name)+p.turns(m.Name)+1) / p.share(m)
		left := float64(p.countUnless(closes, own.Name)-1) / p.share(own)
		if left >= after {
			return m
		}
	}
	return nil
}

// turnedTo returns the model that a group of this domain was closed for, once
// there are engines for it. Without this the engines would be ready soonest for
// the model that they have just been taken from.
func (p *planner) turnedTo(domain string, free []*Fact) (*catalog.Model, []roster.ID) {
	t, ok := p.mem.turning[domain]
	if !ok || !p.in.Now.Before(t.until) {
		delete(p.mem.turning, domain)
		return nil, nil
	}
	m := p.in.Engine.Model(t.model)
	if m == nil || m.Size > len(free) {
		return nil, nil
	}
	members := p.choose(free, m)
	if !p.soon(members, m) {
		return nil, nil
	}
	delete(p.mem.turning, domain)
	return m, members
}
