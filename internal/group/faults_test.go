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

// Under any sequence of faults (members die, pause, restart at the same address or
// are listed as leaving; nodes pause between a decision and its effect past the
// end of their lease; nodes lose the platform or the engines; replies to claims
// are lost; the list lags), no VM is in two groups, no request goes to a group
// that is not whole, and fences only grow. After the faults the zone has all the
// groups for which it has VMs.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "engines check fences")
		s := newSim(twoSpecs(), 2, rapid.IntRange(1, 8).Draw(t, "load ticks"), checks, 4, 4)
		s.run(time.Duration(rapid.IntRange(0, 8).Draw(t, "start")) * time.Second)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.inject(t, i)
			s.run(time.Duration(rapid.Int64Range(0, 40).Draw(t, "gap")) * 100 * time.Millisecond)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.clearFaults()
		s.restoreEngines()
		for range 60 {
			s.run(2 * time.Second)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
			if s.servingCount(0) == 2 && s.servingCount(1) == 2 {
				return
			}
		}
		t.Fatalf("not all groups serve two minutes after the faults ended: %+v", s.nodes[0].Snapshot().Groups)
	})
}

// inject applies one random fault.
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
		s.table.loseNextReply = true
	case "down":
		s.table.down = true
	case "up":
		s.table.down = false
	case "blind":
		n.platformUnreachable = true
	case "cut":
		n.enginesUnreachable = true
	case "mend":
		n.platformUnreachable, n.enginesUnreachable = false, false
	case "pause":
		s.pause(n, long)
	case "pause at commit":
		n.beforeCommit = func() { s.pause(n, long) }
	case "pause at order":
		n.beforeOrder = func() { s.pause(n, long) }
	case "reappear": // a restarted engine that reports the state from before the restart
		e.state.Boot = fleet.BootID(fmt.Sprintf("boot-%d", i))
	case "list leaving":
		k := rapid.IntRange(0, len(s.list)-1).Draw(t, "row")
		s.list[k].State = fleet.StateLeaving
	case "list late":
		n.listLagTicks = rapid.IntRange(0, 50).Draw(t, "late")
	case "restart node":
		k := int(n.self.VM[1] - '0')
		s.nodes[k] = s.newNode(k, n.self.Incarnation+1)
	case "swap": // exchanges the sizes of the two specs
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

// twoSpecs returns a configuration with one replica of three VMs and one of two.
func twoSpecs() *config.Document {
	d := testDocument(3, 1)
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

// restoreEngines makes every engine answer again; those that were leaving restart.
func (s *sim) restoreEngines() {
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

// Guards against requests to a group with a member that lost its state. The member
// restarts at its old address and answers probes with the state from before the
// restart; only the boot id differs. The group must get no requests until the
// restarted member has joined the next generation.
func TestRestartUnderTheSameAddress(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(3, 1), 1, 3, true, 3)
	s.run(10 * time.Second)
	is.Equal(s.servingCount(0), 1)
	g := servingGroups(s.nodes[0].Snapshot())[0]
	e := s.engines.byAddr[g.Members[2].Addr]
	before := e.state
	e.reboot("boot2")
	e.state = before // it even reports its state from before the restart
	e.state.Boot = "boot2"
	s.nodes[0].platformUnreachable = true // without the platform no repair is possible
	s.run(simTick)
	is.Equal(s.servingCount(0), 0)
	s.nodes[0].platformUnreachable = false
	s.run(15 * time.Second)
	is.Equal(s.violation, "")
	after := servingGroups(s.nodes[0].Snapshot())[0]
	is.Equal(after.ID, g.ID)
	is.Equal(after.Generation, g.Generation+1)
	is.Equal(after.Members[2].Boot, fleet.BootID("boot2"))
}

// Guards against two holders that write the same VMs. The first is paused between
// its decision and the commit for longer than its lease; the second takes over
// the lease and forms the group. The first one's commit must then fail, because
// the version of the lease row has changed.
func TestHolderPausedPastItsLeaseCannotClaim(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(3, 1), 2, 1, true, 4)
	s.run(simTick)
	is.Equal(s.holder(), 0)
	resumed := false
	s.nodes[0].beforeCommit = func() {
		s.engine(0).dead = true // so that the other node chooses other VMs
		s.pause(s.nodes[0], 15*time.Second)
		resumed = true
	}
	s.run(30 * time.Second)
	is.True(resumed)
	is.Equal(s.violation, "")
	is.Equal(s.servingCount(1), 1)
	rows := s.rows()
	is.Equal(len(rows.groups), 1)
}

// The reply to a claim is lost after the commit took effect. The holder must read
// the rows again and continue with the group in them instead of claiming other VMs
// for a second group.
func TestLostReplyToClaim(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(2, 1), 1, 1, true, 4)
	s.nodes[0].lease.Step(t.Context()) // acquires the lease before the reply is lost
	s.table.loseNextReply = true
	s.run(10 * time.Second)
	is.Equal(s.violation, "")
	is.Equal(s.servingCount(0), 1)
	is.Equal(len(s.rows().groups), 1)
}

// An engine that ignores fences carries out a stale order: the former holder was
// paused between the check of its lease and the send, and the new holder has
// claimed the VM for another group meanwhile. That group must get no requests
// while the engine reports the wrong group, and the next plan must correct it.
func TestStaleOrderToAnEngineThatIgnoresFences(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(3, 1), 2, 1, false, 4)
	s.run(simTick)
	is.Equal(s.holder(), 0)
	resumed := false
	s.nodes[0].beforeOrder = func() {
		s.pause(s.nodes[0], 20*time.Second)
		resumed = true
	}
	s.run(40 * time.Second)
	is.True(resumed)
	is.Equal(s.violation, "")
	is.Equal(s.servingCount(0), 1)
	is.Equal(s.servingCount(1), 1)
}

// Guards against the needless repair of every group. The holder is paused for less
// than its lease; when it resumes, the probes that were in flight have timed out
// long after they were sent. By time alone every member would be dead.
func TestResumeAfterPauseMarksNoMemberDead(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(3, 1), 1, 1, true, 4)
	s.run(10 * time.Second)
	before := servingGroups(s.nodes[0].Snapshot())[0]
	n := s.nodes[0]
	vm := before.Members[1].VM
	at := s.clk.Now().Add(1)
	s.clk.Advance(1600 * time.Millisecond)
	n.Put(view.Probed{VM: vm, Sent: at, FailingSince: at, Failures: 1})
	_, held := n.lease.Held(s.clk.Now())
	is.True(held)
	n.rec.Step(t.Context())
	s.run(5 * time.Second)
	is.Equal(servingGroups(s.nodes[0].Snapshot())[0].Generation, before.Generation)
}

// The table is restored to an older state, without the groups and with lower
// fences. Engines that check fences would then refuse every order, and engines
// that still report their old groups must not count as members of new ones.
func TestTableRestoredToAnOlderState(t *testing.T) {
	is := is.New(t)
	for _, after := range []time.Duration{0, simTick, 2 * time.Second} {
		checkTableRestore(is, after)
	}
}

// checkTableRestore restores the table to its state after the given time and
// checks that all groups serve again.
func checkTableRestore(is *is.I, after time.Duration) {
	s := newSim(testDocument(3, 2), 1, 2, true, 6)
	s.run(after)
	old := maps.Clone(s.table.rows)
	s.run(10 * time.Second)
	is.Equal(s.servingCount(0), 2)
	for i := range s.list {
		s.engine(i).state.Fence += 500
	}
	s.table.rows = old
	s.fences = map[fleet.VM]fleet.Fence{} // the restore lowers the fences in the table
	s.claims = map[fleet.VM]view.Claim{}
	s.run(30 * time.Second)
	is.Equal(s.violation, "")
	is.Equal(s.servingCount(0), 2)
}

// During an outage of the platform, existing groups keep serving. A group that
// loses a member gets no requests and no spare is claimed for it until the
// platform is available again; then it is repaired.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(3, 2), 2, 1, true, 8)
	s.run(10 * time.Second)
	is.Equal(s.servingCount(1), 2)
	s.table.down = true
	commits := s.table.commits
	s.run(20 * time.Second)
	is.Equal(s.servingCount(0), 2)
	is.Equal(s.servingCount(1), 2)
	s.engines.byAddr[servingGroups(s.nodes[0].Snapshot())[0].Members[0].Addr].dead = true
	s.run(20 * time.Second)
	is.Equal(s.servingCount(1), 1)
	is.Equal(s.table.commits, commits)
	s.table.down = false
	s.run(20 * time.Second)
	is.Equal(s.servingCount(0), 2)
	is.Equal(s.violation, "")
}

// The holder can reach the platform but not the engines, so every member seems
// dead to it. Even without probe results from the other node, which still reaches
// the engines, the holder must not dissolve groups whose members all seem dead.
func TestHolderCannotReachEngines(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(3, 2), 2, 1, true, 8)
	s.run(10 * time.Second)
	holder := s.holder()
	s.nodes[holder].enginesUnreachable = true
	s.run(30 * time.Second)
	is.Equal(s.servingCount(holder), 0)
	is.Equal(s.servingCount(1-holder), 2)
	s.nodes[holder].enginesUnreachable = false
	s.run(5 * time.Second)
	is.Equal(s.servingCount(holder), 2)
	for _, g := range s.rows().groups {
		is.Equal(g.Group.Generation, fleet.Generation(1))
	}
	is.Equal(s.violation, "")
}

// Guards against an order that reaches an engine without fence checks after the
// sender's lease has ended. Neither orders nor commits may start with less than
// the margin left on the lease.
func TestNoActionWithinLeaseMargin(t *testing.T) {
	is := is.New(t)
	s := newSim(testDocument(2, 1), 1, 1, false, 3)
	s.run(simTick)
	n := s.nodes[0]
	n.probe()
	grant, ok := n.lease.Held(s.clk.Now())
	is.True(ok)
	o := VMOrder{VM: s.list[0].VM, Addr: s.list[0].Addr, Order: engine.Order{
		Verb: engine.VerbJoin, Fence: 1, Boot: s.engine(0).state.Boot, Group: "late",
	}}
	s.clk.Advance(grant.Remaining(s.clk.Now()) - n.rec.Timing.LeaseMargin)
	n.rec.sendOrders(t.Context(), grant, []VMOrder{o})
	is.Equal(s.engine(0).state.Group, fleet.GroupID(""))
	commits := s.table.commits
	n.rec.Step(t.Context())
	is.Equal(s.table.commits, commits)
	s.clk.Advance(-time.Second)
	n.rec.sendOrders(t.Context(), grant, []VMOrder{o})
	is.Equal(s.engine(0).state.Group, fleet.GroupID("late")) // within the lease the engine accepts the same order
}
