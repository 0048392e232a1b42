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
	simSeed  = flag.Uint64("seed", 1, "first seed of the simulations")
	simSeeds = flag.Int("seeds", 2, "number of seeds of each simulation")
)

// The bounds that an endpoint's callers must keep, and the durations of the simulation.
const (
	boundWindow  = 4 * time.Second
	boundRatio   = 1.5
	boundSlack   = 5
	reactionTime = 500 * time.Millisecond
	settleTime   = 3 * time.Second
	simStep      = 10 * time.Millisecond
	simDuration  = 60 * time.Second
	simStart     = clock.Instant(time.Hour)
)

// simulation is a fleet of nodes that send to one rate-limited endpoint.
type simulation struct {
	rng             *rand.Rand
	now             clock.Instant
	nodes           []*simNode
	demand          float64 // requests a second at each node that would go to the endpoint
	lostNoticeShare float64 // share of notices that are lost
	limit           float64 // requests a second; 0: none
	limitChangedAt  clock.Instant
	maxMissing      int // number of nodes that are absent from some views
	cutZone         int // zone that exchanges no notices with the others; -1: none

	scheduled     map[clock.Instant][]func()
	arrivals      []simArrival
	totalArrivals int // while the limit was in force, after settleTime
	noticesSent   int
	violations    []string
}

type simNode struct {
	*limits
	sim          *simulation
	name         string
	zone         int
	order        []string
	limitSeenAt  clock.Instant // first answer that named the limit; 0: none
	excusedUntil clock.Instant // arrivals up to then don't count against the bound
	frozenUntil  clock.Instant // until then the node neither sends nor receives
	queue        []Notice      // notices received while frozen
}

type simArrival struct {
	at      clock.Instant
	counted bool
}

func newSimulation(seed uint64, zones, perZone int, demand, limit float64) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: simStart, demand: demand, limit: limit, limitChangedAt: simStart, cutZone: -1,
		scheduled: map[clock.Instant][]func(){},
	}
	w.maxMissing = 1 + w.rng.IntN(3)
	for z := range zones {
		for i := range perZone {
			w.nodes = append(w.nodes, &simNode{sim: w, name: fmt.Sprintf("z%d-%d", z, i), zone: z})
		}
	}
	for _, n := range w.nodes {
		n.restart()
	}
	return w
}

// restart replaces the node's state by an empty one.
func (n *simNode) restart() {
	n.limits, n.limitSeenAt, n.queue = newLimits(n.name), 0, nil
	n.order = n.sim.senderOrder(0)
	n.excusedUntil = max(n.excusedUntil, n.sim.now)
}

// senderOrder returns all nodes except the first few (missing), with those of the endpoint's
// zone (0) first.
func (w *simulation) senderOrder(missing int) []string {
	nodes := slices.Clone(w.nodes)
	slices.SortFunc(nodes, func(a, b *simNode) int {
		return cmp.Or(cmp.Compare(min(a.zone, 1), min(b.zone, 1)), cmp.Compare(xxhash.Sum64String(a.name+"e"), xxhash.Sum64String(b.name+"e")))
	})
	var names []string
	for _, n := range nodes[missing:] {
		names = append(names, n.name)
	}
	return names
}

func (w *simulation) schedule(d time.Duration, f func()) {
	at := w.now.Add(max(d, simStep))
	at -= (at - simStart) % clock.Instant(simStep)
	w.scheduled[at] = append(w.scheduled[at], f)
}

// broadcast sends a notice to the other nodes.
func (w *simulation) broadcast(from *simNode, n *Notice) {
	if n == nil {
		return
	}
	w.noticesSent++
	if n.Ended { // sent twice
		w.broadcastOnce(from, n)
	}
	w.broadcastOnce(from, n)
}

func (w *simulation) broadcastOnce(from *simNode, n *Notice) {
	for _, to := range w.nodes {
		cut := w.cutZone >= 0 && from.zone != to.zone && (from.zone == w.cutZone || to.zone == w.cutZone)
		if to == from || cut || w.rng.Float64() < w.lostNoticeShare {
			continue
		}
		w.schedule(time.Duration(w.rng.IntN(30))*time.Millisecond, func() { to.receive(*n) })
	}
}

func (n *simNode) receive(m Notice) {
	if n.sim.now < n.frozenUntil {
		n.queue = append(n.queue, m)
		return
	}
	n.applyNotice(m, n.sim.now, func(ID) []string { return n.order })
}

// sendRequest sends a request to the endpoint if the limit allows one.
func (n *simNode) sendRequest() {
	w := n.sim
	if !n.isAllowed("e", w.now) {
		return
	}
	ok, notice := n.tryTake("e", w.now)
	w.broadcast(n, notice)
	if !ok {
		return
	}
	sent, limits := w.now, n.limits
	w.schedule(time.Duration(1+w.rng.IntN(3))*time.Millisecond, func() {
		w.recordArrival(n)
		w.schedule(time.Duration(5+w.rng.IntN(200))*time.Millisecond, func() {
			if n.limits != limits { // the node has restarted
				return
			}
			var rate *float64
			if w.limit > 0 {
				rate = &w.limit
				if n.limitSeenAt == 0 {
					n.limitSeenAt = w.now
				}
			}
			w.broadcast(n, n.recordAnswer("e", rate, sent, w.now, func(ID) []string { return n.order }))
		})
	})
}

// recordArrival counts a request at the endpoint and checks the bound.
func (w *simulation) recordArrival(from *simNode) {
	if w.limit == 0 {
		return
	}
	counted := from.limitSeenAt != 0 && w.now.Sub(from.limitSeenAt) >= reactionTime && w.now > from.excusedUntil
	w.arrivals = append(w.arrivals, simArrival{w.now, counted})
	for w.now.Sub(w.arrivals[0].at) > boundWindow {
		w.arrivals = w.arrivals[1:]
	}
	if w.now.Sub(w.limitChangedAt) < settleTime {
		return
	}
	w.totalArrivals++
	k := 0
	for _, a := range w.arrivals {
		if a.counted {
			k++
		}
	}
	if allowed := boundRatio*w.limit*boundWindow.Seconds() + boundSlack; float64(k) > allowed {
		w.violations = append(w.violations, fmt.Sprintf("%d requests in %v at %v, allowed %.1f", k, boundWindow, w.now.Sub(simStart), allowed))
	}
}

// run runs the simulation; injectFault is called at each step.
func (w *simulation) run(d time.Duration, injectFault func()) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(simStep) {
		for _, f := range w.scheduled[w.now] {
			f()
		}
		delete(w.scheduled, w.now)
		injectFault()
		if w.now.Sub(simStart)%time.Second == 0 {
			for _, n := range w.nodes {
				n.refresh(func(ID) bool { return true }, w.now, func(ID) []string { return n.order })
			}
		}
		for _, n := range w.nodes {
			if w.now < n.frozenUntil {
				continue
			}
			for _, m := range n.queue {
				n.receive(m)
			}
			n.queue = nil
			if w.rng.Float64() < w.demand*simStep.Seconds() {
				n.sendRequest()
			}
		}
	}
}

// setLimit changes the limit that the endpoint names; 0: none.
func (w *simulation) setLimit(limit float64) {
	w.limit, w.limitChangedAt, w.arrivals = limit, w.now, nil
	for _, n := range w.nodes {
		n.limitSeenAt = 0
	}
}

// randomNode returns a random node.
func (w *simulation) randomNode() *simNode { return w.nodes[w.rng.IntN(len(w.nodes))] }

// injectFault randomly restarts or freezes nodes, cuts off a zone, changes views or loses
// notices.
func (w *simulation) injectFault() {
	const each = 5 * time.Second // mean interval between faults
	if w.rng.Float64() > simStep.Seconds()/each.Seconds() {
		return
	}
	switch n := w.randomNode(); w.rng.IntN(5) {
	case 0:
		n.restart()
		n.excusedUntil = w.now.Add(boundWindow)
	case 1:
		n.frozenUntil = w.now.Add(time.Duration(w.rng.IntN(8000)) * time.Millisecond)
		n.excusedUntil = n.frozenUntil.Add(boundWindow)
	case 2: // nodes of the zone are excused during the cut
		w.cutZone = w.rng.IntN(3)
		end := time.Duration(2000+w.rng.IntN(10000)) * time.Millisecond
		for _, n := range w.nodes {
			if n.zone == w.cutZone {
				n.excusedUntil = max(n.excusedUntil, w.now.Add(end+boundWindow))
			}
		}
		w.schedule(end, func() { w.cutZone = -1 })
	case 3: // views without the first nodes
		missing := w.rng.IntN(2) * w.maxMissing
		for range len(w.nodes) / 2 {
			w.randomNode().order = w.senderOrder(missing)
		}
	case 4:
		w.lostNoticeShare = 0.3 * w.rng.Float64()
	}
}

// Guards against nodes that each keep an endpoint's rate limit but exceed it together.
func TestNodesTogetherKeepRateLimit(t *testing.T) {
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {4, 19}, {5, 59}} {
		for _, limit := range []float64{0.05, 1.9, 3.1, 40} {
			for _, demand := range []float64{0.05, 1, 6} {
				for i := range *simSeeds {
					seed := *simSeed + uint64(i)
					t.Run(fmt.Sprintf("nodes=%d/limit=%v/demand=%v/seed=%d", c.zones*c.perZone, limit, demand, seed), func(t *testing.T) {
						w := newSimulation(seed, c.zones, c.perZone, demand, limit)
						w.lostNoticeShare = 0.02
						w.run(simDuration, w.injectFault)
						if len(w.violations) > 0 {
							t.Errorf("%d violations, first: %s", len(w.violations), w.violations[0])
						}
						t.Logf("%d arrivals in %v, the limit allows %.0f; %d notices", w.totalArrivals, simDuration-settleTime, limit*(simDuration-settleTime).Seconds(), w.noticesSent)
					})
				}
			}
		}
	}
}

// Guards against nodes that stay limited after the endpoint has dropped its limit.
func TestNodesResumeAfterRateLimitEnds(t *testing.T) {
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {4, 19}, {5, 59}} {
		t.Run(fmt.Sprint(c.zones*c.perZone), func(t *testing.T) {
			w := newSimulation(*simSeed, c.zones, c.perZone, 1, 1.9)
			w.lostNoticeShare = 0.02
			w.run(10*time.Second, func() {})
			w.setLimit(0)
			w.run(time.Minute, func() {})
			for _, n := range w.nodes {
				if !n.isAllowed("e", w.now) {
					t.Errorf("%s still holds requests back", n.name)
				}
			}
			w.setLimit(1.9)
			w.run(20*time.Second, func() {})
			if len(w.violations) > 0 {
				t.Error(w.violations[0])
			}
		})
	}
}
