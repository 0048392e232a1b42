package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var noon = time.Date(2026, 3, 3, 12, 5, 0, 0, time.UTC)

// testInput returns an input with the given demand for one spec in three zones with
// the given numbers of existing replicas.
func testInput(o config.Objective, demand float64, held ...int) Input {
	in := traceInput(o, NewHistory(), noon, demand, 0, 0)
	for i, n := range held {
		in.ExistingReplicas[i].Active = n
	}
	return in
}

func TestTargets(t *testing.T) {
	busy, noVMs := testInput(sagarmatha, 40, 2, 2, 2), testInput(sagarmatha, 40, 3, 3, 2)
	noVMs.Zones[2].VMsPerDomain = nil
	singleDomain := testInput(sagarmatha, 40)
	singleDomain.Config.Groups[0].OneDomain = true
	for i := range singleDomain.Zones {
		singleDomain.Zones[i].VMsPerDomain = []int{7, 5, 3} // of 15 VMs, only two replicas of four VMs fit into single domains
	}
	oneZone := testInput(sagarmatha, 40)
	oneZone.Config.Groups[0].Zones = []string{"z2"}
	idle := testInput(lapwise, 0, 1, 1, 1)
	idle.ExistingReplicas[0].Draining = 1
	noConfig := testInput(sagarmatha, 40)
	noConfig.Config = nil
	cases := []struct {
		name string
		in   Input
		want []int
	}{
		{"scales up immediately and evenly", busy, []int{3, 3, 2}},
		{"replicas of a zone without VMs go to the others", noVMs, []int{4, 4, 0}},
		{"a replica uses a single domain", singleDomain, []int{2, 2, 2}},
		{"a spec uses only its zones", oneZone, []int{6}},
		{"scales down one at a time", testInput(lapwise, 0, 1, 1, 2), []int{1, 1, 1}},
		{"moves no replica for an even spread", testInput(sagarmatha, 25, 3, 1, 1), []int{3, 1, 1}},
		{"waits for the previous drain", idle, []int{1, 1, 1}},
		{"keeps the minimum", testInput(lapwise, 0, 1, 0, 0), []int{1, 0, 0}},
		{"no targets without a configuration", noConfig, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Decide(c.in)
			is.Equal(len(got), len(c.want))
			for i, n := range c.want {
				is.Equal(got[i].Replicas, n)
				is.True(got[i].Reason != "")
			}
		})
	}
}

// Guards against draining replicas on a short drop of the demand: when the demand
// returns a minute later, callers wait while the weights load again.
func TestShortDemandDropKeepsReplicas(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	at, held := noon, 8
	for range 30 {
		h.Observe("s", WeekSlot(at), 40)
		at = at.Add(time.Minute)
	}
	h.Observe("s", WeekSlot(at), 10)
	is.True(sumReplicas(Decide(traceInput(sagarmatha, h, at, 10, held, 0))) >= held)
	for range 120 {
		at = at.Add(time.Minute)
		h.Observe("s", WeekSlot(at), 10)
		held = sumReplicas(Decide(traceInput(sagarmatha, h, at, 10, held, 0)))
	}
	is.True(held <= 4)
}

// The demand rises at the same time every morning. Replicas that are formed only
// after the rise begins are late by the lead time of four minutes, so the forecast
// must include the rise.
func TestForecastIncludesMorningRise(t *testing.T) {
	is := is.New(t)
	tr := newTrace(1)
	h := tr.trainedHistory()
	at := traceStart.Add((trainingWeeks*7 + 2) * 24 * time.Hour).Add(8*time.Hour + 20*time.Minute)
	asked := baselineDemand(at)
	for range 5 {
		h.Observe("s", WeekSlot(at), asked)
	}
	f := h.seriesOf("s").forecastAfterLead(at, 40*time.Minute, asked)
	is.True(f.mean > 1.1*asked)
}

// One Wednesday has half the demand because of a holiday. The baseline must hardly
// change, or the next Wednesday starts with too few replicas.
func TestHolidayHardlyChangesBaseline(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	for week := range 4 {
		for slot := range SlotsPerWeek {
			demand := 40.0
			if week == 3 && slot/SlotsPerDay == 3 {
				demand = 20
			}
			h.Observe("s", slot, demand)
		}
	}
	baseline, known := h.seriesOf("s").baseline(3*SlotsPerDay + 40)
	is.True(known)
	is.True(baseline > 37)
}

func TestDowntimeWeightAddsReplicas(t *testing.T) {
	is := is.New(t)
	before := 0
	for _, w := range []float64{1, 10, 100, 1000, 10000} {
		n := sumReplicas(Decide(testInput(config.Objective{DowntimeWeight: w, StrandingWeight: 1}, 30)))
		is.True(n >= before)
		before = n
	}
	few := sumReplicas(Decide(testInput(lapwise, 30)))
	many := sumReplicas(Decide(testInput(sagarmatha, 30)))
	is.True(many > few)
}

// A replica that the demand fills is not idle. It must exist under any weights:
// without it callers wait and no idle time is saved.
func TestFilledReplicasAreKeptUnderAnyWeights(t *testing.T) {
	is := is.New(t)
	o := config.Objective{DowntimeWeight: 1, StrandingWeight: 1}
	is.True(sumReplicas(Decide(testInput(o, 30))) >= 4)
}

func TestHistoryRoundTrip(t *testing.T) {
	is := is.New(t)
	h := newTrace(2).trainedHistory()
	data, err := h.Marshal()
	is.NoErr(err)
	is.True(len(data) < 8<<10)
	back, err := Unmarshal(data)
	is.NoErr(err)
	again, err := back.Marshal()
	is.NoErr(err)
	is.Equal(string(again), string(data))
	for cut := 0; cut < len(data); cut += 97 {
		_, err := Unmarshal(data[:cut])
		is.True(err != nil)
	}
}

func TestInvalidObservationsAreIgnored(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	nan := 0.0
	nan /= nan
	for _, x := range []float64{nan, -1, 1e300} {
		h.Observe("s", 5, x)
	}
	h.Observe("s", -1, 3)
	h.Observe("s", SlotsPerWeek, 3)
	is.Equal(len(h.specs), 0)
	is.Equal(sumReplicas(Decide(testInput(sagarmatha, nan))), 1)
}

func drawInput(t *rapid.T) Input {
	in := Input{
		WallTime: noon,
		History:  NewHistory(),
		Config: &config.Document{Objective: config.Objective{
			DowntimeWeight:  rapid.Float64Range(0, 1000).Draw(t, "downtime"),
			StrandingWeight: rapid.Float64Range(0, 100).Draw(t, "stranding"),
		}},
	}
	for z := range rapid.IntRange(1, 3).Draw(t, "zones") {
		name := fleet.AvailabilityZone(fmt.Sprintf("z%d", z+1))
		in.Zones = append(in.Zones, Zone{Name: name, VMsPerDomain: rapid.SliceOfN(rapid.IntRange(0, 15), 0, 3).Draw(t, "domains"), AcceleratorsPerVM: 2})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "specs") {
		spec := config.GroupSpec{Name: fmt.Sprint("s", i), VMs: rapid.IntRange(1, 8).Draw(t, "size"), Min: rapid.IntRange(0, 3).Draw(t, "min"), OneDomain: rapid.Bool().Draw(t, "one")}
		spec.Max = spec.Min + rapid.IntRange(0, 8).Draw(t, "more")
		in.Config.Groups = append(in.Config.Groups, spec)
		for _, z := range in.Zones {
			in.ExistingReplicas = append(in.ExistingReplicas, ExistingReplicas{Spec: spec.Name, Zone: z.Name, Active: rapid.IntRange(0, 3).Draw(t, "held"), Draining: rapid.IntRange(0, 1).Draw(t, "draining")})
			in.Demand = append(in.Demand, Demand{Spec: spec.Name, Zone: z.Name, Running: rapid.Float64Range(0, 60).Draw(t, "running")})
		}
	}
	for range rapid.IntRange(0, 40).Draw(t, "observed") {
		in.History.Observe("s0", rapid.IntRange(0, SlotsPerWeek-1).Draw(t, "slot"), rapid.Float64Range(0, 60).Draw(t, "demand"))
	}
	return in
}

// For any demand and any existing replicas: no zone gets more replicas than its VMs
// allow, no spec more than its maximum, and each spec at least its minimum unless
// no further replica of it fits.
func TestTargetsAreWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		got := Decide(in)
		free := make(map[fleet.AvailabilityZone]int)
		for _, z := range in.Zones {
			for _, n := range z.VMsPerDomain {
				free[z.Name] += n
			}
		}
		total := make(map[string]int)
		for _, tg := range got {
			spec := specOf(&in, tg.Spec)
			free[tg.Zone] -= tg.Replicas * spec.VMs
			total[tg.Spec] += tg.Replicas
			if tg.Replicas < 0 {
				t.Fatal("negative")
			}
		}
		for z, n := range free {
			if n < 0 {
				t.Fatalf("zone %s is %d VMs short", z, -n)
			}
		}
		for _, spec := range in.Config.Groups {
			checkTotal(t, &in, spec, total[spec.Name], free)
		}
	})
}

func checkTotal(t *rapid.T, in *Input, spec config.GroupSpec, n int, free map[fleet.AvailabilityZone]int) {
	if n > spec.Max {
		t.Fatalf("%s: %d replicas exceed the maximum of %d", spec.Name, n, spec.Max)
	}
	if spec.OneDomain || n >= spec.Min {
		checkDomains(t, in, spec, n)
		return
	}
	for z, left := range free {
		if left >= spec.VMs {
			t.Fatalf("%s: %d replicas are below the minimum of %d, but %s has free VMs", spec.Name, n, spec.Min, z)
		}
	}
}

// checkDomains fails if a spec that requires a single domain has more replicas than
// fit into the domains.
func checkDomains(t *rapid.T, in *Input, spec config.GroupSpec, n int) {
	fitting := 0
	for _, z := range in.Zones {
		for _, vms := range z.VMsPerDomain {
			fitting += vms / spec.VMs
		}
	}
	if spec.OneDomain && n > fitting {
		t.Fatalf("%s: %d replicas, but only %d fit into single domains", spec.Name, n, fitting)
	}
}

func specOf(in *Input, name string) *config.GroupSpec {
	for i := range in.Config.Groups {
		if in.Config.Groups[i].Name == name {
			return &in.Config.Groups[i]
		}
	}
	return nil
}

// With enough free VMs, a decision removes at most one replica of a spec, and none
// while another one drains; more demand never yields fewer replicas.
func TestGradualScaleDownAndMonotonicDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Zones {
			in.Zones[i].VMsPerDomain = []int{1000}
		}
		in.Config.Groups = in.Config.Groups[:1]
		spec := in.Config.Groups[0]
		held, draining := 0, 0
		for _, h := range in.ExistingReplicas {
			if h.Spec == spec.Name {
				held, draining = held+h.Active, draining+h.Draining
			}
		}
		n := sumReplicas(Decide(in))
		least := min(held, spec.Max)
		if draining == 0 {
			least = min(held-1, spec.Max)
		}
		if n < least {
			t.Fatalf("%d replicas left of %d, with %d draining", n, held, draining)
		}
		in.Demand[0].Running += 10
		if more := sumReplicas(Decide(in)); more < n {
			t.Fatalf("%d replicas for more demand, %d before", more, n)
		}
	})
}

func TestAdviseExport(t *testing.T) {
	base := ExportInput{
		Group: "g", PrefillPerToken: 200 * time.Microsecond, BytesPerSecond: 1e9,
		PerObjectCost: 5 * time.Millisecond, TimeLimit: 10 * time.Second, CacheLifetime: 30 * time.Minute,
	}
	hot := PrefixUsage{Prefix: 1, Tokens: 4000, UsesPerHour: 60, Bytes: 100e6}
	cold, elsewhere, big := hot, hot, hot
	cold.Prefix, cold.UsesPerHour = 2, 0.1
	elsewhere.Prefix, elsewhere.Held = 3, true
	big.Prefix, big.Bytes = 4, 2e9
	hotter := PrefixUsage{Prefix: 5, Tokens: 8000, UsesPerHour: 60, Bytes: 100e6}
	short, down := base, base
	short.TimeLimit = 150 * time.Millisecond
	down.BytesPerSecond = 0
	cases := []struct {
		name string
		e    ExportInput
		heat []PrefixUsage
		want []uint64
		why  string
	}{
		{"often used prefixes, best saving first", base, []PrefixUsage{hot, cold, hotter}, []uint64{5, 1}, reasonExport},
		{"not a prefix that another replica has", base, []PrefixUsage{elsewhere}, nil, reasonNoSaving},
		{"not a prefix that costs more to move than to compute", base, []PrefixUsage{big}, nil, reasonNoSaving},
		{"only prefixes that fit into the time of the drain", short, []PrefixUsage{hot, hotter}, []uint64{5}, reasonExport},
		{"no transfer rate", down, []PrefixUsage{hot}, nil, reasonNoTransfer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.e.PrefixUsage = c.heat
			a := AdviseExport(c.e)
			is.Equal(a.Prefixes, c.want)
			is.Equal(a.Reason, c.why)
			is.Equal(a.NetSaving > 0, len(c.want) > 0)
		})
	}
}

// For each user, the decisions under its own weights have the least cost.
func TestOwnWeightsCostLeast(t *testing.T) {
	is := is.New(t)
	all := make([]result, len(policyCases))
	for i, c := range policyCases {
		all[i] = runSeeds(c, 1)
	}
	for u, user := range users {
		for i := range all {
			if i != u {
				is.True(all[u].cost(user.objective) < all[i].cost(user.objective))
			}
		}
	}
}
