package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestJoin(t *testing.T) {
	for _, n := range []int{2, 6, 50} {
		f := newTestFleet(n, 1, DefaultConfig())
		is.New(t).True(f.converge(time.Minute))
	}
}

// A node that dies must be declared dead by all others, and no other node may
// be.
func TestDeadNodeIsDetected(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, DefaultConfig())
	is.True(f.converge(time.Minute))
	f.kill(3)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		for i := range f.nodes {
			if !n.isRunning || i == n.index {
				continue
			}
			want := view.NodeAlive
			if i == 3 {
				want = view.NodeDead
			}
			is.Equal(n.stateOf(i), want)
		}
	}
}

// A process is paused for longer than it takes to be declared dead, then
// resumes. It must detect the pause, must not declare other nodes dead, and
// must be accepted again.
func TestPausedNodeRejoins(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, DefaultConfig())
	is.True(f.converge(time.Minute))
	f.pause(2, 40*time.Second)
	f.run(39 * time.Second)
	is.Equal(f.nodes[0].stateOf(2), view.NodeDead)
	f.onState = func(n *testNode) {
		for i := range f.nodes {
			if n.index == 2 && i != 2 {
				is.Equal(n.stateOf(i), view.NodeAlive)
			}
		}
	}
	f.run(5 * time.Second)
	is.Equal(f.nodes[2].pauses, 1)
	is.True(f.hasConverged())
}

// A new process on a dead node's VM replaces it, and late updates about the
// earlier incarnation must change nothing.
func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, DefaultConfig())
	is.True(f.converge(time.Minute))
	f.kill(1)
	f.run(2 * time.Second)
	f.start(1, 2)
	is.True(f.converge(time.Minute))
	old := f.nodes[0].members[vmName(1)].Entry
	old.Incarnation, old.Version, old.Status = 1, 1000, Alive
	before := f.nodes[0].members[vmName(1)].Entry
	f.nodes[0].merge(f.now, &old)
	is.Equal(f.nodes[0].members[vmName(1)].Entry, before)
}

// A node that leaves gracefully must be seen as left, not as dead, by the
// others.
func TestLeftIsNotDead(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, DefaultConfig())
	is.True(f.converge(time.Minute))
	f.execute(f.nodes[4], f.nodes[4].Step(f.now, Leave{}))
	f.run(time.Second)
	f.kill(4)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		if n.isRunning {
			is.Equal(n.stateOf(4), view.NodeLeft)
		}
	}
}

// A zone is partitioned for so long that each side considers the other dead.
// When the partition heals, both must find each other without seeds.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9, 1, DefaultConfig())
	is.True(f.converge(time.Minute))
	f.isCut = func(a, b *testNode) bool { return (a.index%3 == 0) != (b.index%3 == 0) }
	f.run(3 * time.Minute)
	is.Equal(f.nodes[0].stateOf(1), view.NodeDead)
	is.Equal(f.nodes[1].stateOf(0), view.NodeDead)
	is.Equal(f.nodes[0].stateOf(3), view.NodeAlive)
	for _, n := range f.nodes {
		n.Step(f.now, Seeds{})
	}
	f.isCut = nil
	is.True(f.converge(time.Minute))
}

func TestSupersedes(t *testing.T) {
	entry := func(incarnation fleet.Incarnation, version uint64, s Status) Entry {
		return Entry{VM: "a", Incarnation: incarnation, Version: version, Status: s}
	}
	for name, c := range map[string]struct{ newer, older Entry }{
		"a later incarnation always wins":  {entry(2, 1, Alive), entry(1, 9, Left)},
		"dead in a later incarnation wins": {entry(2, 1, Dead), entry(1, 9, Alive)},
		"left is final in its incarnation": {entry(1, 1, Left), entry(1, 9, Alive)},
		"a higher version refutes":         {entry(1, 2, Alive), entry(1, 1, Dead)},
		"suspect wins at the same version": {entry(1, 1, Suspect), entry(1, 1, Alive)},
		"dead wins over suspect":           {entry(1, 1, Dead), entry(1, 1, Suspect)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(supersedes(&c.newer, &c.older))
			is.True(!supersedes(&c.older, &c.newer))
		})
	}
}

// Nodes forget a dead member at different times. One that has forgotten it must
// not adopt its entry again from one that has not: the entry would circulate
// for ever.
func TestForgottenMemberIsNotReadded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.DeadRetention = 2 * time.Minute
	f := newTestFleet(6, 1, cfg)
	is.True(f.converge(time.Minute))
	f.kill(5)
	f.run(time.Minute)
	dead := f.nodes[0].members[vmName(5)].Entry
	is.Equal(dead.Status, Dead)
	f.run(10 * time.Minute)
	n := f.nodes[0]
	is.Equal(n.stateOf(5), view.NodeState(""))
	n.merge(f.now, &dead)
	is.Equal(n.stateOf(5), view.NodeState(""))
}

// A process started with a lower incarnation than its VM had before, because
// its wall clock went back. The others keep considering it dead, so it must
// detect that it is replaced.
func TestLowerIncarnationIsReplaced(t *testing.T) {
	is := is.New(t)
	s := New(fleet.Node{VM: "a", Incarnation: 1}, "z", "10.0.0.1:1", DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	old := Entry{VM: "a", Incarnation: 5, Status: Dead}
	peer := Entry{VM: "b", Incarnation: 1, Version: 1}
	actions := s.Step(1, Received{From: peer.Node(), Message: &Message{Kind: KindGossip, Self: peer, Entries: []Entry{old}}})
	is.Equal(actions[0], Action(Replaced{By: old.Node()}))
}

// The link authenticates the sender; a message whose entry names another node
// is rejected.
func TestMismatchedSenderIsRejected(t *testing.T) {
	is := is.New(t)
	s := New(fleet.Node{VM: "a", Incarnation: 1}, "z", "10.0.0.1:1", DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	s.Step(1, Received{From: fleet.Node{VM: "c", Incarnation: 1}, Message: &Message{Kind: KindGossip, Self: Entry{VM: "b", Incarnation: 1}}})
	is.Equal(len(s.Nodes()), 0)
}
