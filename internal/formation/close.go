package formation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// announceLost makes the nodes move their streams away from the head of a stalled group.
// An unreachable head never aborts those streams itself.
func (p *planner) announceLost(g *Group, c *closing) {
	if c.mode != Truncate {
		return
	}
	p.out.Lost = append(p.out.Lost, p.hintOf(g, roster.Broken))
}

// health is the liveness of an engine as known from its probes.
type health int

const (
	unknown health = iota // no report yet, or the last probe failed
	alive
	dead // the process has ended, or probes have failed for long enough
)

// health returns the liveness of an engine.
func (p *planner) health(id roster.ID) health {
	f := p.in.Engines[id]
	switch {
	case f == nil || f.Ended:
		return dead
	case f.Failures >= p.in.Params.DeadFailures && p.in.Now.Sub(f.FailingSince) >= p.in.Params.DeadAfter:
		return dead
	case f.ReportedAt == 0 || f.Failures > 0:
		return unknown
	}
	return alive
}

// drainCloseMode returns how a group closes when a member leaves in order. If a
// replacement group can be formed at once, the streams continue there; otherwise they run
// to completion.
func (p *planner) drainCloseMode(g *Group) CloseMode {
	m := p.in.Engine.Model(g.Model)
	if m == nil {
		return Finish
	}
	if p.canReplaceGroup(g, m) {
		return Truncate
	}
	return Finish
}

// canReplaceGroup reports whether a group of the same model could be formed at once from
// the group's eligible members and free engines.
func (p *planner) canReplaceGroup(g *Group, m *catalog.Model) bool {
	ready := 0
	for id, f := range p.in.Engines {
		if f.Domain != g.Domain || !p.isEligible(id) {
			continue
		}
		usable := slices.Contains(g.Members, id) || !p.isClaimed(id)
		if usable && p.timeToReady(f, m) <= hotJoinTime {
			ready++
		}
	}
	return ready >= m.Size
}

// replaceableSlowMember returns a slow member that a free engine can replace at once, or
// "". Without a replacement the group is kept, since late answers are better than none.
func (p *planner) replaceableSlowMember(g *Group) roster.ID {
	for _, id := range g.Members {
		f := p.in.Engines[id]
		if f == nil || !f.isSlow() || p.health(id) != alive {
			continue
		}
		if m := p.in.Engine.Model(g.Model); m != nil && p.canReplaceGroup(g, m) {
			return id
		}
	}
	return ""
}

func (p *planner) isClaimed(id roster.ID) bool {
	return slices.ContainsFunc(p.in.Ledger.Groups, func(g Group) bool { return slices.Contains(g.Members, id) })
}

// wasOpened reports whether the group has accepted requests. A member that is out of such
// a group has left or restarted and must not join again.
func (p *planner) wasOpened(g *Group) bool {
	if p.mem.opened[g.Name] {
		return true
	}
	if !p.isInGroup(g.Head(), g) {
		return false
	}
	state := p.in.Engines[g.Head()].Report.Member.State
	return state == roster.Open || state == roster.Closing
}

const (
	// largeGroupMisses is the number of consecutive probes that a member of a stalled
	// large group must miss to count as lost. A single miss is weak evidence: of 32
	// members probed at once the slowest one decides, and a false positive takes 32
	// engines out of service. On a calm day with 295 nodes, 30 groups were closed for a
	// lost member within four seconds of four real losses.
	largeGroupMisses = 2
	// maxSmallGroupSize is the group size up to which one miss is enough. One of 4
	// members is late an eighth as often as one of 32, and a second probe takes 50 ms or
	// more of the 200 ms until a stream's next event. Five days with faults at a site
	// with groups of four and three scored 0.490 with two misses for all and 0.500 with
	// one, for one seed, which shows no gain.
	maxSmallGroupSize = 4
)

// requiredMisses returns the number of consecutive probes that a member of the group must
// miss to count as lost while the group is stalled.
func requiredMisses(g *Group) int {
	if len(g.Members) <= maxSmallGroupSize {
		return 1
	}
	return largeGroupMisses
}

// memberHealth returns the health of a group's member. If the group's head has stalled
// too, requiredMisses missed probes are enough, however short their timeout, if another
// member has responded to a probe no older than the last miss: this rules out that this
// node itself is slow or partitioned. Regular probes detect the loss half a second later.
func (p *planner) memberHealth(g *Group, id roster.ID) health {
	h := p.health(id)
	head := p.in.Engines[g.Head()]
	if h != unknown || head == nil || !head.Stalled || p.in.Engines[id].Failures < requiredMisses(g) {
		return h
	}
	missed := p.in.Engines[id].LastMissedAt
	for _, m := range g.Members {
		if f := p.in.Engines[m]; m != id && f != nil && f.Failures == 0 && !f.ReportedAt.Before(missed) {
			return dead
		}
	}
	return h
}

// decideClose returns why the group must close, or nil if it may continue.
func (p *planner) decideClose(g *Group) *closing {
	// The previous owner began to dissolve the group. Its head may report that it is
	// ready again, but some members may be in other groups by now.
	if g.Ending {
		return &closing{reason: "it was already being dissolved", mode: Truncate, converts: true}
	}
	for _, m := range g.Members {
		switch p.memberHealth(g, m) {
		case dead:
			if p.hasServedWithout(g, m) {
				continue
			}
			return &closing{reason: fmt.Sprintf("member %s is lost", m), mode: Truncate}
		case unknown:
			continue
		}
		f := p.in.Engines[m]
		if f.RefusedGroup == g.Name {
			return &closing{reason: fmt.Sprintf("member %s refuses to join", m), mode: Truncate}
		}
		if f.Draining {
			return &closing{reason: fmt.Sprintf("member %s leaves", m), mode: p.drainCloseMode(g)}
		}
		// The previous owner may have formed the group or begun to dissolve it. A head
		// that joins again could be opened by one of its delayed orders.
		if p.isOutOfGroup(m, g) && (p.wasOpened(g) || !p.mem.formed[g.Name]) {
			return &closing{reason: fmt.Sprintf("member %s is no longer in the group", m), mode: Truncate}
		}
		if p.isInGroup(m, g) && f.Report.Member.State == roster.Broken {
			return &closing{reason: fmt.Sprintf("member %s reports that it is broken", m), mode: Truncate}
		}
	}
	if m := p.replaceableSlowMember(g); m != "" {
		return &closing{reason: fmt.Sprintf("member %s is slow: %.1f times its usual time", m, p.in.Engines[m].Report.Pace), mode: Truncate}
	}
	return nil
}

// hasServedWithout reports whether the group's head has served since the member became
// silent. A group stalls without a member, so the member is then merely unreachable from
// this node.
func (p *planner) hasServedWithout(g *Group, member roster.ID) bool {
	f, head := p.in.Engines[member], p.in.Engines[g.Head()]
	if f == nil || f.Ended || head == nil || head.LastActivity == 0 || f.FailingSince == 0 {
		return false
	}
	const settle = 300 * time.Millisecond // events from before the loss may still arrive
	return head.LastActivity.Sub(f.FailingSince) > settle
}

// dissolve performs the next step of ending a group and reports whether its members are
// free.
func (p *planner) dissolve(g *Group, c *closing) bool {
	head := p.in.Engines[g.Head()]
	if head != nil && head.Restarted {
		// Delayed join and open orders would reach the restarted head, which could lead
		// the group again: its members are free only once they have left.
		c.begun = true
		return p.releaseMembers(g, c)
	}
	if head != nil && head.Ended {
		p.mem.ended[g.Name] = true // the process has ended, so it can't be open
		return true
	}
	if p.isUnreachable(g, c) {
		return false
	}
	c.begun = true
	switch p.health(g.Head()) {
	case alive:
		if !p.removeHead(g, c) {
			return false
		}
		p.mem.ended[g.Name] = true
		return true
	case unknown:
		p.probeSoon(g.Head())
		return false
	}
	return p.releaseMembers(g, c)
}

// regainMargin is how much later than the first member the others of a group may become
// reachable again: a packet lost at the end of a partition is resent after 200 ms.
const regainMargin = 300 * time.Millisecond

// isUnreachable reports whether the group may be merely unreachable rather than missing a
// member: no member responds, or those that respond again were probed before the others
// have been probed again. This is how a partitioned zone or a domain with a temporary
// outage looks. Dissolving the group would free no engine meanwhile, and the group
// resumes when the partition heals. When such groups were dissolved, a zone's groups
// re-formed for two seconds after each partition.
func (p *planner) isUnreachable(g *Group, c *closing) bool {
	if c.begun || g.Ending || p.isUnlisted(g) {
		return false
	}
	const never = clock.Instant(math.MaxInt64)
	firstRegained := never // earliest start of a successful probe after a failure, over the members
	for _, m := range g.Members {
		if p.health(m) == alive {
			firstRegained = min(firstRegained, p.in.Engines[m].RecoveredAt)
		}
	}
	if firstRegained == 0 {
		return false
	}
	for _, m := range g.Members {
		f := p.in.Engines[m]
		if f == nil || f.Ended || p.health(m) == alive || firstRegained != never && f.LastMissedAt.Sub(firstRegained) >= regainMargin {
			continue
		}
		p.probeWithin(m, 0)
		return true
	}
	return false
}

// canResume reports whether a group that was considered lost is complete and serves: all
// members respond and are in it, and no step was taken to end it.
func (p *planner) canResume(g *Group, c *closing) bool {
	if c.begun || g.Ending || c.mode != Truncate {
		return false
	}
	for rank, m := range g.Members {
		if p.health(m) != alive || !p.hasRank(m, g, rank) {
			return false
		}
	}
	return p.in.Engines[g.Head()].Report.Member.State == roster.Open && p.decideClose(g) == nil
}

// removeHead takes a reachable head out of the group and reports whether it has left. If
// its requests should complete, the head is closed first; then it leaves, so that a
// delayed open order has no effect. A delayed join is void by then (see addOrder).
func (p *planner) removeHead(g *Group, c *closing) bool {
	if p.hasLeft(g.Head(), g) {
		return true
	}
	p.probeSoon(g.Head())
	state := p.in.Engines[g.Head()].Report.Member.State
	if p.isInGroup(g.Head(), g) && c.mode == Finish && (state == roster.Open || state == roster.Closing) {
		p.orderOnce(Order{To: g.Head(), Op: Close, Group: g.Name, Epoch: g.Epoch, Mode: c.mode, Reason: c.reason})
		return false
	}
	// The head of a group that has lost a member is stalled, so closing it first gains
	// nothing and takes 300 ms longer than leaving.
	p.orderOnce(Order{To: g.Head(), Op: Leave, Group: g.Name, Epoch: g.Epoch, Reason: c.reason})
	return false
}

// releaseMembers frees the members of a group whose head is unreachable. The head may be
// partitioned and still open, but it is stalled without its members: each member that has
// left is free at once. An unreachable member stays claimed, since it may still be in the
// group; so does the head.
func (p *planner) releaseMembers(g *Group, c *closing) bool {
	if p.isUnlisted(g) {
		return true // a member that returns still reports its group membership
	}
	if !g.Ending {
		// Written before the first member leaves: an owner that knew the group as
		// serving would have that member join again, and delayed orders of this owner
		// would then remove it from an open group.
		g.Ending = true
		p.out.Changed = true
	}
	kept := []roster.ID{g.Head()}
	for _, m := range g.Members[1:] {
		if p.hasLeft(m, g) {
			continue
		}
		kept = append(kept, m)
		if p.health(m) != alive {
			continue
		}
		p.probeSoon(m)
		p.orderOnce(Order{To: m, Op: Leave, Group: g.Name, Epoch: g.Epoch, Reason: c.reason})
	}
	if len(kept) < len(g.Members) {
		g.Members = kept
		p.out.Changed = true
	}
	return false
}

// hasLeft reports whether a member is certainly and permanently out of the group:
// whatever removed it also voided delayed joins.
func (p *planner) hasLeft(id roster.ID, g *Group) bool {
	f := p.in.Engines[id]
	if f == nil {
		return false
	}
	return f.Ended || p.health(id) == alive && p.isOutOfGroup(id, g)
}

// isUnlisted reports whether the platform lists no member of the group any more.
func (p *planner) isUnlisted(g *Group) bool {
	return !slices.ContainsFunc(g.Members, func(m roster.ID) bool {
		f := p.in.Engines[m]
		return f != nil && f.Listed && !f.Ended
	})
}

// ensureUnattached reports whether an engine without a claim is free of any group. An
// engine in a group that this owner has dissolved may join another one, because a join
// replaces its membership. Any other group was claimed by a lost ledger or joined through
// a delayed order; the engine is ordered to leave it first.
func (p *planner) ensureUnattached(f *EngineState) bool {
	m := f.Report.Member
	if m.Group == "" || isStandby(m) || p.mem.ended[m.Group] {
		return true
	}
	o := Order{To: f.ID, Op: Leave, Group: m.Group, Epoch: m.Epoch, Reason: "member of an unclaimed group"}
	if m.Rank == 0 && (m.State == roster.Open || m.State == roster.Closing) {
		o.Op, o.Mode = Close, Finish
	}
	p.orderOnce(o)
	p.probeSoon(f.ID)
	return false
}
