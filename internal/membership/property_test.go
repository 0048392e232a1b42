package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// checkNoRegression fails the test when a node's entry of a VM regresses: to an
// earlier incarnation, or from left to another status within one incarnation.
func checkNoRegression(t *rapid.T, f *testFleet) {
	type key struct{ observer, subject fleet.VM }
	type lastEntry struct {
		observer    fleet.Incarnation
		incarnation fleet.Incarnation
		left        bool
	}
	last := map[key]lastEntry{}
	f.onState = func(n *testNode) {
		for vm, m := range n.members {
			k := key{observer: n.self.VM, subject: vm}
			b := last[k]
			if b.observer == n.self.Incarnation {
				if m.Incarnation < b.incarnation {
					t.Fatalf("%s regressed from incarnation %d to %d of %s", n.self.VM, b.incarnation, m.Incarnation, vm)
				}
				if m.Incarnation == b.incarnation && b.left && m.Status != Left {
					t.Fatalf("%s changed the status of %s after it had left", n.self.VM, vm)
				}
			}
			last[k] = lastEntry{observer: n.self.Incarnation, incarnation: m.Incarnation, left: m.Status == Left}
		}
	}
}

// applyRandomFault draws a fault and applies it.
func applyRandomFault(t *rapid.T, f *testFleet) {
	i := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
	n := f.nodes[i]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		f.kill(i)
	case 1:
		f.start(i, n.self.Incarnation+1)
	case 2:
		f.pause(i, time.Duration(rapid.IntRange(100, 60_000).Draw(t, "pause"))*time.Millisecond)
	case 3:
		f.lossRate = float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100
	case 4:
		side, oneWay := rapid.IntRange(1, 3).Draw(t, "side"), rapid.Bool().Draw(t, "one way")
		f.isCut = func(a, b *testNode) bool {
			from, to := a.index%4 < side, b.index%4 < side
			return from != to && (!oneWay || from)
		}
	case 5:
		f.isCut = nil
	case 6:
		if n.isRunning && f.now.After(n.pausedUntil) {
			f.execute(n, n.Step(f.now, Leave{}))
			f.kill(i)
		}
	}
}

// Nodes die, restart, pause, leave, are partitioned and lose messages in any
// order. When the faults end, every running node must see every other running
// node alive and no stopped one; at no time may an entry regress to an earlier
// incarnation or from left to alive.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "nodes")
		f := newTestFleet(n, rapid.Uint64().Draw(t, "seed"), DefaultConfig())
		checkNoRegression(t, f)
		f.run(5 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			applyRandomFault(t, f)
			f.run(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "wait")) * time.Millisecond)
		}
		f.isCut, f.lossRate = nil, 0
		f.run(60 * time.Second) // the longest pause
		if !f.converge(3*time.Minute) || !f.detectsStoppedNodes(time.Minute) {
			t.Fatalf("fleet did not converge: %s", f.describeMembers())
		}
	})
}

func (f *testFleet) detectsStoppedNodes(limit time.Duration) bool {
	gone := func() bool {
		for _, n := range f.nodes {
			for _, o := range f.nodes {
				s := n.stateOf(o.index)
				if n.isRunning && !o.isRunning && (s == view.NodeAlive || s == view.NodeSuspect) {
					return false
				}
			}
		}
		return true
	}
	for end := f.now.Add(limit); !gone() && f.now.Before(end); {
		f.run(time.Second)
	}
	return gone()
}

func (f *testFleet) describeMembers() string {
	var out []string
	for _, n := range f.nodes {
		if !n.isRunning {
			continue
		}
		for vm, m := range n.members {
			out = append(out, fmt.Sprintf("%s:%s#%d=%s", n.self.VM, vm, m.Incarnation, m.Status.NodeState()))
		}
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// Merging keeps the greater entry, so it must be a total order for the result
// not to depend on the order of arrival.
func TestSupersedesIsATotalOrder(t *testing.T) {
	entry := rapid.Custom(func(t *rapid.T) Entry {
		return Entry{
			VM: "a", Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "life")),
			Version: uint64(rapid.IntRange(1, 3).Draw(t, "version")),
			Status:  Status(rapid.IntRange(0, 3).Draw(t, "status")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := entry.Draw(t, "a"), entry.Draw(t, "b"), entry.Draw(t, "c")
		if supersedes(&a, &b) && supersedes(&b, &a) {
			t.Fatal("not antisymmetric")
		}
		if supersedes(&a, &b) && supersedes(&b, &c) && !supersedes(&a, &c) {
			t.Fatal("not transitive")
		}
	})
}

// The same seed must give the same run, or failing runs could not be
// reproduced.
func TestSimulationIsDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() (int, int, clock.Instant) {
		f := newTestFleet(20, 7, DefaultConfig())
		f.lossRate = 0.1
		f.run(20 * time.Second)
		f.kill(3)
		f.run(20 * time.Second)
		return f.packets, f.bytes, f.now
	}
	p1, b1, n1 := run()
	p2, b2, n2 := run()
	is.Equal(p1, p2)
	is.Equal(b1, b2)
	is.Equal(n1, n2)
}

// Removing a node must move only its own subjects, and the order in which nodes
// are listed must not matter.
func TestOwnerIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "nodes")
		var nodes []fleet.VM
		for i := range n {
			nodes = append(nodes, vmName(i))
		}
		subject := rapid.String().Draw(t, "subject")
		owner := Owner(subject, nodes)
		removed := nodes[rapid.IntRange(0, n-1).Draw(t, "gone")]
		rest := slices.DeleteFunc(slices.Clone(nodes), func(vm fleet.VM) bool { return vm == removed })
		slices.Reverse(rest)
		if removed != owner && Owner(subject, rest) != owner {
			t.Fatal("removing another node changed the owner")
		}
		top := TopK(subject, nodes, 3)
		if top[0] != owner || len(top) != min(3, n) {
			t.Fatal("the owner is not the first of TopK")
		}
		if removed == owner && Owner(subject, rest) != top[1] {
			t.Fatal("the second node did not succeed the removed owner")
		}
	})
	is.New(t).Equal(Owner("s", nil), fleet.VM(""))
}
