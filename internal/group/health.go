package group

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// health is what is concluded about a VM.
type health int

const (
	unknown health = iota // nothing can be concluded: neither use it nor give it up
	alive
	leaving // answers, takes no new work
	dead
)

// healthOf concludes from the newest word about a VM.
//
// Both a time and a count of unanswered probes are asked for: a node that was
// paused finds the probes it had in flight timed out, long after they were
// sent. Going by time alone it would call every member dead at its wake.
func healthOf(v *view.VM, now clock.Instant, t *Tune) health {
	if v == nil {
		return dead
	}
	p := &v.Probe
	if p.Failing != 0 {
		if p.Failures >= t.DeadProbes && now.Sub(p.Failing) >= t.DeadAfter {
			return dead
		}
		return unknown
	}
	if p.Answered == 0 || now.Sub(p.Answered) > t.StaleAfter {
		return unknown
	}
	if v.Leaving || !v.Listed && now.Sub(v.Unlisted) > t.MissingAfter {
		return leaving
	}
	return alive
}

// groupState is what is concluded about a group.
type groupState int

const (
	waiting groupState = iota // some member is loading or not known well enough
	whole
	broken // some member is gone for good
	dark   // every member is dead
)

// assessment is a group's state and, when broken, the members to replace.
type assessment struct {
	state     groupState
	gone      []int // indexes of members that need another VM
	restarted []int // indexes of members that live on under a new boot id
	reason    string
}

func (p *planner) assess(g *fleet.Group) assessment {
	var a assessment
	reporting, deadMembers := 0, 0
	for i := range g.Members {
		m := &g.Members[i]
		v := p.vms[m.VM]
		switch h := healthOf(v, p.in.Now, &p.in.Tune); {
		case h == dead:
			deadMembers++
			a.gone = append(a.gone, i)
			a.reason = string(m.VM) + " is dead"
		case h == leaving:
			a.gone = append(a.gone, i)
			a.reason = string(m.VM) + " is leaving"
		case h == alive && v.Probe.State.Boot != m.Boot:
			a.restarted = append(a.restarted, i)
			a.reason = string(m.VM) + " restarted"
		case h == alive && view.StateFault(g, m, &v.Probe.State) == "":
			reporting++
		}
	}
	switch {
	case deadMembers == len(g.Members):
		a.state = dark
	case len(a.gone)+len(a.restarted) > 0:
		a.state = broken
	case reporting == len(g.Members):
		a.state = whole
	}
	return a
}
