package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

func (p *planner) spec(name string) *config.GroupSpec {
	for i := range p.doc.Groups {
		if p.doc.Groups[i].Name == name {
			return &p.doc.Groups[i]
		}
	}
	return nil
}

func (p *planner) allFree() []*view.VM {
	var out []*view.VM
	for _, d := range slices.Sorted(maps.Keys(p.free)) {
		out = append(out, p.free[d]...)
	}
	return out
}

// matches reports whether the group is what the spec asks for today.
func matches(g *fleet.Group, s *config.GroupSpec) bool {
	return g.Model == s.Model && g.Version == s.ModelVer && len(g.Members) == s.VMs &&
		slices.Equal(g.Adapters, s.Adapters)
}

// held sorts the live groups of one spec.
type held struct {
	current  []*view.TableGroup // match the spec
	outdated []*view.TableGroup // another version, adapters or size
	serving  int                // of current: whole
}

// scale forms and drains groups until each spec has as many as its target.
func (p *planner) scale(groups []view.TableGroup) {
	bySpec := map[string]*held{}
	for i := range groups {
		p.sortGroup(bySpec, &groups[i])
	}
	for i := range p.doc.Groups {
		s := &p.doc.Groups[i]
		h := bySpec[s.Name]
		if h == nil {
			h = &held{}
		}
		delete(bySpec, s.Name)
		p.scaleSpec(s, h)
	}
	for _, name := range slices.Sorted(maps.Keys(bySpec)) {
		for _, row := range append(bySpec[name].current, bySpec[name].outdated...) {
			p.drain(row, "the configuration no longer names "+name)
		}
	}
}

func (p *planner) sortGroup(bySpec map[string]*held, row *view.TableGroup) {
	g := &row.Group
	if g.Phase != fleet.PhaseForming && g.Phase != fleet.PhaseServing {
		return
	}
	if p.changed(g.ID) {
		return // planned for already
	}
	h := bySpec[g.Spec]
	if h == nil {
		h = &held{}
		bySpec[g.Spec] = h
	}
	a := p.assess(g)
	if a.state == dark {
		return // counted again when its members come back
	}
	if s := p.spec(g.Spec); s == nil || !matches(g, s) {
		h.outdated = append(h.outdated, row)
		return
	}
	h.current = append(h.current, row)
	if a.state == whole {
		h.serving++
	}
}

func (p *planner) changed(id fleet.GroupID) bool {
	return slices.ContainsFunc(p.out.Changes, func(c Change) bool { return c.Group.ID == id && c.Kind != Serve && c.Kind != Repair })
}

func (p *planner) scaleSpec(s *config.GroupSpec, h *held) {
	want := p.in.Targets[s.Name]
	for n := len(h.current); n < want; n++ {
		if !p.form(s) {
			break
		}
	}
	p.drainSurplus(h, want)
	p.roll(s, h, want)
}

// drainSurplus drains the groups beyond the target: those not serving first,
// then those with the least to do.
func (p *planner) drainSurplus(h *held, want int) {
	if len(h.current) <= want {
		return
	}
	rows := slices.Clone(h.current)
	slices.SortStableFunc(rows, func(a, b *view.TableGroup) int {
		return cmp.Compare(p.drainCost(a), p.drainCost(b))
	})
	for _, row := range rows[:len(rows)-want] {
		p.drain(row, fmt.Sprintf("%d groups, %d wanted", len(rows), want))
	}
}

func (p *planner) drainCost(row *view.TableGroup) int {
	leader := p.vms[row.Group.Members[0].VM]
	if row.Group.Phase != fleet.PhaseServing || leader == nil {
		return -1
	}
	return leader.Load.Running + leader.Load.Waiting
}

// roll replaces groups of another version: each serving group of the new
// version lets one of the old go. When no VM is free for a new group, one old
// group goes first.
func (p *planner) roll(s *config.GroupSpec, h *held, want int) {
	keep := max(want-h.serving, 0)
	if len(h.current) < want && len(h.current) == h.serving && len(h.outdated) > 0 {
		keep = min(keep, len(h.outdated)-1) // nothing is forming: make room
	}
	if len(h.outdated) <= keep {
		return
	}
	for _, row := range h.outdated[keep:] {
		p.drain(row, "replaced by version "+s.ModelVer)
	}
}
