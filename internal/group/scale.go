package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// census sorts the live groups of one spec.
type census struct {
	spec     *config.GroupSpec // nil: the configuration names it no more
	want     int
	untold   bool    // the targets do not name the spec
	current  []*item // match the spec and serve or will serve
	outdated []*item // another version, adapters or size
	serving  int     // of current: whole
	draining int
	forming  int  // of current: not whole yet; with those formed by this plan
	planned  int  // formed by this plan
	noRoom   bool // no further group can be placed now
}

func (c *census) have() int { return len(c.current) + c.planned }

func (p *planner) spec(name string) *config.GroupSpec {
	if c := p.bySpec[name]; c != nil {
		return c.spec
	}
	return nil
}

// matches reports whether the group is what the spec asks for today.
func matches(g *fleet.Group, s *config.GroupSpec) bool {
	return s != nil && g.Model == s.Model && g.Version == s.ModelVer && len(g.Members) == s.VMs &&
		slices.Equal(g.Adapters, s.Adapters)
}

func (p *planner) takeCensus() {
	p.bySpec = make(map[string]*census, len(p.doc.Groups))
	for i := range p.doc.Groups {
		s := &p.doc.Groups[i]
		want, told := p.in.Targets[s.Name]
		p.bySpec[s.Name] = &census{spec: s, want: want, untold: !told}
	}
	for _, it := range p.items {
		p.count(it)
	}
	for _, c := range p.bySpec {
		// No word is not the word "none": what runs goes on.
		if c.untold {
			c.want = len(c.current) + len(c.outdated)
		}
	}
}

func (p *planner) count(it *item) {
	g := &it.row.Group
	if g.Phase == fleet.PhaseDissolved {
		return
	}
	c := p.bySpec[g.Spec]
	if c == nil {
		c = &census{}
		p.bySpec[g.Spec] = c
	}
	switch {
	case g.Phase == fleet.PhaseDraining:
		c.draining++
	case it.assess.state == dark:
		// Counted again when its members come back; until then others are
		// formed in its place.
	case !matches(g, c.spec):
		c.outdated = append(c.outdated, it)
	case it.assess.state == broken && !p.repairable(it):
	default:
		c.current = append(c.current, it)
		it.counted = true
		if it.assess.state == whole {
			c.serving++
		} else {
			c.forming++
		}
	}
}

// repairable reports whether the domain has spares for the group. Two groups
// may count on the same spare; the one that goes without is seen as such by the
// next plan.
func (p *planner) repairable(it *item) bool {
	return len(p.sparesFor(&it.row.Group, len(it.assess.gone))) >= len(it.assess.gone)
}

// wanted reports whether the spec of the group lacks replicas without it.
func (p *planner) wanted(it *item) bool {
	g := &it.row.Group
	c := p.bySpec[g.Spec]
	others := c.have()
	if it.counted {
		others--
	}
	return matches(g, c.spec) && others < c.want
}

// scale forms and drains groups until each spec has as many as its target.
func (p *planner) scale() {
	for s := p.neediest(); s != nil; s = p.neediest() {
		if !p.form(s) {
			p.bySpec[s.Name].noRoom = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.bySpec)) {
		c := p.bySpec[name]
		if c.spec == nil {
			for _, it := range c.outdated {
				p.drain(it, "the configuration no longer names "+name)
			}
			continue
		}
		p.drainSurplus(c)
		p.roll(c)
	}
}

// neediest returns the spec that has the smallest share of its target and may
// still have room, so that no spec takes all VMs while another has none; of
// equals the one with the larger replicas, which are harder to place.
func (p *planner) neediest() *config.GroupSpec {
	var best *census
	for i := range p.doc.Groups {
		c := p.bySpec[p.doc.Groups[i].Name]
		if c.noRoom || c.have() >= c.want || c.spec.VMs <= 0 {
			continue
		}
		if best == nil || needier(c, best) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.spec
}

func needier(a, b *census) bool {
	if c := cmp.Compare(a.have()*b.want, b.have()*a.want); c != 0 {
		return c < 0
	}
	return a.spec.VMs > b.spec.VMs
}

// drainSurplus drains the groups beyond the target: those not serving first,
// then those with the least to do.
func (p *planner) drainSurplus(c *census) {
	rows := slices.DeleteFunc(slices.Clone(c.current), func(it *item) bool { return it.changed })
	surplus := len(c.current) - c.want
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b *item) int { return cmp.Compare(p.drainCost(a), p.drainCost(b)) })
	for _, it := range rows[:min(surplus, len(rows))] {
		p.drain(it, fmt.Sprintf("%d groups, %d wanted", len(c.current), c.want))
	}
}

func (p *planner) drainCost(it *item) int {
	leader := p.vms[it.row.Group.Members[0].VM]
	if it.assess.state != whole || leader == nil {
		return -1
	}
	return leader.Load.Running + leader.Load.Waiting
}

// roll replaces groups of another version: each serving group of the new
// version lets one of the old go. When there is no room for a new group beside
// the old ones, one old group goes first, and the next only after the first has
// been replaced.
func (p *planner) roll(c *census) {
	keep := max(c.want-c.serving, 0)
	if c.noRoom && c.forming+c.planned+c.draining == 0 {
		keep = min(keep, len(c.outdated)-1)
	}
	if len(c.outdated) <= keep {
		return
	}
	old := slices.Clone(c.outdated)
	slices.SortStableFunc(old, func(a, b *item) int { return cmp.Compare(p.drainCost(a), p.drainCost(b)) })
	for _, it := range old[:len(old)-max(keep, 0)] {
		if !it.changed {
			p.drain(it, "replaced by version "+c.spec.ModelVer)
		}
	}
}
