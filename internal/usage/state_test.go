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

// network connects the states of several nodes by delayed messages.
type network struct {
	now       clock.Instant
	nodes     []*State
	partition []int     // partition that each node is in
	seesDead  [][]bool  // seesDead[i][j]: i considers j dead
	demand    []float64 // requests per second at each node
	fractions []float64 // fractions of requests carried over to the next tick
	inFlight  []packet
	delay     func() time.Duration
	check     func()
}

type packet struct {
	arrivesAt clock.Instant
	from, to  int
	message   *Message
}

const testOrg fleet.Organisation = "o"

func testNode(i int) fleet.Node {
	return fleet.Node{VM: fleet.VM(fmt.Sprint("entry-", i)), Incarnation: 1}
}

func newNetwork(n int, cap float64) *network {
	w := &network{now: clock.Instant(time.Second), partition: make([]int, n), demand: make([]float64, n), fractions: make([]float64, n)}
	w.delay = func() time.Duration { return 10 * time.Millisecond }
	w.check = func() {}
	for range n {
		s := NewState()
		s.Configure([]Organisation{{Name: testOrg, Rate: cap, Lookups: cap}})
		w.nodes = append(w.nodes, s)
		w.seesDead = append(w.seesDead, make([]bool, n))
	}
	for i := range w.nodes {
		w.updatePeers(i)
	}
	return w
}

func (w *network) updatePeers(i int) {
	var peers []Peer
	for j := range w.nodes {
		if j != i {
			peers = append(peers, Peer{Node: testNode(j), Dead: w.seesDead[i][j]})
		}
	}
	w.nodes[i].SetPeers(peers)
}

// updateDeadPeers makes every node consider the nodes of other partitions dead
// and all others alive.
func (w *network) updateDeadPeers() {
	for i := range w.nodes {
		for j := range w.nodes {
			w.seesDead[i][j] = w.partition[i] != w.partition[j]
		}
		w.updatePeers(i)
	}
}

// run advances the time by d. The nodes tick in turn, evenly spaced.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	gap := TickInterval / time.Duration(len(w.nodes))
	for turn := 0; w.now.Before(end); turn++ {
		w.now = w.now.Add(gap)
		w.deliver()
		w.tick(turn % len(w.nodes))
		w.check()
	}
}

func (w *network) deliver() {
	slices.SortStableFunc(w.inFlight, func(a, b packet) int { return int(a.arrivesAt - b.arrivesAt) })
	for len(w.inFlight) > 0 && !w.inFlight[0].arrivesAt.After(w.now) {
		m := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		if w.partition[m.from] == w.partition[m.to] {
			w.nodes[m.to].Receive(m.arrivesAt, testNode(m.from), m.message)
			w.check()
		}
	}
}

func (w *network) tick(i int) {
	m := w.nodes[i].Tick(w.now, func(fleet.Organisation) Count {
		w.fractions[i] += w.demand[i] * TickInterval.Seconds()
		n := int(w.fractions[i])
		w.fractions[i] -= float64(n)
		return Count{Model: n, Lookups: n}
	})
	if m == nil {
		return
	}
	for j := range w.nodes {
		if j != i {
			w.inFlight = append(w.inFlight, packet{w.now.Add(w.delay()), i, j, m})
		}
	}
}

func (w *network) shareSum() (sum float64) {
	for _, s := range w.nodes {
		model, _ := s.Shares(testOrg)
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

// Demand moves between the nodes in any way, while messages take up to Holdoff
// and arrive out of order. At no time may the nodes together use more than the
// cap.
func TestSharesNeverExceedCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100.0
		w := newNetwork(rapid.IntRange(1, 6).Draw(t, "nodes"), limit)
		w.delay = func() time.Duration {
			return time.Duration(rapid.IntRange(0, int(Holdoff/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		}
		w.check = func() {
			if s := w.shareSum(); s > 1+rounding {
				t.Fatalf("shares sum to %f", s)
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "moves") {
			drawDemand(t, w, limit)
			w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		}
	})
}

// The nodes are partitioned and demand moves. Until the other sides are
// considered dead, each side may use the whole cap; after that, and again some
// seconds after the partition has healed, all sides together may use no more
// than the cap.
func TestSharesDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100.0
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		parts := rapid.IntRange(2, min(3, n)).Draw(t, "parts")
		w := newNetwork(n, limit)
		bound := 1.0
		w.check = func() {
			if s := w.shareSum(); s > bound+rounding {
				t.Fatalf("shares sum to %f with a limit of %f", s, bound)
			}
		}
		drawDemand(t, w, limit)
		w.run(20 * time.Second)

		for i := range w.partition {
			w.partition[i] = i % parts
		}
		bound = float64(parts)
		drawDemand(t, w, limit)
		w.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "unnoticed")) * time.Second)

		w.updateDeadPeers()
		bound = 1
		w.run(20 * time.Second)

		clear(w.partition)
		w.updateDeadPeers()
		bound = float64(parts)
		w.run(Holdoff + 2*TickInterval)
		bound = 1
		drawDemand(t, w, limit)
		w.run(20 * time.Second)
	})
}

// The worst case of a partition into two: before it all demand is at one node,
// after it all is at the other. Together they may use up to twice the cap until
// the partition is detected; after that each has its even share.
func TestTwoWayPartitionAtMostDoublesCap(t *testing.T) {
	is := is.New(t)
	w := newNetwork(2, 100)
	w.demand[0] = 300
	w.run(30 * time.Second)
	first, _ := w.nodes[0].Shares(testOrg)
	is.True(first > 0.9) // the busy node may use what the idle one does not

	w.partition[1] = 1
	w.demand[1] = 300
	w.run(10 * time.Second)
	sum := w.shareSum()
	t.Logf("shares sum to %.3f before the split is noticed", sum)
	is.True(sum > 1.4)
	is.True(sum <= 2)

	w.updateDeadPeers()
	is.Equal(w.shareSum(), 1.0)
}

// A node with most of a cap dies for good. When it is removed from the
// platform's list, the others share the whole cap again.
func TestRemovedNodeReleasesItsShare(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3, 100)
	w.demand[0] = 300
	w.run(20 * time.Second)
	s := w.nodes[1]
	s.SetPeers([]Peer{{Node: testNode(0), Dead: true}, {Node: testNode(2)}})
	share, _ := s.Shares(testOrg)
	is.True(share > 0.3 && share < 0.34) // an even share: that of the dead node stays reserved
	s.SetPeers([]Peer{{Node: testNode(2)}})
	share, _ = s.Shares(testOrg)
	is.True(share > 0.45)
}

// A restarted node starts with an even claim, whatever its earlier incarnation
// claimed, and late messages of the earlier incarnation are ignored.
func TestRestartedNodeStartsWithEvenClaim(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Configure([]Organisation{{Name: testOrg, Rate: 100}})
	s.SetPeers([]Peer{{Node: testNode(1)}})
	old := &Message{Sequence: 7, Claims: []Claim{{Organisation: organisationHash(testOrg), Model: 0, Lookups: evenLevel}}}
	s.Receive(1, testNode(1), old)
	share, _ := s.Shares(testOrg)
	is.True(share > 0.85)
	next := testNode(1)
	next.Incarnation++
	s.SetPeers([]Peer{{Node: next}})
	share, _ = s.Shares(testOrg)
	is.Equal(share, 0.5)
	raise := &Message{Sequence: 1, Claims: []Claim{{Organisation: organisationHash(testOrg), Model: maxLevel, Lookups: evenLevel}}}
	s.Receive(2, next, raise)
	s.Receive(3, testNode(1), &Message{Sequence: 8, Claims: old.Claims})
	share, _ = s.Shares(testOrg)
	is.True(share < 0.01)
}

// Messages survive encoding and decoding, and their encoded size stays within
// the size that the send credit assumes.
func TestMessageSize(t *testing.T) {
	is := is.New(t)
	m := &Message{Sequence: 1 << 40}
	for i := range maxClaimsPerMessage {
		m.Claims = append(m.Claims, Claim{Organisation: 1<<32 - 1 - uint32(i), Model: maxLevel, Lookups: maxLevel})
	}
	b, err := m.encode()
	is.NoErr(err)
	is.True(len(b) <= headerBytes+maxClaimsPerMessage*claimBytes)
	got, err := decode(b)
	is.NoErr(err)
	is.Equal(got, m)
	_, err = decode(append(b, make([]byte, 200)...))
	is.True(err != nil)
}
