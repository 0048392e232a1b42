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

// capNode is one node as far as an organisation's rate cap is concerned.
type capNode struct {
	node  fleet.Node
	usage *usage.State
	lane  *Lookups
	next  Handle
	asked int // since the last tick
}

const (
	capOrg   fleet.Organisation = "o"
	capLimit                    = 40.0 // lookups a second over all nodes
	capStep                     = 50 * time.Millisecond
)

// plan gives the node's lane its present part of the cap.
func (n *capNode) plan(now clock.Instant) {
	_, share := n.usage.Shares(capOrg)
	wide := Pool{Name: "p", Share: 1e6, Total: 1e6}
	p := &Plan{Organisations: []Organisation{{Name: capOrg, Weight: 1, Lookups: capLimit * share}}, Services: []Pool{wide}}
	n.lane.Step(now, &Event{Kind: Replan, Plan: p}, nil)
}

func (n *capNode) ask(now clock.Instant) bool {
	n.asked++
	out := n.lane.Step(now, &Event{Kind: Arrive, Handle: n.next, Arrival: Arrival{Organisation: capOrg, Service: "p"}}, nil)
	if out[0].Verdict != Admit {
		return false
	}
	n.next++
	return true
}

// capFleet is some nodes that share the cap. Even and odd nodes can be cut off
// from each other.
type capFleet struct {
	now             clock.Instant
	nodes           []*capNode
	cut             bool
	asked, admitted int
}

func newCapFleet(count int) *capFleet {
	f := &capFleet{now: simStart}
	for i := range count {
		n := &capNode{node: fleet.Node{VM: fleet.VM(fmt.Sprint("entry-", i)), Incarnation: 1}, usage: usage.NewState(), lane: NewLookups()}
		n.usage.Configure([]usage.Organisation{{Name: capOrg, Lookups: capLimit}})
		f.nodes = append(f.nodes, n)
	}
	f.declare(false)
	return f
}

func (f *capFleet) beyond(i, j int) bool { return f.cut && i%2 != j%2 }

// declare lets every node hold those of the other half for dead, or nobody.
func (f *capFleet) declare(dead bool) {
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

// run lets time pass; arrivals draws how many requests come to a node in a step.
func (f *capFleet) run(d time.Duration, arrivals func(node int) int) {
	for range int(d / capStep) {
		f.now = f.now.Add(capStep)
		for i, n := range f.nodes {
			for range arrivals(i) {
				f.asked++
				if n.ask(f.now) {
					f.admitted++
				}
			}
			if f.now.Sub(simStart)%usage.TickEvery == 0 {
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
	asked := usage.Count{Lookups: n.asked}
	n.asked = 0
	m := n.usage.Tick(f.now, func(fleet.Organisation) usage.Count { return asked })
	if m == nil {
		return
	}
	for j, o := range f.nodes {
		if j != i && !f.beyond(i, j) {
			o.usage.Receive(f.now, n.node, m)
		}
	}
}

// Callers of one organisation flood nodes that split into two halves and heal,
// with messages between halves lost. Over the whole time the nodes together
// admit no more than the cap, once more the cap for the time in which the split
// was not noticed yet, and what the buckets hold at the start: two seconds of
// the cap, and one request for each node at least.
func TestCapHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCapFleet(rapid.IntRange(2, 5).Draw(t, "nodes"))
		rate := make([]int, len(f.nodes))
		move := func() {
			for i := range rate {
				rate[i] = rapid.SampledFrom([]int{0, 0, 1, 5, 20}).Draw(t, "rate")
			}
		}
		arrivals := func(i int) int { return rate[i] }
		move()
		f.run(10*time.Second, arrivals)
		move()
		f.cut = true
		unnoticed := time.Duration(rapid.IntRange(1, 6).Draw(t, "unnoticed")) * time.Second
		f.run(unnoticed, arrivals)
		f.declare(true)
		f.run(10*time.Second, arrivals)
		move()
		f.cut = false
		f.declare(false)
		f.run(10*time.Second, arrivals)

		healing := usage.Holdoff + 2*usage.TickEvery
		allowed := capLimit*f.now.Sub(simStart).Seconds() + capLimit*(unnoticed+healing).Seconds()
		allowed += burstSeconds*capLimit + float64(len(f.nodes))
		if float64(f.admitted) > allowed {
			t.Fatalf("%d admitted where %.0f are allowed", f.admitted, allowed)
		}
	})
}

// An organisation asks for four fifths of its cap over six nodes, with Poisson
// arrivals. Few of its requests are refused, also when half of them come to one
// node, and some more when that node changes every half minute: a share follows
// its callers within some seconds.
func TestCapLetsThroughWhatIsUnderIt(t *testing.T) {
	is := is.New(t)
	const nodes, length = 6, 3 * time.Minute
	perStep := 0.8 * capLimit * capStep.Seconds()
	for _, c := range []struct {
		name string
		part func(node, busy int) float64
		most float64 // of the requests refused
	}{
		{"even", func(int, int) float64 { return 1.0 / nodes }, 0.02},
		{"half at one node", func(i, _ int) float64 { return hotPart(i == 0, nodes) }, 0.05},
		{"half at one node, moving", func(i, busy int) float64 { return hotPart(i == busy, nodes) }, 0.2},
	} {
		refused, asked := 0, 0
		for seed := range uint64(simSeeds) {
			r := rand.New(rand.NewPCG(seed, 5))
			f := newCapFleet(nodes)
			for busy := range int(length / (30 * time.Second)) {
				f.run(30*time.Second, func(i int) int { return poisson(r, perStep*c.part(i, busy%nodes)) })
			}
			refused += f.asked - f.admitted
			asked += f.asked
		}
		share := float64(refused) / float64(asked)
		t.Logf("%s: %.2f%% of %d refused", c.name, 100*share, asked)
		is.True(share <= c.most)
	}
}

func hotPart(hot bool, nodes int) float64 {
	if hot {
		return 0.5
	}
	return 0.5 / float64(nodes-1)
}

// poisson draws the number of events of a Poisson process of a small mean.
func poisson(r *rand.Rand, mean float64) (n int) {
	for at := r.ExpFloat64(); at < mean; at += r.ExpFloat64() {
		n++
	}
	return n
}
