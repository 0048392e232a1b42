package view

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// TestMain fixes the seed of the property tests, so that runs are reproducible;
// -rapid.seed=N selects another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

const t0 = clock.Instant(time.Hour)

func at(ms int) clock.Instant { return t0.Add(time.Duration(ms) * time.Millisecond) }

func newState() *State { return NewState(fleet.Node{VM: "n1", Incarnation: 1}, "z") }

func record(vm fleet.VM, state fleet.State) fleet.Record {
	return fleet.Record{VM: vm, Kind: fleet.KindEngine, Addr: string(vm) + ":1", Zone: "z", Domain: "d", State: state}
}

func probeAnswer(vm fleet.VM, boot fleet.BootID, ms int) Probed {
	return Probed{VM: vm, Sent: at(ms), RTT: time.Millisecond, Answered: true, State: fleet.EngineState{VM: vm, Boot: boot}}
}

func firstVM(s *State, ms int) VM { return s.Snapshot(at(ms)).VMs[0] }

// Guards against a leaving endpoint that gets requests again: after it has
// reported that it is leaving, a lagging platform list still says live. The
// mark must stay for that boot, whatever its source, until a new boot answers.
func TestLeavingIsStickyForABoot(t *testing.T) {
	for name, mark := range map[string]Event{
		"the endpoint":              Probed{VM: "a", Sent: at(20), Answered: true, State: fleet.EngineState{VM: "a", Boot: "b1", Leaving: true}},
		"the list":                  List{At: at(20), Records: []fleet.Record{record("a", fleet.StateLeaving)}},
		"an operator":               MarkLeaving{VM: "a", Boot: "b1"},
		"an operator, boot unknown": MarkLeaving{VM: "a"},
		"a peer":                    MarkLeaving{VM: "a", Boot: "b1", From: "n2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
			s.Apply(probeAnswer("a", "b1", 10))
			is.True(!firstVM(s, 10).Leaving)
			s.Apply(mark)
			is.True(firstVM(s, 20).Leaving)
			s.Apply(List{At: at(30), Records: []fleet.Record{record("a", fleet.StateLive)}})
			s.Apply(probeAnswer("a", "b1", 40))
			is.True(firstVM(s, 40).Leaving)
			s.Apply(probeAnswer("a", "b2", 50))
			is.True(!firstVM(s, 50).Leaving)
			s.Apply(probeAnswer("a", "b1", 45)) // delivered late
			is.True(!firstVM(s, 50).Leaving)
		})
	}
}

// Guards against a restarted VM that is never used again: the list still says
// leaving when the new boot answers. Once the list has caught up, the new boot
// must not be marked.
func TestLaggingListDoesNotMarkNewBoot(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Apply(probeAnswer("a", "b1", 0))
	s.Apply(List{At: at(10), Records: []fleet.Record{record("a", fleet.StateLeaving)}})
	s.Apply(probeAnswer("a", "b2", 20))
	is.True(firstVM(s, 20).Leaving) // leaving for as long as the list says so
	s.Apply(List{At: at(30), Records: []fleet.Record{record("a", fleet.StateLeaving)}})
	s.Apply(List{At: at(40), Records: []fleet.Record{record("a", fleet.StateLive)}})
	is.True(!firstVM(s, 40).Leaving)
}

// Guards against a restarted VM that is never used by a node that has just
// started. The list said leaving before the node knew any boot of the VM. When
// the first boot answers, the list may refer to it, or lag and refer to the
// previous one: the boot must not be used until the list has said live for
// listSettleTime.
func TestListedLeavingBeforeAnyBootIsKnown(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLeaving)}})
	is.True(firstVM(s, 0).Leaving)
	s.Apply(probeAnswer("a", "b1", 10))
	is.True(firstVM(s, 10).Leaving)
	s.Apply(List{At: at(20), Records: []fleet.Record{record("a", fleet.StateLive)}})
	is.True(firstVM(s, 30).Leaving)
	is.True(s.Snapshot(at(19).Add(listSettleTime)).VMs[0].Leaving)
	is.True(!s.Snapshot(at(20).Add(listSettleTime)).VMs[0].Leaving)

	s = newState() // the list has caught up before the first answer
	s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLeaving)}})
	s.Apply(List{At: at(10), Records: []fleet.Record{record("a", fleet.StateLive)}})
	s.Apply(probeAnswer("a", "b1", 20))
	is.True(!firstVM(s, 20).Leaving)
}

func TestMarkedLeavingBeforeAnyBootIsKnown(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Apply(MarkLeaving{VM: "a"})
	s.Apply(probeAnswer("a", "b1", 10))
	is.True(firstVM(s, 10).Leaving)
	s.Apply(probeAnswer("a", "b2", 20))
	is.True(!firstVM(s, 20).Leaving)
}

func TestMergeProbes(t *testing.T) {
	fail := func(from fleet.VM, since, sent, n int) Probed {
		return Probed{VM: "a", From: from, Sent: at(sent), FailingSince: at(since), Failures: n}
	}
	for name, c := range map[string]struct {
		events   []Event
		answered int
		failing  int // 0: not failing
		failures int
	}{
		"newest answer":                          {[]Event{probeAnswer("a", "b", 10), probeAnswer("a", "b", 30), probeAnswer("a", "b", 20)}, 30, 0, 0},
		"failure after an answer":                {[]Event{probeAnswer("a", "b", 10), fail("", 20, 20, 1)}, 10, 20, 1},
		"failure before the newest answer":       {[]Event{probeAnswer("a", "b", 30), fail("", 20, 20, 1)}, 30, 0, 0},
		"answer after failures":                  {[]Event{fail("", 10, 20, 5), probeAnswer("a", "b", 30)}, 30, 0, 0},
		"one watcher fails, the other's answers": {[]Event{fail("", 10, 10, 1), probeAnswer("a", "b", 15), fail("", 10, 20, 2)}, 15, 15, 2},
		"two watchers' failures are not summed":  {[]Event{probeAnswer("a", "b", 5), fail("", 10, 10, 1), fail("n2", 12, 12, 1)}, 5, 10, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			for _, e := range c.events {
				s.Apply(e)
			}
			p := firstVM(s, 100).Probe
			is.Equal(p.AnsweredAt, at(c.answered))
			is.Equal(p.Failures, c.failures)
			if c.failing == 0 {
				is.Equal(p.FailingSince, clock.Instant(0))
			} else {
				is.Equal(p.FailingSince, at(c.failing))
			}
		})
	}
}

func TestMergeLoads(t *testing.T) {
	is := is.New(t)
	s := newState()
	load := func(boot fleet.BootID, seq uint64, running int, ms int) LoadReported {
		return LoadReported{At: at(ms), Load: fleet.Load{VM: "a", Boot: boot, Sequence: seq, Running: running, AgeMillis: 5}}
	}
	s.Apply(load("b1", 7, 3, 10))
	s.Apply(load("b1", 6, 9, 20)) // delivered out of order
	is.Equal(firstVM(s, 20).Load.Running, 3)
	is.Equal(firstVM(s, 20).LoadAt, at(5))
	s.Apply(load("b2", 1, 1, 30)) // the sequence restarts with the boot
	is.Equal(firstVM(s, 30).Load.Running, 1)
	s.Apply(load("b1", 8, 9, 25)) // a late report of the earlier boot
	is.Equal(firstVM(s, 30).Load.Running, 1)
}

// applyGroupOfTwo applies a group of two members, with a matching probe for
// each.
func applyGroupOfTwo(s *State) fleet.Group {
	g := fleet.Group{ID: "z.g", Generation: 4, Phase: fleet.PhaseServing, Zone: "z", Members: []fleet.Member{
		{VM: "a", Boot: "b1", Rank: 0, Fence: 3}, {VM: "b", Boot: "b1", Rank: 1, Fence: 5},
	}}
	for i, m := range g.Members {
		s.Apply(Probed{VM: m.VM, Sent: at(10 + 10*i), Answered: true, State: inGroup(&g, &m)})
	}
	s.Apply(Table{At: at(0), Groups: []TableGroup{{Group: g, Version: 2}}, Complete: true, Zone: "z"})
	return g
}

func inGroup(g *fleet.Group, m *fleet.Member) fleet.EngineState {
	return fleet.EngineState{VM: m.VM, Boot: m.Boot, Fence: m.Fence, Group: g.ID, Generation: g.Generation, Rank: m.Rank, Loaded: true}
}

// Guards against requests to a group with a missing member. Any mismatch in the
// newest probe of one member (boot, group, rank, fence, loaded model, leaving)
// must take the group out of service.
func TestWholeRequiresEveryMember(t *testing.T) {
	change := func(f func(*fleet.EngineState)) func(*State, fleet.Group) {
		return func(s *State, g fleet.Group) {
			st := inGroup(&g, &g.Members[1])
			f(&st)
			s.Apply(Probed{VM: "b", Sent: at(50), Answered: true, State: st})
		}
	}
	for name, c := range map[string]struct {
		event func(*State, fleet.Group)
		whole bool
		fresh int // 0: needs a new probe
	}{
		"all report":       {func(*State, fleet.Group) {}, true, 10 + 1500},
		"restarted":        {change(func(st *fleet.EngineState) { st.Boot = "b2" }), false, 0},
		"other group":      {change(func(st *fleet.EngineState) { st.Group = "z.h" }), false, 0},
		"other generation": {change(func(st *fleet.EngineState) { st.Generation = 3 }), false, 0},
		"other rank":       {change(func(st *fleet.EngineState) { st.Rank = 0 }), false, 0},
		"not loaded":       {change(func(st *fleet.EngineState) { st.Loaded = false }), false, 0},
		"newer fence":      {change(func(st *fleet.EngineState) { st.Fence = 6 }), false, 0},
		"older fence":      {change(func(st *fleet.EngineState) { st.Fence = 4 }), false, 0},
		"keeps no fence":   {change(func(st *fleet.EngineState) { st.Fence = 0 }), true, 10 + 1500},
		"reports leaving":  {change(func(st *fleet.EngineState) { st.Leaving = true }), false, 0},
		"marked":           {func(s *State, _ fleet.Group) { s.Apply(MarkLeaving{VM: "b", Boot: "b1"}) }, false, 0},
		"unanswered": {func(s *State, _ fleet.Group) {
			s.Apply(Probed{VM: "b", Sent: at(50), FailingSince: at(50), Failures: 1})
		}, true, 0},
		"fresher probes": {func(s *State, g fleet.Group) {
			s.Apply(Probed{VM: "a", Sent: at(90), Answered: true, State: inGroup(&g, &g.Members[0])})
		}, true, 20 + 1500},
		"shorter limit": {func(s *State, _ fleet.Group) {
			s.Apply(Configured{Revision: 1, Document: &config.Document{Policy: config.Policy{ProbeFresh: config.Duration(time.Second)}}})
		}, true, 10 + 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			g := applyGroupOfTwo(s)
			c.event(s, g)
			got := s.Snapshot(at(100)).Groups[0]
			is.Equal(got.Whole, c.whole)
			is.Equal(got.Whole, got.Reason == "")
			want := clock.Instant(0)
			if c.fresh != 0 {
				want = at(c.fresh)
			}
			is.Equal(got.FreshUntil, want)
		})
	}
}

func TestMergeGroupRows(t *testing.T) {
	is := is.New(t)
	s := newState()
	g := applyGroupOfTwo(s)
	older := g
	older.Generation = 3
	s.Apply(Table{At: at(60), Groups: []TableGroup{{Group: older, Version: 1}}})
	is.Equal(s.Snapshot(at(60)).Groups[0].Generation, fleet.Generation(4)) // the newest version is kept
	fresh := fleet.Group{ID: "z.new", Generation: 1, Phase: fleet.PhaseForming, Zone: "z"}
	s.Apply(peerGroupRow{from: "n2", at: at(70), row: TableGroup{Group: fresh, Version: 1}})
	s.Apply(Table{At: at(65), Groups: []TableGroup{{Group: g, Version: 2}}, Complete: true, Zone: "z"})
	is.Equal(len(s.Snapshot(at(80)).Groups), 2) // the read began before the group was first seen
	s.Apply(Table{At: at(90), Complete: true, Zone: "z"})
	is.Equal(len(s.Snapshot(at(90)).Groups), 0) // deleted
}

func TestVMsAreForgottenOnlyWhenTheListAndTheProbesAgree(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	s.Apply(List{At: at(10), Records: nil})
	later := at(10).Add(forgetAfter)
	s.Apply(Probed{VM: "b", Sent: later, Answered: true, State: fleet.EngineState{VM: "b", Boot: "x"}})
	s.Apply(List{At: later.Add(time.Second), Records: nil})
	vms := s.Snapshot(later.Add(time.Second)).VMs
	is.Equal(len(vms), 1)
	is.Equal(vms[0].Record.VM, fleet.VM("b"))
	is.Equal(vms[0].UnlistedSince, at(10))
}

func TestRevisionNeverDecreases(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Apply(Configured{Revision: 5, Document: &config.Document{Version: 1}})
	is.True(!s.Apply(Configured{Revision: 4, Document: &config.Document{}}))
	is.Equal(s.Snapshot(t0).Revision, uint64(5))
}

// A snapshot in use by a request must not change.
func TestSnapshotsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		applyGroupOfTwo(s)
		before := s.Snapshot(at(100))
		kept := s.Snapshot(at(100))
		for i := range rapid.IntRange(1, 20).Draw(t, "events") {
			vm := rapid.SampledFrom([]fleet.VM{"a", "b", "c"}).Draw(t, "vm")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				s.Apply(probeAnswer(vm, "b9", 200+i))
			case 1:
				s.Apply(MarkLeaving{VM: vm, Boot: "b1"})
			case 2:
				s.Apply(Table{At: at(200 + i), VMs: []TableVM{{VM: vm, Claim: Claim{Group: "x", Version: uint64(i)}}}, Complete: true, Zone: "z"})
			case 3:
				s.Apply(List{At: at(200 + i), Records: []fleet.Record{record(vm, fleet.StateLeaving)}})
			case 4:
				s.Apply(LoadReported{At: at(200 + i), Load: fleet.Load{VM: vm, Boot: "b1", Sequence: uint64(i + 1), Running: i}})
			}
			s.Snapshot(at(300 + i))
		}
		if !snapshotsEqual(before, kept) {
			t.Fatal("an earlier snapshot has changed")
		}
	})
}

func snapshotsEqual(a, b *Snapshot) bool {
	if len(a.VMs) != len(b.VMs) || len(a.Groups) != len(b.Groups) {
		return false
	}
	for i := range a.VMs {
		x, y := a.VMs[i], b.VMs[i]
		if x.Leaving != y.Leaving || x.Probe.AnsweredAt != y.Probe.AnsweredAt || x.Load != y.Load || x.Listed != y.Listed {
			return false
		}
	}
	return a.Groups[0].Whole == b.Groups[0].Whole
}

// The merger keeps the newest event of a subject, merges it and publishes a
// snapshot.
func TestMergerPublishes(t *testing.T) {
	is := is.New(t)
	m := NewMerger(fleet.Node{VM: "n1"}, "z", clock.NewManual(t0))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	m.Put(probeAnswer("a", "b1", 10))
	m.Put(probeAnswer("a", "b2", 20))
	go func() { done <- m.Run(ctx) }()
	<-m.Changed()
	is.Equal(m.Snapshot().VMs[0].Probe.State.Boot, fleet.BootID("b2"))
	cancel()
	is.NoErr(<-done)
}

// Guards against a drain that never ends. The load of an idle member stays the
// same in report after report, and the drain waits for a report newer than its
// start, so each unchanged report must refresh the load's time.
func TestUnchangedLoadReportRefreshesLoadTime(t *testing.T) {
	is := is.New(t)
	s := newState()
	report := fleet.Load{VM: "a", Boot: "b1", Sequence: 7}
	s.Apply(LoadReported{At: at(10), Load: report})
	s.Apply(LoadReported{At: at(900), Load: report})
	is.Equal(firstVM(s, 900).LoadAt, at(900))
	s.Apply(LoadReported{At: at(500), Load: report}) // delivered out of order
	is.Equal(firstVM(s, 900).LoadAt, at(900))
}
