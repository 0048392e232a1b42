package group

import (
	"chervilloom/internal/fleet"
)

// summarize computes the quantities that the objective weighs: wanted replicas
// that do not serve, and live accelerators outside of serving groups.
func (p *planner) summarize() {
	serving := map[string]int{}
	notServing := map[string]int{}
	inService := map[fleet.VM]bool{}
	for _, ag := range p.groups {
		g := &ag.row.Group
		switch {
		case g.Phase == fleet.PhaseServing && ag.assess.state == ready:
			serving[g.Spec]++
			for i := range g.Members {
				inService[g.Members[i].VM] = true
			}
		case g.Phase != fleet.PhaseDissolved:
			notServing[g.Spec]++
		}
	}
	for i := range p.doc.Groups {
		name := p.doc.Groups[i].Name
		want := p.bySpec[name].wanted
		p.out.Specs = append(p.out.Specs, SpecState{
			Name: name, Wanted: want, Serving: serving[name], Other: notServing[name], Down: max(0, want-serving[name]),
		})
	}
	for id, v := range p.vms {
		r := &v.Record
		if r.Kind == fleet.KindEngine && r.Zone == p.in.Snap.Zone && !inService[id] && p.health(v) == alive {
			p.out.StrandedAccelerators += max(r.Accelerators, 1)
		}
	}
}
