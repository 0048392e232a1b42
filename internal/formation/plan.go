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

// Input is the input of a plan for one service in one availability zone.
type Input struct {
	Now         clock.Instant
	TenureStart clock.Instant // start of this tenure
	Zone        string
	Service     string
	Engine      *catalog.Engine
	Engines     map[roster.ID]*EngineState
	Ledger      Ledger
	// NextEpoch returns an epoch higher than all epochs issued before.
	NextEpoch func() uint64
	// Demand is the zone's recent demand for the service.
	Demand demand.Demand
	// Elsewhere is the number of groups, by model, that stand free in other zones.
	Elsewhere map[string]float64
	// BeforeFirstRequest is set while no request has arrived yet: loads slow nothing down then
	// and need no throttling.
	BeforeFirstRequest bool
	Params             Params
}

// Output is a plan: the updated claims and the orders. Orders may be sent only after the
// claims have been committed.
type Output struct {
	Ledger      Ledger
	Changed     bool
	Orders      []Order
	ProbeDelays map[roster.ID]time.Duration // engines with a pending change, with the delay until the next probe
	Decisions   []string                    // decisions about groups, with their reasons
	Lost        []roster.Hint               // heads of groups that have just lost a member
	Resumed     []roster.Hint               // heads of groups that were considered lost and have resumed
	Conversions int                         // conversions that begin
}

// Memory is the planner's state between the plans of one tenure. A new owner starts with
// an empty one and waits wherever the state of an engine is uncertain.
type Memory struct {
	sent        map[orderKey]clock.Instant
	joinDue     map[orderKey]clock.Instant // when an ordered join should be complete
	closing     map[string]*closing        // by group name
	loadStarts  []clock.Instant            // load starts within the load window
	loading     map[roster.ID]load
	opened      map[string]bool          // groups that have been open
	firstSeen   map[string]clock.Instant // when a group was first seen, by name
	conversions map[string]conversion    // by domain
	converted   map[string]clock.Instant // by model: when engines were last converted to it
	meanGroups  map[string]groupMean     // by model
	// noConversionUntil is set when a conversion could not be recorded.
	noConversionUntil clock.Instant
	evaluatedAt       map[string]clock.Instant // newest evaluation of a domain without free engines
	ended             map[string]bool          // groups whose head can't accept requests any more
	formed            map[string]bool          // groups that this owner formed
}

type orderKey struct {
	to    roster.ID
	op    Op
	group string
}

// closing is the state of a group that is being dissolved.
type closing struct {
	reason string
	mode   CloseMode
	since  clock.Instant
	begun  bool // an order was given or a claim written to end the group; it can't resume
	// awaitsClaim is set for a group that closes for another model until the claim that marks
	// it as ending is committed. Only then is the group announced as lost.
	awaitsClaim bool
	// converts is set if the group closes for another model, or may do so because the
	// previous owner began to dissolve it.
	converts bool
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		sent: map[orderKey]clock.Instant{}, joinDue: map[orderKey]clock.Instant{}, closing: map[string]*closing{},
		loading: map[roster.ID]load{}, opened: map[string]bool{},
		conversions: map[string]conversion{}, converted: map[string]clock.Instant{}, meanGroups: map[string]groupMean{}, evaluatedAt: map[string]clock.Instant{},
		firstSeen: map[string]clock.Instant{}, ended: map[string]bool{}, formed: map[string]bool{},
	}
}

// planner is the state of one call of Plan.
type planner struct {
	in                  *Input
	mem                 *Memory
	out                 Output
	claimed             map[roster.ID]bool
	convertedIn         map[string]bool    // domains in which a group that closed for another model has ended in this plan
	groupsInPreparation map[string]int     // groups that engines are being prepared for, by model
	neededGroupsByModel map[string]float64 // cache of neededGroups
	values              []modelValue       // in the order of the engine's models; nil: all models count alike
	emptyEngineWaits    bool               // an engine without weights could start a load
}

// Plan computes the updated claims and the orders to give now. It updates mem.
func Plan(in *Input, mem *Memory) Output {
	p := &planner{in: in, mem: mem, claimed: map[roster.ID]bool{}, convertedIn: map[string]bool{}, groupsInPreparation: map[string]int{}}
	p.pruneLoads()
	p.emptyEngineWaits = p.hasWaitingEmptyEngine()
	for _, g := range in.Ledger.Groups {
		p.keepOrRelease(&g)
	}
	p.valueModels()
	for _, domain := range p.domains() {
		p.allocateDomain(domain)
	}
	p.stageAlternates()
	p.pruneMemory()
	return p.out
}

// keepOrRelease carries a claim over to the new ledger and advances its group, or drops
// the claim once the group has ended.
func (p *planner) keepOrRelease(g *Group) {
	if g.Service != p.in.Service {
		p.keepClaim(g)
		return
	}
	if _, ok := p.mem.firstSeen[g.Name]; !ok {
		p.mem.firstSeen[g.Name] = p.in.Now
	}
	c := p.mem.closing[g.Name]
	if c != nil && c.awaitsClaim && !p.confirmConversion(g, c) {
		c = nil
	}
	if c == nil {
		if c = p.decideClose(g); c != nil {
			c.since = p.in.Now
			p.mem.closing[g.Name] = c
			p.noteDecision("group %s closes: %s", g.Name, c.reason)
			p.announceLost(g, c)
		}
	}
	if c != nil && p.canResume(g, c) {
		delete(p.mem.closing, g.Name)
		p.noteDecision("group %s resumes: its members respond again", g.Name)
		p.out.Resumed = append(p.out.Resumed, p.hintOf(g, roster.Open))
		c = nil
	}
	if c == nil {
		p.keepClaim(g)
		p.advanceGroup(g)
		return
	}
	if !p.dissolve(g, c) {
		p.keepClaim(g)
		return
	}
	if c.converts {
		p.convertedIn[g.Domain] = true
	}
	p.noteDecision("group %s has ended: %s", g.Name, c.reason)
	p.out.Changed = true
}

func (p *planner) hintOf(g *Group, state roster.GroupState) roster.Hint {
	return roster.Hint{
		ID: g.Head(), Model: g.Model,
		Member: roster.Membership{Group: g.Name, Epoch: g.Epoch, State: state},
	}
}

func (p *planner) keepClaim(g *Group) {
	p.out.Ledger.Groups = append(p.out.Ledger.Groups, *g)
	for _, m := range g.Members {
		p.claimed[m] = true
	}
}

func (p *planner) isInGroup(id roster.ID, g *Group) bool {
	f := p.in.Engines[id]
	return f != nil && f.Report.Member.Group == g.Name && f.Report.Member.Epoch == g.Epoch
}

// hasRank reports whether an engine is the group's member of that rank. An engine that
// restarts may get another ID at its old address while the entry of the old ID still
// exists, and the same process answers probes of both. Without the check of the rank, the
// second ID counted as a ready member and a group opened that lacked one. An engine
// derives its rank from its own ID in the member list, so ranks are unique.
func (p *planner) hasRank(id roster.ID, g *Group, rank int) bool {
	return p.isInGroup(id, g) && p.in.Engines[id].Report.Member.Rank == rank
}

// isOutOfGroup reports whether an engine is known not to be in the group. Reports lag:
// shortly after a join or a change of owner they may still contain the previous state. An
// owner that mistook "not yet joined" for "left" released members of a group whose head
// was opening, and they joined another group.
func (p *planner) isOutOfGroup(id roster.ID, g *Group) bool {
	f := p.in.Engines[id]
	if f == nil || p.isInGroup(id, g) {
		return false
	}
	since := max(p.in.TenureStart, p.mem.sent[orderKey{id, Join, g.Name}])
	return !f.ReportedAt.Before(since.Add(reportLag))
}

// advanceGroup gives the orders for the group's next step towards serving.
func (p *planner) advanceGroup(g *Group) {
	ready := 0
	for rank, m := range g.Members {
		if p.health(m) != alive {
			continue
		}
		f := p.in.Engines[m]
		if !p.hasRank(m, g, rank) {
			if p.mem.formed[g.Name] { // otherwise decideClose closes the group
				p.orderJoin(m, g)
			}
			continue
		}
		switch f.Report.Member.State {
		case roster.Ready, roster.Open:
			ready++
		case roster.Joining:
			p.orderJoin(m, g)
		}
	}
	if m := p.in.Engine.Model(g.Model); ready < len(g.Members) || m == nil || ready < m.Size {
		return
	}
	if p.in.Engines[g.Head()].Report.Member.State == roster.Open {
		if !p.mem.opened[g.Name] {
			p.mem.opened[g.Name] = true
			p.noteDecision("group %s serves after %v", g.Name, p.in.Now.Sub(p.mem.firstSeen[g.Name]).Round(time.Millisecond))
		}
		return
	}
	p.orderOnce(Order{To: g.Head(), Op: Open, Group: g.Name, Epoch: g.Epoch, Reason: "all members are ready"})
	p.probeSoon(g.Head())
}

// orderJoin orders a member to join, and repeats the order when the join should be
// complete: the response then confirms readiness earlier than the report, which lags.
func (p *planner) orderJoin(id roster.ID, g *Group) {
	key := orderKey{id, Join, g.Name}
	o := Order{To: id, Op: Join, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Members: g.Members, Reason: "claimed"}
	if due, ok := p.mem.joinDue[key]; ok && !p.in.Now.Before(due) {
		p.mem.joinDue[key] = p.in.Now.Add(joinRetryDelay)
		o.Reason = "checking for completion"
		p.addOrder(o)
		return
	}
	if p.orderOnce(o) {
		m := p.in.Engine.Model(g.Model)
		if m == nil {
			return
		}
		if in := p.timeToReady(p.in.Engines[id], m); in <= maxJoinWithoutLoad {
			p.mem.joinDue[key] = p.in.Now.Add(in + joinMargin)
		}
	}
	p.probeWithin(id, loadProbeDelay)
}

const (
	// joinMargin allows for the latency of the order.
	joinMargin = 30 * time.Millisecond
	// joinRetryDelay is the interval between repeated joins that check for completion.
	joinRetryDelay = 150 * time.Millisecond
)

// orderOnce adds an order unless the same one was given within the resend interval. It
// reports whether the order was added.
func (p *planner) orderOnce(o Order) bool {
	k := orderKey{o.To, o.Op, o.Group}
	if at, ok := p.mem.sent[k]; ok && p.in.Now.Sub(at) < p.in.Params.ResendInterval {
		return false
	}
	p.mem.sent[k] = p.in.Now
	p.addOrder(o)
	return true
}

// addOrder adds an order. A join carries the engine's current order count: orders may be
// executed seconds late, and a join of an abandoned group would remove the engine from
// the group that it serves in by then, or return it to a group whose head is open. Every
// order that removes an engine from a group raises the count, which voids such a join.
func (p *planner) addOrder(o Order) {
	if f := p.in.Engines[o.To]; f != nil && o.Op == Join {
		count := f.Report.OrderCount
		o.ExpectedCount = &count
	}
	p.out.Orders = append(p.out.Orders, o)
}

// probeSoon schedules an early probe of the engine.
func (p *planner) probeSoon(id roster.ID) { p.probeWithin(id, orderProbeDelay) }

func (p *planner) probeWithin(id roster.ID, pause time.Duration) {
	if p.out.ProbeDelays == nil {
		p.out.ProbeDelays = map[roster.ID]time.Duration{}
	}
	if old, ok := p.out.ProbeDelays[id]; !ok || pause < old {
		p.out.ProbeDelays[id] = pause
	}
}

// Delays until the next probe of an engine with a pending change.
const (
	orderProbeDelay = 100 * time.Millisecond // for orders that take up to 300 ms
	loadProbeDelay  = 400 * time.Millisecond // for loads, which take 12 s or more
)

func (p *planner) noteDecision(format string, args ...any) {
	p.out.Decisions = append(p.out.Decisions, fmt.Sprintf(format, args...))
}

func (p *planner) sortedIDs() []roster.ID {
	ids := make([]roster.ID, 0, len(p.in.Engines))
	for id := range p.in.Engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// pruneMemory drops the memory of groups that have ended and of old orders.
func (p *planner) pruneMemory() {
	// If the claims can't be committed, the next plan starts from the old ones and still
	// needs the memory of their groups.
	live := map[string]bool{}
	for _, groups := range [][]Group{p.in.Ledger.Groups, p.out.Ledger.Groups} {
		for i := range groups {
			live[groups[i].Name] = true
		}
	}
	for name := range p.mem.firstSeen {
		if !live[name] {
			delete(p.mem.firstSeen, name)
			delete(p.mem.closing, name)
			delete(p.mem.opened, name)
			delete(p.mem.formed, name)
		}
	}
	for k, at := range p.mem.sent {
		if p.in.Now.Sub(at) > time.Minute {
			delete(p.mem.sent, k)
			delete(p.mem.joinDue, k)
		}
	}
}
