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

// sim runs the control paths of several nodes of one zone step by step on a manual
// clock. The planner, the view, the lease and the reconciler are real; the table,
// the engines, the probes' transport and the platform's list are fakes.
type sim struct {
	clk      *clock.Manual
	table    *fakeTable
	engines  *fakeEngines
	list     []fleet.Record // the platform's current list
	nodes    []*simNode
	doc      *config.Document
	revision uint64
	// lastSeen is the time at which each engine was last in a place, by VM and
	// place, independent of what the nodes know.
	lastSeen map[fleet.VM]map[place]clock.Instant
	fences   map[fleet.VM]fleet.Fence
	claims   map[fleet.VM]view.Claim
	// lists are the published lists, newest last; nodes may read older ones.
	lists        [][]fleet.Record
	violation    string // the first violated invariant
	stepInterval time.Duration
	unchecked    bool // skips the checks of the invariants, for measurements
}

// place is the state in which a generation expects a member.
type place struct {
	boot  fleet.BootID
	group fleet.GroupID
	gen   fleet.Generation
	rank  int
}

type simNode struct {
	sim                 *sim
	self                fleet.Node
	mu                  sync.Mutex // concurrent orders call Put
	state               *view.State
	lease               *lease.Manager
	rec                 *Reconciler
	failing             map[fleet.VM]clock.Instant
	failures            map[fleet.VM]int
	paused              bool // does not run
	enginesUnreachable  bool // cannot reach the engines
	platformUnreachable bool // cannot reach the platform
	listLagTicks        int  // lag of the list that the node reads, in ticks
	// probeEvery and planEvery are the intervals of probes and of plans, in ticks;
	// 0: every tick.
	probeEvery, planEvery, ticks int
	// beforeCommit and beforeOrder run once, between a decision and its effect,
	// where a pause is most harmful.
	beforeCommit, beforeOrder func()
}

const (
	simTick       = 200 * time.Millisecond
	simLeaseTerm  = 3 * time.Second
	simProbeFresh = view.DefaultProbeFresh
)

func newSim(d *config.Document, nodes int, loadTicks int, checks bool, sizes ...int) *sim {
	engines, list := newFleet("z", sizes...)
	engines.loadTicks = loadTicks
	for _, e := range engines.byAddr {
		e.checksFence = checks
	}
	if checks {
		d.FenceChecked = []string{"*"}
	}
	s := &sim{
		clk: clock.NewManual(clock.Instant(time.Hour)), table: newFakeTable(), engines: engines, list: list,
		doc: d, revision: 1, stepInterval: simTick, lastSeen: map[fleet.VM]map[place]clock.Instant{}, fences: map[fleet.VM]fleet.Fence{}, claims: map[fleet.VM]view.Claim{},
	}
	for i := range nodes {
		s.addNode(i)
	}
	return s
}

func (s *sim) addNode(i int) { s.nodes = append(s.nodes, s.newNode(i, 1)) }

func (s *sim) newNode(i int, incarnation fleet.Incarnation) *simNode {
	n := &simNode{
		sim: s, self: fleet.Node{VM: fleet.VM(fmt.Sprintf("n%d", i)), Incarnation: incarnation},
		failing: map[fleet.VM]clock.Instant{}, failures: map[fleet.VM]int{},
	}
	n.state = view.NewState(n.self, "z")
	log := slog.New(slog.DiscardHandler)
	n.lease = &lease.Manager{
		Duty: Duty("z"), Self: n.self, Params: lease.DefaultParams(simLeaseTerm), Table: n, Clock: s.clk,
		Rank: func() int { return i }, Log: log,
	}
	n.rec = New(Deps{
		Zone: "z", Table: n, Orders: n, Lease: n.lease, View: n, Sink: n, Clock: s.clk,
		Explain: explain.NewStore("n", 100, 10), Log: log, Registry: prometheus.NewRegistry(),
		Timing: Timing{MaxConcurrentCommits: 1, MaxConcurrentOrders: 1},
	})
	n.Put(view.Configured{Revision: s.revision, Document: s.doc})
	return n
}

// Put applies an event to the node's view.
func (n *simNode) Put(e view.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Apply(e)
}

// Snapshot returns the node's current view.
func (n *simNode) Snapshot() *view.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Snapshot(n.sim.clk.Now())
}

func (n *simNode) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if n.platformUnreachable {
		return platform.Row{}, platform.ErrUnavailable
	}
	return n.sim.table.Get(ctx, table, key)
}

func (n *simNode) List(ctx context.Context, table, prefix string) ([]platform.Row, error) {
	if n.platformUnreachable {
		return nil, platform.ErrUnavailable
	}
	return n.sim.table.List(ctx, table, prefix)
}

func (n *simNode) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	if n.platformUnreachable {
		return platform.Result{}, platform.ErrUnavailable
	}
	if f := n.beforeCommit; f != nil {
		n.beforeCommit = nil
		f()
	}
	return n.sim.table.Commit(ctx, txn)
}

func (n *simNode) Order(ctx context.Context, addr string, o engine.Order) (engine.OrderResult, error) {
	if n.enginesUnreachable {
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

// probe sends one probe to every engine.
func (n *simNode) probe() {
	now := n.sim.clk.Now()
	for _, r := range n.sim.list {
		st, err := n.sim.engines.State(context.Background(), r.Addr)
		if err != nil || n.enginesUnreachable {
			if n.failures[r.VM] == 0 {
				n.failing[r.VM] = now
			}
			n.failures[r.VM]++
			n.Put(view.Probed{VM: r.VM, Sent: now, FailingSince: n.failing[r.VM], Failures: n.failures[r.VM]})
			continue
		}
		n.failures[r.VM] = 0
		n.Put(view.Probed{VM: r.VM, Sent: now, RTT: time.Millisecond, Answered: true, State: st})
		if load, err := n.sim.engines.LoadReport(context.Background(), r.Addr); err == nil {
			n.Put(view.LoadReported{At: now, Load: load})
		}
	}
}

func (n *simNode) step() {
	if n.paused {
		return
	}
	n.ticks++
	if n.probeEvery == 0 || n.ticks%n.probeEvery == 0 {
		n.probe()
	}
	if !n.platformUnreachable {
		late := max(0, len(n.sim.lists)-1-n.listLagTicks)
		n.Put(view.List{At: n.sim.clk.Now(), Records: n.sim.lists[late]})
	}
	n.lease.Step(context.Background())
	if n.planEvery == 0 || n.ticks%n.planEvery == 0 {
		n.rec.Step(context.Background())
	}
}

// run advances the clock by d and steps all nodes.
func (s *sim) run(d time.Duration) {
	for end := s.clk.Now().Add(d); s.clk.Now().Before(end); {
		s.clk.Advance(s.stepInterval)
		if s.engines.storeRate > 0 {
			s.engines.tickStore()
		}
		s.lists = append(s.lists, slices.Clone(s.list))
		s.recordPlaces()
		for _, n := range s.nodes {
			n.step()
			if !s.unchecked {
				s.check()
			}
		}
	}
}

// recordPlaces records the actual place of each engine.
func (s *sim) recordPlaces() {
	if s.unchecked {
		return
	}
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	for _, e := range s.engines.byAddr {
		st := &e.state
		if e.dead || !st.Loaded || st.Group == "" {
			continue
		}
		if s.lastSeen[st.VM] == nil {
			s.lastSeen[st.VM] = map[place]clock.Instant{}
		}
		s.lastSeen[st.VM][place{st.Boot, st.Group, st.Generation, st.Rank}] = s.clk.Now()
	}
}

func (s *sim) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// check verifies the invariants on the table and on the groups to which the nodes
// would send requests.
func (s *sim) check() {
	s.recordPlaces()
	s.checkTable()
	for _, n := range s.nodes {
		if !n.paused {
			s.checkDispatch(n)
		}
	}
}

// checkTable verifies that no VM is in two groups, that claims match groups and
// that no fence decreases.
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
				s.reportViolation("%s is in %s and in %s", m.VM, other, id)
			}
			owner[m.VM] = id
			if domains[m.VM] != g.Group.Domain { // every spec of the tests requires one domain
				s.reportViolation("%s of %s is in another fabric domain", m.VM, id)
			}
			if c := r.claims[m.VM]; c.Group != id || c.Generation != g.Group.Generation || c.Fence != m.Fence {
				s.reportViolation("%s is a member of %s/%d but claimed by %s/%d", m.VM, id, g.Group.Generation, c.Group, c.Generation)
			}
		}
	}
	for vm, c := range r.claims {
		if c.Fence < s.fences[vm] {
			s.reportViolation("the fence of %s decreased from %d to %d", vm, s.fences[vm], c.Fence)
		}
		if old, ok := s.claims[vm]; ok && c.Fence == s.fences[vm] && (c.Group != old.Group || c.Generation != old.Generation) {
			s.reportViolation("the claim of %s changed without a new fence", vm)
		}
		s.fences[vm], s.claims[vm] = c.Fence, c
	}
}

// checkDispatch verifies that all members of each group to which the node would
// send requests were in their place within the validity of a probe.
func (s *sim) checkDispatch(n *simNode) {
	snap := n.Snapshot()
	for _, g := range servingGroups(snap) {
		for _, m := range g.Members {
			at, ok := s.lastSeen[m.VM][place{m.Boot, g.ID, g.Generation, m.Rank}]
			if !ok || s.clk.Now().Sub(at) > simProbeFresh {
				s.reportViolation("%s would send requests to %s/%d although %s was not in its place", n.self.VM, g.ID, g.Generation, m.VM)
			}
		}
	}
}

// clearFaults ends the faults of the table and the nodes.
func (s *sim) clearFaults() {
	s.table.down = false
	s.table.loseNextReply = false
	for _, n := range s.nodes {
		n.paused, n.enginesUnreachable, n.platformUnreachable, n.listLagTicks = false, false, false, 0
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

// pause stops a node in the middle of a step while the others run for d. When the
// node resumes, the probes that it had in flight time out.
func (s *sim) pause(n *simNode, d time.Duration) {
	n.paused = true
	before := s.clk.Now()
	s.run(d)
	n.paused = false
	for _, r := range s.list {
		n.Put(view.Probed{VM: r.VM, Sent: before.Add(1), FailingSince: before.Add(1), Failures: 1})
	}
}

// servingCount returns the number of groups to which a node would send requests.
func (s *sim) servingCount(node int) int { return len(servingGroups(s.nodes[node].Snapshot())) }

func (s *sim) rows() *rows {
	r, err := readRows(context.Background(), &fakeTable{rows: s.table.rows}, "z", 0, slog.New(slog.DiscardHandler))
	if err != nil {
		panic(err) // the fake table is never down
	}
	return r
}
