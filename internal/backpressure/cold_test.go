package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilloom/internal/clock"
)

// Bounds that cold endpoints set, and the values of the simulation.
const (
	coldRatio    = 1.5
	coldSlack    = 5.0
	coldWindow   = time.Second
	coldDuration = 12 * time.Second
	// maxLearnDelay is the time after which the last node learns that the endpoint is cold. A node
	// sends nothing to an endpoint that it doesn't know yet.
	maxLearnDelay = 2 * time.Second
	// coldStep and fewNodesStep are the steps of the simulation; a node has at most one token, so
	// that the rates of few nodes need short steps.
	coldStep     = 20 * time.Millisecond
	fewNodesStep = 2 * time.Millisecond
	fewNodes     = 20
)

// coldNode is a node that sends to a cold endpoint.
type coldNode struct {
	*Guard
	order   []string
	learnAt clock.Instant
}

// coldFleet is a fleet whose nodes send to one cold endpoint.
type coldFleet struct {
	rng      *rand.Rand
	clock    *clock.Manual
	nodes    []*coldNode
	rate     float64
	arrivals []clock.Instant
	most     int // arrivals within coldWindow
	total    int
}

func newColdFleet(seed uint64, nodes int, rate float64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 3)), clock: clock.NewManual(simStart), rate: rate}
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	f.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for i, name := range names {
		n := &coldNode{learnAt: simStart.Add(time.Duration(f.rng.Int64N(int64(maxLearnDelay))))}
		n.order = names
		if len(names) > 4 && i%3 == 0 { // its view lacks the first nodes
			n.order = slices.Clone(names[2:])
		}
		n.Guard = New(Options{
			Node: name, Clock: f.clock,
			SenderOrder: func(ID) []string { return n.order },
		})
		f.nodes = append(f.nodes, n)
	}
	return f
}

// run has every node send as often as it may.
func (f *coldFleet) run() {
	step := coldStep
	if len(f.nodes) < fewNodes {
		step = fewNodesStep
	}
	for end := simStart.Add(coldDuration); f.clock.Now() < end; f.clock.Advance(step) {
		now := f.clock.Now()
		for _, i := range f.rng.Perm(len(f.nodes)) {
			n := f.nodes[i]
			if now >= n.learnAt && n.AllowsCold("e", f.rate) && n.TakeCold("e", f.rate) {
				f.arrivals = append(f.arrivals, now)
				f.total++
			}
		}
		if now.Sub(simStart)%time.Second == 0 {
			for _, n := range f.nodes {
				n.SweepCold(func(ID) bool { return true })
			}
		}
		for len(f.arrivals) > 0 && now.Sub(f.arrivals[0]) >= coldWindow {
			f.arrivals = f.arrivals[1:]
		}
		f.most = max(f.most, len(f.arrivals))
	}
}

// Guards against a cold endpoint that gets more from all nodes together than it accepts, or hardly
// anything: in fleets of any size, and with different views of the nodes.
func TestColdEndpointGetsItsRateFromAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 6, 12, 13, 14, 15, 19, 58, 295, 1000} {
		for _, rate := range []float64{0.5, 2, 14, 20, 100} {
			for seed := range uint64(2) {
				f := newColdFleet(seed, nodes, rate)
				f.run()
				if bound := rate*coldRatio + coldSlack; float64(f.most) > bound {
					t.Errorf("%d nodes, rate %v, seed %d: %d requests in a second, %v allowed", nodes, rate, seed, f.most, bound)
				}
				if least := rate * fewNodesShare * 0.9 * (coldDuration - maxLearnDelay).Seconds(); float64(f.total) < least {
					t.Errorf("%d nodes, rate %v, seed %d: %d requests in %v, %v wanted", nodes, rate, seed, f.total, coldDuration, least)
				}
			}
		}
	}
}

// Guards against a node's processes in series that each send a cold endpoint their first request at
// once, beyond the node's share of its rate. A process that has run for long enough sends at once.
func TestProcessesInSeriesKeepTheColdRate(t *testing.T) {
	c := clock.NewManual(simStart)
	const rate, lifetime, step = 2.0, 400 * time.Millisecond, 20 * time.Millisecond
	start := func() *Guard {
		return New(Options{Node: "a", Clock: c, SenderOrder: func(ID) []string { return []string{"a", "b", "c", "d"} }})
	}
	sent := 0
	for range 20 {
		g := start()
		for range lifetime / step {
			c.Advance(step)
			if g.TakeCold("e", rate) {
				sent++
			}
		}
	}
	if sent > 0 {
		t.Errorf("%d requests by processes that are younger than the time between two", sent)
	}
	g := start()
	c.Advance(5 * time.Second)
	if !g.TakeCold("e", rate) {
		t.Error("a process that has sent nothing for seconds may send nothing")
	}
}
