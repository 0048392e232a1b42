package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// sendModelRequests sends n requests one after the other, each with the time per
// token of its group, and returns the number that each group got.
func sendModelRequests(r *Router, now *clock.Manual, s *view.Snapshot, n int, perToken func(fleet.GroupID) (time.Duration, bool)) map[fleet.GroupID]int {
	got := make(map[fleet.GroupID]int)
	for range n {
		fresh := *s
		fresh.At = now.Now()
		ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), &fresh, now.Now(), nil)
		if err != nil {
			return got
		}
		r.Begin(ch)
		each, ok := perToken(ch.Group.ID)
		now.Advance(50 * time.Millisecond)
		r.End(ch, Result{OK: ok, Failed: !ok, FirstByte: each, Total: 50 * each, Tokens: 50})
		got[ch.Group.ID]++
	}
	return got
}

func threeGroups() *view.Snapshot {
	s := snapshot("")
	s.Groups = []view.Group{group("g1", "z1", 0), group("g2", "z1", 0), group("g3", "z1", 0)}
	for i := range s.Groups {
		s.Groups[i].FreshUntil = start + 1000*second
	}
	return s
}

// One of three groups becomes five times slower but reports the same load as its
// peers, so every third answer takes five times longer. The group must be demoted
// and get its share again after it has recovered.
func TestStragglerIsDemotedAndRecovers(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r, s := router(now), threeGroups()
	slow := func(id fleet.GroupID) (time.Duration, bool) {
		if id == "g2" {
			return 50 * time.Millisecond, true
		}
		return 10 * time.Millisecond, true
	}
	even := func(fleet.GroupID) (time.Duration, bool) { return 10 * time.Millisecond, true }
	sendModelRequests(r, now, s, 60, slow)
	is.True(sendModelRequests(r, now, s, 60, slow)["g2"] <= 2)
	now.Advance(demotionRecovery)
	sendModelRequests(r, now, s, 100, even)
	is.True(sendModelRequests(r, now, s, 300, even)["g2"] >= 80)
}

// A group refuses or fails every request within a millisecond. It never has
// requests in flight, looks idle and would attract all of them.
func TestFailingGroupGetsFewRequests(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r, s := router(now), threeGroups()
	s.Groups[0].Load.Running, s.Groups[2].Load.Running = 4, 4
	fails := func(id fleet.GroupID) (time.Duration, bool) { return 10 * time.Millisecond, id != "g2" }
	got := sendModelRequests(r, now, s, 100, fails)
	is.True(got["g2"] <= 10)
}

// A group becomes whole again with no requests in flight and a cold cache. Without
// slow start every node would send it all requests at once.
func TestNewlyWholeGroupUsesSlowStart(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r, s := router(now), threeGroups()
	s.Groups[1].Whole = false
	even := func(fleet.GroupID) (time.Duration, bool) { return 10 * time.Millisecond, true }
	sendModelRequests(r, now, s, 10, even)
	s.Groups[1].Whole = true
	for i := range s.Groups {
		s.Groups[i].Load.Running = 1
	}
	early := sendModelRequests(r, now, s, 30, even)["g2"]
	now.Advance(slowStartDuration)
	late := sendModelRequests(r, now, s, 30, even)["g2"]
	is.True(early < late)
	is.True(late >= 8)
}

func TestSpillHasHysteresis(t *testing.T) {
	cases := []struct {
		name   string
		before bool
		load   float64
		want   bool
	}{
		{"room", false, 90, false},
		{"full", false, 95, true},
		{"nearly full after full", true, 90, true},
		{"emptied", true, 75, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(shouldSpill(c.before, c.load, 100), c.want)
		})
	}
}

// Two other zones have three free slots and one. The requests that leave a full
// zone must be split in that proportion; sending all of them to the emptier zone
// would fill it.
func TestSpillIsProportionalToFreeSlots(t *testing.T) {
	is := is.New(t)
	s := snapshot("")
	s.Groups = []view.Group{group("g1", "z1", 30), group("g2", "z2", 5), group("g3", "z3", 7)}
	s.Nodes = []view.Node{node("n2", "z2"), node("n3", "z3")}
	r := router(clock.NewManual(start))
	got := make(map[fleet.VM]int)
	for range 400 {
		ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, start, nil)
		is.True(err == nil)
		got[ch.Node]++
	}
	is.Equal(got[""], 0)
	is.True(got["n3"] > 60 && got["n3"] < 140)
}

// All prompts of the zone share a prefix, and no cache events arrive. The prefix's
// home must not get requests beyond a quarter more load than its peers.
func TestPrefixHomeIsLimitedByLoad(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r, s := router(now), threeGroups()
	req := modelRequest(fleet.Target{Model: "m"})
	req.Prefix, req.PromptTokens = []uint64{7, 8, 9}, 2000
	for range 24 {
		ch, err := r.Pick(req, s, now.Now(), nil)
		is.True(err == nil)
		r.Begin(ch)
	}
	for _, g := range s.Groups {
		is.True(r.InFlight(g.ID) >= 4)
	}
}

// The default policy must have lower tail latency than the two strongest baselines
// in the simulated scenarios. The runs are seeded and deterministic.
func TestWeightedBeatsBaselines(t *testing.T) {
	for i := range scenarios {
		sc := &scenarios[i]
		if sc.name == "many-nodes" {
			continue // takes long and shows the same as prefix-heavy; covered by the benchmark
		}
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			mine := measure(sc, "weighted", 1)
			is.Equal(mine.refused, 0.0)
			for _, p := range []string{"round-robin", "two-choices"} {
				other := measure(sc, p, 1)
				is.True(mine.p95 < other.p95)
				is.True(mine.p99 < other.p99)
				is.True(mine.hit >= other.hit)
			}
		})
	}
}

// Blocks of a long prompt grow with their distance from the start. A group that
// caches 32 of 40 prefixes has 8 KiB of 130 KiB, not four fifths of the prompt.
func TestCachedShareCountsBytesNotPrefixes(t *testing.T) {
	is := is.New(t)
	req := modelRequest(fleet.Target{Model: "m"})
	set := make(map[uint64]struct{})
	for i := range uint64(40) {
		req.Prefix = append(req.Prefix, i+1)
		if i < 32 {
			set[i+1] = struct{}{}
		}
	}
	f := NewFacts(req, nil)
	d := decision{f: &f}
	is.True(d.cachedShare(set) < 0.1)
	is.Equal(d.cachedShare(map[uint64]struct{}{}), 0.0)
	set[40] = struct{}{}
	is.Equal(d.cachedShare(set), 1.0)
}

// A member of a group is replaced and the leader does not restart. The cache of the
// new generation is cold, so the group must start slowly like a new one.
func TestNewGenerationUsesSlowStart(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r, s := router(now), threeGroups()
	even := func(fleet.GroupID) (time.Duration, bool) { return 10 * time.Millisecond, true }
	sendModelRequests(r, now, s, 10, even)
	s.Groups[1].Generation++
	for i := range s.Groups {
		s.Groups[i].Load.Running = 1
	}
	is.True(sendModelRequests(r, now, s, 30, even)["g2"] < 8)
}
