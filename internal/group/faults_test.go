package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/fleet"
)

// Whatever happens in whatever order (members die, pause, restart under their
// address, are said to be leaving; nodes pause between a decision and its
// effect, past their lease; nodes lose the platform or the engines; answers to
// claims are lost; the list lags), no VM is in two groups, no request goes to a
// group that is not whole, fences only grow, and when the faults end the zone
// has all the groups that its VMs allow.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "engines check fences")
		s := newSim(doc(3, 2), 2, rapid.IntRange(1, 8).Draw(t, "load ticks"), checks, 4, 4)
		s.run(time.Duration(rapid.IntRange(0, 8).Draw(t, "start")) * time.Second)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.inject(t, i)
			s.run(time.Duration(rapid.Int64Range(0, 40).Draw(t, "gap")) * 100 * time.Millisecond)
			if s.fault != "" {
				t.Fatal(s.fault)
			}
		}
		s.heal()
		s.revive()
		for range 60 {
			s.run(2 * time.Second)
			if s.fault != "" {
				t.Fatal(s.fault)
			}
			if s.servingCount(0) == 2 && s.servingCount(1) == 2 {
				return
			}
		}
		t.Fatalf("two minutes after the faults not all groups serve: %+v", s.nodes[0].Snapshot().Groups)
	})
}

// inject makes one fault happen.
func (s *sim) inject(t *rapid.T, i int) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	e := s.engine(rapid.IntRange(0, len(s.engines.byAddr)-1).Draw(t, "engine"))
	long := time.Duration(rapid.IntRange(1, 10).Draw(t, "for")) * time.Second
	switch rapid.SampledFrom([]string{
		"die", "revive", "reboot", "leave", "lose", "down", "up", "blind", "cut", "mend",
		"pause", "pause at commit", "pause at order", "domain",
	}).Draw(t, "fault") {
	case "die":
		e.dead = true
	case "revive":
		e.dead = false
	case "reboot":
		e.reboot(fleet.BootID(fmt.Sprintf("boot-%d", i)))
	case "leave":
		e.state.Leaving = true
	case "lose":
		s.table.loseNext = true
	case "down":
		s.table.down = true
	case "up":
		s.table.down = false
	case "blind":
		n.blind = true
	case "cut":
		n.cut = true
	case "mend":
		n.blind, n.cut = false, false
	case "pause":
		s.pause(n, long)
	case "pause at commit":
		n.beforeCommit = func() { s.pause(n, long) }
	case "pause at order":
		n.beforeOrder = func() { s.pause(n, long) }
	case "domain":
		for _, r := range s.list {
			if r.Domain == "z-d0" {
				s.engines.byAddr[r.Addr].dead = true
			}
		}
	}
}

// revive brings every engine back; those that were leaving get a new life.
func (s *sim) revive() {
	for i := range s.list {
		e := s.engine(i)
		e.dead = false
		if e.state.Leaving {
			e.reboot(e.state.Boot + "+")
		}
	}
}

// A clerk's request goes to a group whose leader has forgotten it. A member
// restarts under its old address and answers probes as if nothing had happened;
// only its boot id differs. The group must not take requests until the new life
// has joined the next generation.
func TestRestartUnderTheSameAddress(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(3, 1), 1, 3, true, 3)
	s.run(10 * time.Second)
	is.Equal(s.servingCount(0), 1)
	g := serving(s.nodes[0].Snapshot())[0]
	e := s.engines.byAddr[g.Members[2].Addr]
	was := e.state
	e.reboot("boot2")
	e.state = was // it even claims the place it had
	e.state.Boot = "boot2"
	s.run(simTick)
	is.Equal(s.servingCount(0), 0)
	s.run(10 * time.Second)
	is.Equal(s.fault, "")
	after := serving(s.nodes[0].Snapshot())[0]
	is.Equal(after.ID, g.ID)
	is.Equal(after.Generation, g.Generation+1)
	is.Equal(after.Members[2].Boot, fleet.BootID("boot2"))
}

// Two owners act on the same VMs. The first is paused between its decision and
// the write, longer than its lease; the second takes the lease over and forms
// the group. When the first wakes, its write must fail: the lease row has moved.
func TestOwnerPausedPastItsLeaseCannotClaim(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(3, 1), 2, 1, true, 4)
	s.run(simTick)
	is.Equal(s.holder(), 0)
	woke := false
	s.nodes[0].beforeCommit = func() {
		s.pause(s.nodes[0], 15*time.Second)
		woke = true
	}
	s.run(30 * time.Second)
	is.True(woke)
	is.Equal(s.fault, "")
	is.Equal(s.servingCount(1), 1)
	rows := s.rows()
	is.Equal(len(rows.groups), 1)
}

// The answer to a claim is lost after it took effect. The owner reads the rows
// back and goes on with the group that it finds, instead of claiming other VMs
// for a second one.
func TestLostAnswerToAClaim(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(2, 1), 1, 1, true, 4)
	s.nodes[0].lease.Step(t.Context()) // the lease is held before an answer is lost
	s.table.loseNext = true
	s.run(10 * time.Second)
	is.Equal(s.fault, "")
	is.Equal(s.servingCount(0), 1)
	is.Equal(len(s.rows().groups), 1)
}

// An engine that ignores fences obeys a stale order. Its former owner was
// paused between the check of its lease and the send; the new owner has given
// the VM to another group by then. The group takes no request while the engine
// is elsewhere, and the next look at the engine's state corrects it.
func TestStaleOrderToAnEngineThatIgnoresFences(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(3, 1), 2, 1, false, 4)
	s.run(simTick)
	is.Equal(s.holder(), 0)
	woke := false
	s.nodes[0].beforeOrder = func() {
		s.pause(s.nodes[0], 20*time.Second)
		woke = true
	}
	s.run(40 * time.Second)
	is.True(woke)
	is.Equal(s.fault, "")
	is.Equal(s.servingCount(0), 1)
	is.Equal(s.servingCount(1), 1)
}
