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

// The lags of the driver.
const (
	reportEvery = 500 * time.Millisecond
	reportLagLo = 200 * time.Millisecond
	reportLagHi = 900 * time.Millisecond
	viewEvery   = 250 * time.Millisecond
	wholeLag    = 300 * time.Millisecond
	eventsEvery = time.Second
	eventsLagLo = time.Second
	eventsLagHi = 3 * time.Second
	eventsLost  = 0.15 // of the batches
	zoneHop     = 3 * time.Millisecond
	cutTimeout  = 500 * time.Millisecond // until a call into a cut-off zone fails
	deadAfter   = 3 * time.Second        // until its nodes are seen as dead
	warmUp      = 15 * time.Second
	runTime     = 120 * time.Second
	maxTries    = 4
)

// scenario is one case that the policies are measured in.
type scenario struct {
	name   string
	zones  []int // groups in each
	nodes  int   // in each zone
	rate   []float64
	cache  int // blocks
	call   func(w *world) *request.Request
	script func(w *world)
}

// world drives the pure policy: routers that see lagging facts of fake engines.
type world struct {
	agenda
	sc      *scenario
	rng     *rand.Rand // of the traffic
	noise   *rand.Rand // of the lags
	engines []*fakeEngine
	nodes   []*fakeNode
	cut     map[fleet.AvailabilityZone]bool
	current string
	talks   []talk
	out     tally
}

// fakeNode is an entry node with its own lagging belief.
type fakeNode struct {
	vm     fleet.VM
	zone   fleet.AvailabilityZone
	router *Router
	groups []view.Group // as last heard
	nodes  []view.Node
	snap   *view.Snapshot
	index  *prefix.Index
}

// tally is what a run gives.
type tally struct {
	ttft    []float64 // milliseconds
	cached  int
	prompt  int
	herd    []float64
	refused int
	remote  int
}

func newWorld(sc *scenario, policy string, seed uint64) *world {
	w := &world{
		agenda: agenda{now: clock.NewManual(start)}, sc: sc, current: "v1",
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
	w.every(100*time.Millisecond, 0, w.sampleHerd)
	if sc.script != nil {
		sc.script(w)
	}
	return w
}

func (w *world) addZone(zone fleet.AvailabilityZone, groups int, seed uint64) {
	for i := range groups {
		e := &fakeEngine{
			id: fleet.GroupID(fmt.Sprintf("%s-g%02d", zone, i)), zone: zone, version: "v1",
			adapters: []string{"a"}, generation: 1, whole: true, slow: 1, a: &w.agenda, cache: lru{limit: w.sc.cache},
		}
		e.cache.clear()
		w.engines = append(w.engines, e)
	}
	for i := range w.sc.nodes {
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
				s.Groups[i].Prefixes = n.index.Set(s.Groups[i].Members[0].VM, s.At)
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

// startEngine sends load reports and cache events to every node of the zone,
// each with its own lag; other zones hear of the load later.
func (w *world) startEngine(i int, e *fakeEngine) {
	w.every(reportEvery, uniform(w.noise, 0, reportEvery), func() {
		load, at := e.report(), w.now.Now()
		for _, n := range w.nodes {
			w.tell(n, e, func() { n.groups[i].Load, n.groups[i].LoadAt = load, max(at, n.groups[i].LoadAt) })
		}
	})
	w.every(eventsEvery, uniform(w.noise, 0, eventsEvery), func() {
		events, gen := e.cache.events, e.generation
		e.cache.events = nil
		for _, n := range w.nodes {
			if n.zone == e.zone {
				w.tellCache(n, e, events, gen)
			}
		}
	})
}

func (w *world) tell(n *fakeNode, e *fakeEngine, do func()) {
	lag := uniform(w.noise, reportLagLo, reportLagHi)
	if n.zone != e.zone {
		lag += reportLagLo
	}
	w.after(lag, func() {
		if n.zone == e.zone || !w.apart(n.zone, e.zone) {
			do()
		}
	})
}

func (w *world) tellCache(n *fakeNode, e *fakeEngine, events []engine.CacheEvent, gen fleet.Generation) {
	if w.noise.Float64() < eventsLost {
		return
	}
	w.after(uniform(w.noise, eventsLagLo, eventsLagHi), func() {
		if gen == e.generation {
			n.index.Apply(fleet.VM("vm-"+e.id), fleet.BootID(fmt.Sprint(gen)), events, w.now.Now())
		}
	})
}

func (w *world) apart(a, b fleet.AvailabilityZone) bool { return a != b && (w.cut[a] || w.cut[b]) }

// setWhole changes a group's state; the nodes hear of it a little later.
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

// cutZone parts a zone from the others, or joins it again; membership follows.
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
		req := w.sc.call(w)
		w.attempt(at[w.rng.IntN(len(at))], &try{req: req, at: w.now.Now(), tokens: answerTokens(w.rng)})
		w.after(seconds(w.rng.ExpFloat64()/rate), next)
	}
	w.after(seconds(w.rng.ExpFloat64()/rate), next)
}

// answerTokens draws from a log-normal distribution with a mean of about 80.
func answerTokens(rng *rand.Rand) int {
	return max(2, int(math.Exp(4.1+0.75*rng.NormFloat64())))
}

// try is a request on its way.
type try struct {
	req    *request.Request
	at     clock.Instant
	tokens int
	tried  []Tried
}

func (w *world) attempt(n *fakeNode, t *try) {
	ch, err := n.router.Pick(t.req, n.snap, w.now.Now(), t.tried)
	if err != nil || len(t.tried) >= maxTries {
		w.out.refused++
		return
	}
	n.router.Begin(ch)
	began := w.now.Now()
	if ch.Kind == ToNode {
		w.forward(n, ch, t, began)
		return
	}
	w.serve(n, ch, t, began, func(Result) {}, func() {
		t.tried = append(t.tried, Tried{Group: ch.Group.ID})
		w.after(time.Millisecond, func() { w.attempt(n, t) })
	})
}

// serve runs the request at the chosen engine, which refuses when it is not in
// the generation that the node believes in.
func (w *world) serve(n *fakeNode, ch Choice, t *try, began clock.Instant, over func(Result), refused func()) {
	e := w.engine(ch.Group.ID)
	if !e.whole || e.generation != ch.Group.Generation {
		n.router.End(ch, Result{})
		refused()
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
			over(res)
		},
	})
}

func (w *world) forward(n *fakeNode, ch Choice, t *try, began clock.Instant) {
	to := w.node(ch.Node)
	fail := func() {
		n.router.End(ch, Result{Failed: true})
		t.tried = append(t.tried, Tried{Node: ch.Node})
		w.attempt(n, t)
	}
	if w.apart(n.zone, to.zone) {
		w.after(cutTimeout, fail)
		return
	}
	w.after(zoneHop, func() {
		passed := *t.req
		passed.Hops = 1
		there, err := to.router.Pick(&passed, to.snap, w.now.Now(), nil)
		if err != nil {
			w.after(zoneHop, fail)
			return
		}
		w.out.remote++
		to.router.Begin(there)
		w.serve(to, there, t, began, func(r Result) { n.router.End(ch, r) }, fail)
	})
}

func (w *world) count(t *try, cached int) {
	if t.at < start+clock.Instant(warmUp) {
		return
	}
	w.out.ttft = append(w.out.ttft, float64(w.now.Now().Sub(t.at))/float64(time.Millisecond))
	w.out.cached += cached
	w.out.prompt += len(t.req.Prefix)
}

// sampleHerd compares the fullest group with the mean, zone by zone.
func (w *world) sampleHerd() {
	for z := range w.sc.zones {
		most, sum, n := 0, 0, 0
		for _, e := range w.engines {
			if e.zone == w.nodes[z*w.sc.nodes].zone && e.whole {
				most, sum, n = max(most, e.busy()), sum+e.busy(), n+1
			}
		}
		if sum > 0 && w.now.Now() > start+clock.Instant(warmUp) {
			w.out.herd = append(w.out.herd, float64(most*n)/float64(sum))
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
