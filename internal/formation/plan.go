package formation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Input is what a plan for one service in one availability zone is made of.
type Input struct {
	Now     clock.Instant
	Zone    string
	Service string
	Engine  *catalog.Engine
	Facts   map[roster.ID]*Fact
	Ledger  Ledger
	// NextEpoch returns an epoch higher than all that were ever given out.
	NextEpoch func() uint64
	// Pressure is the share of each model's requests, 0 to 1, that found no place
	// of late; nil: unknown.
	Pressure map[string]float64
	// FreeLoads: no request has come yet, so loads don't slow anything down and
	// need not be spread over time.
	FreeLoads bool
	Params    Params
}

// Output is a plan: the claims as they should be, and orders. Orders for new
// claims may be given only once the claims are committed.
type Output struct {
	Ledger  Ledger
	Changed bool
	Orders  []Order
	Hurry   map[roster.ID]time.Duration // engines whose state is awaited: ask again after this
	Notes   []string                    // what was decided about groups, and why
	Lost    []roster.Hint               // heads of groups that have just lost a member
}

// Memory is what a planner remembers between two plans of one tenure. A new
// owner starts with an empty one and waits where it can't know.
type Memory struct {
	sent    map[orderKey]clock.Instant
	joined  map[orderKey]clock.Instant // when a join that was ordered should be done
	closing map[string]*closing        // by group
	loads   []clock.Instant            // starts of loads within the window
	loading map[roster.ID]load
	opened  map[string]bool          // groups that were open at some time
	since   map[string]clock.Instant // when a group was first seen
	turning map[string]turn          // domains whose engines are turned over to a model
	over    map[string]bool          // groups whose head surely takes no more requests
}

// turn says that the engines of a domain are to form a group of a model next.
type turn struct {
	model string
	until clock.Instant
}

type load struct {
	model string
	since clock.Instant
}

type orderKey struct {
	to    roster.ID
	op    Op
	group string
}

// closing is a group that is being taken apart.
type closing struct {
	reason string
	mode   CloseMode
	since  clock.Instant
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		sent: map[orderKey]clock.Instant{}, joined: map[orderKey]clock.Instant{}, closing: map[string]*closing{},
		loading: map[roster.ID]load{}, opened: map[string]bool{},
		turning: map[string]turn{},
		since:   map[string]clock.Instant{}, over: map[string]bool{},
	}
}

// planner holds one run of Plan.
type planner struct {
	in      *Input
	mem     *Memory
	out     Output
	claimed map[roster.ID]bool
	coming  map[string]int // groups that engines are being prepared for, by model
}

// Plan decides what to do now.
func Plan(in *Input, mem *Memory) Output {
	p := &planner{in: in, mem: mem, claimed: map[roster.ID]bool{}, coming: map[string]int{}}
	p.forgetLoads()
	for _, g := range in.Ledger.Groups {
		p.keepOrRelease(&g)
	}
	for _, domain := range p.domains() {
		p.useDomain(domain)
	}
	p.stageAlternates()
	p.forget()
	return p.out
}

// keepOrRelease carries one claim on, or drops it when its group is surely over.
func (p *planner) keepOrRelease(g *Group) {
	if g.Service != p.in.Service {
		p.keep(g)
		return
	}
	if _, ok := p.mem.since[g.Name]; !ok {
		p.mem.since[g.Name] = p.in.Now
	}
	c := p.mem.closing[g.Name]
	if c == nil {
		if c = p.shouldClose(g); c != nil {
			c.since = p.in.Now
			p.mem.closing[g.Name] = c
			p.note("group %s closes: %s", g.Name, c.reason)
			p.tellLost(g, c)
		}
	}
	if c == nil {
		p.keep(g)
		p.advance(g)
		return
	}
	if !p.takeApart(g, c) {
		p.keep(g)
		return
	}
	p.note("group %s is over: %s", g.Name, c.reason)
	p.out.Changed = true
}

// tellLost has the nodes move what they have at the head of a group that stands
// still: a head that can't be reached never breaks those streams off itself.
func (p *planner) tellLost(g *Group, c *closing) {
	if c.mode != Truncate {
		return
	}
	p.out.Lost = append(p.out.Lost, roster.Hint{
		ID: g.Head(), Model: g.Model,
		Member: roster.Membership{Group: g.Name, Epoch: g.Epoch, State: roster.Broken},
	})
}

func (p *planner) keep(g *Group) {
	p.out.Ledger.Groups = append(p.out.Ledger.Groups, *g)
	for _, m := range g.Members {
		p.claimed[m] = true
	}
}

// health of an engine.
type health int

const (
	unknown health = iota // no report yet, or one failed
	alive
	dead // gone, or silent for long enough
)

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
	ready := 0
	for id, f := range p.in.Facts {
		if f.Domain != g.Domain || f.Draining || !f.Listed || p.health(id) != alive {
			continue
		}
		spare := !slices.Contains(g.Members, id) && !p.isClaimed(id)
		if (spare || slices.Contains(g.Members, id)) && p.readyIn(f, m) <= hotJoin {
			ready++
		}
	}
	if ready >= m.Size {
		return Truncate
	}
	return Finish
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

// healthIn is the health of a group's member. Where the group's head stands
// still as well, one unanswered report is enough, if another member has answered
// since: so it is not this node that is slow or cut off. The two signs together
// are as good as two reports and save half a second.
func (p *planner) healthIn(g *Group, id roster.ID) health {
	h := p.health(id)
	head := p.in.Facts[g.Head()]
	if h != unknown || head == nil || !head.Suspect || p.in.Facts[id].Failures == 0 {
		return h
	}
	failing := p.in.Facts[id].Failing
	for _, m := range g.Members {
		if f := p.in.Facts[m]; m != id && f != nil && f.Failures == 0 && !f.Answered.Before(failing) {
			return dead
		}
	}
	return h
}

func (p *planner) inGroup(id roster.ID, g *Group) bool {
	f := p.in.Facts[id]
	return f != nil && f.Report.Member.Group == g.Name && f.Report.Member.Epoch == g.Epoch
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
		if p.wasOpened(g) && !p.inGroup(m, g) {
			return &closing{reason: fmt.Sprintf("member %s is no longer in it", m), mode: Truncate}
		}
		if p.inGroup(m, g) && f.Report.Member.State == roster.Broken {
			return &closing{reason: fmt.Sprintf("member %s says that it is broken", m), mode: Truncate}
		}
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

// advance brings a group one step on towards serving.
func (p *planner) advance(g *Group) {
	ready := 0
	for _, m := range g.Members {
		if p.health(m) != alive {
			continue
		}
		f := p.in.Facts[m]
		if !p.inGroup(m, g) {
			p.join(m, g)
			continue
		}
		switch f.Report.Member.State {
		case roster.Ready, roster.Open:
			ready++
		case roster.Joining:
			p.join(m, g)
		}
	}
	if m := p.in.Engine.Model(g.Model); ready < len(g.Members) || m == nil || ready < m.Size {
		return
	}
	if p.in.Facts[g.Head()].Report.Member.State == roster.Open {
		if !p.mem.opened[g.Name] {
			p.mem.opened[g.Name] = true
			p.note("group %s serves after %v", g.Name, p.in.Now.Sub(p.mem.since[g.Name]).Round(time.Millisecond))
		}
		return
	}
	p.order(Order{To: g.Head(), Op: Open, Group: g.Name, Epoch: g.Epoch, Reason: "every member is ready"})
	p.hurry(g.Head())
}

// join orders a member to join, and once more when it should be done: the answer
// to the second order tells that the member is ready, which its report tells
// only after the report lag.
func (p *planner) join(id roster.ID, g *Group) {
	key := orderKey{id, Join, g.Name}
	o := Order{To: id, Op: Join, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Members: g.Members, Reason: "claimed"}
	if due, ok := p.mem.joined[key]; ok && !p.in.Now.Before(due) {
		p.mem.joined[key] = p.in.Now.Add(joinAgain)
		o.Reason = "is it ready"
		p.out.Orders = append(p.out.Orders, o)
		return
	}
	if p.order(o) {
		m := p.in.Engine.Model(g.Model)
		if m == nil {
			return
		}
		if in := p.readyIn(p.in.Facts[id], m); in <= soonLimit {
			p.mem.joined[key] = p.in.Now.Add(in + joinMargin)
		}
	}
	p.hurryIn(id, hurryLoad)
}

const (
	// joinMargin is for the order's way to the engine.
	joinMargin = 30 * time.Millisecond
	// joinAgain is the pause between two questions whether a join is done.
	joinAgain = 150 * time.Millisecond
)

// takeApart brings a group one step closer to its end and reports whether its
// members are free.
func (p *planner) takeApart(g *Group, c *closing) bool {
	head := p.in.Facts[g.Head()]
	if head != nil && head.Gone {
		p.mem.over[g.Name] = true // its process has ended: it is surely not open
		return true
	}
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

// closeHead takes a reachable head out of the group: closed first, so that no
// request runs there, then out of the group, so that an open order that
// arrives late finds nothing to open.
func (p *planner) closeHead(g *Group, c *closing) bool {
	if !p.inGroup(g.Head(), g) {
		// A join that is still on its way can't bring the group back: its other
		// members join no more, and the head needs a later epoch to serve.
		return true
	}
	p.hurry(g.Head())
	serving := p.in.Facts[g.Head()].Report.Member.State == roster.Open || p.in.Facts[g.Head()].Report.Member.State == roster.Closing
	if serving && c.mode == Finish {
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
		if p.health(m) == alive {
			p.order(Order{To: m, Op: Leave, Group: g.Name, Epoch: g.Epoch, Reason: c.reason, Then: p.raiseEpoch(m)})
			p.hurry(m)
		}
	}
	if len(kept) < len(g.Members) {
		g.Members = kept
		p.out.Changed = true
	}
	return false
}

// raiseEpoch returns the order that follows when an engine leaves a group whose
// head may still be open: a join of a group of its own under a new epoch. A join
// of the old group that was given before and got lost may be carried out seconds
// later; without the higher epoch it would bring the engine back unnoticed. An
// engine with nothing to join by would begin a load, so it gets no such order.
func (p *planner) raiseEpoch(id roster.ID) *Order {
	f := p.in.Facts[id]
	model := f.Report.Model
	if model == "" {
		return nil
	}
	o := p.standbyOrder(id, model, "a late join of the group it left must be refused")
	return &o
}

func (p *planner) standbyOrder(id roster.ID, model, reason string) Order {
	epoch := p.in.NextEpoch()
	return Order{
		To: id, Op: Join, Group: fmt.Sprintf("%s%d", standbyPrefix, epoch), Epoch: epoch,
		Model: model, Members: []roster.ID{id}, Reason: reason,
	}
}

// hasLeft reports whether a member is surely out of the group.
func (p *planner) hasLeft(id roster.ID, g *Group) bool {
	f := p.in.Facts[id]
	if f == nil {
		return false
	}
	return f.Gone || p.health(id) == alive && !p.inGroup(id, g)
}

// unlisted reports whether the platform lists no member of the group any more.
func (p *planner) unlisted(g *Group) bool {
	return !slices.ContainsFunc(g.Members, func(m roster.ID) bool {
		f := p.in.Facts[m]
		return f != nil && f.Listed && !f.Gone
	})
}

// order adds an order unless the same one was given a short while ago. It reports
// whether it did.
func (p *planner) order(o Order) bool {
	k := orderKey{o.To, o.Op, o.Group}
	if at, ok := p.mem.sent[k]; ok && p.in.Now.Sub(at) < p.in.Params.Resend {
		return false
	}
	p.mem.sent[k] = p.in.Now
	p.out.Orders = append(p.out.Orders, o)
	return true
}

// hurry asks for the engine's state soon.
func (p *planner) hurry(id roster.ID) { p.hurryIn(id, hurrySoon) }

func (p *planner) hurryIn(id roster.ID, pause time.Duration) {
	if p.out.Hurry == nil {
		p.out.Hurry = map[roster.ID]time.Duration{}
	}
	if old, ok := p.out.Hurry[id]; !ok || pause < old {
		p.out.Hurry[id] = pause
	}
}

// The pauses between reports of an engine whose change is awaited.
const (
	hurrySoon = 100 * time.Millisecond // orders that take up to 300 ms
	hurryLoad = 400 * time.Millisecond // loads of 12 s and more
)

func (p *planner) note(format string, args ...any) {
	p.out.Notes = append(p.out.Notes, fmt.Sprintf(format, args...))
}

// domains returns the fabric domains of the zone's engines, in order.
func (p *planner) domains() []string {
	var out []string
	for _, f := range p.in.Facts {
		if !slices.Contains(out, f.Domain) {
			out = append(out, f.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// useDomain forms groups of the free engines of a domain and prepares those
// that are left over. Outside the start no group is formed that would wait for
// a load: its other members would be bound for twelve seconds and more, while
// the next loss may leave engines that complete them at once.
func (p *planner) useDomain(domain string) {
	free := p.free(domain)
	for {
		m, members := p.bestGroup(domain, free)
		if m == nil || !p.in.FreeLoads && !p.soon(members, m) || !p.form(domain, m, members) {
			break
		}
		free = slices.DeleteFunc(free, func(f *Fact) bool { return slices.Contains(members, f.ID) })
	}
	p.rebalance(domain, free)
	p.prepare(free)
}

// rebalance closes a group whose model has more groups for its share of the work
// than another model, when its members complete a group of that other model
// together with the free engines. Without it, what is left of a group after a
// loss waits for a load of twelve seconds and more, beside a group that is not
// needed as much.
func (p *planner) rebalance(domain string, free []*Fact) {
	if len(free) == 0 || p.in.FreeLoads {
		return
	}
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Domain != domain || p.mem.closing[g.Name] != nil || !p.mem.opened[g.Name] {
			continue
		}
		m := p.worthMore(g, free)
		if m == nil {
			continue
		}
		p.mem.closing[g.Name] = &closing{reason: "its members complete a group of " + m.Name, mode: Finish, since: p.in.Now}
		p.mem.turning[domain] = turn{m.Name, p.in.Now.Add(turnFor)}
		p.note("group %s closes: its members complete a group of %s", g.Name, m.Name)
		return
	}
}

// lasting returns the groups of a model that don't close.
func (p *planner) lasting(model string) int {
	n := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service == p.in.Service && g.Model == model && p.mem.closing[g.Name] == nil {
			n++
		}
	}
	return n
}

// turns returns the domains that are being turned over to a model.
func (p *planner) turns(model string) int {
	n := 0
	for _, t := range p.mem.turning {
		if t.model == model {
			n++
		}
	}
	return n
}

// turnFor is how long a group may take to let its requests end before the turn
// is forgotten: longer than most streams run.
const turnFor = 6 * time.Second

// worthMore returns the model that the members of a group and the free engines
// can form a group of soon, if that model stays the one with fewer groups for
// its share after the change; nil when there is none.
func (p *planner) worthMore(g *Group, free []*Fact) *catalog.Model {
	own := p.in.Engine.Model(g.Model)
	if own == nil {
		return nil
	}
	all := slices.Clone(free)
	for _, id := range g.Members {
		if f := p.in.Facts[id]; f != nil && p.health(id) == alive && !f.Draining {
			all = append(all, f)
		}
	}
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m == own || m.Size <= 0 || m.Size > len(all) || !p.soon(p.choose(all, m), m) {
			continue
		}
		after := float64(p.lasting(m.Name)+p.turns(m.Name)+1) / p.share(m)
		left := float64(p.lasting(own.Name)-1) / p.share(own)
		if left >= after {
			return m
		}
	}
	return nil
}

// free returns the engines of a domain that a group may be formed of.
func (p *planner) free(domain string) []*Fact {
	var out []*Fact
	for id, f := range p.in.Facts {
		if f.Domain != domain || p.claimed[id] || f.Draining || !f.Listed || p.health(id) != alive {
			continue
		}
		if p.unattached(f) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *Fact) int { return cmp.Compare(a.ID, b.ID) })
	return out
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
	o := Order{To: f.ID, Op: Leave, Group: m.Group, Epoch: m.Epoch, Reason: "in a group that no claim knows", Then: p.raiseEpoch(f.ID)}
	if m.Rank == 0 && (m.State == roster.Open || m.State == roster.Closing) {
		o.Op, o.Mode, o.Then = Close, Finish, nil
	}
	p.order(o)
	p.hurry(f.ID)
	return false
}

// bestGroup returns the model that a group of free engines is best formed for,
// and its members; nil when they are too few for any. What counts is how few
// groups the model has for its share of the work, and how soon the group serves.
func (p *planner) bestGroup(domain string, free []*Fact) (*catalog.Model, []roster.ID) {
	if m, members := p.turnedTo(domain, free); m != nil {
		return m, members
	}
	var best *catalog.Model
	var bestMembers []roster.ID
	var bestCost float64
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Size > len(free) || m.Size <= 0 {
			continue
		}
		members := p.choose(free, m)
		cost := p.supply(m) + p.lastReady(members, m).Seconds()*delayWeight
		if best == nil || cost < bestCost || cost == bestCost && m.Share > best.Share {
			best, bestMembers, bestCost = m, members, cost
		}
	}
	return best, bestMembers
}

// turnedTo returns the model that a group of this domain was closed for, once
// there are engines for it. Without this the engines would be ready soonest for
// the model that they have just been taken from.
func (p *planner) turnedTo(domain string, free []*Fact) (*catalog.Model, []roster.ID) {
	t, ok := p.mem.turning[domain]
	if !ok || !p.in.Now.Before(t.until) {
		delete(p.mem.turning, domain)
		return nil, nil
	}
	m := p.in.Engine.Model(t.model)
	if m == nil || m.Size > len(free) {
		return nil, nil
	}
	members := p.choose(free, m)
	if !p.soon(members, m) {
		return nil, nil
	}
	delete(p.mem.turning, domain)
	return m, members
}

// delayWeight is how many groups for a share of one a second of delay outweighs:
// engines that are ready for one model at once go on with it, unless the other
// model has hardly a group left.
const delayWeight = 1.5

// supply returns the groups of a model for its share of the work.
func (p *planner) supply(m *catalog.Model) float64 {
	return float64(p.count(m.Name)) / p.share(m)
}

// share returns the model's share of the work: the declared one, raised by what
// its requests meet. The declared share is of the start, and says nothing of how
// many requests a group of the model takes.
func (p *planner) share(m *catalog.Model) float64 {
	return max(m.Share, minShare) * (1 + pressureWeight*p.in.Pressure[m.Name])
}

// pressureWeight makes a model whose every second request is refused weigh twice
// its share.
const pressureWeight = 2

// lastReady returns when the last of the members, readiest first, can have joined.
func (p *planner) lastReady(members []roster.ID, m *catalog.Model) time.Duration {
	if p.in.FreeLoads {
		return 0 // the loads of all groups run at the same time
	}
	return p.readyIn(p.in.Facts[members[len(members)-1]], m)
}

// soon reports whether the members, readiest first, can all join without a load.
func (p *planner) soon(members []roster.ID, m *catalog.Model) bool {
	return p.readyIn(p.in.Facts[members[len(members)-1]], m) <= soonLimit
}

const (
	// soonLimit divides joins from the host, 1 to 2 s by the engines' published
	// times, from loads.
	soonLimit = 3 * time.Second
	// minShare stands for the share of a model that is declared without one.
	minShare = 0.01
)

// count returns the groups of a model that serve or will. One that has just
// begun to close counts too: what is left of it forms the next one in a moment,
// and another domain's engines must not be turned to its model for that.
func (p *planner) count(model string) int {
	n := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Model != model {
			continue
		}
		if c := p.mem.closing[g.Name]; c == nil || p.in.Now.Sub(c.since) < closesSoon {
			n++
		}
	}
	return n
}

// closesSoon is how long a group takes to close whose head answers.
const closesSoon = 500 * time.Millisecond

// choose returns the engines that are ready for the model soonest.
func (p *planner) choose(free []*Fact, m *catalog.Model) []roster.ID {
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b *Fact) int {
		return cmp.Compare(p.readyIn(a, m), p.readyIn(b, m))
	})
	ids := make([]roster.ID, m.Size)
	for i := range ids {
		ids[i] = sorted[i].ID
	}
	return ids
}

// hotJoin is how long a join takes an engine whose newest group had the model.
const hotJoin = 200 * time.Millisecond

// readyIn estimates how long the engine needs to join a group of the model.
func (p *planner) readyIn(f *Fact, m *catalog.Model) time.Duration {
	switch {
	case f.Report.Model == m.Name:
		return hotJoin
	case slices.Contains(f.Report.Staged, m.Name):
		return m.Warm
	}
	l, loading := p.mem.loading[f.ID]
	if loading && l.model == m.Name {
		return max(m.Warm, m.Load+m.Warm-p.in.Now.Sub(l.since))
	}
	if other := p.in.Engine.Model(l.model); loading && other != nil {
		return max(0, other.Load-p.in.Now.Sub(l.since)) + m.Load + m.Warm
	}
	return m.Load + m.Warm
}

// form claims the members for a new group if the loads that it needs may begin.
func (p *planner) form(domain string, m *catalog.Model, members []roster.ID) bool {
	cold := 0
	for _, id := range members {
		if p.needsLoad(p.in.Facts[id], m.Name) {
			cold++
		}
	}
	if !p.mayLoad(cold) {
		return false
	}
	for _, id := range members {
		if p.needsLoad(p.in.Facts[id], m.Name) {
			p.startLoad(id, m.Name)
		}
	}
	epoch := p.in.NextEpoch()
	g := Group{
		Name: fmt.Sprintf("%s-%d", p.in.Zone, epoch), Epoch: epoch,
		Service: p.in.Service, Model: m.Name, Domain: domain, Members: members,
	}
	p.mem.since[g.Name] = p.in.Now
	p.out.Changed = true
	p.note("group %s forms for %s with %s, %d loads", g.Name, m.Name, p.describe(members, m), cold)
	p.keep(&g)
	p.advance(&g)
	return true
}

// describe lists engines with the time that each needs to join the model.
func (p *planner) describe(ids []roster.ID, m *catalog.Model) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s(%v)", id, p.readyIn(p.in.Facts[id], m).Round(100*time.Millisecond))
	}
	return b.String()
}

func (p *planner) needsLoad(f *Fact, model string) bool {
	if f.Report.Model == model || slices.Contains(f.Report.Staged, model) {
		return false
	}
	l, ok := p.mem.loading[f.ID]
	return !ok || l.model != model
}

// mayLoad reports whether n more loads may begin now.
func (p *planner) mayLoad(n int) bool {
	return n == 0 || p.in.FreeLoads || len(p.mem.loads)+n <= p.in.Params.LoadsPer
}

func (p *planner) startLoad(id roster.ID, model string) {
	p.mem.loading[id] = load{model, p.in.Now}
	p.mem.loads = append(p.mem.loads, p.in.Now)
}

func (p *planner) forgetLoads() {
	p.mem.loads = slices.DeleteFunc(p.mem.loads, func(at clock.Instant) bool {
		return p.in.Now.Sub(at) > p.in.Params.LoadWindow
	})
}

// standbyPrefix begins the names of the one-member groups that keep a spare
// engine ready. They are never opened.
const standbyPrefix = "standby-"

func isStandby(m roster.Membership) bool {
	return len(m.Group) > len(standbyPrefix) && m.Group[:len(standbyPrefix)] == standbyPrefix &&
		(m.State == roster.Ready || m.State == roster.Joining)
}

// prepare makes free engines ready: first those that the next groups lack, then
// the spares. An engine is ready when the weights are staged on its host and it
// is in a group of its own, from which it joins another one in hotJoin.
func (p *planner) prepare(free []*Fact) {
	rest := slices.Clone(free)
	for {
		m, members := p.nextGroup(rest)
		if m == nil {
			break
		}
		p.coming[m.Name]++
		for _, id := range members {
			p.prepareSpare(p.in.Facts[id], m)
		}
		rest = slices.DeleteFunc(rest, func(f *Fact) bool { return slices.Contains(members, f.ID) })
	}
	for _, m := range p.spareModels(len(rest)) {
		i := p.readiest(rest, m)
		f := rest[i]
		rest = slices.Delete(rest, i, i+1)
		p.prepareSpare(f, m)
	}
}

// nextGroup returns the model whose next group lacks the fewest loads, and the
// engines for it.
func (p *planner) nextGroup(free []*Fact) (*catalog.Model, []roster.ID) {
	var best *catalog.Model
	var bestMembers []roster.ID
	var bestCost float64
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Size > len(free) || m.Size <= 0 {
			continue
		}
		members := p.choose(free, m)
		lacks := 0
		for _, id := range members {
			if p.readyIn(p.in.Facts[id], m) > soonLimit {
				lacks++
			}
		}
		// A model without groups for its share goes before one that lacks less.
		cost := float64(lacks) + p.supply(m) + float64(p.coming[m.Name])/p.share(m)
		if best == nil || cost < bestCost {
			best, bestMembers, bestCost = m, members, cost
		}
	}
	return best, bestMembers
}

// spareModels returns a model for each of n spares: turn by turn, the largest
// share first.
func (p *planner) spareModels(n int) []*catalog.Model {
	models := make([]*catalog.Model, 0, len(p.in.Engine.Models))
	for i := range p.in.Engine.Models {
		models = append(models, &p.in.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int { return cmp.Compare(p.share(b), p.share(a)) })
	out := make([]*catalog.Model, 0, n)
	for i := range n {
		out = append(out, models[i%len(models)])
	}
	return out
}

func (p *planner) readiest(fs []*Fact, m *catalog.Model) int {
	best := 0
	for i, f := range fs {
		if p.readyIn(f, m) < p.readyIn(fs[best], m) {
			best = i
		}
	}
	return best
}

func (p *planner) prepareSpare(f *Fact, m *catalog.Model) {
	switch {
	case f.Report.Model == m.Name:
		return
	case slices.Contains(f.Report.Staged, m.Name):
		p.standBy(f, m)
	case !p.staging(f.ID) && p.needsLoad(f, m.Name) && p.mayLoad(1):
		p.startLoad(f.ID, m.Name)
		p.order(Order{To: f.ID, Op: Stage, Model: m.Name, Reason: "spare"})
	}
}

// stageAlternates loads a second model onto the hosts of engines that are ready
// for a first one: an engine joins a group of its newest model in hotJoin
// whatever its host holds, so the host's place is free for another model. After
// a loss, what is left of a domain can then form a group of either model
// without a load.
func (p *planner) stageAlternates() {
	for _, id := range p.sortedIDs() {
		f := p.in.Facts[id]
		hot := f.Report.Model
		if hot == "" || f.Draining || !f.Listed || p.health(id) != alive || !settledIn(f) {
			continue
		}
		m := p.alternate(hot)
		if m == nil || !p.needsLoad(f, m.Name) || p.staging(id) || !p.mayStageAlternate() {
			continue
		}
		p.startLoad(id, m.Name)
		p.order(Order{To: id, Op: Stage, Model: m.Name, Reason: "alternate"})
	}
}

// settledIn reports whether the engine is ready in its group: a join from the
// host waits for a load that is under way there.
func settledIn(f *Fact) bool {
	return f.Report.Member.State == roster.Ready || f.Report.Member.State == roster.Open
}

// alternate returns the model with the largest share beside the one given.
func (p *planner) alternate(hot string) *catalog.Model {
	var best *catalog.Model
	for i := range p.in.Engine.Models {
		m := &p.in.Engine.Models[i]
		if m.Name != hot && (best == nil || m.Share > best.Share) {
			best = m
		}
	}
	return best
}

func (p *planner) staging(id roster.ID) bool {
	_, ok := p.mem.loading[id]
	return ok
}

// mayStageAlternate reports whether a load that nothing waits for may begin: it
// must not slow down the loads that a group waits for.
func (p *planner) mayStageAlternate() bool {
	if p.in.FreeLoads {
		return true
	}
	return len(p.mem.loading) < alternatesAtOnce && len(p.mem.loads) < p.in.Params.LoadsPer/2
}

// alternatesAtOnce is how many loads of the zone may run before alternates wait:
// a handful of all zones run at full speed, and new engines need them first.
const alternatesAtOnce = 1

func (p *planner) sortedIDs() []roster.ID {
	ids := make([]roster.ID, 0, len(p.in.Facts))
	for id := range p.in.Facts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// standBy lets a spare join a group of its own.
func (p *planner) standBy(f *Fact, m *catalog.Model) {
	k := orderKey{f.ID, Join, standbyPrefix}
	if at, ok := p.mem.sent[k]; ok && p.in.Now.Sub(at) < m.Warm+p.in.Params.Resend {
		return
	}
	p.mem.sent[k] = p.in.Now
	p.out.Orders = append(p.out.Orders, p.standbyOrder(f.ID, m.Name, "spare"))
}

// forget drops what is remembered of groups and engines that are over.
func (p *planner) forget() {
	// A plan whose claims could not be committed is made again from the old
	// ones; what was found out about their groups must still be known then.
	live := map[string]bool{}
	for _, groups := range [][]Group{p.in.Ledger.Groups, p.out.Ledger.Groups} {
		for i := range groups {
			live[groups[i].Name] = true
		}
	}
	for name := range p.mem.since {
		if !live[name] {
			delete(p.mem.since, name)
			delete(p.mem.closing, name)
			delete(p.mem.opened, name)
		}
	}
	for k, at := range p.mem.sent {
		if p.in.Now.Sub(at) > time.Minute {
			delete(p.mem.sent, k)
			delete(p.mem.joined, k)
		}
	}
	for id, l := range p.mem.loading {
		f := p.in.Facts[id]
		if f == nil || slices.Contains(f.Report.Staged, l.model) || f.Report.Model == l.model {
			delete(p.mem.loading, id)
		}
	}
}
