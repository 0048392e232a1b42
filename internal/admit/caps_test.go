package admit

import (
	"testing"
	"time"

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
)

// plan gives the node's lane its present part of the cap.
func (n *capNode) plan(now clock.Instant) {
	_, share := n.usage.Shares(capOrg)
	wide := Pool{Name: "p", Share: 1e6, Total: 1e6}
	p := &Plan{Organisations: []Organisation{{Name: capOrg, Weight: 1, Lookups: capLimit * share}}, Services: []Pool{wide}}
	n.lane.Step(now, &Event{Kind: Replan, Plan: p}, nil)
}

func (n *capNode) ask(now clock.Instant) int {
	n.asked++
	out := n.lane.Step(now, &Event{Kind: Arrive, Handle: n.next, Arrival: Arrival{Organisation: capOrg, Service: "p"}}, nil)
	if out[0].Verdict != Admit {
		return 0
	}
	n.next++
	return 1
}

// Callers of one organisation flood nodes that split into two halves and heal,
// with messages between halves lost. Over the whole time the nodes together
// admit no more than the cap, once more the cap for the time in which the split
// was not noticed yet, and what the buckets hold at the start: two seconds of
// the cap, and one request for each node at least.
func TestCapHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 50 * time.Millisecond
		count := rapid.IntRange(2, 5).Draw(t, "nodes")
		nodes := make([]*capNode, count)
		for i := range nodes {
			nodes[i] = &capNode{node: fleet.Node{VM: fleet.VM(rune('a' + i)), Incarnation: 1}, usage: usage.NewState(), lane: NewLookups()}
			nodes[i].usage.Configure([]usage.Organisation{{Name: capOrg, Lookups: capLimit}})
		}
		now := simStart
		half := func(i int) int { return i % 2 }
		tellPeers := func(cut bool) {
			for i, n := range nodes {
				var peers []usage.Peer
				for j, o := range nodes {
					if j != i {
						peers = append(peers, usage.Peer{Node: o.node, Dead: cut && half(i) != half(j)})
					}
				}
				n.usage.SetPeers(peers)
				n.plan(now)
			}
		}
		admitted, rate := 0, make([]int, count)
		run := func(d time.Duration, cut bool) {
			for range int(d / step) {
				now = now.Add(step)
				for i, n := range nodes {
					for range rate[i] {
						admitted += n.ask(now)
					}
					if now.Sub(simStart)%usage.TickEvery == 0 {
						asked := usage.Count{Lookups: n.asked}
						n.asked = 0
						if m := n.usage.Tick(now, func(fleet.Organisation) usage.Count { return asked }); m != nil {
							for j, o := range nodes {
								if j != i && !(cut && half(i) != half(j)) {
									o.usage.Receive(now, n.node, m)
								}
							}
						}
					}
					if now.Sub(simStart)%planEvery == 0 {
						n.plan(now)
					}
				}
			}
		}
		move := func() {
			for i := range rate {
				rate[i] = rapid.SampledFrom([]int{0, 0, 1, 5, 20}).Draw(t, "rate") // each 50 ms
			}
		}
		tellPeers(false)
		move()
		run(10*time.Second, false)
		move()
		unnoticed := time.Duration(rapid.IntRange(1, 6).Draw(t, "unnoticed")) * time.Second
		run(unnoticed, true)
		tellPeers(true)
		run(10*time.Second, true)
		move()
		tellPeers(false)
		run(10*time.Second, false)

		healing := usage.Holdoff + 2*usage.TickEvery
		allowed := capLimit*now.Sub(simStart).Seconds() + capLimit*(unnoticed+healing).Seconds()
		allowed += burstSeconds*capLimit + float64(count)
		if float64(admitted) > allowed {
			t.Fatalf("%d admitted where %.0f are allowed", admitted, allowed)
		}
	})
}
