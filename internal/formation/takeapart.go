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

// tellLost has the nodes move what they have at the head of a group that stands
// still: a head that can't be reached never breaks those streams off itself.
func (p *planner) tellLost(g *Group, c *closing) {
	if c.mode != Truncate {
		return
	}
	p.out.Lost = append(p.out.Lost, p.hintOf(g, roster.Broken))
}

// health says whether an engine can be counted on.
type health int

const (
	unknown health = iota // no report yet, or one failed
	alive
	dead // gone, or silent for long enough
)

// health is what the reports of an engine tell.
func (p *planner) health(id roster.ID) health {
	f := p.in.Facts[id]
	switch {
	case f == nil || f.Gone:
		return dead
	case f.Failures >= p.in.Params.DeadFailures && p.in.Now.Sub(f.Failing) >= p.in.Params.DeadAfter:
		return dead
	case f.Answered == 0 || f.Failures > 0:
		return unknown
	}
	return alive
}

// leavingMode says how a group closes from which a member leaves in order. Where
// the next group is ready in a moment, its streams go on there; where it isn't,
// they run to their end.
func (p *planner) leavingMode(g *Group) CloseMode {
	m := p.in.Engine.Model(g.Model)
	if m == nil {
		return Finish
	}
	if p.replaceable(g, m) {
		return Truncate
	}
	return Finish
}

// replaceable reports whether a group of the same model could be formed in a
// moment of the group's members that are fit and of free engines.
func (p *planner) replaceable(g *Group, m *catalog.Model) bool {
	ready := 0
	for id, f := range p.in.Facts {
		if f.Domain != g.Domain || !p.fit(id) {
			continue
		}
		usable := slices.Contains(g.Members, id) || !p.isClaimed(id)
		if usable && p.readyIn(f, m) <= hotJoin {
			ready++
		}
	}
	return ready >= m.Size
}

// slowed returns a member that slows the group down and that a free engine can
// replace at once; empty: none. Without a replacement late answers are better
// than none.
func (p *planner) slowed(g *Group) roster.ID {
	for _, id := range g.Members {
		f := p.in.Facts[id]
		if f == nil || !f.slow() || p.health(id) != alive {
			continue
		}
		if m := p.in.Engine.Model(g.Model); m != nil && p.replaceable(g, m) {
			return id
		}
	}
	return ""
}

func (p *planner) isClaimed(id roster.ID) bool {
	return slices.ContainsFunc(p.in.Ledger.Groups, func(g Group) bool { return slices.Contains(g.Members, id) })
}

// wasOpened reports whether the group has taken requests. A member that is not
// in it then has left or lives anew; it must not join again.
func (p *planner) wasOpened(g *Group) bool {
	if p.mem.opened[g.Name] {
		return true
	}
	if !p.inGroup(g.Head(), g) {
		return false
	}
	state := p.in.Facts[g.Head()].Report.Member.State
	return state == roster.Open || state == roster.Closing
}

const (
	// suspectMisses is how many reports in a row a member of a large group that stands
	// still must miss to be lost. One alone says little there: of 32 members asked at
	// once the slowest answer decides, and a wrong verdict takes 32 engines out of
	// service. On a calm day of 295 nodes 30 groups were closed as having lost a member
	// within four seconds of four real losses.
	suspectMisses = 2
	// smallGroup is up to how many members one miss is enough: one of four is late an
	// eighth as often as one of 32, and the second report takes 50 ms or more of the 200
	// that a stream's next event has. Five days with trouble of a site with groups of
	// four and three earned 0.490 with two misses for all and 0.500 with one, at one seed:
	// no gain is shown by that.
	smallGroup = 4
)

// missesOf is how many reports in a row a member of the group must miss.
func missesOf(g *Group) int {
	if len(g.Members) <= smallGroup {
		return 1
	}
	return suspectMisses
}

// healthIn is the health of a group's member. Where the group's head stands still as
// well, missesOf unanswered reports are enough, however short their limit, if another
// member has answered one that was asked for no sooner than the last: so it is not
// this node that is slow or cut off. Reports that are asked for in the usual course
// take half a second more.
func (p *planner) healthIn(g *Group, id roster.ID) health {
	h := p.health(id)
	head := p.in.Facts[g.Head()]
	if h != unknown || head == nil || !head.Suspect || p.in.Facts[id].Failures < missesOf(g) {
		return h
	}
	missed := p.in.Facts[id].Missed
	for _, m := range g.Members {
		if f := p.in.Facts[m]; m != id && f != nil && f.Failures == 0 && !f.Answered.Before(missed) {
			return dead
		}
	}
	return h
}

// shouldClose says why a group must not go on, or nil.
func (p *planner) shouldClose(g *Group) *closing {
	// The owner before has begun: its head may be back and say that it is ready,
	// but members of it are in other groups by now.
	if g.Ending {
		return &closing{reason: "it was being taken apart", mode: Truncate}
	}
	for _, m := range g.Members {
		switch p.healthIn(g, m) {
		case dead:
			if p.stillMoves(g, m) {
				continue
			}
			return &closing{reason: fmt.Sprintf("member %s is lost", m), mode: Truncate}
		case unknown:
			continue
		}
		f := p.in.Facts[m]
		if f.Refused == g.Name {
			return &closing{reason: fmt.Sprintf("member %s refuses to join", m), mode: Truncate}
		}
		if f.Draining {
			return &closing{reason: fmt.Sprintf("member %s leaves", m), mode: p.leavingMode(g)}
		}
		// The last owner may have formed the group or begun to take it apart. A
		// head that joined it again could be opened by an order of before.
		if p.surelyOut(m, g) && (p.wasOpened(g) || !p.mem.formed[g.Name]) {
			return &closing{reason: fmt.Sprintf("member %s is no longer in it", m), mode: Truncate}
		}
		if p.inGroup(m, g) && f.Report.Member.State == roster.Broken {
			return &closing{reason: fmt.Sprintf("member %s says that it is broken", m), mode: Truncate}
		}
	}
	if m := p.slowed(g); m != "" {
		return &closing{reason: fmt.Sprintf("member %s is slow, at %.1f times its usual time", m, p.in.Facts[m].Report.Pace), mode: Truncate}
	}
	return nil
}

// stillMoves reports whether the group's head has served since the member fell
// silent. A group without a member stands still, so the member is only out of
// this node's reach.
func (p *planner) stillMoves(g *Group, member roster.ID) bool {
	f, head := p.in.Facts[member], p.in.Facts[g.Head()]
	if f == nil || f.Gone || head == nil || head.Sign == 0 || f.Failing == 0 {
		return false
	}
	const settle = 300 * time.Millisecond // events of before the loss may still be on their way
	return head.Sign.Sub(f.Failing) > settle
}

// takeApart brings a group one step closer to its end and reports whether its
// members are free.
func (p *planner) takeApart(g *Group, c *closing) bool {
	head := p.in.Facts[g.Head()]
	if head != nil && head.Reborn {
		// Orders to join and to open the group that are still on their way would reach
		// the head's new life, which could lead the group again: its members are free
		// only once they have left.
		c.begun = true
		return p.abandon(g, c)
	}
	if head != nil && head.Gone {
		p.mem.over[g.Name] = true // its process has ended: it is surely not open
		return true
	}
	if p.outOfReach(g, c) {
		return false
	}
	c.begun = true
	switch p.health(g.Head()) {
	case alive:
		if !p.closeHead(g, c) {
			return false
		}
		p.mem.over[g.Name] = true
		return true
	case unknown:
		p.hurry(g.Head())
		return false
	}
	return p.abandon(g, c)
}

// reachMargin is how much later than the first member the others of a group may be
// reached again: a packet that was lost at the end of a cut is resent after 200 ms.
const reachMargin = 300 * time.Millisecond

// outOfReach reports whether nothing tells yet that a group has really lost a
// member: none of its members answers, or those that answer again were asked before
// the others have been asked anew. A zone that is cut off from this node looks like
// that, and a domain that goes dark for a while. No engine could be freed meanwhile,
// and the group serves on as soon as it is back; taken apart, a zone's groups formed
// anew for two seconds after each cut.
func (p *planner) outOfReach(g *Group, c *closing) bool {
	if c.begun || g.Ending || p.unlisted(g) {
		return false
	}
	const never = clock.Instant(math.MaxInt64)
	back := never // when the first member that answers was asked, after it had not
	for _, m := range g.Members {
		if p.health(m) == alive {
			back = min(back, p.in.Facts[m].Regained)
		}
	}
	if back == 0 {
		return false
	}
	for _, m := range g.Members {
		f := p.in.Facts[m]
		if f == nil || f.Gone || p.health(m) == alive || back != never && f.Missed.Sub(back) >= reachMargin {
			continue
		}
		p.hurryIn(m, 0)
		return true
	}
	return false
}

// goesOn reports whether a group that was taken for lost is whole and serves: all
// members answer and are in it, and nothing was done to end it.
func (p *planner) goesOn(g *Group, c *closing) bool {
	if c.begun || g.Ending || c.mode != Truncate {
		return false
	}
	for rank, m := range g.Members {
		if p.health(m) != alive || !p.holdsRank(m, g, rank) {
			return false
		}
	}
	return p.in.Facts[g.Head()].Report.Member.State == roster.Open && p.shouldClose(g) == nil
}

// closeHead takes a reachable head out of the group: closed first where its
// requests are to end, then out of the group, so that an open order that arrives
// late finds nothing to open. A join that is still on its way is void by then
// (see give).
func (p *planner) closeHead(g *Group, c *closing) bool {
	if p.hasLeft(g.Head(), g) {
		return true
	}
	p.hurry(g.Head())
	state := p.in.Facts[g.Head()].Report.Member.State
	if p.inGroup(g.Head(), g) && c.mode == Finish && (state == roster.Open || state == roster.Closing) {
		p.order(Order{To: g.Head(), Op: Close, Group: g.Name, Epoch: g.Epoch, Mode: c.mode, Reason: c.reason})
		return false
	}
	// A head whose group has lost a member stands still; nothing is gained by
	// closing it first, which takes 300 ms more than leaving.
	p.order(Order{To: g.Head(), Op: Leave, Group: g.Name, Epoch: g.Epoch, Reason: c.reason})
	return false
}

// abandon frees the members of a group whose head can't be reached. The head
// may be cut off and still open, but it stands still without its members: each
// member that has left is free at once. One that can't be reached stays claimed,
// since it may still be in the group; so does the head.
func (p *planner) abandon(g *Group, c *closing) bool {
	if p.unlisted(g) {
		return true // a member that comes back still says that it is in the group
	}
	if !g.Ending {
		// Written before the first member leaves: an owner that knew the group as
		// a serving one would have that member join it again, and orders of this
		// owner that come late would then take it out of an open group.
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
		p.hurry(m)
		p.order(Order{To: m, Op: Leave, Group: g.Name, Epoch: g.Epoch, Reason: c.reason})
	}
	if len(kept) < len(g.Members) {
		g.Members = kept
		p.out.Changed = true
	}
	return false
}

// hasLeft reports whether a member is surely out of the group for good: what
// brought it out also made joins void that are still on their way.
func (p *planner) hasLeft(id roster.ID, g *Group) bool {
	f := p.in.Facts[id]
	if f == nil {
		return false
	}
	return f.Gone || p.health(id) == alive && p.surelyOut(id, g)
}

// unlisted reports whether the platform lists no member of the group any more.
func (p *planner) unlisted(g *Group) bool {
	return !slices.ContainsFunc(g.Members, func(m roster.ID) bool {
		f := p.in.Facts[m]
		return f != nil && f.Listed && !f.Gone
	})
}

// unattached reports whether an engine that no claim names belongs to no group.
// One that says it is in a group that this owner has taken apart may join
// another one: the join replaces its membership. Any other group was claimed by
// a ledger that is lost, or joined by an order that came late; the engine leaves
// it first.
func (p *planner) unattached(f *Fact) bool {
	m := f.Report.Member
	if m.Group == "" || isStandby(m) || p.mem.over[m.Group] {
		return true
	}
	o := Order{To: f.ID, Op: Leave, Group: m.Group, Epoch: m.Epoch, Reason: "in a group that no claim knows"}
	if m.Rank == 0 && (m.State == roster.Open || m.State == roster.Closing) {
		o.Op, o.Mode = Close, Finish
	}
	p.order(o)
	p.hurry(f.ID)
	return false
}
