package kv

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const start = clock.Instant(time.Hour)

// replica returns a whole group of one VM.
func replica(id fleet.GroupID, phase fleet.Phase, version string, adapters ...string) view.Group {
	return view.Group{Whole: true, Group: fleet.Group{
		ID: id, Generation: 1, Phase: phase, Zone: "z", Model: "m", Version: version, Adapters: adapters,
		Members: []fleet.Member{{VM: fleet.VM("vm-" + id), Boot: "b", Addr: string(id)}},
	}}
}

// snapshotOf returns a snapshot with the groups, whose leaders respond to probes, and a
// configuration with versions 1 and 2 of model m with adapter a, and version 1 without.
func snapshotOf(groups ...view.Group) *view.Snapshot {
	s := &view.Snapshot{Zone: "z", Config: &config.Document{FenceChecked: []string{"*"}, Groups: []config.GroupSpec{
		{Name: "one", Model: "m", ModelVer: "1", Adapters: []string{"a"}},
		{Name: "two", Model: "m", ModelVer: "2", Adapters: []string{"a"}},
		{Name: "plain", Model: "m", ModelVer: "1"},
	}}}
	for i := range groups {
		g := &groups[i]
		s.Groups = append(s.Groups, *g)
		s.VMs = append(s.VMs, view.VM{Record: fleet.Record{VM: g.Members[0].VM}, Probe: view.Probe{
			AnsweredAt: start, State: fleet.EngineState{Boot: "b", Group: g.ID, Generation: g.Generation},
		}})
	}
	return s
}

var longPrompt = func() (p []uint64) {
	for i := range uint64(32) {
		p = append(p, i+1)
	}
	return p
}()

// recordUses returns a counter in which the long prompt was sent n times to each group.
func recordUses(now clock.Clock, n int, groups ...fleet.GroupID) *Uses {
	u := NewUses(now)
	for _, g := range groups {
		for range n {
			u.Record(g, longPrompt)
		}
	}
	return u
}

func decide(m *Memory, s *view.Snapshot, u *Uses, now clock.Instant) []Action {
	return Decide(&Input{Now: now, Snapshot: s, Costs: DefaultCosts(), Uses: func(id fleet.GroupID) []Use { return u.ForGroup(id, now) }}, m)
}

func TestExportDecision(t *testing.T) {
	draining := replica("g", fleet.PhaseDraining, "1", "a")
	failingLeader := snapshotOf(draining)
	failingLeader.VMs[0].Probe.FailingSince = start
	reassignedLeader := snapshotOf(draining)
	reassignedLeader.VMs[0].Probe.State.Generation = 2
	sameKeyGroup := replica("h", fleet.PhaseServing, "1", "a")
	sameKeyGroup.Prefixes = map[uint64]struct{}{}
	for _, h := range longPrompt {
		sameKeyGroup.Prefixes[h] = struct{}{}
	}
	otherVersionGroup := replica("h", fleet.PhaseServing, "2", "a")
	otherVersionGroup.Prefixes = sameKeyGroup.Prefixes
	cases := []struct {
		name string
		snap *view.Snapshot
		uses *Uses
		want Kind
		why  string
	}{
		{"used often", snapshotOf(draining), recordUses(clock.NewManual(start), 6, "g"), Export, "computing these prefixes again costs more than moving them"},
		{"used once", snapshotOf(draining), recordUses(clock.NewManual(start), 1, "g"), Skip, "no prefix is used enough to pay for moving it"},
		{"not used", snapshotOf(draining), recordUses(clock.NewManual(start), 0), Skip, "no prefix is used enough to pay for moving it"},
		{"used long ago", snapshotOf(draining), recordUses(clock.NewManual(start-clock.Instant(time.Hour)), 6, "g"), Skip, "no prefix is used enough to pay for moving it"},
		{"in the cache of a group that stays", snapshotOf(draining, sameKeyGroup), recordUses(clock.NewManual(start), 6, "g"), Skip, "no prefix is used enough to pay for moving it"},
		{"sent to a group that stays", snapshotOf(draining, replica("h", fleet.PhaseServing, "1", "a")), recordUses(clock.NewManual(start), 6, "g", "h"), Skip, "no prefix is used enough to pay for moving it"},
		{"in the cache of another version", snapshotOf(draining, otherVersionGroup), recordUses(clock.NewManual(start), 6, "g"), Export, "computing these prefixes again costs more than moving them"},
		{"no spec asks for it", snapshotOf(replica("g", fleet.PhaseDraining, "0", "a")), recordUses(clock.NewManual(start), 6, "g"), Skip, reasonNotConfigured},
		{"the leader does not respond", failingLeader, recordUses(clock.NewManual(start), 6, "g"), Skip, reasonLeaderUnavailable},
		{"the leader is in another generation", reassignedLeader, recordUses(clock.NewManual(start), 6, "g"), Skip, reasonLeaderUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory()
			got := decide(m, c.snap, c.uses, start)
			is.Equal(len(got), 1)
			is.Equal(got[0].Kind, c.want)
			is.Equal(got[0].Reason, c.why)
			is.Equal(len(got[0].Prefixes) == len(longPrompt), c.want == Export)
			is.Equal(len(decide(m, c.snap, c.uses, start)), 0) // decided once per drain
		})
	}
}

// The leader misses a probe when its drain is first seen. Guards against giving up the
// export for that.
func TestExportWaitsForUnresponsiveLeader(t *testing.T) {
	is := is.New(t)
	m, u := NewMemory(), recordUses(clock.NewManual(start), 6, "g")
	s := snapshotOf(replica("g", fleet.PhaseDraining, "1", "a"))
	s.VMs[0].Probe.FailingSince = start
	is.Equal(decide(m, s, u, start)[0].Reason, reasonLeaderUnavailable)
	s.VMs[0].Probe.FailingSince = 0
	is.Equal(decide(m, s, u, start)[0].Kind, Export)
	is.Equal(len(decide(m, s, u, start)), 0)
}

// The savings of a short prompt are below the fixed cost of an export and an import.
func TestExportBelowFixedCostIsSkipped(t *testing.T) {
	is := is.New(t)
	u := NewUses(clock.NewManual(start))
	for range 6 {
		u.Record("g", longPrompt[:2])
	}
	got := decide(NewMemory(), snapshotOf(replica("g", fleet.PhaseDraining, "1", "a")), u, start)
	is.Equal(got[0].Kind, Skip)
	is.Equal(got[0].Reason, reasonFixedCost)
}

// An engine can't use a block without all blocks before it.
func TestOnlyConnectedPrefixes(t *testing.T) {
	is := is.New(t)
	uses := []Use{{Prefix: 1, Depth: 1}, {Prefix: 9, Depth: 1}, {Prefix: 2, Parent: 1, Depth: 2}, {Prefix: 3, Parent: 2, Depth: 3}}
	is.Equal(connected(uses, []uint64{1, 3, 9}), map[uint64]bool{1: true, 9: true})
	is.Equal(connected(uses, []uint64{3, 2, 1}), map[uint64]bool{1: true, 2: true, 3: true})
}

// Guards against importing the cache into a group of another version or with other
// adapters: its engine would use the state of other weights and produce wrong output
// without an error.
func TestImportOnlyIntoTheSameKey(t *testing.T) {
	old := replica("g", fleet.PhaseDraining, "1", "a")
	elsewhere := replica("n", fleet.PhaseServing, "1", "a")
	elsewhere.Zone = "y"
	forming := replica("n", fleet.PhaseForming, "1", "a")
	broken := replica("n", fleet.PhaseServing, "1", "a")
	broken.Whole = false
	cases := []struct {
		name  string
		group view.Group
		after time.Duration
		want  bool
	}{
		{"the same", replica("n", fleet.PhaseServing, "1", "a"), time.Minute, true},
		{"another version", replica("n", fleet.PhaseServing, "2", "a"), time.Minute, false},
		{"no adapter", replica("n", fleet.PhaseServing, "1"), time.Minute, false},
		{"one adapter more", replica("n", fleet.PhaseServing, "1", "a", "b"), time.Minute, false},
		{"another adapter", replica("n", fleet.PhaseServing, "1", "b"), time.Minute, false},
		{"another zone", elsewhere, time.Minute, false},
		{"not serving yet", forming, time.Minute, false},
		{"not whole", broken, time.Minute, false},
		{"much later", replica("n", fleet.PhaseServing, "1", "a"), time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, u := NewMemory(), recordUses(clock.NewManual(start), 6, "g")
			got := decide(m, snapshotOf(old), u, start)
			m.RecordExport(&got[0], start)
			imports := 0
			now := start.Add(c.after)
			for range 3 { // imported at most once
				for _, a := range decide(m, snapshotOf(old, c.group), u, now) {
					if a.Kind == Import {
						imports++
						is.Equal(a.Group, c.group.ID)
						is.Equal(a.Key, KeyOf(&old.Group))
						is.Equal(a.Prefixes, got[0].Prefixes)
					}
				}
			}
			want := 0
			if c.want {
				want = 1
			}
			is.Equal(imports, want)
		})
	}
}

// A replacement often starts to serve before the old group drains and must import. A
// group that has served for long has a warm cache and must not.
func TestImportIntoRecentGroups(t *testing.T) {
	for _, c := range []struct {
		before time.Duration
		want   int
	}{{time.Minute, 1}, {maxServingBeforeExport + time.Minute, 0}} {
		t.Run(c.before.String(), func(t *testing.T) {
			is := is.New(t)
			m, u := NewMemory(), recordUses(clock.NewManual(start), 6, "g")
			decide(m, snapshotOf(replica("g", fleet.PhaseServing, "1", "a")), u, start.Add(-c.before-1))
			n := replica("n", fleet.PhaseServing, "1", "a")
			decide(m, snapshotOf(replica("g", fleet.PhaseServing, "1", "a"), n), u, start.Add(-c.before))
			got := decide(m, snapshotOf(replica("g", fleet.PhaseDraining, "1", "a"), n), u, start)
			is.Equal(got[0].Kind, Export)
			m.RecordExport(&got[0], start)
			is.Equal(len(decide(m, snapshotOf(n), u, start+1)), c.want)
		})
	}
}

// A new holder of the duty doesn't know how long existing groups have served. Their
// caches are assumed to be warm.
func TestNoImportIntoGroupsServingAtStart(t *testing.T) {
	is := is.New(t)
	m, u := NewMemory(), recordUses(clock.NewManual(start), 6, "g")
	n := replica("n", fleet.PhaseServing, "1", "a")
	got := decide(m, snapshotOf(replica("g", fleet.PhaseDraining, "1", "a"), n), u, start)
	is.Equal(got[0].Kind, Export)
	m.RecordExport(&got[0], start)
	is.Equal(len(decide(m, snapshotOf(n), u, start+1)), 0)
}

func TestObjectNamesAreUnique(t *testing.T) {
	is := is.New(t)
	same := keyOf("z", "m", "1", []string{"a", "b"})
	is.Equal(keyOf("z", "m", "1", []string{"b", "a", "a"}), same)
	seen := map[string]bool{same.ObjectName(): true}
	for _, k := range []Key{
		keyOf("z", "m", "1", nil), keyOf("z", "m", "1", []string{"a+b"}), keyOf("z", "m", "1", []string{"a/b"}),
		keyOf("z", "m", "1/a", nil), keyOf("z", "m/1", "a", nil), keyOf("z/m", "1", "a", nil), keyOf("y", "m", "1", []string{"a", "b"}),
	} {
		is.True(!seen[k.ObjectName()])
		seen[k.ObjectName()] = true
	}
}

func TestObjectsAreBounded(t *testing.T) {
	is := is.New(t)
	m, u := NewMemory(), NewUses(clock.NewManual(start))
	for i := range 3 * maxObjects {
		k := keyOf("z", "m", fmt.Sprint(i), nil)
		m.RecordExport(&Action{Key: k}, start.Add(time.Duration(i)))
		for _, a := range decide(m, snapshotOf(), u, start.Add(time.Second)) {
			is.Equal(a.Kind, Empty)
			is.Equal(a.Reason, reasonTooManyObjects)
			m.RecordEmptied(a.Key)
		}
	}
	is.Equal(len(m.objects), maxObjects)
	for _, a := range decide(m, snapshotOf(), u, start.Add(2*time.Hour)) {
		is.Equal(a.Reason, reasonExpired)
		m.RecordEmptied(a.Key)
	}
	is.Equal(len(m.objects), 0)
}

func TestUsesAreBounded(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	u := NewUses(now)
	for i := range uint64(2 * maxPrefixes) {
		now.Advance(time.Second)
		u.Record("g", []uint64{i + 1})
	}
	is.True(len(u.ForGroup("g", now.Now())) <= maxPrefixes)
	for i := range 2 * maxGroups {
		now.Advance(time.Second)
		u.Record(fleet.GroupID(fmt.Sprint(i)), longPrompt)
	}
	is.Equal(len(u.groups), maxGroups)
	is.Equal(len(u.ForGroup("g", now.Now())), 0)
}

func BenchmarkNote(b *testing.B) {
	u := NewUses(clock.Boot{})
	prompt := make([]uint64, engine.MaxPrefixes)
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		for i := range prompt {
			prompt[i] = uint64(i+1) * 0x9e3779b97f4a7c15
			if i > 20 {
				prompt[i] += n // prompts share the first 21 prefixes only
			}
		}
		u.Record("g", prompt)
	}
}

// An engine that doesn't check the generation of a move could be assigned to another model
// between the check and the move, and would respond from a cache of the wrong weights.
// Guards against exports from and imports into such an engine.
func TestNoMoveWithoutFenceCheck(t *testing.T) {
	is := is.New(t)
	m, u := NewMemory(), recordUses(clock.NewManual(start), 6, "old", "checked")
	s := snapshotOf(replica("old", fleet.PhaseDraining, "1", "a"))
	s.Config.FenceChecked = []string{"vm-checked"}
	is.Equal(decide(m, s, u, start)[0].Reason, reasonNoFenceCheck)
	is.Equal(len(decide(m, s, u, start)), 0)
	s = snapshotOf(replica("checked", fleet.PhaseDraining, "1", "a"))
	s.Config.FenceChecked = []string{"vm-checked"}
	out := decide(m, s, u, start)
	is.Equal(out[0].Kind, Export)
	m.RecordExport(&out[0], start)
	s = snapshotOf(replica("new", fleet.PhaseServing, "1", "a"))
	s.Config.FenceChecked = []string{"vm-checked"}
	is.Equal(len(decide(m, s, u, start)), 0)
	s.Config.FenceChecked = []string{"vm-new"}
	is.Equal(decide(m, s, u, start)[0].Kind, Import)
}
