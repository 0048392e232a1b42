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

// testFleet steps many States in one goroutine, by a seeded queue of ticks and
// messages. It drives the state machine; it models no process or link beyond
// delay, loss, cuts and pauses.
type testFleet struct {
	rng     *rand.Rand
	cfg     Config
	now     clock.Instant
	queue   eventQueue
	order   uint64
	nodes   []*testNode
	byVM    map[fleet.VM]*testNode
	loss    float64
	cut     func(from, to *testNode) bool
	packets int
	bytes   int
	onState func(n *testNode)
	// plain, when set, stands in for State.Step in every node.
	plain func(n *testNode, now clock.Instant, ev Event) []Action
}

type testNode struct {
	*State
	index  int
	up     bool
	paused clock.Instant // until then nothing is handled
	pauses int
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

// wireOverhead is what IP, UDP and QUIC add to a lone message and the packet that
// acknowledges it, in bytes (BenchmarkMessages/lone of package peer).
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

// start runs a new life of node i, with the first three nodes as seeds.
func (f *testFleet) start(i int, life fleet.Incarnation) *testNode {
	vm := vmName(i)
	zone := fleet.AvailabilityZone(fmt.Sprint("z", i%3))
	state := New(fleet.Node{VM: vm, Incarnation: life}, zone, addrOf(i), f.cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	n := &testNode{State: state, index: i, up: true}
	if i < len(f.nodes) {
		f.nodes[i] = n
	} else {
		f.nodes = append(f.nodes, n)
	}
	f.byVM[vm] = n
	var seeds []Seed
	for _, j := range []int{0, 1, 2} {
		seeds = append(seeds, Seed{VM: vmName(j), Addr: addrOf(j)})
	}
	seeds[2].VM = "" // as the settings list it
	f.at(f.now, n, Seeds{Nodes: seeds})
	f.at(f.now.Add(time.Duration(f.rng.Int64N(int64(f.cfg.TickPeriod)))), n, Tick{})
	return n
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250) }

func (f *testFleet) at(t clock.Instant, to *testNode, ev Event) {
	f.order++
	heap.Push(&f.queue, scheduled{at: t, order: f.order, to: to, ev: ev})
}

// run handles everything that is due within d.
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
	if !n.up || f.byVM[n.self.VM] != n {
		return
	}
	if f.now.Before(n.paused) {
		// What came during the pause waits, a tick behind what came before it.
		e.at = n.paused
		if _, ok := e.ev.(Tick); ok {
			e.at = e.at.Add(time.Millisecond)
		}
		f.at(e.at, n, e.ev)
		return
	}
	if f.plain != nil {
		f.act(n, f.plain(n, f.now, e.ev))
	} else {
		f.act(n, n.Step(f.now, e.ev))
	}
	if _, ok := e.ev.(Tick); ok {
		f.at(f.now.Add(f.cfg.TickPeriod), n, Tick{})
	}
}

func (f *testFleet) act(n *testNode, actions []Action) {
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
		to = f.atAddr(a.Addr)
	}
	if to == nil || !to.up || (f.cut != nil && f.cut(from, to)) || f.rng.Float64() < f.loss {
		return
	}
	m, err := Decode(b)
	if err != nil {
		panic(err)
	}
	delay := 1500*time.Microsecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	f.at(f.now.Add(delay), to, Received{From: from.self.Node(), Message: m})
}

func (f *testFleet) atAddr(addr string) *testNode {
	for _, n := range f.nodes {
		if n.self.Addr == addr {
			return n
		}
	}
	return nil
}

func (f *testFleet) kill(i int) { f.nodes[i].up = false }

func (f *testFleet) pause(i int, d time.Duration) { f.nodes[i].paused = f.now.Add(d) }

// stateOf returns what n believes of node i.
func (n *testNode) stateOf(i int) view.NodeState {
	m := n.members[vmName(i)]
	if m == nil {
		return ""
	}
	return m.Status.View()
}

// agreed reports whether every running node sees every other one alive.
func (f *testFleet) agreed() bool {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		for _, o := range f.nodes {
			if o != n && o.up && (n.stateOf(o.index) != view.NodeAlive || n.members[o.self.VM].Incarnation != o.self.Incarnation) {
				return false
			}
		}
	}
	return true
}

// settle runs until all agree and reports whether they did within limit.
func (f *testFleet) settle(limit time.Duration) bool {
	for end := f.now.Add(limit); f.now.Before(end); {
		if f.agreed() {
			return true
		}
		f.run(100 * time.Millisecond)
	}
	return f.agreed()
}
