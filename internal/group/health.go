package group

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// health is the state of a VM as derived from its probes and the platform's list.
type health int

const (
	unknown health = iota // not enough information: neither used nor replaced
	alive
	leaving // answers probes, gets no new work
	dead
)

// healthOf derives a VM's health from its newest probe results.
//
// A VM counts as dead only after both a time and a number of unanswered probes:
// on a node that resumes after a pause, the probes that were in flight time out
// long after they were sent, and by time alone every member would be dead.
func healthOf(v *view.VM, now clock.Instant, t *Params) health {
	if v == nil {
		return dead // neither listed nor answering, for longer than the lag of the list
	}
	p := &v.Probe
	if p.FailingSince != 0 {
		if p.Failures >= t.DeadProbes && now.Sub(p.FailingSince) >= t.DeadAfter {
			return dead
		}
		return unknown
	}
	if p.AnsweredAt == 0 || now.Sub(p.AnsweredAt) > t.MaxProbeAge {
		return unknown
	}
	if v.Leaving || isUnlisted(v, now, t) {
		return leaving
	}
	return alive
}

// health returns healthOf, but ignores that the VM is missing from the
// platform's list when the list looks truncated.
func (p *planner) health(v *view.VM) health {
	h := healthOf(v, p.in.Now, &p.in.Params)
	if h == leaving && !v.Leaving && p.listTruncated {
		return alive
	}
	return h
}

// isListTruncated reports whether the platform's list lacks more of the zone's
// answering engine VMs than leave in normal operation. A truncated list would
// otherwise cause every group to be drained.
func (p *planner) isListTruncated() bool {
	answering, unlisted := 0, 0
	for _, v := range p.vms {
		r := &v.Record
		if r.Kind != fleet.KindEngine || r.Zone != p.in.Snap.Zone || v.Probe.AnsweredAt == 0 || v.Probe.FailingSince != 0 {
			continue
		}
		answering++
		if !v.Listed {
			unlisted++
		}
	}
	return unlisted > max(maxUnlistedVMs, answering/4)
}

// maxUnlistedVMs answering VMs, or a quarter of them if that is more, may be
// missing from the list before it counts as truncated.
const maxUnlistedVMs = 2

// isUnlisted reports whether the VM has been missing from the platform's list for
// longer than UnlistedAfter.
func isUnlisted(v *view.VM, now clock.Instant, t *Params) bool {
	return !v.Listed && v.UnlistedSince != 0 && now.Sub(v.UnlistedSince) > t.UnlistedAfter
}

// groupState is the state of a group as derived from the health of its members.
type groupState int

const (
	pending        groupState = iota // some member is loading, or its health is unknown
	ready                            // every member reports the generation
	membersLeaving                   // every member answers, some are leaving
	broken                           // some member is dead, has restarted or has lost the replica
	allDead                          // every member is dead
)

// assessment is a group's state and the faults of its members.
type assessment struct {
	state     groupState
	toReplace []int  // indexes of members that need another VM
	reason    string // set when members are leaving or faulty
}

func (p *planner) assess(g *fleet.Group) assessment {
	var a assessment
	reporting, deadMembers, faulty := 0, 0, 0
	for i := range g.Members {
		m := &g.Members[i]
		v := p.vms[m.VM]
		switch h := p.health(v); {
		case h == dead:
			deadMembers++
			a.toReplace = append(a.toReplace, i)
			a.reason = string(m.VM) + " is dead"
		case h == leaving:
			a.toReplace = append(a.toReplace, i)
			if faulty+deadMembers == 0 {
				a.reason = string(m.VM) + " is leaving"
			}
			if v.Probe.State.Boot != m.Boot {
				faulty++
			}
		case h == unknown:
		case v.Probe.State.Boot != m.Boot:
			faulty++
			if p.mem.recentRestarts(m.VM, p.in.Now) >= unstableRestarts {
				a.toReplace = append(a.toReplace, i)
			}
			a.reason = string(m.VM) + " restarted"
		case v.Probe.State.Fence > m.Fence:
			// The table was restored to an older state: the engine would refuse
			// orders with the fence of its claim.
			faulty++
			a.reason = string(m.VM) + " has seen a newer fence than its claim holds"
		case p.hasLostReplica(g, m, &v.Probe.State):
			faulty++
			a.reason = string(m.VM) + " holds the replica no more"
		case view.MemberFault(g, m, &v.Probe.State) == "":
			reporting++
		}
	}
	a.state = groupStateOf(len(g.Members), deadMembers, faulty, len(a.toReplace), reporting)
	return a
}

func groupStateOf(members, deadMembers, faulty, toReplace, reporting int) groupState {
	switch {
	case deadMembers == members:
		return allDead
	case deadMembers+faulty > 0:
		return broken
	case toReplace > 0:
		return membersLeaving
	case reporting == members:
		return ready
	}
	return pending
}

// hasLostReplica reports whether a member that has joined the generation will not
// become loaded by itself: it was loaded before, or it exceeds the load limit.
// Repeating the order has no effect, because the engine treats it as already
// carried out; only a new generation makes the engine load again.
func (p *planner) hasLostReplica(g *fleet.Group, m *fleet.Member, st *fleet.EngineState) bool {
	if st.Group != g.ID || st.Generation != g.Generation || st.Rank != m.Rank || st.Loaded {
		return false
	}
	return g.Phase != fleet.PhaseForming || p.mem.loadingTime(m.VM, p.in.Now) > p.in.Params.LoadTimeout
}
