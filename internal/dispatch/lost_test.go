package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

func TestLost(t *testing.T) {
	const now = clock.Instant(1e12)
	ago := func(d time.Duration) clock.Instant { return now.Add(-d) }
	state := func(boot fleet.BootID, g fleet.GroupID, gen fleet.Generation, f fleet.Fence) fleet.EngineState {
		return fleet.EngineState{Boot: boot, Group: g, Generation: gen, Fence: f}
	}
	cases := []struct {
		name       string
		probe      view.Probe
		idempotent bool
		begun      bool
		lost       bool
	}{
		{"in place", view.Probe{State: state("b2", "g", 3, 5)}, true, false, false},
		{"never probed", view.Probe{}, true, false, false},
		{"restarted", view.Probe{State: state("x", "g", 3, 5)}, true, true, true},
		{"next generation", view.Probe{State: state("b2", "g", 4, 6)}, true, true, true},
		{"not yet told", view.Probe{State: state("b2", "g", 2, 4)}, true, false, false},
		{"another group", view.Probe{State: state("b2", "h", 1, 6)}, true, true, true},
		{"freed", view.Probe{State: state("b2", "", 0, 6)}, true, true, true},
		{"order not arrived", view.Probe{State: state("b2", "", 0, 4)}, true, false, false},
		{"silent a moment", view.Probe{Failing: ago(time.Second)}, true, false, false},
		{"silent", view.Probe{Failing: ago(patienceBefore)}, true, false, true},
		{"silent within an answer", view.Probe{Failing: ago(patienceBefore)}, true, true, false},
		{"long silent within an answer", view.Probe{Failing: ago(patienceWithin)}, true, true, true},
		{"silent, at most once", view.Probe{Failing: ago(patienceBefore)}, false, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			snap := &view.Snapshot{VMs: []view.VM{
				{Record: fleet.Record{VM: "e1"}, Probe: view.Probe{State: state("b1", "g", 3, 5)}},
				{Record: fleet.Record{VM: "e2"}, Probe: tc.probe},
			}}
			a := &awaited{group: "g", generation: 3, idempotent: tc.idempotent, begun: tc.begun,
				members: []fleet.Member{{VM: "e1", Boot: "b1", Fence: 5}, {VM: "e2", Boot: "b2", Fence: 5}, {VM: "unlisted"}}}
			is.Equal(lost(a, snap, now) != "", tc.lost)
		})
	}
}

// see puts what probes found of a member into the rig's view.
func (r *rig) see(vm fleet.VM, p view.Probe) {
	r.change(func(s *view.Snapshot) { s.VMs = append(s.VMs, view.VM{Record: fleet.Record{VM: vm}, Probe: p}) })
}

// The first group's engine takes a request and stalls with it: the connection
// stays open and nothing comes. Its probes go unanswered. The clerk does not
// wait for the deadline: the other group answers, and the stalled try is told
// to the router as failed.
func TestStalledReplicaIsGivenUp(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		r := newRig(t, nil)
		stalled := r.addEngine(standin.Options{})
		r.addEngine(standin.Options{})
		stalled.SetFaults(standin.Faults{Stall: true})
		r.see("e1", view.Probe{Failing: r.clock.Now().Add(-patienceBefore)})
		q := r.chat("a", 8, stream)
		q.Deadline = r.clock.Now().Add(10 * patience)
		c := r.serve(context.Background(), q)
		is.True(c.end.Whole)
		is.Equal(c.head.Group, fleet.GroupID("g2"))
		is.True(r.router.results[0].Failed)
	}
}

// A member of the group restarts while its leader streams, and the leader does
// not notice: it stalls. The caller has a part and is told that it is cut long
// before the deadline.
func TestLostMemberWithinAStream(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	e := r.addEngine(standin.Options{TokensPerSecond: 300})
	r.change(func(s *view.Snapshot) {
		g := &s.Groups[0]
		g.Members = append(g.Members[:1:1], fleet.Member{VM: "z", Boot: "b", Rank: 1, Fence: 1})
	})
	c := newCollector()
	q := r.chat("a", 50000, true)
	q.Deadline = r.clock.Now().Add(10 * patience)
	go r.d.Serve(context.Background(), q, c)
	testkit.Eventually(t, "events come", func() bool { return c.count() > 2 })
	e.SetFaults(standin.Faults{Stall: true})
	r.see("z", view.Probe{State: fleet.EngineState{Boot: "after", Group: "", Fence: 0}})
	<-c.done
	is.Equal(c.end.Error.Kind, outcome.AnswerCut)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
}

// A ruling that may run at most once is at a replica that is lost. It is told
// as unknown when the evidence is certain, and is not sent anywhere else.
func TestLostReplicaOfMarkedCall(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addEngine(standin.Options{}).SetFaults(standin.Faults{Stall: true})
	r.addEngine(standin.Options{})
	r.see("e1", view.Probe{State: fleet.EngineState{Boot: "another life"}})
	q := r.chat("a", 8, false)
	q.Idempotent = false
	q.Deadline = r.clock.Now().Add(10 * patience)
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
	is.Equal(r.engines[1].Executions("a"), 0)
	is.Equal(r.router.begun, 1)
	is.Equal(q.Class, request.ClassModel)
}
