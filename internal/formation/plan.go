package formation

import (
	"fmt"
	"slices"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/roster"
)

// Input is what a plan for one service in one availability zone is made of.
type Input struct {
	Now     clock.Instant
	Since   clock.Instant // when this tenure began
	Zone    string
	Service string
	Engine  *catalog.Engine
	Facts   map[roster.ID]*Fact
	Ledger  Ledger
	// NextEpoch returns an epoch higher than all that were ever given out.
	NextEpoch func() uint64
	// Demand is what requests have asked for of late.
	Demand demand.Demand
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
	Back    []roster.Hint               // heads of groups that were taken for lost and serve on
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
	turning map[string]turn          // by domain
	weighed map[string]clock.Instant // when a domain without free engines was looked at
	over    map[string]bool          // groups whose head surely takes no more requests
	formed  map[string]bool          // groups that were formed in this tenure
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
	begun  bool // orders were given or a claim was written to end the group
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		sent: map[orderKey]clock.Instant{}, joined: map[orderKey]clock.Instant{}, closing: map[string]*closing{},
		loading: map[roster.ID]load{}, opened: map[string]bool{},
		turning: map[string]turn{}, weighed: map[string]clock.Instant{},
		since: map[string]clock.Instant{}, over: map[string]bool{}, formed: map[string]bool{},
	}
}

// planner holds one run of Plan.
type planner struct {
	in      *Input
	mem     *Memory
	out     Output
	claimed map[roster.ID]bool
	coming  map[string]int     // groups that engines are being prepared for, by model
	needs   map[string]float64 // of groups, by model; see need
	empty   bool               // an engine that holds no weights waits for its load
}

// Plan decides what to do now.
func Plan(in *Input, mem *Memory) Output {
	p := &planner{in: in, mem: mem, claimed: map[roster.ID]bool{}, coming: map[string]int{}}
	p.forgetLoads()
	p.empty = p.emptyWaits()
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
	if c != nil && p.goesOn(g, c) {
		delete(p.mem.closing, g.Name)
		p.note("group %s goes on: its members answer again", g.Name)
		p.out.Back = append(p.out.Back, p.hintOf(g, roster.Open))
		c = nil
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

func (p *planner) hintOf(g *Group, state roster.GroupState) roster.Hint {
	return roster.Hint{
		ID: g.Head(), Model: g.Model,
		Member: roster.Membership{Group: g.Name, Epoch: g.Epoch, State: state},
	}
}

func (p *planner) keep(g *Group) {
	p.out.Ledger.Groups = append(p.out.Ledger.Groups, *g)
	for _, m := range g.Members {
		p.claimed[m] = true
	}
}

func (p *planner) inGroup(id roster.ID, g *Group) bool {
	f := p.in.Facts[id]
	return f != nil && f.Report.Member.Group == g.Name && f.Report.Member.Epoch == g.Epoch
}

// holdsRank reports whether an engine is the group's member of that rank. An engine that
// starts again may get another id at its old address while the entry of the old id still
// stands; reports to either are answered by the same process. Taken for a second ready
// member, it let a group open that had one member twice and lacked another. An engine
// finds its rank by its own id in the list that it joined with, so no other has it.
func (p *planner) holdsRank(id roster.ID, g *Group, rank int) bool {
	return p.inGroup(id, g) && p.in.Facts[id].Report.Member.Rank == rank
}

// surelyOut reports whether an engine that answers is not in the group. Reports
// lag: those of shortly after a join, or after a change of owner, may show the
// state of before. An owner that took "not yet in" for "no longer in" freed
// members of a group whose head was opening, and they joined another one.
func (p *planner) surelyOut(id roster.ID, g *Group) bool {
	f := p.in.Facts[id]
	if f == nil || p.inGroup(id, g) {
		return false
	}
	since := max(p.in.Since, p.mem.sent[orderKey{id, Join, g.Name}])
	return !f.Answered.Before(since.Add(reportLag))
}

// advance brings a group one step on towards serving.
func (p *planner) advance(g *Group) {
	ready := 0
	for rank, m := range g.Members {
		if p.health(m) != alive {
			continue
		}
		f := p.in.Facts[m]
		if !p.holdsRank(m, g, rank) {
			if p.mem.formed[g.Name] { // else see shouldClose
				p.join(m, g)
			}
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
		p.give(o)
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

// order adds an order unless the same one was given a short while ago. It reports
// whether it did.
func (p *planner) order(o Order) bool {
	k := orderKey{o.To, o.Op, o.Group}
	if at, ok := p.mem.sent[k]; ok && p.in.Now.Sub(at) < p.in.Params.Resend {
		return false
	}
	p.mem.sent[k] = p.in.Now
	p.give(o)
	return true
}

// give adds an order. A join holds only while its engine has begun nothing else:
// orders may be carried out seconds late, and a join of a group that was given up
// would take the engine out of the group that it serves in by then, or bring it
// back under a head that is open. Whatever takes an engine out of a group counts,
// so such a join is void.
func (p *planner) give(o Order) {
	if f := p.in.Facts[o.To]; f != nil && o.Op == Join {
		count := f.Report.Count
		o.Count = &count
	}
	p.out.Orders = append(p.out.Orders, o)
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

func (p *planner) sortedIDs() []roster.ID {
	ids := make([]roster.ID, 0, len(p.in.Facts))
	for id := range p.in.Facts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
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
			delete(p.mem.formed, name)
		}
	}
	for k, at := range p.mem.sent {
		if p.in.Now.Sub(at) > time.Minute {
			delete(p.mem.sent, k)
			delete(p.mem.joined, k)
		}
	}
}
