package group

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
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
		s := newSim(twoSpecs(), 2, rapid.IntRange(1, 8).Draw(t, "load ticks"), checks, 4, 4)
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
		"pause", "pause at commit", "pause at order", "domain", "reappear", "list leaving", "list late",
		"restart node", "swap",
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
	case "reappear": // a new life that claims the place of the old one
		e.state.Boot = fleet.BootID(fmt.Sprintf("boot-%d", i))
	case "list leaving":
		k := rapid.IntRange(0, len(s.list)-1).Draw(t, "row")
		s.list[k].State = fleet.StateLeaving
	case "list late":
		n.listLate = rapid.IntRange(0, 50).Draw(t, "late")
	case "restart node":
		k := int(n.self.VM[1] - '0')
		s.nodes[k] = s.newNode(k, n.self.Incarnation+1)
	case "swap": // the other order of specs: groups of other sizes are wanted
		d := *s.doc
		d.Groups = []config.GroupSpec{s.doc.Groups[1], s.doc.Groups[0]}
		d.Groups[0].VMs, d.Groups[1].VMs = s.doc.Groups[0].VMs, s.doc.Groups[1].VMs
		s.configure(&d)
	case "domain":
		for _, r := range s.list {
			if r.Domain == "z-d0" {
				s.engines.byAddr[r.Addr].dead = true
			}
		}
	}
}

// twoSpecs asks for one replica of three VMs and one of two.
func twoSpecs() *config.Document {
	d := doc(3, 1)
	d.Groups = append(d.Groups, config.GroupSpec{
		Name: "small", Model: "m", ModelVer: "v1", VMs: 2, Min: 1, Max: 1, OneDomain: true,
	})
	return d
}

func (s *sim) configure(d *config.Document) {
	s.doc = d
	s.revision++
	for _, n := range s.nodes {
		n.Put(view.Configured{Revision: s.revision, Document: d})
	}
}

// revive brings every engine back; those that were leaving get a new life.
func (s *sim) revive() {
	for i := range s.list {
		e := s.engine(i)
		e.dead = false
		listed := s.list[i].State == fleet.StateLeaving
		s.list[i].State = fleet.StateLive
		if e.state.Leaving || listed {
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
	s.nodes[0].blind = true // not even a repair is possible now
	s.run(simTick)
	is.Equal(s.servingCount(0), 0)
	s.nodes[0].blind = false
	s.run(15 * time.Second)
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
		s.engine(0).dead = true // so that the other node chooses other VMs
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

// Every group would be repaired at once for nothing. The owner is paused for
// less than its lease; at its wake the probes it had in flight have timed out,
// sent long ago. Going by time alone every member would be dead.
func TestWakeFromAPauseDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(3, 1), 1, 1, true, 4)
	s.run(10 * time.Second)
	before := serving(s.nodes[0].Snapshot())[0]
	n := s.nodes[0]
	vm := before.Members[1].VM
	at := s.clk.Now().Add(1)
	s.clk.Advance(1600 * time.Millisecond)
	n.Put(view.Probed{VM: vm, Sent: at, Failing: at, Failures: 1})
	_, held := n.lease.Held(s.clk.Now())
	is.True(held)
	n.rec.Step(t.Context())
	s.run(5 * time.Second)
	is.Equal(serving(s.nodes[0].Snapshot())[0].Generation, before.Generation)
}

// The table comes back in an older state, without the groups and with lower
// fences. Engines that check fences would refuse every order, and engines that
// still report their old places must not be taken for members of new groups.
func TestTableRestoredToAnOlderState(t *testing.T) {
	is := is.New(t)
	for _, after := range []time.Duration{0, simTick, 2 * time.Second} {
		restoreTable(is, after)
	}
}

// restoreTable restores the table to what it held after the given time.
func restoreTable(is *is.I, after time.Duration) {
	s := newSim(doc(3, 2), 1, 2, true, 6)
	s.run(after)
	old := maps.Clone(s.table.rows)
	s.run(10 * time.Second)
	is.Equal(s.servingCount(0), 2)
	for i := range s.list {
		s.engine(i).state.Fence += 500
	}
	s.table.rows = old
	s.fences = map[fleet.VM]fleet.Fence{} // the table's fences did go down
	s.claims = map[fleet.VM]view.Claim{}
	s.run(30 * time.Second)
	is.Equal(s.fault, "")
	is.Equal(s.servingCount(0), 2)
}

// The platform is down for a while. Groups that are formed go on taking
// requests; a group that loses a member takes none, and nothing is claimed in
// its place until the platform is back; then it is repaired.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(3, 2), 2, 1, true, 8)
	s.run(10 * time.Second)
	is.Equal(s.servingCount(1), 2)
	s.table.down = true
	commits := s.table.commits
	s.run(20 * time.Second)
	is.Equal(s.servingCount(0), 2)
	is.Equal(s.servingCount(1), 2)
	s.engines.byAddr[serving(s.nodes[0].Snapshot())[0].Members[0].Addr].dead = true
	s.run(20 * time.Second)
	is.Equal(s.servingCount(1), 1)
	is.Equal(s.table.commits, commits)
	s.table.down = false
	s.run(20 * time.Second)
	is.Equal(s.servingCount(0), 2)
	is.Equal(s.fault, "")
}

// The owner loses the endpoints but not the platform and sees every member die.
// The other node still sees them and says so; here it does not even say so, and
// still nothing may be dissolved: groups all of whose members seem dead are kept.
func TestOwnerCutOffFromTheEndpoints(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(3, 2), 2, 1, true, 8)
	s.run(10 * time.Second)
	holder := s.holder()
	s.nodes[holder].cut = true
	s.run(30 * time.Second)
	is.Equal(s.servingCount(holder), 0)
	is.Equal(s.servingCount(1-holder), 2)
	s.nodes[holder].cut = false
	s.run(5 * time.Second)
	is.Equal(s.servingCount(holder), 2)
	for _, g := range s.rows().groups {
		is.Equal(g.Group.Generation, fleet.Generation(1))
	}
	is.Equal(s.fault, "")
}

// An engine that ignores fences gets an order from an owner whose lease is about
// to end, and it arrives when another node is the owner. So no order is begun,
// and nothing is committed, without the margin left on the lease.
func TestNothingIsBegunNearTheEndOfTheLease(t *testing.T) {
	is := is.New(t)
	s := newSim(doc(2, 1), 1, 1, false, 3)
	s.run(simTick)
	n := s.nodes[0]
	n.probe()
	grant, ok := n.lease.Held(s.clk.Now())
	is.True(ok)
	o := VMOrder{VM: s.list[0].VM, Addr: s.list[0].Addr, Order: engine.Order{
		Verb: engine.VerbJoin, Fence: 1, Boot: s.engine(0).state.Boot, Group: "late",
	}}
	s.clk.Advance(grant.Left(s.clk.Now()) - n.rec.Timing.Margin)
	n.rec.sendOrders(t.Context(), grant, []VMOrder{o})
	is.Equal(s.engine(0).state.Group, fleet.GroupID(""))
	commits := s.table.commits
	n.rec.Step(t.Context())
	is.Equal(s.table.commits, commits)
	s.clk.Advance(-time.Second)
	n.rec.sendOrders(t.Context(), grant, []VMOrder{o})
	is.Equal(s.engine(0).state.Group, fleet.GroupID("late")) // it would have been obeyed
}
