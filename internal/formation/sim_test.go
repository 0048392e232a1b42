package formation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/roster"
)

// testEngine has models of four and three members, the smallest sizes with which a domain
// of nine has one group of each and spares.
func testEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 26, FormTime: 300 * time.Millisecond, LoadsPerSecond: 4.5, LoadsAtOnce: 6, Keeps: 1,
		Models: []catalog.Model{
			{Name: "big", Size: 4, Pace: 1, Share: 0.57, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 3, Pace: 0.6, Share: 0.43, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// simEngine is a simulated engine that executes orders.
type simEngine struct {
	id            roster.ID // name, without the incarnation
	incarnation   uint64
	domain        string
	dead          bool // the process has ended
	partitioned   bool // unreachable from the planning node
	draining      bool
	highestEpoch  uint64  // highest epoch of a join so far
	count         uint64  // orders begun
	pace          float64 // slow if above 1
	active        int     // requests that it runs as a head, as reported
	group         string
	epoch         uint64
	members       []roster.ID
	state         roster.GroupState
	until         clock.Instant // end of the join or opening in progress; 0 if none
	opening       bool
	model         string
	staged        string
	staging       string
	stagedAt      clock.Instant
	reportHistory []reportedState // states that reports will contain, oldest first
}

// endpointID returns the ID of the current incarnation.
func (e *simEngine) endpointID() roster.ID { return roster.NewID(string(e.id), e.incarnation) }

// engineAt returns the engine that receives an order to an ID: the current incarnation of
// that name.
func (w *simZone) engineAt(id roster.ID) *simEngine { return w.engines[roster.ID(id.Name())] }

// restart replaces the engine by a new incarnation of the same name.
func (w *simZone) restart(e *simEngine) {
	*e = simEngine{id: e.id, incarnation: e.incarnation + 1, domain: e.domain, partitioned: e.partitioned}
}

// rank returns the engine's rank in its group, or -1.
func (e *simEngine) rank() int {
	return slices.IndexFunc(e.members, func(m roster.ID) bool { return m.Name() == string(e.id) })
}

// reportedState is an engine's state from an instant on, as contained in its reports.
type reportedState struct {
	from clock.Instant
	rep  Report
}

// simReportLag is the age of the state in a report, which is the engines' published lag.
const simReportLag = 200 * time.Millisecond

// simZone simulates a zone of engines and the node that plans for it. Orders may be lost,
// or be executed seconds later and after newer ones.
type simZone struct {
	now          clock.Instant
	engine       *catalog.Engine
	engines      map[roster.ID]*simEngine
	byID         []*simEngine // the engines, sorted by ID
	ledger       Ledger
	mem          *Memory
	engineStates map[roster.ID]*EngineState
	fence        uint64
	epochs       uint64
	tenureStart  clock.Instant // start of this owner's tenure
	loadsAreFree bool          // loads take a tenth of their time and are not throttled
	demand       demand.Demand
	elsewhere    map[string]float64 // free groups of other zones by model
	delayed      []delayedOrder
	ready        map[string]map[roster.ID]bool // members that have been ready, by group and epoch
	sizes        map[string]int                // initial number of members by group
	violation    string                        // the first violated invariant
	loads        []clock.Instant
	nextID       int
	// delivery returns the fate of the next order.
	delivery func() delivery
}

type delivery int

const (
	orderAnswered delivery = iota
	answerLost
	orderLost
	orderDelayed
)

type delayedOrder struct {
	at clock.Instant
	o  Order
}

func newSimZone() *simZone {
	w := &simZone{
		now: clock.Instant(time.Hour), engine: testEngine(), engines: map[roster.ID]*simEngine{},
		ready: map[string]map[roster.ID]bool{}, sizes: map[string]int{},
		delivery: func() delivery { return orderAnswered },
	}
	w.takeOver()
	return w
}

func (w *simZone) add(domain string, n int) {
	for range n {
		id := roster.ID(fmt.Sprintf("e%02d", w.nextID))
		w.nextID++
		w.engines[id] = &simEngine{id: id, domain: domain}
		w.byID = append(w.byID, w.engines[id])
	}
	slices.SortFunc(w.byID, func(a, b *simEngine) int { return strings.Compare(string(a.id), string(b.id)) })
}

// takeOver replaces the planning node by one that knows only the claims.
func (w *simZone) takeOver() {
	w.fence++
	w.epochs = 0
	w.mem = NewMemory()
	w.engineStates = map[roster.ID]*EngineState{}
	w.tenureStart = w.now
}

func (w *simZone) key(group string, epoch uint64) string { return fmt.Sprintf("%s/%d", group, epoch) }

// advance advances the clock and completes due transitions and delayed orders.
func (w *simZone) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.sorted() {
		w.completeTransitions(e)
	}
	w.recordReports()
	due := w.delayed
	w.delayed = nil
	for _, l := range due {
		if l.at.After(w.now) {
			w.delayed = append(w.delayed, l)
			continue
		}
		w.execute(l.o)
	}
	w.recordReports()
}

// recordReports records the current states, which reports contain after the lag.
func (w *simZone) recordReports() {
	for _, e := range w.byID {
		e.reportHistory = append(e.reportHistory, reportedState{w.now, e.report()})
		old := 0
		for old+1 < len(e.reportHistory) && !e.reportHistory[old+1].from.After(w.now.Add(-simReportLag)) {
			old++
		}
		e.reportHistory = slices.Delete(e.reportHistory, 0, old)
	}
}

// report returns the engine's current state.
func (e *simEngine) report() Report {
	rep := Report{
		Member: roster.Membership{Group: e.group, Epoch: e.epoch, Rank: e.rank(), State: e.state},
		Busy:   e.staging != "" || e.state == roster.Joining,
		Pace:   e.pace, Active: e.active, OrderCount: e.count, Model: e.model, Staged: []string{}, Domain: e.domain,
	}
	if e.staged != "" {
		rep.Staged = append(rep.Staged, e.staged)
	}
	if e.group == "" {
		rep.Member.Rank = 0
	}
	return rep
}

func (w *simZone) sorted() []*simEngine { return w.byID }

func (w *simZone) completeTransitions(e *simEngine) {
	if e.dead {
		return
	}
	if e.staging != "" && !w.now.Before(e.stagedAt) {
		e.staged, e.staging = e.staging, ""
	}
	if e.until == 0 || w.now.Before(e.until) {
		return
	}
	e.until = 0
	switch {
	case e.opening:
		e.opening = false
		e.state = roster.Open
		w.checkOpen(e)
	case e.state == roster.Joining:
		e.state = roster.Ready
		k := w.key(e.group, e.epoch)
		if w.ready[k] == nil {
			w.ready[k] = map[roster.ID]bool{}
		}
		w.ready[k][e.endpointID()] = true
	}
}

// checkOpen checks that an opening group is complete and that each member has been ready
// under the group's name and epoch.
func (w *simZone) checkOpen(head *simEngine) {
	k := w.key(head.group, head.epoch)
	model := w.engine.Model(head.model)
	if len(head.members) != model.Size {
		w.fail("group %s opens with %d members of %d", k, len(head.members), model.Size)
	}
	for _, m := range head.members {
		if !w.ready[k][m] {
			w.fail("group %s opens and %s was never ready in it", k, m)
		}
	}
}

func (w *simZone) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// execute executes an order as an engine does and returns the engine's response.
func (w *simZone) execute(o Order) OrderResult {
	e := w.engineAt(o.To)
	if e == nil || e.dead {
		return Lost
	}
	if o.ExpectedCount != nil && *o.ExpectedCount != e.count {
		return Conflict
	}
	isCurrentGroup := e.group == o.Group && e.epoch == o.Epoch
	switch o.Op {
	case Join:
		return w.join(e, o)
	case Open:
		switch {
		case !isCurrentGroup || e.state != roster.Ready && e.state != roster.Open:
			return Conflict
		case e.state == roster.Open:
			return Done
		}
		e.opening, e.until = true, w.now.Add(w.engine.FormTime)
	case Close:
		if !isCurrentGroup {
			return Conflict
		}
		e.state, e.opening, e.until = roster.Ready, false, 0
	case Leave:
		if isCurrentGroup {
			e.group, e.epoch, e.members, e.state, e.opening, e.until = "", 0, nil, "", false, 0
			e.count++
		}
		return Done
	case Stage:
		e.staging, e.stagedAt = o.Model, w.now.Add(w.loadTime(o.Model))
		w.loads = append(w.loads, w.now)
	}
	e.count++
	return Begun
}

// loadTime returns the duration of a load: a tenth of the usual one before the first
// request.
func (w *simZone) loadTime(model string) time.Duration {
	d := w.engine.Model(model).Load
	if w.loadsAreFree {
		d /= 10
	}
	return d
}

func (w *simZone) join(e *simEngine, o Order) OrderResult {
	if o.Epoch < e.highestEpoch || e.group == o.Group && e.epoch == o.Epoch && !slices.Equal(e.members, o.Members) {
		return Rejected
	}
	if e.group == o.Group && e.epoch == o.Epoch && e.state != roster.Joining {
		return Done
	}
	w.checkJoin(e, o)
	e.highestEpoch = o.Epoch
	d := hotJoinTime
	switch {
	case e.model == o.Model:
	case e.staged == o.Model:
		d = w.engine.Model(o.Model).Warm
	case e.staging == o.Model:
		d = e.stagedAt.Sub(w.now) + w.engine.Model(o.Model).Warm
	default:
		d = w.loadTime(o.Model)
		w.loads = append(w.loads, w.now)
	}
	if e.group == o.Group && e.epoch == o.Epoch {
		return Begun // already joining
	}
	e.count++
	e.group, e.epoch, e.members = o.Group, o.Epoch, o.Members
	e.model, e.staged = o.Model, o.Model
	e.state, e.opening, e.until = roster.Joining, false, w.now.Add(d)
	return Begun
}

// checkJoin checks that the engine doesn't join another group while the head of its own
// is open.
func (w *simZone) checkJoin(e *simEngine, o Order) {
	if e.group == "" || e.group == o.Group && e.epoch == o.Epoch || len(e.members) == 0 {
		return
	}
	head := w.engineAt(e.members[0])
	if head == nil || head.dead || head.group != e.group || head.epoch != e.epoch {
		return
	}
	if head.state == roster.Open || head.state == roster.Closing {
		w.fail("%s joins %s while %s of its group %s is open", e.id, o.Group, head.id, e.group)
	}
}

// report probes an engine as the controller does. Its current state must be recorded.
func (w *simZone) report(e *simEngine) {
	f := w.engineStates[e.endpointID()]
	if f == nil {
		f = &EngineState{ID: e.endpointID(), Domain: e.domain}
		w.engineStates[e.endpointID()] = f
	}
	f.Listed, f.Draining = !e.dead, e.draining
	if e.dead || e.partitioned {
		if f.Failures == 0 {
			f.FailingSince = w.now
		}
		f.Failures++
		f.LastMissedAt = w.now
		return
	}
	f.applyReport(e.reportHistory[0].rep, w.now)
}

// plan makes one plan and delivers its orders.
func (w *simZone) plan() Output {
	w.recordReports()
	for _, e := range w.sorted() {
		w.report(e)
	}
	for id, f := range w.engineStates {
		if e := w.engineAt(id); !e.partitioned && id.Before(e.endpointID()) {
			f.Listed = false
			f.markRestarted()
		}
	}
	out := Plan(w.input(), w.mem)
	w.ledger = out.Ledger
	for _, g := range out.Ledger.Groups {
		w.sizes[g.Name] = max(w.sizes[g.Name], len(g.Members))
	}
	for _, o := range out.Orders {
		w.deliver(o)
	}
	return out
}

func (w *simZone) input() *Input {
	return &Input{
		Now: w.now, TenureStart: w.tenureStart, Zone: "z", Service: "s", Engine: w.engine, Engines: w.engineStates, Ledger: w.ledger,
		NextEpoch:          func() uint64 { w.epochs++; return w.fence*1_000_000 + w.epochs },
		BeforeFirstRequest: w.loadsAreFree, Demand: w.demand, Elsewhere: w.elsewhere, Params: DefaultParams(5*time.Second, 7, 2),
	}
}

func (w *simZone) deliver(o Order) {
	if e := w.engineAt(o.To); e == nil || e.dead || e.partitioned {
		return
	}
	switch w.delivery() {
	case orderLost:
		return
	case answerLost:
		w.execute(o)
		return
	case orderDelayed:
		w.delayed = append(w.delayed, delayedOrder{w.now.Add(time.Duration(2+len(w.delayed)%10) * time.Second), o})
		return
	}
	v := w.execute(o)
	if f := w.engineStates[o.To]; f != nil {
		f.applyOrderResult(o, v, w.now)
	}
}

// run makes a plan every 100 ms for d.
func (w *simZone) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.plan()
		w.advance(100 * time.Millisecond)
	}
}

// serving returns the heads of the model's open groups.
func (w *simZone) serving(model string) []*simEngine {
	var out []*simEngine
	for _, e := range w.sorted() {
		if !e.dead && e.state == roster.Open && e.model == model {
			out = append(out, e)
		}
	}
	return out
}
