package backpressure

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/clock"
)

var (
	worldSeed  = flag.Uint64("seed", 1, "first seed of the worlds")
	worldSeeds = flag.Int("seeds", 2, "seeds of each world")
)

// The bounds that an endpoint's callers must keep, and the times of the world.
const (
	boundWindow = 4 * time.Second
	boundRatio  = 1.5
	boundSlack  = 5
	toldAfter   = 500 * time.Millisecond
	stable      = 3 * time.Second
	worldStep   = 10 * time.Millisecond
	worldTime   = 60 * time.Second
	worldStart  = clock.Instant(time.Hour)
)

// world is a fleet of nodes before one endpoint in need.
type world struct {
	rng     *rand.Rand
	now     clock.Instant
	nodes   []*worldNode
	demand  float64 // requests a second at each node that would go to the endpoint
	lost    float64 // share of notices
	limit   float64 // 0: none is named
	named   clock.Instant
	missing int // nodes that some views don't have
	cut     int // zone whose notices reach no other zone, and none reach it; -1: none

	later    map[clock.Instant][]func()
	arrivals []worldArrival
	total    int // while the limit stood, after the grace
	notices  int
	broken   []string
}

type worldNode struct {
	*limits
	w       *world
	name    string
	zone    int
	order   []string
	told    clock.Instant // first answer that named the limit; 0: none
	excused clock.Instant // arrivals up to then don't count
	frozen  clock.Instant // until then it neither sends nor hears
	queue   []Notice      // that came while it was frozen
}

type worldArrival struct {
	at      clock.Instant
	counted bool
}

func newWorld(seed uint64, zones, perZone int, demand, limit float64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), now: worldStart, demand: demand, limit: limit, named: worldStart, cut: -1,
		later: map[clock.Instant][]func(){},
	}
	w.missing = 1 + w.rng.IntN(3)
	for z := range zones {
		for i := range perZone {
			w.nodes = append(w.nodes, &worldNode{w: w, name: fmt.Sprintf("z%d-%d", z, i), zone: z})
		}
	}
	for _, n := range w.nodes {
		n.restart()
	}
	return w
}

// restart begins a new life of the node, which knows nothing.
func (n *worldNode) restart() {
	n.limits, n.told, n.queue = newLimits(n.name), 0, nil
	n.order = n.w.orderOf(0)
	n.excused = max(n.excused, n.w.now)
}

// orderOf returns the nodes without a few that a view doesn't have, those of the endpoint's
// zone, 0, first.
func (w *world) orderOf(missing int) []string {
	nodes := slices.Clone(w.nodes)
	slices.SortFunc(nodes, func(a, b *worldNode) int {
		return cmp.Or(cmp.Compare(min(a.zone, 1), min(b.zone, 1)), cmp.Compare(xxhash.Sum64String(a.name+"e"), xxhash.Sum64String(b.name+"e")))
	})
	var names []string
	for _, n := range nodes[missing:] {
		names = append(names, n.name)
	}
	return names
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(max(d, worldStep))
	at -= (at - worldStart) % clock.Instant(worldStep)
	w.later[at] = append(w.later[at], f)
}

// tell sends a notice to the other nodes.
func (w *world) tell(from *worldNode, n *Notice) {
	if n == nil {
		return
	}
	w.notices++
	if n.Ended { // told twice
		w.tellOnce(from, n)
	}
	w.tellOnce(from, n)
}

func (w *world) tellOnce(from *worldNode, n *Notice) {
	for _, to := range w.nodes {
		cut := w.cut >= 0 && from.zone != to.zone && (from.zone == w.cut || to.zone == w.cut)
		if to == from || cut || w.rng.Float64() < w.lost {
			continue
		}
		w.after(time.Duration(w.rng.IntN(30))*time.Millisecond, func() { to.hearLater(*n) })
	}
}

func (n *worldNode) hearLater(m Notice) {
	if n.w.now < n.frozen {
		n.queue = append(n.queue, m)
		return
	}
	n.hear(m, n.w.now, func(ID) []string { return n.order })
}

// request is one that the node would send to the endpoint.
func (n *worldNode) request() {
	w := n.w
	if !n.allows("e", w.now) {
		return
	}
	ok, tell := n.take("e", w.now)
	w.tell(n, tell)
	if !ok {
		return
	}
	sent, life := w.now, n.limits
	w.after(time.Duration(1+w.rng.IntN(3))*time.Millisecond, func() {
		w.arrive(n)
		w.after(time.Duration(5+w.rng.IntN(200))*time.Millisecond, func() {
			if n.limits != life { // it has restarted
				return
			}
			var rate *float64
			if w.limit > 0 {
				rate = &w.limit
				if n.told == 0 {
					n.told = w.now
				}
			}
			w.tell(n, n.answered("e", rate, sent, w.now, func(ID) []string { return n.order }))
		})
	})
}

// arrive counts a request at the endpoint and checks the bound.
func (w *world) arrive(from *worldNode) {
	if w.limit == 0 {
		return
	}
	counted := from.told != 0 && w.now.Sub(from.told) >= toldAfter && w.now > from.excused
	w.arrivals = append(w.arrivals, worldArrival{w.now, counted})
	for w.now.Sub(w.arrivals[0].at) > boundWindow {
		w.arrivals = w.arrivals[1:]
	}
	if w.now.Sub(w.named) < stable {
		return
	}
	w.total++
	k := 0
	for _, a := range w.arrivals {
		if a.counted {
			k++
		}
	}
	if allowed := boundRatio*w.limit*boundWindow.Seconds() + boundSlack; float64(k) > allowed {
		w.broken = append(w.broken, fmt.Sprintf("%d requests in %v at %v, allowed %.1f", k, boundWindow, w.now.Sub(worldStart), allowed))
	}
}

// run plays the world; trouble is called at each step.
func (w *world) run(d time.Duration, trouble func()) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(worldStep) {
		for _, f := range w.later[w.now] {
			f()
		}
		delete(w.later, w.now)
		trouble()
		if w.now.Sub(worldStart)%time.Second == 0 {
			for _, n := range w.nodes {
				n.keep(func(ID) bool { return true }, w.now, func(ID) []string { return n.order })
			}
		}
		for _, n := range w.nodes {
			if w.now < n.frozen {
				continue
			}
			for _, m := range n.queue {
				n.hearLater(m)
			}
			n.queue = nil
			if w.rng.Float64() < w.demand*worldStep.Seconds() {
				n.request()
			}
		}
	}
}

// set has the endpoint name another limit; 0: none.
func (w *world) set(limit float64) {
	w.limit, w.named, w.arrivals = limit, w.now, nil
	for _, n := range w.nodes {
		n.told = 0
	}
}

// some returns a random node.
func (w *world) some() *worldNode { return w.nodes[w.rng.IntN(len(w.nodes))] }

// trouble has nodes restart and freeze, zones cut off and views differ.
func (w *world) trouble() {
	const each = 5 * time.Second // a trouble comes as often, in the mean
	if w.rng.Float64() > worldStep.Seconds()/each.Seconds() {
		return
	}
	switch n := w.some(); w.rng.IntN(5) {
	case 0:
		n.restart()
		n.excused = w.now.Add(boundWindow)
	case 1:
		n.frozen = w.now.Add(time.Duration(w.rng.IntN(8000)) * time.Millisecond)
		n.excused = n.frozen.Add(boundWindow)
	case 2: // a cut excuses the nodes of the zone
		w.cut = w.rng.IntN(3)
		end := time.Duration(2000+w.rng.IntN(10000)) * time.Millisecond
		for _, n := range w.nodes {
			if n.zone == w.cut {
				n.excused = max(n.excused, w.now.Add(end+boundWindow))
			}
		}
		w.after(end, func() { w.cut = -1 })
	case 3: // a view lacks the nodes that come first
		missing := w.rng.IntN(2) * w.missing
		for range len(w.nodes) / 2 {
			w.some().order = w.orderOf(missing)
		}
	case 4:
		w.lost = 0.3 * w.rng.Float64()
	}
}

// Guards against nodes that each keep an endpoint's limit and exceed it together.
func TestManyNodesKeepALimitTogether(t *testing.T) {
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {4, 19}, {5, 59}} {
		for _, limit := range []float64{0.05, 1.9, 3.1, 40} {
			for _, demand := range []float64{0.05, 1, 6} {
				for i := range *worldSeeds {
					seed := *worldSeed + uint64(i)
					t.Run(fmt.Sprintf("nodes=%d/limit=%v/demand=%v/seed=%d", c.zones*c.perZone, limit, demand, seed), func(t *testing.T) {
						w := newWorld(seed, c.zones, c.perZone, demand, limit)
						w.lost = 0.02
						w.run(worldTime, w.trouble)
						if len(w.broken) > 0 {
							t.Errorf("%d times, first %s", len(w.broken), w.broken[0])
						}
						t.Logf("%d arrivals in %v, the limit allows %.0f; %d notices", w.total, worldTime-stable, limit*(worldTime-stable).Seconds(), w.notices)
					})
				}
			}
		}
	}
}

// Guards against limits that outlast the endpoint's need.
func TestNodesReturnWhenALimitHasEnded(t *testing.T) {
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {4, 19}, {5, 59}} {
		t.Run(fmt.Sprint(c.zones*c.perZone), func(t *testing.T) {
			w := newWorld(*worldSeed, c.zones, c.perZone, 1, 1.9)
			w.lost = 0.02
			w.run(10*time.Second, func() {})
			w.set(0)
			w.run(time.Minute, func() {})
			for _, n := range w.nodes {
				if !n.allows("e", w.now) {
					t.Errorf("%s still holds back", n.name)
				}
			}
			w.set(1.9)
			w.run(20*time.Second, func() {})
			if len(w.broken) > 0 {
				t.Error(w.broken[0])
			}
		})
	}
}
