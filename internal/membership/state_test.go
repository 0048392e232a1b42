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
		f := newTestFleet(n, 1, Defaults())
		is.New(t).True(f.settle(time.Minute))
	}
}

// A node dies without a word. All others must come to count it dead, and only it.
func TestDeadNodeIsFound(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, Defaults())
	is.True(f.settle(time.Minute))
	f.kill(3)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		for i := range f.nodes {
			if !n.up || i == n.index {
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

// A process is stopped for longer than it takes to be declared dead, then goes
// on as if nothing had happened. It must notice that it was stopped, must not
// declare the others dead, and must be taken back.
func TestPausedNodeComesBack(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, Defaults())
	is.True(f.settle(time.Minute))
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
	is.True(f.agreed())
}

// A new process on the VM of a dead one replaces it, and what is still told of
// the old life changes nothing.
func TestRestartReplacesOldLife(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, Defaults())
	is.True(f.settle(time.Minute))
	f.kill(1)
	f.run(2 * time.Second)
	f.start(1, 2)
	is.True(f.settle(time.Minute))
	old := f.nodes[0].members[vmName(1)].Entry
	old.Incarnation, old.Version, old.Status = 1, 1000, Alive
	before := f.nodes[0].members[vmName(1)].Entry
	f.nodes[0].merge(f.now, &old)
	is.Equal(f.nodes[0].members[vmName(1)].Entry, before)
}

// A node leaves in good order: the others must say left, not dead, and must not
// raise an alarm.
func TestLeftIsNotDead(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6, 1, Defaults())
	is.True(f.settle(time.Minute))
	f.act(f.nodes[4], f.nodes[4].Step(f.now, Leave{}))
	f.run(time.Second)
	f.kill(4)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		if n.up {
			is.Equal(n.stateOf(4), view.NodeLeft)
		}
	}
}

// A zone is cut off for so long that each side counts the other dead. When the
// cut heals both must find each other without any list from outside.
func TestCutHeals(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9, 1, Defaults())
	is.True(f.settle(time.Minute))
	f.cut = func(a, b *testNode) bool { return (a.index%3 == 0) != (b.index%3 == 0) }
	f.run(3 * time.Minute)
	is.Equal(f.nodes[0].stateOf(1), view.NodeDead)
	is.Equal(f.nodes[1].stateOf(0), view.NodeDead)
	is.Equal(f.nodes[0].stateOf(3), view.NodeAlive)
	for _, n := range f.nodes {
		n.Step(f.now, Seeds{})
	}
	f.cut = nil
	is.True(f.settle(time.Minute))
}

func TestSupersedes(t *testing.T) {
	entry := func(life fleet.Incarnation, version uint64, s Status) Entry {
		return Entry{VM: "a", Incarnation: life, Version: version, Status: s}
	}
	for name, c := range map[string]struct{ newer, older Entry }{
		"a later life wins over anything":       {entry(2, 1, Alive), entry(1, 9, Left)},
		"dead in a later life wins":             {entry(2, 1, Dead), entry(1, 9, Alive)},
		"left is final in its life":             {entry(1, 1, Left), entry(1, 9, Alive)},
		"the member's own later word refutes":   {entry(1, 2, Alive), entry(1, 1, Dead)},
		"suspicion wins over the word it is of": {entry(1, 1, Suspect), entry(1, 1, Alive)},
		"dead wins over suspect":                {entry(1, 1, Dead), entry(1, 1, Suspect)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(supersedes(&c.newer, &c.older))
			is.True(!supersedes(&c.older, &c.newer))
		})
	}
}

// Nodes forget a dead member at different times. One that has forgotten it must
// not take it back from one that hasn't: the entry would go round for ever.
func TestForgottenStaysForgotten(t *testing.T) {
	is := is.New(t)
	cfg := Defaults()
	cfg.ForgetDead = 2 * time.Minute
	f := newTestFleet(6, 1, cfg)
	is.True(f.settle(time.Minute))
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

// A process was started with an incarnation below the one its VM had before (its
// wall clock went back). The others go on taking it for dead, so it must be told.
func TestLowerIncarnationIsToldThatItIsReplaced(t *testing.T) {
	is := is.New(t)
	s := New(fleet.Node{VM: "a", Incarnation: 1}, "z", "10.0.0.1:1", Defaults(), rand.New(rand.NewPCG(1, 1)))
	old := Entry{VM: "a", Incarnation: 5, Status: Dead}
	peer := Entry{VM: "b", Incarnation: 1, Version: 1}
	actions := s.Step(1, Received{From: peer.Node(), Message: &Message{Kind: KindGossip, Self: peer, Entries: []Entry{old}}})
	is.Equal(actions[0], Action(Replaced{By: old.Node()}))
}

// The link vouches for the sender; what it says of itself must be of itself.
func TestSenderMustBeItself(t *testing.T) {
	is := is.New(t)
	s := New(fleet.Node{VM: "a", Incarnation: 1}, "z", "10.0.0.1:1", Defaults(), rand.New(rand.NewPCG(1, 1)))
	s.Step(1, Received{From: fleet.Node{VM: "c", Incarnation: 1}, Message: &Message{Kind: KindGossip, Self: Entry{VM: "b", Incarnation: 1}}})
	is.Equal(len(s.Nodes()), 0)
}
