package group

import (
	"chervilloom/internal/fleet"
)

// account sums up what the users measure: replicas that are wanted and do not
// serve, and accelerators that serve nobody.
func (p *planner) account() {
	serving := map[string]int{}
	others := map[string]int{}
	busy := map[fleet.VM]bool{}
	for _, it := range p.items {
		g := &it.row.Group
		switch {
		case g.Phase == fleet.PhaseServing && it.assess.state == whole:
			serving[g.Spec]++
			for i := range g.Members {
				busy[g.Members[i].VM] = true
			}
		case g.Phase != fleet.PhaseDissolved:
			others[g.Spec]++
		}
	}
	for i := range p.doc.Groups {
		name := p.doc.Groups[i].Name
		want := p.bySpec[name].want
		p.out.Specs = append(p.out.Specs, SpecState{
			Name: name, Wanted: want, Serving: serving[name], Other: others[name], Down: max(0, want-serving[name]),
		})
	}
	for id, v := range p.vms {
		r := &v.Record
		if r.Kind == fleet.KindEngine && r.Zone == p.in.Snap.Zone && !busy[id] && p.health(v) == alive {
			p.out.Stranded += max(r.Accelerators, 1)
		}
	}
}
