package usage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network joins the states of some nodes by messages that take a while.
type network struct {
	now    clock.Instant
	nodes  []*State
	side   []int     // part of the split that each node is in
	dead   [][]bool  // dead[i][j]: i holds j for dead
	demand []float64 // requests a second at each node
	debt   []float64 // fractions of requests
	mail   []mail
	delay  func() time.Duration
	check  func()
}

type mail struct {
	at       clock.Instant
	from, to int
	message  *Message
}

const netOrg fleet.Organisation = "o"

func netNode(i int) fleet.Node {
	return fleet.Node{VM: fleet.VM(fmt.Sprint("entry-", i)), Incarnation: 1}
}

func newNetwork(n int, cap float64) *network {
	w := &network{now: clock.Instant(time.Second), side: make([]int, n), demand: make([]float64, n), debt: make([]float64, n)}
	w.delay = func() time.Duration { return 10 * time.Millisecond }
	w.check = func() {}
	for range n {
		s := NewState()
		s.Configure([]Organisation{{Name: netOrg, Rate: cap, Lookups: cap}})
		w.nodes = append(w.nodes, s)
		w.dead = append(w.dead, make([]bool, n))
	}
	for i := range w.nodes {
		w.tellPeers(i)
	}
	return w
}

func (w *network) tellPeers(i int) {
	var peers []Peer
	for j := range w.nodes {
		if j != i {
			peers = append(peers, Peer{Node: netNode(j), Dead: w.dead[i][j]})
		}
	}
	w.nodes[i].SetPeers(peers)
}

// declare lets every node hold those beyond the cut for dead, or nobody.
func (w *network) declare() {
	for i := range w.nodes {
		for j := range w.nodes {
			w.dead[i][j] = w.side[i] != w.side[j]
		}
		w.tellPeers(i)
	}
}

// run lets time pass. Nodes tick one after the other, evenly spread.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	gap := TickEvery / time.Duration(len(w.nodes))
	for turn := 0; w.now.Before(end); turn++ {
		w.now = w.now.Add(gap)
		w.deliver()
		w.tick(turn % len(w.nodes))
		w.check()
	}
}

func (w *network) deliver() {
	slices.SortStableFunc(w.mail, func(a, b mail) int { return int(a.at - b.at) })
	for len(w.mail) > 0 && !w.mail[0].at.After(w.now) {
		m := w.mail[0]
		w.mail = w.mail[1:]
		if w.side[m.from] == w.side[m.to] {
			w.nodes[m.to].Receive(m.at, netNode(m.from), m.message)
			w.check()
		}
	}
}

func (w *network) tick(i int) {
	m := w.nodes[i].Tick(w.now, func(fleet.Organisation) Count {
		w.debt[i] += w.demand[i] * TickEvery.Seconds()
		n := int(w.debt[i])
		w.debt[i] -= float64(n)
		return Count{Model: n, Lookups: n}
	})
	if m == nil {
		return
	}
	for j := range w.nodes {
		if j != i {
			w.mail = append(w.mail, mail{w.now.Add(w.delay()), i, j, m})
		}
	}
}

func (w *network) shares() (sum float64) {
	for _, s := range w.nodes {
		model, _ := s.Shares(netOrg)
		sum += model
	}
	return sum
}

func drawDemand(t *rapid.T, w *network, cap float64) {
	for i := range w.demand {
		w.demand[i] = cap * rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3, 1, 3}).Draw(t, "demand")
	}
}

const rounding = 1e-9

// Callers move between the nodes in any way while messages take up to Holdoff
// and overtake each other. At no moment may the nodes together use more than
// the cap.
func TestSharesNeverExceedCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100.0
		w := newNetwork(rapid.IntRange(1, 6).Draw(t, "nodes"), limit)
		w.delay = func() time.Duration {
			return time.Duration(rapid.IntRange(0, int(Holdoff/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		}
		w.check = func() {
			if s := w.shares(); s > 1+rounding {
				t.Fatalf("shares sum to %f", s)
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "moves") {
			drawDemand(t, w, limit)
			w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		}
	})
}

// The nodes are split into parts that hear nothing of each other, and callers
// move. Until the other parts are held for dead each part may use the whole
// cap; from then on all parts together use no more than it; and so again some
// seconds after the cut has healed.
func TestSharesWhenCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100.0
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		parts := rapid.IntRange(2, min(3, n)).Draw(t, "parts")
		w := newNetwork(n, limit)
		most := 1.0
		w.check = func() {
			if s := w.shares(); s > most+rounding {
				t.Fatalf("shares sum to %f where at most %f is allowed", s, most)
			}
		}
		drawDemand(t, w, limit)
		w.run(20 * time.Second)

		for i := range w.side {
			w.side[i] = i % parts
		}
		most = float64(parts)
		drawDemand(t, w, limit)
		w.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "unnoticed")) * time.Second)

		w.declare()
		most = 1
		w.run(20 * time.Second)

		clear(w.side)
		w.declare()
		most = float64(parts)
		w.run(Holdoff + 2*TickEvery)
		most = 1
		drawDemand(t, w, limit)
		w.run(20 * time.Second)
	})
}

// The worst case of a split into two: before it all callers are at one node,
// after it all are at the other. Both use nearly the whole cap until the split
// is noticed, and no more than twice the cap; then each has its even part.
func TestTwoWaySplitAtMostDoubles(t *testing.T) {
	is := is.New(t)
	w := newNetwork(2, 100)
	w.demand[0] = 300
	w.run(30 * time.Second)
	first, _ := w.nodes[0].Shares(netOrg)
	is.True(first > 0.9) // the busy node may use what the idle one does not

	w.side[1] = 1
	w.demand[1] = 300
	w.run(10 * time.Second)
	sum := w.shares()
	t.Logf("shares sum to %.3f before the split is noticed", sum)
	is.True(sum > 1.4)
	is.True(sum <= 2)

	w.declare()
	is.Equal(w.shares(), 1.0)
}

// A node dies for good while it held most of a cap. It is taken out of the
// platform's list, and the others share the whole cap again.
func TestNodeReplaced(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3, 100)
	w.demand[0] = 300
	w.run(20 * time.Second)
	s := w.nodes[1]
	s.SetPeers([]Peer{{Node: netNode(0), Dead: true}, {Node: netNode(2)}})
	share, _ := s.Shares(netOrg)
	is.True(share > 0.3 && share < 0.34) // its even part: the dead one's is left alone
	s.SetPeers([]Peer{{Node: netNode(2)}})
	share, _ = s.Shares(netOrg)
	is.True(share > 0.45)
}

// A node restarts: its new life begins with an even claim, whatever its last
// life claimed, and messages of the last life that come late count for nothing.
func TestNewLifeBeginsEven(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Configure([]Organisation{{Name: netOrg, Rate: 100}})
	s.SetPeers([]Peer{{Node: netNode(1)}})
	old := &Message{Sequence: 7, Claims: []Claim{{Organisation: hashOf(netOrg), Model: 0, Lookups: evenLevel}}}
	s.Receive(1, netNode(1), old)
	share, _ := s.Shares(netOrg)
	is.True(share > 0.85)
	next := netNode(1)
	next.Incarnation++
	s.SetPeers([]Peer{{Node: next}})
	share, _ = s.Shares(netOrg)
	is.Equal(share, 0.5)
	raise := &Message{Sequence: 1, Claims: []Claim{{Organisation: hashOf(netOrg), Model: topLevel, Lookups: evenLevel}}}
	s.Receive(2, next, raise)
	s.Receive(3, netNode(1), &Message{Sequence: 8, Claims: old.Claims})
	share, _ = s.Shares(netOrg)
	is.True(share < 0.01)
}

// What is sent is what is read, and the encoded size stays within what the
// pace of sending reckons with.
func TestMessageSize(t *testing.T) {
	is := is.New(t)
	m := &Message{Sequence: 1 << 40}
	for i := range messageClaims {
		m.Claims = append(m.Claims, Claim{Organisation: 1<<32 - 1 - uint32(i), Model: topLevel, Lookups: topLevel})
	}
	b, err := m.encode()
	is.NoErr(err)
	is.True(len(b) <= headBytes+messageClaims*claimBytes)
	got, err := decode(b)
	is.NoErr(err)
	is.Equal(got, m)
	_, err = decode(append(b, make([]byte, 200)...))
	is.True(err != nil)
}
