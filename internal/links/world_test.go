package links

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/tunnel"
)

var (
	worldSeed  = flag.Uint64("links.seed", 1, "first seed of TestNodesWithoutLinksFindPeersInWorld")
	worldSeeds = flag.Int("links.seeds", 3, "number of seeds")
)

const (
	worldCut    = 5 * time.Second  // start of the cut
	worldReturn = 17 * time.Second // its end
	worldEnd    = 22 * time.Second
	// worldNotice is the time after the cut from which requests count; the platform allows 3 s.
	worldNotice = 3 * time.Second
	worldTrip   = 4 * time.Millisecond
)

// worldNode is a node with its decisions; what it opens is decided by the world.
type worldNode struct {
	zone             string
	cut, refuses     bool
	health           *Health
	choice           PeerChoice
	losses, passed   int
	sent, served     int
	checksInProgress bool
}

// linkWorld is a simulated fleet in which some nodes lose their links.
type linkWorld struct {
	rnd       *rand.Rand
	nodes     map[string]*worldNode
	peers     PeersByZone
	endpoints []string
	events    worldEvents
	now       clock.Instant
}

type worldEvent struct {
	at clock.Instant
	do func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int           { return len(e) }
func (e worldEvents) Less(i, k int) bool { return e[i].at < e[k].at }
func (e worldEvents) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *worldEvents) Push(x any)        { *e = append(*e, x.(worldEvent)) }
func (e *worldEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *linkWorld) after(d time.Duration, do func()) {
	heap.Push(&w.events, worldEvent{w.now.Add(d), do})
}

func (w *linkWorld) isCut(n *worldNode) bool {
	return n.cut && w.now >= start.Add(worldCut) && w.now < start.Add(worldReturn)
}

// newLinkWorld returns a world of zones with perZone nodes each.
func newLinkWorld(seed uint64, zones, perZone, endpoints int) *linkWorld {
	w := &linkWorld{rnd: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*worldNode{}, peers: PeersByZone{}, now: start}
	for z := range zones {
		zone := fmt.Sprint("z", z)
		for i := range perZone {
			addr := fmt.Sprintf("%s-%03d", zone, i)
			w.nodes[addr] = &worldNode{zone: zone, health: NewHealth(), choice: PeerChoice{Zone: zone}}
			w.peers[zone] = append(w.peers[zone], addr)
		}
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, fmt.Sprint("e", i))
	}
	return w
}

// request is one client's first attempt at a node. It follows the order of a race's attempts.
func (w *linkWorld) request(n *worldNode) {
	addr := w.endpoints[w.rnd.IntN(len(w.endpoints))]
	counted := w.now >= start.Add(worldCut+worldNotice) && w.now < start.Add(worldReturn)
	done := func(ok bool) {
		if counted {
			n.sent++
			if ok {
				n.served++
			}
		}
	}
	began := w.now
	if !n.health.IsLost(addr) {
		if !w.isCut(n) {
			n.health.RecordConnect(addr, w.now)
			done(true)
			return
		}
		delay := hedgeDelay
		if n.refuses {
			delay = worldTrip
		}
		w.after(delay, func() {
			w.askPeers(n, began, func(ok bool) {
				if n.health.RecordFailure(Failure{Addr: addr, StartedAt: began, Hung: !n.refuses, Confirmed: ok}, w.now) == AllLost {
					n.losses++
				}
				w.check(n)
				done(ok)
			})
		})
		return
	}
	w.askPeers(n, began, done)
}

// askPeers asks one node after the other for a connection.
func (w *linkWorld) askPeers(n *worldNode, began clock.Instant, done func(ok bool)) {
	list := n.choice.Select(w.peers, AllZones, w.rnd, w.now)
	var ask func(i int)
	ask = func(i int) {
		if i >= len(list) || w.now.Sub(began) > Timeout {
			done(false)
			return
		}
		p := list[i]
		q := w.nodes[p.Addr]
		switch {
		case q == n || q.health.AreAllLost():
			w.after(worldTrip, func() { n.choice.RecordUnfit(p, w.now); ask(i + 1) })
		case w.isCut(q):
			w.after(peerDelay, func() {
				if q.health.RecordFailure(Failure{Addr: "e0", StartedAt: w.now.Add(-peerDelay), Hung: true}, w.now) == AllLost {
					q.losses++
				}
				w.check(q)
				ask(i + 1)
			})
		default:
			w.after(2*worldTrip, func() {
				n.choice.RecordGood(p, w.now)
				q.passed++
				done(true)
			})
		}
	}
	ask(0)
}

// check checks lost links at the monitor's intervals until none is lost.
func (w *linkWorld) check(n *worldNode) {
	if n.checksInProgress {
		return
	}
	n.checksInProgress = true
	w.after(checkInterval, func() {
		n.checksInProgress = false
		for range checksPerRound {
			addr := w.endpoints[w.rnd.IntN(len(w.endpoints))]
			if lost := n.health.Lost(); !n.health.AreAllLost() && len(lost) > 0 {
				addr = lost[0]
			}
			if w.isCut(n) {
				n.health.RecordFailure(Failure{Addr: addr, StartedAt: w.now, Hung: !n.refuses}, w.now)
			} else {
				n.health.RecordConnect(addr, w.now)
			}
		}
		if n.health.AreAllLost() || len(n.health.Lost()) > 0 {
			w.check(n)
		}
	})
}

// run plays the world with requests at the given rate for each node.
func (w *linkWorld) run(rate float64) {
	for _, zone := range []string{"z0", "z1", "z2", "z3", "z4"} {
		for _, addr := range w.peers[zone] {
			n := w.nodes[addr]
			var next func()
			next = func() {
				w.request(n)
				w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), next)
			}
			w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	for len(w.events) > 0 && w.events[0].at < start.Add(worldEnd) {
		e := heap.Pop(&w.events).(worldEvent)
		w.now = e.at
		e.do()
	}
}

// Guards against nodes without links that refuse requests, or that change their state back and
// forth, at every size: some nodes cut, most of a zone, a whole zone, two zones; hanging or reset.
func TestNodesWithoutLinksFindPeersInWorld(t *testing.T) {
	for _, size := range []struct {
		zones, perZone, endpoints int
		rate                      float64 // requests a second at a node
	}{{3, 2, 15, 25}, {4, 19, 30, 5}, {5, 59, 60, 3}, {5, 197, 150, 0.5}} {
		for _, c := range []struct {
			name  string
			zones int     // whole zones
			share float64 // of one further zone
		}{{"part of a zone", 0, 0.4}, {"most of a zone", 0, 0.9}, {"a zone", 1, 0}, {"two zones and a half", 2, 0.5}} {
			for i := range *worldSeeds {
				seed := *worldSeed + uint64(i)
				t.Run(fmt.Sprintf("%d nodes, %s, seed=%d", size.zones*size.perZone, c.name, seed), func(t *testing.T) {
					w := newLinkWorld(seed, size.zones, size.perZone, size.endpoints)
					cutNodes := 0
					for z := range c.zones + 1 {
						addrs := w.peers[fmt.Sprint("z", z)]
						if z == c.zones {
							addrs = addrs[:int(c.share*float64(len(addrs))+0.5)]
						}
						for _, addr := range addrs {
							w.nodes[addr].cut, w.nodes[addr].refuses = true, seed%2 == 0
							cutNodes++
						}
					}
					w.run(size.rate)
					w.checkResult(t, cutNodes)
				})
			}
		}
	}
}

// checkResult checks the platform's bound for first attempts, the bound of tunnels, and that each
// node loses its links once.
func (w *linkWorld) checkResult(t *testing.T, cutNodes int) {
	t.Helper()
	var sent, served, othersSent, mostPassed, passed, back int
	for _, n := range w.nodes {
		mostPassed, passed = max(mostPassed, n.passed), passed+n.passed
		if !n.cut {
			othersSent += n.sent
			if n.losses > 0 {
				t.Errorf("a node with links considers them lost")
			}
			continue
		}
		sent, served = sent+n.sent, served+n.served
		if n.losses > 1 {
			t.Errorf("a node lost its links %d times in one cut", n.losses)
		}
		if !n.health.AreAllLost() {
			back++
		}
	}
	if failed := sent - served; failed > 10+(sent+othersSent)/50 || served*3 < sent*2 {
		t.Errorf("%d of %d first attempts served at nodes without links", served, sent)
	}
	if mostPassed > tunnel.MaxTunnels*int((worldReturn-worldCut)/time.Second) {
		t.Errorf("one node passed %d connections on", mostPassed)
	}
	if back < cutNodes {
		t.Errorf("%d of %d nodes use their links again", back, cutNodes)
	}
	t.Logf("%d of %d served at %d cut nodes; passed on by a node: %d in the mean, %d at most", served, sent, cutNodes, passed/max(1, len(w.nodes)-cutNodes), mostPassed)
}
