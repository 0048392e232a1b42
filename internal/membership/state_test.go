package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

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
