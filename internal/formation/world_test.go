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

// testEngine has two models of four and three members, as small as they can be
// while a domain holds one group of each and spares.
func testEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 26, FormTime: 300 * time.Millisecond, LoadsPerSecond: 4.5, LoadsAtOnce: 6, Keeps: 1,
		Models: []catalog.Model{
			{Name: "big", Size: 4, Pace: 1, Share: 0.57, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 3, Pace: 0.6, Share: 0.43, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// simEngine is an engine as its orders change it.
type simEngine struct {
	id       roster.ID // its name; born tells its lives apart
	born     uint64
	domain   string
	dead     bool // its process has ended
	cut      bool // the planning node can't reach it
	draining bool
	seen     uint64  // highest epoch of a join
	count    uint64  // orders that it has begun
	pace     float64 // over 1: slow
	group    string
	epoch    uint64
	members  []roster.ID
	state    roster.GroupState
	until    clock.Instant // when joining or opening is done
	opening  bool
	model    string
	staged   string
	staging  string
	stagedAt clock.Instant
	told     []toldState // what its reports say, oldest first
}

// life names the engine's present life.
func (e *simEngine) life() roster.ID { return roster.Life(string(e.id), e.born) }

// at returns the engine that an order to a life reaches: whoever has its name now.
func (w *world) at(id roster.ID) *simEngine { return w.engines[roster.ID(id.Name())] }

// restart begins another life of the engine under its name.
func (w *world) restart(e *simEngine) {
	*e = simEngine{id: e.id, born: e.born + 1, domain: e.domain, cut: e.cut}
}

// rank is the engine's place in its group.
func (e *simEngine) rank() int {
	return slices.IndexFunc(e.members, func(m roster.ID) bool { return m.Name() == string(e.id) })
}

// toldState is an engine's state from an instant on, as its reports tell it.
type toldState struct {
	from clock.Instant
	rep  Report
}

// worldLag is how long ago the state was that a report tells: the engines'
// published lag.
const worldLag = 200 * time.Millisecond

// world is a zone of engines and the node that plans for it. Orders may be lost,
// or carried out seconds after they were given and after newer ones.
type world struct {
	now     clock.Instant
	engine  *catalog.Engine
	engines map[roster.ID]*simEngine
	ledger  Ledger
	mem     *Memory
	facts   map[roster.ID]*Fact
	fence   uint64
	epochs  uint64
	since   clock.Instant // when this owner began
	free    bool          // loads are free
	demand  demand.Demand
	late    []lateOrder
	ready   map[string]map[roster.ID]bool // by group and epoch: who has been ready
	sizes   map[string]int                // members that the group was formed of
	broken  string                        // the first invariant that broke
	loads   []clock.Instant
	next    int
	// fate says what becomes of an order: given and answered, given without an
	// answer, or carried out later.
	fate func() fate
}

type fate int

const (
	answered fate = iota
	unanswered
	lost
	later
)

type lateOrder struct {
	at clock.Instant
	o  Order
}

func newWorld() *world {
	w := &world{
		now: clock.Instant(time.Hour), engine: testEngine(), engines: map[roster.ID]*simEngine{},
		ready: map[string]map[roster.ID]bool{}, sizes: map[string]int{},
		fate: func() fate { return answered },
	}
	w.takeOver()
	return w
}

func (w *world) add(domain string, n int) {
	for range n {
		id := roster.ID(fmt.Sprintf("e%02d", w.next))
		w.next++
		w.engines[id] = &simEngine{id: id, domain: domain}
	}
}

// takeOver lets another node plan: it knows the claims and nothing else.
func (w *world) takeOver() {
	w.fence++
	w.epochs = 0
	w.mem = NewMemory()
	w.facts = map[roster.ID]*Fact{}
	w.since = w.now
}

func (w *world) key(group string, epoch uint64) string { return fmt.Sprintf("%s/%d", group, epoch) }

// advance lets time pass and the engines finish what they have begun.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.sorted() {
		w.settle(e)
	}
	w.remember()
	due := w.late
	w.late = nil
	for _, l := range due {
		if l.at.After(w.now) {
			w.late = append(w.late, l)
			continue
		}
		w.execute(l.o)
	}
	w.remember()
}

// remember notes what the engines' reports will tell after the lag.
func (w *world) remember() {
	for _, e := range w.engines {
		e.told = append(e.told, toldState{w.now, e.report()})
		for len(e.told) > 1 && !e.told[1].from.After(w.now.Add(-worldLag)) {
			e.told = e.told[1:]
		}
	}
}

// report returns the engine's state as it is now.
func (e *simEngine) report() Report {
	rep := Report{
		Member: roster.Membership{Group: e.group, Epoch: e.epoch, Rank: e.rank(), State: e.state},
		Busy:   e.staging != "" || e.state == roster.Joining,
		Pace:   e.pace, Count: e.count, Model: e.model, Staged: []string{}, Domain: e.domain,
	}
	if e.staged != "" {
		rep.Staged = append(rep.Staged, e.staged)
	}
	if e.group == "" {
		rep.Member.Rank = 0
	}
	return rep
}

func (w *world) sorted() []*simEngine {
	var out []*simEngine
	for _, e := range w.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *simEngine) int { return strings.Compare(string(a.id), string(b.id)) })
	return out
}

func (w *world) settle(e *simEngine) {
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
		w.ready[k][e.life()] = true
	}
}

// checkOpen: a group that takes requests is whole, and each member has been
// ready under its name and epoch.
func (w *world) checkOpen(head *simEngine) {
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

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// execute carries an order out as an engine does, and returns how it is taken.
func (w *world) execute(o Order) Verdict {
	e := w.at(o.To)
	if e == nil || e.dead {
		return Lost
	}
	if o.Count != nil && *o.Count != e.count {
		return Conflict
	}
	mine := e.group == o.Group && e.epoch == o.Epoch
	switch o.Op {
	case Join:
		return w.join(e, o)
	case Open:
		switch {
		case !mine || e.state != roster.Ready && e.state != roster.Open:
			return Conflict
		case e.state == roster.Open:
			return Done
		}
		e.opening, e.until = true, w.now.Add(w.engine.FormTime)
	case Close:
		if !mine {
			return Conflict
		}
		e.state, e.opening, e.until = roster.Ready, false, 0
	case Leave:
		if mine {
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

// loadTime is a tenth before the first request.
func (w *world) loadTime(model string) time.Duration {
	d := w.engine.Model(model).Load
	if w.free {
		d /= 10
	}
	return d
}

func (w *world) join(e *simEngine, o Order) Verdict {
	if o.Epoch < e.seen || e.group == o.Group && e.epoch == o.Epoch && !slices.Equal(e.members, o.Members) {
		return Rejected
	}
	if e.group == o.Group && e.epoch == o.Epoch && e.state != roster.Joining {
		return Done
	}
	w.checkJoin(e, o)
	e.seen = o.Epoch
	d := hotJoin
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
		return Begun // it joins already
	}
	e.count++
	e.group, e.epoch, e.members = o.Group, o.Epoch, o.Members
	e.model, e.staged = o.Model, o.Model
	e.state, e.opening, e.until = roster.Joining, false, w.now.Add(d)
	return Begun
}

// checkJoin: nobody joins another group while the head of its own takes
// requests.
func (w *world) checkJoin(e *simEngine, o Order) {
	if e.group == "" || e.group == o.Group && e.epoch == o.Epoch || len(e.members) == 0 {
		return
	}
	head := w.at(e.members[0])
	if head == nil || head.dead || head.group != e.group || head.epoch != e.epoch {
		return
	}
	if head.state == roster.Open || head.state == roster.Closing {
		w.fail("%s joins %s while %s of its group %s is open", e.id, o.Group, head.id, e.group)
	}
}

// report asks an engine for its state, as the controller does.
func (w *world) report(e *simEngine) {
	f := w.facts[e.life()]
	if f == nil {
		f = &Fact{ID: e.life(), Domain: e.domain}
		w.facts[e.life()] = f
	}
	f.Listed, f.Draining = !e.dead, e.draining
	if e.dead || e.cut {
		if f.Failures == 0 {
			f.Failing = w.now
		}
		f.Failures++
		f.Missed = w.now
		return
	}
	w.remember()
	f.takeReport(e.told[0].rep, w.now)
}

// plan makes one plan and gives its orders.
func (w *world) plan() Output {
	for _, e := range w.sorted() {
		w.report(e)
	}
	for id, f := range w.facts {
		if e := w.at(id); !e.cut && id.Before(e.life()) {
			f.Listed = false
			f.endLife()
		}
	}
	out := Plan(w.input(), w.mem)
	w.ledger = out.Ledger
	for _, g := range out.Ledger.Groups {
		w.sizes[g.Name] = max(w.sizes[g.Name], len(g.Members))
	}
	for _, o := range out.Orders {
		w.give(o)
	}
	return out
}

func (w *world) input() *Input {
	return &Input{
		Now: w.now, Since: w.since, Zone: "z", Service: "s", Engine: w.engine, Facts: w.facts, Ledger: w.ledger,
		NextEpoch: func() uint64 { w.epochs++; return w.fence*1_000_000 + w.epochs },
		FreeLoads: w.free, Demand: w.demand, Params: DefaultParams(5*time.Second, 7, 2),
	}
}

func (w *world) give(o Order) {
	if e := w.at(o.To); e == nil || e.dead || e.cut {
		return
	}
	switch w.fate() {
	case lost:
		return
	case unanswered:
		w.execute(o)
		return
	case later:
		w.late = append(w.late, lateOrder{w.now.Add(time.Duration(2+len(w.late)%10) * time.Second), o})
		return
	}
	v := w.execute(o)
	if f := w.facts[o.To]; f != nil {
		f.took(o, v, w.now)
	}
}

// run plans every 100 ms for d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.plan()
		w.advance(100 * time.Millisecond)
	}
}

// serving returns the open groups of a model.
func (w *world) serving(model string) []*simEngine {
	var out []*simEngine
	for _, e := range w.sorted() {
		if !e.dead && e.state == roster.Open && e.model == model {
			out = append(out, e)
		}
	}
	return out
}
