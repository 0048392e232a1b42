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
		return dead // neither listed nor answering for longer than the list lags
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
	if v.Leaving || missing(v, now, t) {
		return leaving
	}
	return alive
}

// health is healthOf with the list's word on missing VMs weighed.
func (p *planner) health(v *view.VM) health {
	h := healthOf(v, p.in.Now, &p.in.Tune)
	if h == leaving && !v.Leaving && p.listFault {
		return alive
	}
	return h
}

// listMisses reports whether the list lacks more of the zone's answering engine
// VMs than go away in the ordinary course. A list that came back cut short would
// otherwise have every group drained.
func (p *planner) listMisses() bool {
	answering, missed := 0, 0
	for _, v := range p.vms {
		r := &v.Record
		if r.Kind != fleet.KindEngine || r.Zone != p.in.Snap.Zone || v.Probe.Answered == 0 || v.Probe.Failing != 0 {
			continue
		}
		answering++
		if !v.Listed {
			missed++
		}
	}
	return missed > max(unlistedAtOnce, answering/4)
}

// unlistedAtOnce is how many answering VMs may always be missing from the list.
const unlistedAtOnce = 2

// missing reports whether the VM has been gone from the list for long.
func missing(v *view.VM, now clock.Instant, t *Tune) bool {
	return !v.Listed && v.Unlisted != 0 && now.Sub(v.Unlisted) > t.MissingAfter
}

// groupState is what is concluded about a group.
type groupState int

const (
	waiting groupState = iota // some member is loading or not known well enough
	whole
	fading // every member answers, some are leaving
	broken // some member is gone, restarted or has lost the replica
	dark   // every member is dead
)

// assessment is a group's state and what is wrong with its members.
type assessment struct {
	state     groupState
	gone      []int  // indexes of members that need another VM
	restarted bool   // some member lives on under a new boot id
	reason    string // of fading and broken
}

func (p *planner) assess(g *fleet.Group) assessment {
	var a assessment
	reporting, deadMembers, hurt := 0, 0, 0
	for i := range g.Members {
		m := &g.Members[i]
		v := p.vms[m.VM]
		switch h := p.health(v); {
		case h == dead:
			deadMembers++
			a.gone = append(a.gone, i)
			a.reason = string(m.VM) + " is dead"
		case h == leaving:
			a.gone = append(a.gone, i)
			if hurt+deadMembers == 0 {
				a.reason = string(m.VM) + " is leaving"
			}
			if v.Probe.State.Boot != m.Boot {
				hurt++
			}
		case h == unknown:
		case v.Probe.State.Boot != m.Boot:
			hurt++
			a.restarted = true
			if p.mem.restarts(m.VM, p.in.Now) >= unsteadyAfter {
				a.gone = append(a.gone, i)
			}
			a.reason = string(m.VM) + " restarted"
		case v.Probe.State.Fence > m.Fence:
			// The table was restored to an older state: orders with the fence
			// that it holds would be refused.
			hurt++
			a.reason = string(m.VM) + " has seen a newer fence than its claim holds"
		case p.lostReplica(g, m, &v.Probe.State):
			hurt++
			a.reason = string(m.VM) + " holds the replica no more"
		case view.StateFault(g, m, &v.Probe.State) == "":
			reporting++
		}
	}
	a.state = conclude(len(g.Members), deadMembers, hurt, len(a.gone), reporting)
	return a
}

func conclude(members, deadMembers, hurt, gone, reporting int) groupState {
	switch {
	case deadMembers == members:
		return dark
	case deadMembers+hurt > 0:
		return broken
	case gone > 0:
		return fading
	case reporting == members:
		return whole
	}
	return waiting
}

// lostReplica reports whether a member that is in its place will not become
// loaded again by itself: it was loaded once, or it takes too long. Orders
// cannot help, for the engine takes the same order as done; a new generation can.
func (p *planner) lostReplica(g *fleet.Group, m *fleet.Member, st *fleet.EngineState) bool {
	if st.Group != g.ID || st.Generation != g.Generation || st.Rank != m.Rank || st.Loaded {
		return false
	}
	return g.Phase != fleet.PhaseForming || p.mem.loadingFor(m.VM, p.in.Now) > p.in.Tune.LoadLimit
}
