package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// testFleet drives many States in one goroutine from a seeded queue of ticks
// and messages. It models no process or link beyond delay, loss, partitions and
// pauses.
type testFleet struct {
	rng      *rand.Rand
	cfg      Config
	now      clock.Instant
	queue    eventQueue
	order    uint64
	nodes    []*testNode
	byVM     map[fleet.VM]*testNode
	lossRate float64
	isCut    func(from, to *testNode) bool
	packets  int
	bytes    int
	onState  func(n *testNode)
	// step, if set, replaces State.Step on every node.
	step func(n *testNode, now clock.Instant, ev Event) []Action
}

type testNode struct {
	*State
	index       int
	isRunning   bool
	pausedUntil clock.Instant // events are deferred until then
	pauses      int
}

type scheduled struct {
	at    clock.Instant
	order uint64
	to    *testNode
	ev    Event
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// wireOverhead is the number of bytes that IP, UDP and QUIC add to a single
// message and to the packet that acknowledges it (BenchmarkMessages/lone of
// package peer).
const wireOverhead = 192

func vmName(i int) fleet.VM { return fleet.VM(fmt.Sprintf("entry-%03d", i)) }

func newTestFleet(n int, seed uint64, cfg Config) *testFleet {
	f := &testFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		now: clock.Instant(time.Hour), byVM: map[fleet.VM]*testNode{},
	}
	for i := range n {
		f.start(i, 1)
	}
	return f
}

// start starts a new incarnation of node i, with the first three nodes as
// seeds.
func (f *testFleet) start(i int, incarnation fleet.Incarnation) *testNode {
	vm := vmName(i)
	zone := fleet.AvailabilityZone(fmt.Sprint("z", i%3))
	state := New(fleet.Node{VM: vm, Incarnation: incarnation}, zone, nodeAddr(i), f.cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	n := &testNode{State: state, index: i, isRunning: true}
	if i < len(f.nodes) {
		f.nodes[i] = n
	} else {
		f.nodes = append(f.nodes, n)
	}
	f.byVM[vm] = n
	var seeds []Seed
	for _, j := range []int{0, 1, 2} {
		seeds = append(seeds, Seed{VM: vmName(j), Addr: nodeAddr(j)})
	}
	seeds[2].VM = "" // a seed from the settings has only an address
	f.schedule(f.now, n, Seeds{Nodes: seeds})
	f.schedule(f.now.Add(time.Duration(f.rng.Int64N(int64(f.cfg.TickPeriod)))), n, Tick{})
	return n
}

func nodeAddr(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250) }

func (f *testFleet) schedule(t clock.Instant, to *testNode, ev Event) {
	f.order++
	heap.Push(&f.queue, scheduled{at: t, order: f.order, to: to, ev: ev})
}

// run handles all events that are due within d.
func (f *testFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(scheduled)
		f.now = max(f.now, e.at)
		f.handle(e)
	}
	f.now = end
}

func (f *testFleet) handle(e scheduled) {
	n := e.to
	if !n.isRunning || f.byVM[n.self.VM] != n {
		return
	}
	if f.now.Before(n.pausedUntil) {
		// Events of the pause are deferred in order of arrival, but a tick
		// comes after the messages that arrived before it.
		e.at = n.pausedUntil
		if _, ok := e.ev.(Tick); ok {
			e.at = e.at.Add(time.Millisecond)
		}
		f.schedule(e.at, n, e.ev)
		return
	}
	if f.step != nil {
		f.execute(n, f.step(n, f.now, e.ev))
	} else {
		f.execute(n, n.Step(f.now, e.ev))
	}
	if _, ok := e.ev.(Tick); ok {
		f.schedule(f.now.Add(f.cfg.TickPeriod), n, Tick{})
	}
}

func (f *testFleet) execute(n *testNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			f.send(n, a)
		case Paused:
			n.pauses++
		case Changed:
			if f.onState != nil {
				f.onState(n)
			}
		}
	}
}

func (f *testFleet) send(from *testNode, a Send) {
	b, err := a.Message.Encode()
	if err != nil {
		panic(err)
	}
	f.packets++
	f.bytes += len(b) + wireOverhead
	to := f.byVM[a.To]
	if a.To == "" {
		to = f.nodeAtAddr(a.Addr)
	}
	if to == nil || !to.isRunning || (f.isCut != nil && f.isCut(from, to)) || f.rng.Float64() < f.lossRate {
		return
	}
	m, err := Decode(b)
	if err != nil {
		panic(err)
	}
	delay := 1500*time.Microsecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	f.schedule(f.now.Add(delay), to, Received{From: from.self.Node(), Message: m})
}

func (f *testFleet) nodeAtAddr(addr string) *testNode {
	for _, n := range f.nodes {
		if n.self.Addr == addr {
			return n
		}
	}
	return nil
}

func (f *testFleet) kill(i int) { f.nodes[i].isRunning = false }

func (f *testFleet) pause(i int, d time.Duration) { f.nodes[i].pausedUntil = f.now.Add(d) }

// stateOf returns node i's state as known to n, "" if n does not know it.
func (n *testNode) stateOf(i int) view.NodeState {
	m := n.members[vmName(i)]
	if m == nil {
		return ""
	}
	return m.Status.NodeState()
}

// hasConverged reports whether every running node sees every other running node
// alive, in its current incarnation.
func (f *testFleet) hasConverged() bool {
	for _, n := range f.nodes {
		if !n.isRunning {
			continue
		}
		for _, o := range f.nodes {
			if o != n && o.isRunning && (n.stateOf(o.index) != view.NodeAlive || n.members[o.self.VM].Incarnation != o.self.Incarnation) {
				return false
			}
		}
	}
	return true
}

// converge runs until the fleet has converged and reports whether it did within
// limit.
func (f *testFleet) converge(limit time.Duration) bool {
	for end := f.now.Add(limit); f.now.Before(end); {
		if f.hasConverged() {
			return true
		}
		f.run(100 * time.Millisecond)
	}
	return f.hasConverged()
}
