package group

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// sim runs the control paths of a few nodes of one zone step by step on a
// clock that only the test moves. The pure parts and the adapters are the real
// ones; the table, the engines, the probes' transport and the list are fakes.
type sim struct {
	clk      *clock.Manual
	table    *fakeTable
	engines  *fakeEngines
	list     []fleet.Record // as the platform publishes it now
	nodes    []*simNode
	doc      *config.Document
	revision uint64
	// seen is when each engine last truly reported a place, by VM and place.
	seen   map[fleet.VM]map[place]clock.Instant
	fences map[fleet.VM]fleet.Fence
	claims map[fleet.VM]view.Claim
	// lists are what the platform published, newest last; nodes read them late.
	lists   [][]fleet.Record
	fault   string // the first broken promise
	tick    time.Duration
	trusted bool // the promises are not checked: for measurements
}

// place is what a generation asks of a member.
type place struct {
	boot  fleet.BootID
	group fleet.GroupID
	gen   fleet.Generation
	rank  int
}

type simNode struct {
	sim      *sim
	self     fleet.Node
	mu       sync.Mutex // orders put states concurrently
	state    *view.State
	lease    *lease.Manager
	rec      *Reconciler
	failing  map[fleet.VM]clock.Instant
	failures map[fleet.VM]int
	paused   bool // does not step
	cut      bool // cannot reach the engines
	blind    bool // cannot reach the platform
	listLate int  // reads the list of this many ticks ago
	// every and planEvery are how many ticks lie between two probes of an engine
	// and two plans; 0: none.
	every, planEvery, ticks int
	// beforeCommit and beforeOrder run once, between the decision and its
	// effect: the moment at which a pause hurts.
	beforeCommit, beforeOrder func()
}

const (
	simTick  = 200 * time.Millisecond
	simTerm  = 3 * time.Second
	simFresh = view.DefaultProbeFresh
)

func newSim(d *config.Document, nodes int, loadTicks int, checks bool, sizes ...int) *sim {
	engines, list := fleetOf("z", sizes...)
	engines.loadTicks = loadTicks
	for _, e := range engines.byAddr {
		e.checks = checks
	}
	if checks {
		d.FenceChecked = []string{"*"}
	}
	s := &sim{
		clk: clock.NewManual(clock.Instant(time.Hour)), table: newFakeTable(), engines: engines, list: list,
		doc: d, revision: 1, tick: simTick, seen: map[fleet.VM]map[place]clock.Instant{}, fences: map[fleet.VM]fleet.Fence{}, claims: map[fleet.VM]view.Claim{},
	}
	for i := range nodes {
		s.addNode(i)
	}
	return s
}

func (s *sim) addNode(i int) { s.nodes = append(s.nodes, s.newNode(i, 1)) }

func (s *sim) newNode(i int, life fleet.Incarnation) *simNode {
	n := &simNode{
		sim: s, self: fleet.Node{VM: fleet.VM(fmt.Sprintf("n%d", i)), Incarnation: life},
		failing: map[fleet.VM]clock.Instant{}, failures: map[fleet.VM]int{},
	}
	n.state = view.NewState(n.self, "z")
	log := slog.New(slog.DiscardHandler)
	n.lease = &lease.Manager{
		Duty: Duty("z"), Self: n.self, Params: lease.DefaultParams(simTerm), Table: n, Clock: s.clk,
		Rank: func() int { return i }, Log: log,
	}
	n.rec = New(Deps{
		Zone: "z", Table: n, Orders: n, Lease: n.lease, View: n, Sink: n, Clock: s.clk,
		Explain: explain.NewStore("n", 100, 10), Log: log, Registry: prometheus.NewRegistry(),
		Timing: Timing{Commits: 1, AtOnce: 1},
	})
	n.Put(view.Configured{Revision: s.revision, Document: s.doc})
	return n
}

// Put merges an event at once.
func (n *simNode) Put(e view.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Apply(e)
}

// Snapshot builds the node's belief now.
func (n *simNode) Snapshot() *view.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Snapshot(n.sim.clk.Now())
}

func (n *simNode) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if n.blind {
		return platform.Row{}, platform.ErrDown
	}
	return n.sim.table.Get(ctx, table, key)
}

func (n *simNode) List(ctx context.Context, table, prefix string) ([]platform.Row, error) {
	if n.blind {
		return nil, platform.ErrDown
	}
	return n.sim.table.List(ctx, table, prefix)
}

func (n *simNode) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	if n.blind {
		return platform.Result{}, platform.ErrDown
	}
	if f := n.beforeCommit; f != nil {
		n.beforeCommit = nil
		f()
	}
	return n.sim.table.Commit(ctx, txn)
}

func (n *simNode) Order(ctx context.Context, addr string, o engine.Order) (engine.OrderResult, error) {
	if n.cut {
		return engine.OrderResult{}, errNoAnswer
	}
	n.mu.Lock()
	f := n.beforeOrder
	n.beforeOrder = nil
	n.mu.Unlock()
	if f != nil {
		f()
	}
	return n.sim.engines.Order(ctx, addr, o)
}

// probe asks every engine once.
func (n *simNode) probe() {
	now := n.sim.clk.Now()
	for _, r := range n.sim.list {
		st, err := n.sim.engines.State(context.Background(), r.Addr)
		if err != nil || n.cut {
			if n.failures[r.VM] == 0 {
				n.failing[r.VM] = now
			}
			n.failures[r.VM]++
			n.Put(view.Probed{VM: r.VM, Sent: now, Failing: n.failing[r.VM], Failures: n.failures[r.VM]})
			continue
		}
		n.failures[r.VM] = 0
		n.Put(view.Probed{VM: r.VM, Sent: now, RTT: time.Millisecond, Answered: true, State: st})
		if load, err := n.sim.engines.LoadReport(context.Background(), r.Addr); err == nil {
			n.Put(view.Loaded{At: now, Load: load})
		}
	}
}

func (n *simNode) step() {
	if n.paused {
		return
	}
	n.ticks++
	if n.every == 0 || n.ticks%n.every == 0 {
		n.probe()
	}
	if !n.blind {
		late := max(0, len(n.sim.lists)-1-n.listLate)
		n.Put(view.List{At: n.sim.clk.Now(), Records: n.sim.lists[late]})
	}
	n.lease.Step(context.Background())
	if n.planEvery == 0 || n.ticks%n.planEvery == 0 {
		n.rec.Step(context.Background())
	}
}

// run lets all nodes step for d.
func (s *sim) run(d time.Duration) {
	for end := s.clk.Now().Add(d); s.clk.Now().Before(end); {
		s.clk.Advance(s.tick)
		if s.engines.store > 0 {
			s.engines.serve()
		}
		s.lists = append(s.lists, slices.Clone(s.list))
		s.observe()
		for _, n := range s.nodes {
			n.step()
			if !s.trusted {
				s.check()
			}
		}
	}
}

// observe notes where each engine truly is.
func (s *sim) observe() {
	if s.trusted {
		return
	}
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	for _, e := range s.engines.byAddr {
		st := &e.state
		if e.dead || !st.Loaded || st.Group == "" {
			continue
		}
		if s.seen[st.VM] == nil {
			s.seen[st.VM] = map[place]clock.Instant{}
		}
		s.seen[st.VM][place{st.Boot, st.Group, st.Generation, st.Rank}] = s.clk.Now()
	}
}

func (s *sim) breach(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

// check compares what the nodes would do and what the table holds with the
// promises.
func (s *sim) check() {
	s.observe()
	s.checkTable()
	for _, n := range s.nodes {
		if !n.paused {
			s.checkDispatch(n)
		}
	}
}

// checkTable: no VM is in two groups, claims agree with groups, and no fence
// goes down.
func (s *sim) checkTable() {
	r := s.rows()
	owner := map[fleet.VM]fleet.GroupID{}
	domains := map[fleet.VM]fleet.FabricDomain{}
	for i := range s.list {
		domains[s.list[i].VM] = s.list[i].Domain
	}
	for id, g := range r.groups {
		if g.Group.Phase == fleet.PhaseDissolved {
			continue
		}
		for _, m := range g.Group.Members {
			if other, ok := owner[m.VM]; ok {
				s.breach("%s is in %s and in %s", m.VM, other, id)
			}
			owner[m.VM] = id
			if domains[m.VM] != g.Group.Domain { // every spec of the tests asks for one domain
				s.breach("%s of %s is in another fabric domain", m.VM, id)
			}
			if c := r.claims[m.VM]; c.Group != id || c.Generation != g.Group.Generation || c.Fence != m.Fence {
				s.breach("%s is a member of %s/%d but claimed by %s/%d", m.VM, id, g.Group.Generation, c.Group, c.Generation)
			}
		}
	}
	for vm, c := range r.claims {
		if c.Fence < s.fences[vm] {
			s.breach("the fence of %s went from %d to %d", vm, s.fences[vm], c.Fence)
		}
		if old, ok := s.claims[vm]; ok && c.Fence == s.fences[vm] && (c.Group != old.Group || c.Generation != old.Generation) {
			s.breach("the claim of %s changed without a new fence", vm)
		}
		s.fences[vm], s.claims[vm] = c.Fence, c
	}
}

// checkDispatch: a group that the node would send requests to has members that
// all truly reported this generation within the age that a probe counts.
func (s *sim) checkDispatch(n *simNode) {
	snap := n.Snapshot()
	for _, g := range serving(snap) {
		for _, m := range g.Members {
			at, ok := s.seen[m.VM][place{m.Boot, g.ID, g.Generation, m.Rank}]
			if !ok || s.clk.Now().Sub(at) > simFresh {
				s.breach("%s would send to %s/%d although %s was not there", n.self.VM, g.ID, g.Generation, m.VM)
			}
		}
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.table.down = false
	s.table.loseNext = false
	for _, n := range s.nodes {
		n.paused, n.cut, n.blind, n.listLate = false, false, false, 0
		n.beforeCommit, n.beforeOrder = nil, nil
	}
}

func (s *sim) engine(i int) *fakeEngine {
	addrs := slices.Sorted(maps.Keys(s.engines.byAddr))
	return s.engines.byAddr[addrs[i%len(addrs)]]
}

// holder returns the index of the node that holds the duty, or -1.
func (s *sim) holder() int {
	return slices.IndexFunc(s.nodes, func(n *simNode) bool {
		_, ok := n.lease.Held(s.clk.Now())
		return ok
	})
}

// pause stops a node in the middle of what it does while the rest go on. At its
// wake it finds the probes that it had in flight timed out.
func (s *sim) pause(n *simNode, d time.Duration) {
	n.paused = true
	before := s.clk.Now()
	s.run(d)
	n.paused = false
	for _, r := range s.list {
		n.Put(view.Probed{VM: r.VM, Sent: before.Add(1), Failing: before.Add(1), Failures: 1})
	}
}

// servingCount counts the groups that a node would send requests to.
func (s *sim) servingCount(node int) int { return len(serving(s.nodes[node].Snapshot())) }

func (s *sim) rows() *rows {
	r, err := readRows(context.Background(), &fakeTable{rows: s.table.rows}, "z", 0, slog.New(slog.DiscardHandler))
	if err != nil {
		panic(err) // the fake table is never down
	}
	return r
}
