package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// specGroups classifies the groups of one spec that are not dissolved.
type specGroups struct {
	spec       *config.GroupSpec // nil: no longer in the configuration
	wanted     int
	noTarget   bool             // the targets do not include the spec
	current    []*assessedGroup // match the spec; serving, or expected to serve
	outdated   []*assessedGroup // differ from the spec in model, version, adapters or size
	serving    int              // those of current whose members all report
	draining   int
	forming    int  // those of current that are not serving yet
	added      int  // added by this plan
	noCapacity bool // no further group can be placed by this plan
}

func (c *specGroups) total() int { return len(c.current) + c.added }

func (p *planner) spec(name string) *config.GroupSpec {
	if c := p.bySpec[name]; c != nil {
		return c.spec
	}
	return nil
}

// matchesSpec reports whether the group has the model, version, size and adapters
// of the spec.
func matchesSpec(g *fleet.Group, s *config.GroupSpec) bool {
	return s != nil && g.Model == s.Model && g.Version == s.ModelVer && len(g.Members) == s.VMs &&
		slices.Equal(g.Adapters, s.Adapters)
}

func (p *planner) classifyGroups() {
	p.bySpec = make(map[string]*specGroups, len(p.doc.Groups))
	for i := range p.doc.Groups {
		s := &p.doc.Groups[i]
		want, hasTarget := p.in.Targets[s.Name]
		p.bySpec[s.Name] = &specGroups{spec: s, wanted: want, noTarget: !hasTarget}
	}
	for _, ag := range p.groups {
		p.classify(ag)
	}
	for _, c := range p.bySpec {
		// A missing target is not a target of zero: existing groups stay.
		if c.noTarget {
			c.wanted = len(c.current) + len(c.outdated)
		}
	}
}

func (p *planner) classify(ag *assessedGroup) {
	g := &ag.row.Group
	if g.Phase == fleet.PhaseDissolved {
		return
	}
	c := p.bySpec[g.Spec]
	if c == nil {
		c = &specGroups{}
		p.bySpec[g.Spec] = c
	}
	switch {
	case g.Phase == fleet.PhaseDraining:
		c.draining++
	case ag.assess.state == allDead:
		// Not counted until its members answer again; a replacement is formed
		// meanwhile.
	case !matchesSpec(g, c.spec):
		c.outdated = append(c.outdated, ag)
	case ag.assess.state == broken && !p.isRepairable(ag):
	default:
		c.current = append(c.current, ag)
		ag.counted = true
		if ag.assess.state == ready {
			c.serving++
		} else {
			c.forming++
		}
	}
}

// isRepairable reports whether enough spare VMs are free for the group. Two groups
// may rely on the same spare; the next plan finds the one that did not get it.
func (p *planner) isRepairable(ag *assessedGroup) bool {
	return len(p.spareVMs(&ag.row.Group, len(ag.assess.toReplace))) >= len(ag.assess.toReplace)
}

// isWanted reports whether the group matches its spec and the spec lacks replicas
// without it.
func (p *planner) isWanted(ag *assessedGroup) bool {
	g := &ag.row.Group
	c := p.bySpec[g.Spec]
	others := c.total()
	if ag.counted {
		others--
	}
	return matchesSpec(g, c.spec) && others < c.wanted
}

// scaleSpecs plans new groups and drains until each spec matches its target.
func (p *planner) scaleSpecs() {
	for s := p.furthestBelowTarget(); s != nil; s = p.furthestBelowTarget() {
		if !p.formGroup(s) {
			p.bySpec[s.Name].noCapacity = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.bySpec)) {
		c := p.bySpec[name]
		if c.spec == nil {
			for _, ag := range c.outdated {
				p.drainGroup(ag, "the configuration no longer names "+name)
			}
			continue
		}
		p.drainSurplus(c)
		p.rollOut(c)
	}
}

// furthestBelowTarget returns the spec with the smallest fraction of its target
// that can still be placed, nil if there is none, so that no spec uses all VMs
// while another has no group. Ties go to the larger replicas, which are harder to
// place.
func (p *planner) furthestBelowTarget() *config.GroupSpec {
	var best *specGroups
	for i := range p.doc.Groups {
		c := p.bySpec[p.doc.Groups[i].Name]
		if c.noCapacity || c.total() >= c.wanted || c.spec.VMs <= 0 {
			continue
		}
		if best == nil || isFurtherBelowTarget(c, best) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.spec
}

func isFurtherBelowTarget(a, b *specGroups) bool {
	if c := cmp.Compare(a.total()*b.wanted, b.total()*a.wanted); c != 0 {
		return c < 0
	}
	return a.spec.VMs > b.spec.VMs
}

// drainSurplus drains the groups in excess of the target: those not serving first,
// then those with the fewest requests.
func (p *planner) drainSurplus(c *specGroups) {
	candidates := slices.DeleteFunc(slices.Clone(c.current), func(ag *assessedGroup) bool { return ag.changed })
	surplus := len(c.current) - c.wanted
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *assessedGroup) int { return cmp.Compare(p.drainCost(a), p.drainCost(b)) })
	for _, ag := range candidates[:min(surplus, len(candidates))] {
		p.drainGroup(ag, fmt.Sprintf("%d groups, %d wanted", len(c.current), c.wanted))
	}
}

func (p *planner) drainCost(ag *assessedGroup) int {
	leader := p.vms[ag.row.Group.Members[0].VM]
	if ag.assess.state != ready || leader == nil {
		return -1
	}
	return leader.Load.Running + leader.Load.Waiting
}

// rollOut replaces outdated groups: one is drained for each serving group that
// matches the spec. If no VMs are free for a new group beside the old ones, one
// old group is drained first, and the next only after that one was replaced.
func (p *planner) rollOut(c *specGroups) {
	keep := max(c.wanted-c.serving, 0)
	if c.noCapacity && c.forming+c.added+c.draining == 0 {
		keep = min(keep, len(c.outdated)-1)
	}
	if len(c.outdated) <= keep {
		return
	}
	old := slices.Clone(c.outdated)
	slices.SortStableFunc(old, func(a, b *assessedGroup) int { return cmp.Compare(p.drainCost(a), p.drainCost(b)) })
	for _, ag := range old[:len(old)-max(keep, 0)] {
		if !ag.changed {
			p.drainGroup(ag, "replaced by version "+c.spec.ModelVer)
		}
	}
}
