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

func TestLostReason(t *testing.T) {
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
		{"unchanged", view.Probe{State: state("b2", "g", 3, 5)}, true, false, false},
		{"never probed", view.Probe{}, true, false, false},
		{"restarted", view.Probe{State: state("x", "g", 3, 5)}, true, true, true},
		{"next generation", view.Probe{State: state("b2", "g", 4, 6)}, true, true, true},
		{"previous generation still reported", view.Probe{State: state("b2", "g", 2, 4)}, true, false, false},
		{"another group", view.Probe{State: state("b2", "h", 1, 6)}, true, true, true},
		{"freed", view.Probe{State: state("b2", "", 0, 6)}, true, true, true},
		{"join order not received yet", view.Probe{State: state("b2", "", 0, 4)}, true, false, false},
		{"silent briefly", view.Probe{FailingSince: ago(time.Second)}, true, false, false},
		{"silent", view.Probe{FailingSince: ago(maxSilenceBeforeAnswer)}, true, false, true},
		{"silent after the response started", view.Probe{FailingSince: ago(maxSilenceBeforeAnswer)}, true, true, false},
		{"silent for long after the response started", view.Probe{FailingSince: ago(maxSilenceWithinAnswer)}, true, true, true},
		{"silent, at most once", view.Probe{FailingSince: ago(maxSilenceBeforeAnswer)}, false, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			snap := &view.Snapshot{VMs: []view.VM{
				{Record: fleet.Record{VM: "e1"}, Probe: view.Probe{State: state("b1", "g", 3, 5)}},
				{Record: fleet.Record{VM: "e2"}, Probe: tc.probe},
			}}
			a := &pendingAnswer{group: "g", generation: 3, idempotent: tc.idempotent, started: tc.begun,
				members: []fleet.Member{{VM: "e1", Boot: "b1", Fence: 5}, {VM: "e2", Boot: "b2", Fence: 5}, {VM: "unlisted"}}}
			is.Equal(lostReason(a, snap, now) != "", tc.lost)
		})
	}
}

// setProbe adds the probe result of a member to the rig's snapshot.
func (r *rig) setProbe(vm fleet.VM, p view.Probe) {
	r.change(func(s *view.Snapshot) { s.VMs = append(s.VMs, view.VM{Record: fleet.Record{VM: vm}, Probe: p}) })
}

// An engine stalls with a request: the connection stays open without a response, and its
// probes fail. The request must be retried at the other group before the deadline, and
// the stalled try must be reported to the router as failed.
func TestStalledReplicaIsRetriedElsewhere(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		r := newRig(t, nil)
		stalled := r.addEngine(standin.Options{})
		r.addEngine(standin.Options{})
		stalled.SetFaults(standin.Faults{Stall: true})
		r.setProbe("e1", view.Probe{FailingSince: r.clock.Now().Add(-maxSilenceBeforeAnswer)})
		q := r.chat("a", 8, stream)
		q.Deadline = r.clock.Now().Add(10 * waitTimeout)
		c := r.serve(context.Background(), q)
		is.True(c.end.Complete)
		is.Equal(c.head.Group, fleet.GroupID("g2"))
		is.True(r.router.results[0].Failed)
	}
}

// A member restarts while the group's leader streams, and the leader stalls without
// detecting it. The response must end as cut long before the deadline.
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
	q.Deadline = r.clock.Now().Add(10 * waitTimeout)
	go r.d.Serve(context.Background(), q, c)
	testkit.Eventually(t, "events arrive", func() bool { return c.count() > 2 })
	e.SetFaults(standin.Faults{Stall: true})
	r.setProbe("z", view.Probe{State: fleet.EngineState{Boot: "after", Group: "", Fence: 0}})
	<-c.done
	is.Equal(c.end.Error.Kind, outcome.AnswerCut)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
}

// A request that may run at most once is at a replica that is lost. It must end as
// "unknown" once the loss is certain, and must not be sent to another group.
func TestLostReplicaOfNonIdempotentRequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addEngine(standin.Options{}).SetFaults(standin.Faults{Stall: true})
	r.addEngine(standin.Options{})
	r.setProbe("e1", view.Probe{State: fleet.EngineState{Boot: "another life"}})
	q := r.chat("a", 8, false)
	q.Idempotent = false
	q.Deadline = r.clock.Now().Add(10 * waitTimeout)
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
	is.Equal(r.engines[1].Executions("a"), 0)
	is.Equal(r.router.begun, 1)
	is.Equal(q.Class, request.ClassModel)
}
