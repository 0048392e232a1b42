package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/usage"
)

// capNode is the part of a node that enforces an organisation's rate cap.
type capNode struct {
	node              fleet.Node
	usage             *usage.State
	lane              *Lookups
	next              Handle
	requestsSinceTick int
}

const (
	testOrg  fleet.Organisation = "o"
	capLimit                    = 40.0 // lookups per second over all nodes
	capStep                     = 50 * time.Millisecond
)

// plan updates the lane with the node's current share of the cap.
func (n *capNode) plan(now clock.Instant) {
	_, share := n.usage.Shares(testOrg)
	wide := Pool{Name: "p", ShareSlots: 1e6, TotalSlots: 1e6}
	p := &Plan{Organisations: []Organisation{{Name: testOrg, Weight: 1, Lookups: capLimit * share}}, Services: []Pool{wide}}
	n.lane.Step(now, &Event{Kind: Replan, Plan: p}, nil)
}

func (n *capNode) sendLookup(now clock.Instant) bool {
	n.requestsSinceTick++
	out := n.lane.Step(now, &Event{Kind: Arrive, Handle: n.next, Arrival: Arrival{Organisation: testOrg, Service: "p"}}, nil)
	if out[0].Verdict != Admit {
		return false
	}
	n.next++
	return true
}

// capFleet is a set of nodes that share the cap. Even and odd nodes can be
// partitioned from each other.
type capFleet struct {
	now                clock.Instant
	nodes              []*capNode
	partitioned        bool
	requests, admitted int
}

func newCapFleet(count int) *capFleet {
	f := &capFleet{now: simStart}
	for i := range count {
		n := &capNode{node: fleet.Node{VM: fleet.VM(fmt.Sprint("entry-", i)), Incarnation: 1}, usage: usage.NewState(), lane: NewLookups()}
		n.usage.Configure([]usage.Organisation{{Name: testOrg, Lookups: capLimit}})
		f.nodes = append(f.nodes, n)
	}
	f.setMembership(false)
	return f
}

func (f *capFleet) isPartitioned(i, j int) bool { return f.partitioned && i%2 != j%2 }

// setMembership sets the membership of every node: the nodes of the other half
// are dead, or all are alive.
func (f *capFleet) setMembership(dead bool) {
	for i, n := range f.nodes {
		var peers []usage.Peer
		for j, o := range f.nodes {
			if j != i {
				peers = append(peers, usage.Peer{Node: o.node, Dead: dead && i%2 != j%2})
			}
		}
		n.usage.SetPeers(peers)
		n.plan(f.now)
	}
}

// run advances the time; arrivals returns the number of requests to a node per
// step.
func (f *capFleet) run(d time.Duration, arrivals func(node int) int) {
	for range int(d / capStep) {
		f.now = f.now.Add(capStep)
		for i, n := range f.nodes {
			for range arrivals(i) {
				f.requests++
				if n.sendLookup(f.now) {
					f.admitted++
				}
			}
			if f.now.Sub(simStart)%usage.TickInterval == 0 {
				f.tick(i)
			}
			if f.now.Sub(simStart)%planEvery == 0 {
				n.plan(f.now)
			}
		}
	}
}

func (f *capFleet) tick(i int) {
	n := f.nodes[i]
	asked := usage.Count{Lookups: n.requestsSinceTick}
	n.requestsSinceTick = 0
	m := n.usage.Tick(f.now, func(fleet.Organisation) usage.Count { return asked })
	if m == nil {
		return
	}
	for j, o := range f.nodes {
		if j != i && !f.isPartitioned(i, j) {
			o.usage.Receive(f.now, n.node, m)
		}
	}
}

// Callers of one organisation flood nodes that are partitioned into two halves and
// reconnected, with messages between the halves lost. Over the whole time the nodes
// together may admit at most the cap, plus the cap for the time in which the
// partition was not detected or is being healed, plus the initial tokens: two
// seconds of the cap, and at least one request per node.
func TestCapIsEnforcedAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCapFleet(rapid.IntRange(2, 5).Draw(t, "nodes"))
		rate := make([]int, len(f.nodes))
		drawRates := func() {
			for i := range rate {
				rate[i] = rapid.SampledFrom([]int{0, 0, 1, 5, 20}).Draw(t, "rate")
			}
		}
		arrivals := func(i int) int { return rate[i] }
		drawRates()
		f.run(10*time.Second, arrivals)
		drawRates()
		f.partitioned = true
		unnoticed := time.Duration(rapid.IntRange(1, 6).Draw(t, "unnoticed")) * time.Second
		f.run(unnoticed, arrivals)
		f.setMembership(true)
		f.run(10*time.Second, arrivals)
		drawRates()
		f.partitioned = false
		f.setMembership(false)
		f.run(10*time.Second, arrivals)

		healing := usage.Holdoff + 2*usage.TickInterval
		allowed := capLimit*f.now.Sub(simStart).Seconds() + capLimit*(unnoticed+healing).Seconds()
		allowed += burstSeconds*capLimit + float64(len(f.nodes))
		if float64(f.admitted) > allowed {
			t.Fatalf("%d requests admitted, at most %.0f allowed", f.admitted, allowed)
		}
	})
}

// An organisation uses four fifths of its cap over six nodes, with Poisson
// arrivals. Few of its requests may be refused, also when half of them go to one
// node. Some more may be when that node changes every half minute, because a
// share follows its callers within some seconds.
func TestCapAdmitsLoadBelowIt(t *testing.T) {
	is := is.New(t)
	const nodes, length = 6, 3 * time.Minute
	perStep := 0.8 * capLimit * capStep.Seconds()
	for _, c := range []struct {
		name string
		part func(node, busy int) float64
		most float64 // share of the requests that may be refused
	}{
		{"even", func(int, int) float64 { return 1.0 / nodes }, 0.02},
		{"half at one node", func(i, _ int) float64 { return loadShare(i == 0, nodes) }, 0.05},
		{"half at one node, moving", func(i, busy int) float64 { return loadShare(i == busy, nodes) }, 0.2},
	} {
		refused, asked := 0, 0
		for seed := range uint64(simSeeds) {
			r := rand.New(rand.NewPCG(seed, 5))
			f := newCapFleet(nodes)
			for busy := range int(length / (30 * time.Second)) {
				f.run(30*time.Second, func(i int) int { return poisson(r, perStep*c.part(i, busy%nodes)) })
			}
			refused += f.requests - f.admitted
			asked += f.requests
		}
		share := float64(refused) / float64(asked)
		t.Logf("%s: %.2f%% of %d refused", c.name, 100*share, asked)
		is.True(share <= c.most)
	}
}

func loadShare(hot bool, nodes int) float64 {
	if hot {
		return 0.5
	}
	return 0.5 / float64(nodes-1)
}

// poisson draws a Poisson-distributed number with a small mean.
func poisson(r *rand.Rand, mean float64) (n int) {
	for at := r.ExpFloat64(); at < mean; at += r.ExpFloat64() {
		n++
	}
	return n
}
