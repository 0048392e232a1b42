package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/prefix"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// Intervals and delays of the simulation.
const (
	reportEvery = 500 * time.Millisecond
	reportLagLo = 200 * time.Millisecond
	reportLagHi = 900 * time.Millisecond
	viewEvery   = 250 * time.Millisecond
	wholeLag    = 300 * time.Millisecond
	eventsEvery = time.Second
	eventsLagLo = time.Second
	eventsLagHi = 3 * time.Second
	eventsLost  = 0.15 // share of the batches
	zoneLatency = 3 * time.Millisecond
	cutTimeout  = 500 * time.Millisecond // until a call into a disconnected zone fails
	deadAfter   = 3 * time.Second        // until the nodes of a disconnected zone are seen as dead
	warmUp      = 15 * time.Second
	runTime     = 120 * time.Second
	maxTries    = 4
)

// scenario is a workload in which the policies are compared.
type scenario struct {
	name   string
	zones  []int // groups per zone
	nodes  int   // per zone
	rate   []float64
	cache  int // prefix cache size in blocks
	call   func(w *world) *request.Request
	script func(w *world)
}

// world simulates routers that see lagging reports of fake engines.
type world struct {
	eventQueue
	scenario      *scenario
	rng           *rand.Rand // for the traffic
	noise         *rand.Rand // for the delays
	engines       []*fakeEngine
	nodes         []*fakeNode
	cut           map[fleet.AvailabilityZone]bool
	current       string
	conversations []openConversation
	results       runResults
}

// fakeNode is an entry node with its own lagging view.
type fakeNode struct {
	vm     fleet.VM
	zone   fleet.AvailabilityZone
	router *Router
	groups []view.Group // as last reported
	nodes  []view.Node
	snap   *view.Snapshot
	index  *prefix.Index
}

// runResults collects the results of a run.
type runResults struct {
	ttft      []float64 // milliseconds
	cached    int
	prompt    int
	imbalance []float64
	refused   int
	remote    int
}

func newWorld(sc *scenario, policy string, seed uint64) *world {
	w := &world{
		eventQueue: eventQueue{now: clock.NewManual(start)}, scenario: sc, current: "v1",
		rng: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		cut: make(map[fleet.AvailabilityZone]bool),
	}
	for z, n := range sc.zones {
		w.addZone(fleet.AvailabilityZone(fmt.Sprintf("z%d", z+1)), n, seed)
	}
	for _, n := range w.nodes {
		w.startNode(n, policy)
	}
	for i, e := range w.engines {
		w.startEngine(i, e)
	}
	for z, r := range sc.rate {
		w.arrivals(fleet.AvailabilityZone(fmt.Sprintf("z%d", z+1)), r)
	}
	w.every(100*time.Millisecond, 0, w.sampleImbalance)
	if sc.script != nil {
		sc.script(w)
	}
	return w
}

func (w *world) addZone(zone fleet.AvailabilityZone, groups int, seed uint64) {
	for i := range groups {
		e := &fakeEngine{
			id: fleet.GroupID(fmt.Sprintf("%s-g%02d", zone, i)), zone: zone, version: "v1",
			adapters: []string{"a"}, generation: 1, whole: true, slow: 1, events: &w.eventQueue, cache: lru{limit: w.scenario.cache},
		}
		e.cache.clear()
		w.engines = append(w.engines, e)
	}
	for i := range w.scenario.nodes {
		vm := fleet.VM(fmt.Sprintf("%s-n%d", zone, i))
		w.nodes = append(w.nodes, &fakeNode{
			vm: vm, zone: zone, index: prefix.New(0),
			router: New(Options{Self: fleet.Node{VM: vm, Incarnation: 1}, Zone: zone, Seed: seed, Clock: w.now}),
		})
	}
}

func (w *world) startNode(n *fakeNode, policy string) {
	for _, e := range w.engines {
		n.groups = append(n.groups, e.group())
	}
	for _, o := range w.nodes {
		n.nodes = append(n.nodes, node(string(o.vm), o.zone))
	}
	publish := func() {
		s := snapshot(policy)
		s.At, s.Self.VM, s.Zone, s.Config.Models[0].Current = w.now.Now(), n.vm, n.zone, w.current
		s.Groups, s.Nodes = slices.Clone(n.groups), slices.Clone(n.nodes)
		for i := range s.Groups {
			s.Groups[i].FreshUntil = s.At + 2*second
			if s.Groups[i].Zone == n.zone {
				s.Groups[i].Prefixes = n.index.Prefixes(s.Groups[i].Members[0].VM, s.At)
			}
		}
		n.snap = s
	}
	publish()
	w.every(viewEvery, uniform(w.noise, 0, viewEvery), publish)
}

func (e *fakeEngine) group() view.Group {
	g := group(string(e.id), e.zone, 0)
	g.Version, g.Adapters, g.Generation, g.Whole = e.version, e.adapters, e.generation, e.whole
	g.Members[0].Boot = fleet.BootID(fmt.Sprint(e.generation))
	return g
}

// startEngine sends load reports to every node and cache events to the nodes of
// the zone, each with its own delay. Load reports to other zones take longer.
func (w *world) startEngine(i int, e *fakeEngine) {
	w.every(reportEvery, uniform(w.noise, 0, reportEvery), func() {
		load, at := e.report(), w.now.Now()
		for _, n := range w.nodes {
			w.deliverReport(n, e, func() { n.groups[i].Load, n.groups[i].LoadAt = load, max(at, n.groups[i].LoadAt) })
		}
	})
	w.every(eventsEvery, uniform(w.noise, 0, eventsEvery), func() {
		events, gen := e.cache.events, e.generation
		e.cache.events = nil
		for _, n := range w.nodes {
			if n.zone == e.zone {
				w.deliverCacheEvents(n, e, events, gen)
			}
		}
	})
}

func (w *world) deliverReport(n *fakeNode, e *fakeEngine, do func()) {
	lag := uniform(w.noise, reportLagLo, reportLagHi)
	if n.zone != e.zone {
		lag += reportLagLo
	}
	w.after(lag, func() {
		if n.zone == e.zone || !w.isDisconnected(n.zone, e.zone) {
			do()
		}
	})
}

func (w *world) deliverCacheEvents(n *fakeNode, e *fakeEngine, events []engine.CacheEvent, gen fleet.Generation) {
	if w.noise.Float64() < eventsLost {
		return
	}
	w.after(uniform(w.noise, eventsLagLo, eventsLagHi), func() {
		if gen == e.generation {
			n.index.Apply(fleet.VM("vm-"+e.id), fleet.BootID(fmt.Sprint(gen)), events, w.now.Now())
		}
	})
}

func (w *world) isDisconnected(a, b fleet.AvailabilityZone) bool {
	return a != b && (w.cut[a] || w.cut[b])
}

// setWhole changes a group's state; the nodes see it after wholeLag.
func (w *world) setWhole(i int, whole bool) {
	e := w.engines[i]
	e.whole = whole
	if whole {
		e.generation++
		e.cache.clear()
	}
	g := e.group()
	for _, n := range w.nodes {
		w.after(wholeLag, func() {
			g.Load, g.LoadAt = n.groups[i].Load, n.groups[i].LoadAt
			n.groups[i] = g
		})
	}
}

// cutZone disconnects a zone from the others or reconnects it. The nodes' view of
// the membership changes after deadAfter.
func (w *world) cutZone(zone fleet.AvailabilityZone, cut bool) {
	w.cut[zone] = cut
	state := view.NodeAlive
	if cut {
		state = view.NodeDead
	}
	w.after(deadAfter, func() {
		for _, n := range w.nodes {
			for j := range n.nodes {
				if (n.nodes[j].Zone == zone) != (n.zone == zone) {
					n.nodes[j].State = state
				}
			}
		}
	})
}

func (w *world) arrivals(zone fleet.AvailabilityZone, rate float64) {
	var at []*fakeNode
	for _, n := range w.nodes {
		if n.zone == zone {
			at = append(at, n)
		}
	}
	var next func()
	next = func() {
		req := w.scenario.call(w)
		w.send(at[w.rng.IntN(len(at))], &simRequest{req: req, at: w.now.Now(), tokens: answerTokens(w.rng)})
		w.after(seconds(w.rng.ExpFloat64()/rate), next)
	}
	w.after(seconds(w.rng.ExpFloat64()/rate), next)
}

// answerTokens draws from a log-normal distribution with a mean of about 80.
func answerTokens(rng *rand.Rand) int {
	return max(2, int(math.Exp(4.1+0.75*rng.NormFloat64())))
}

// simRequest is a request in progress.
type simRequest struct {
	req    *request.Request
	at     clock.Instant
	tokens int
	tried  []TriedDestination
}

func (w *world) send(n *fakeNode, t *simRequest) {
	ch, err := n.router.Pick(t.req, n.snap, w.now.Now(), t.tried)
	if err != nil || len(t.tried) >= maxTries {
		w.results.refused++
		return
	}
	n.router.Begin(ch)
	began := w.now.Now()
	if ch.Kind == ToNode {
		w.forward(n, ch, t, began)
		return
	}
	w.serve(n, ch, t, began, func(Result) {}, func() {
		t.tried = append(t.tried, TriedDestination{Group: ch.Group.ID})
		w.after(time.Millisecond, func() { w.send(n, t) })
	})
}

// serve runs the request on the chosen engine. The engine refuses it if its
// generation differs from the one in the node's view.
func (w *world) serve(n *fakeNode, ch Choice, t *simRequest, began clock.Instant, onDone func(Result), onRefused func()) {
	e := w.engine(ch.Group.ID)
	if !e.whole || e.generation != ch.Group.Generation {
		n.router.End(ch, Result{})
		onRefused()
		return
	}
	res := Result{OK: true, Tokens: t.tokens}
	e.submit(job{prefix: t.req.Prefix, tokens: t.tokens,
		first: func(cached int) {
			res.FirstByte = w.now.Now().Sub(began)
			w.count(t, cached)
		},
		done: func() {
			res.Total = w.now.Now().Sub(began)
			n.router.End(ch, res)
			onDone(res)
		},
	})
}

func (w *world) forward(n *fakeNode, ch Choice, t *simRequest, began clock.Instant) {
	to := w.node(ch.Node)
	fail := func() {
		n.router.End(ch, Result{Failed: true})
		t.tried = append(t.tried, TriedDestination{Node: ch.Node})
		w.send(n, t)
	}
	if w.isDisconnected(n.zone, to.zone) {
		w.after(cutTimeout, fail)
		return
	}
	w.after(zoneLatency, func() {
		passed := *t.req
		passed.Hops = 1
		there, err := to.router.Pick(&passed, to.snap, w.now.Now(), nil)
		if err != nil {
			w.after(zoneLatency, fail)
			return
		}
		w.results.remote++
		to.router.Begin(there)
		w.serve(to, there, t, began, func(r Result) { n.router.End(ch, r) }, fail)
	})
}

func (w *world) count(t *simRequest, cached int) {
	if t.at < start+clock.Instant(warmUp) {
		return
	}
	w.results.ttft = append(w.results.ttft, float64(w.now.Now().Sub(t.at))/float64(time.Millisecond))
	w.results.cached += cached
	w.results.prompt += len(t.req.Prefix)
}

// sampleImbalance records the ratio of the fullest group's load to the mean, by
// zone.
func (w *world) sampleImbalance() {
	for z := range w.scenario.zones {
		most, sum, n := 0, 0, 0
		for _, e := range w.engines {
			if e.zone == w.nodes[z*w.scenario.nodes].zone && e.whole {
				most, sum, n = max(most, e.busy()), sum+e.busy(), n+1
			}
		}
		if sum > 0 && w.now.Now() > start+clock.Instant(warmUp) {
			w.results.imbalance = append(w.results.imbalance, float64(most*n)/float64(sum))
		}
	}
}

func (w *world) engine(id fleet.GroupID) *fakeEngine {
	i := slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.id == id })
	return w.engines[i]
}

func (w *world) node(vm fleet.VM) *fakeNode {
	i := slices.IndexFunc(w.nodes, func(n *fakeNode) bool { return n.vm == vm })
	return w.nodes[i]
}
