package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"
)

// The tests of this file are the source of docs/measurements/admit.md: run them
// with -v. The driver is seeded, so they give the same figures every time.

const (
	simSeeds    = 5
	simSlots    = 32
	tenWeights  = 20.0
	lookupSlots = 32
	modelLength = 4 * time.Minute
	modelWarm   = time.Minute
	slotSeconds = simSeeds * simSlots * 180.0 // of all counted time
)

// tenOrganisations have the sizes of today: ten, a few of them large.
var tenOrganisations = map[fleet.Organisation]float64{
	"a": 5, "b": 5, "c": 3, "d": 1, "e": 1, "f": 1, "g": 1, "h": 1, "i": 1, "j": 1,
}

var inOrder = []fleet.Organisation{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

// spread gives every organisation factor times its share of capacity, and
// greedy ten times its share.
func spread(capacity, factor float64, greedy fleet.Organisation) []simLoad {
	var l []simLoad
	for _, o := range inOrder {
		share := capacity * tenOrganisations[o] / tenWeights
		if o == greedy {
			l = append(l, simLoad{org: o, rate: 10 * share})
			continue
		}
		l = append(l, simLoad{org: o, rate: factor * share})
	}
	return l
}

func modelCapacity() float64 { return simSlots / meanModelService.Seconds() }

func modelBench(seed int, loads []simLoad) bench {
	return bench{
		seed: uint64(seed), length: modelLength, warm: modelWarm, slots: simSlots,
		loads: loads, weights: tenOrganisations, shape: modelShape,
	}
}

func lookupBench(seed int, loads []simLoad) bench {
	return bench{
		seed: uint64(seed), length: 4 * time.Second, warm: time.Second, slots: lookupSlots,
		loads: loads, weights: tenOrganisations, lookup: true,
		shape: func(*rand.Rand) simRequest { return simRequest{} },
	}
}

func newBuckets(capacity float64) *buckets {
	b := &buckets{rates: map[fleet.Organisation]float64{}, orgs: map[fleet.Organisation]*bucket{}}
	for _, o := range inOrder {
		b.rates[o] = capacity * tenOrganisations[o] / tenWeights
	}
	return b
}

// add sums the tallies of the named organisations.
func add(to *tally, from map[fleet.Organisation]*tally, orgs ...fleet.Organisation) {
	for _, o := range orgs {
		v := from[o]
		to.offered += v.offered
		to.good += v.good
		to.late += v.late
		to.refused += v.refused
		to.work += v.work
		to.refusedLater += v.refusedLater
		to.sends += v.sends
		to.inner = append(to.inner, v.inner...)
		to.answered = append(to.answered, v.answered...)
		to.waits = append(to.waits, v.waits...)
		to.totals = append(to.totals, v.totals...)
	}
}

// All callers together ask for two and four times what the engines can do.
// Requests that cannot be answered in time are refused at once, so the engines
// work for callers who still wait, and as many get their answer as at capacity.
// With one queue and no deadlines nobody does.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	policies := []struct {
		name string
		core func() stepper
	}{
		{"admit", func() stepper { return NewModels() }},
		{"fifo", func() stepper { return &fifo{slots: simSlots} }},
		{"buckets", func() stepper { return newBuckets(modelCapacity()) }},
	}
	good := map[string]map[float64]int{}
	for _, p := range policies {
		good[p.name] = map[float64]int{}
		for _, factor := range []float64{0.8, 1, 2, 4} {
			var all tally
			least, most := 1<<30, 0
			for seed := range simSeeds {
				before := all.good
				add(&all, modelBench(seed, spread(modelCapacity(), factor, "")).run(p.core()), inOrder...)
				least, most = min(least, all.good-before), max(most, all.good-before)
			}
			good[p.name][factor] = all.good
			t.Logf("%-7s load %.1f: in time %d of %d (a seed %d to %d), late %d, refused %d (%d after waiting), slots at useful work %.1f%%, wait p50 %.2fs p99 %.2fs",
				p.name, factor, all.good, all.offered, least, most, all.late, all.refused, all.refusedLater,
				100*all.work/slotSeconds, quantile(all.waits, 0.5), quantile(all.waits, 0.99))
		}
	}
	for _, factor := range []float64{2, 4} {
		is.True(float64(good["admit"][factor]) >= 0.9*float64(good["admit"][1]))
		is.True(good["admit"][factor] > good["fifo"][factor])
		is.True(good["admit"][factor] > good["buckets"][factor])
	}
}

// One organisation asks for ten times its share of the engines. The others ask
// for less than theirs: they are answered as before, with short waits.
func TestGreedyOrganisationModelCalls(t *testing.T) {
	is := is.New(t)
	quiet := []fleet.Organisation{"b", "c", "e", "f", "g", "h", "i", "j"}
	wait := map[fleet.Organisation]float64{}
	served := map[fleet.Organisation]float64{}
	for _, greedy := range []fleet.Organisation{"", "d", "a"} {
		for _, p := range []string{"admit", "fifo"} {
			var others, own tally
			for seed := range simSeeds {
				var core stepper = NewModels()
				if p == "fifo" {
					core = &fifo{slots: simSlots}
				}
				r := modelBench(seed, spread(modelCapacity(), 0.8, greedy)).run(core)
				add(&others, r, quiet...)
				if greedy != "" {
					add(&own, r, greedy)
				}
			}
			t.Logf("%-5s greedy %-1s: others in time %d of %d, refused %d, wait p50 %.2fs p99 %.2fs; greedy in time %d of %d",
				p, greedy, others.good, others.offered, others.refused, quantile(others.waits, 0.5), quantile(others.waits, 0.99), own.good, own.offered)
			if p == "admit" {
				wait[greedy] = quantile(others.waits, 0.5)
				served[greedy] = float64(others.good) / float64(others.offered)
			}
		}
	}
	for _, greedy := range []fleet.Organisation{"d", "a"} {
		is.True(wait[greedy] < 0.25)              // seconds, where one answer takes 1.6
		is.True(served[greedy] > served[""]-0.01) // the same requests are answered
	}
}

// One organisation makes lookups at ten times its share of the service. The
// clerks of the others see the same times as before and are hardly refused.
func TestGreedyOrganisationLookups(t *testing.T) {
	is := is.New(t)
	quiet := []fleet.Organisation{"e", "f", "g", "h", "i", "j"}
	capacity := lookupSlots / simLookup.Seconds()
	p99 := map[fleet.Organisation]float64{}
	for _, greedy := range []fleet.Organisation{"", "d", "a"} {
		var others, own tally
		for seed := range simSeeds {
			r := lookupBench(seed, spread(capacity, 0.3, greedy)).run(NewLookups())
			add(&others, r, quiet...)
			if greedy != "" {
				add(&own, r, greedy)
			}
		}
		p99[greedy] = quantile(others.totals, 0.99)
		t.Logf("greedy %-1s: others p50 %.2fms p99 %.2fms, refused %d of %d; greedy refused %d of %d",
			greedy, 1e3*quantile(others.totals, 0.5), 1e3*p99[greedy], others.refused, others.offered, own.refused, own.offered)
		is.True(float64(others.refused) <= 0.001*float64(others.offered))
	}
	is.True(p99["d"] <= 1.1*p99[""])
	is.True(p99["a"] <= 1.1*p99[""])
}

// Everybody asks for four times the share. What the organisations get follows
// their weights: Jain's index over work per weight is close to one.
func TestFairness(t *testing.T) {
	is := is.New(t)
	for seed := range simSeeds {
		r := modelBench(seed, spread(modelCapacity(), 4, "")).run(NewModels())
		var sum, squares float64
		for _, o := range inOrder {
			x := r[o].work / tenOrganisations[o]
			sum += x
			squares += x * x
		}
		jain := sum * sum / (float64(len(inOrder)) * squares)
		t.Logf("seed %d: Jain's index %.4f", seed, jain)
		is.True(jain > 0.98)
	}
}

// The engines have half of the slots that the plan says, because the reports
// are wrong or other nodes use them; or all callers come to one node of six.
// The limit finds what is there in both cases.
func TestLimitFindsTrueCapacity(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name            string
		reported, share float64
	}{
		{"as reported", simSlots, simSlots},
		{"half of what is reported", 2 * simSlots, 2 * simSlots},
		{"one node takes all callers of six", simSlots, simSlots / 6.0},
	} {
		var all tally
		for seed := range simSeeds {
			b := modelBench(seed, spread(modelCapacity(), 2, ""))
			b.reported, b.share = c.reported, c.share
			add(&all, b.run(NewModels()), inOrder...)
		}
		busy := all.work / slotSeconds
		t.Logf("%s: in time %d of %d, late %d, slots at useful work %.1f%%", c.name, all.good, all.offered, all.late, 100*busy)
		is.True(busy > 0.9)
	}
}

// For a minute three times as many requests come as the engines can answer, then
// fewer than half. Callers who heed Retry-After are spread over the time in which
// there is room. Those who try again each second either give up before it, or
// send many times as much.
func TestCallersWhoComeBack(t *testing.T) {
	is := is.New(t)
	sends := map[string]float64{}
	answered := map[string]float64{}
	eachSecond := func(*Decision) time.Duration { return time.Second }
	for _, c := range []struct {
		name  string
		tries int
		wait  func(d *Decision) time.Duration
	}{
		{"as told, 10 tries", 10, func(d *Decision) time.Duration {
			return max(time.Second, (d.RetryAfter + time.Second - 1).Truncate(time.Second))
		}},
		{"each second, 10 tries", 10, eachSecond},
		{"each second, no bound", 1 << 30, eachSecond},
	} {
		var all tally
		for seed := range simSeeds {
			b := modelBench(seed, spread(modelCapacity(), 0.4, ""))
			b.warm, b.surge, b.surgeUntil, b.comeBack, b.tries = 0, 7.5, time.Minute, c.wait, c.tries
			add(&all, b.run(NewModels()), inOrder...)
		}
		sends[c.name] = float64(all.sends) / float64(all.offered)
		answered[c.name] = float64(all.good) / float64(all.offered)
		t.Logf("%-21s: answered %.1f%% of %d, %.2f sends a request, from first try to answer p50 %.1fs p90 %.1fs p99 %.1fs",
			c.name, 100*answered[c.name], all.offered, sends[c.name],
			quantile(all.answered, 0.5), quantile(all.answered, 0.9), quantile(all.answered, 0.99))
	}
	is.True(answered["as told, 10 tries"] > answered["each second, 10 tries"])
	is.True(sends["as told, 10 tries"] < sends["each second, 10 tries"])
	is.True(sends["as told, 10 tries"] < sends["each second, no bound"]/5)
}

// Six nodes share the engines without talking about them, and twice as many
// requests come as can be answered: evenly, or half of them to one node. The
// engines also slow down as they fill. The nodes' limits add up to about the
// slots, and the engines' own queue stays short.
func TestNodesShareEngines(t *testing.T) {
	is := is.New(t)
	const nodes = 6
	for _, c := range []struct {
		name     string
		node     func(r *rand.Rand) int
		slowdown float64
	}{
		{"evenly", func(r *rand.Rand) int { return r.IntN(nodes) }, 0},
		{"half to one node", func(r *rand.Rand) int { return r.IntN(2) * r.IntN(nodes) }, 0},
		{"evenly, engines that slow down by half", func(r *rand.Rand) int { return r.IntN(nodes) }, 0.5},
	} {
		var all tally
		for seed := range simSeeds {
			b := modelBench(seed, spread(modelCapacity(), 2, ""))
			b.share, b.node, b.slowdown = simSlots/6.0, c.node, c.slowdown
			cores := make([]stepper, nodes)
			for i := range cores {
				cores[i] = NewModels()
			}
			add(&all, b.run(cores...), inOrder...)
		}
		busy := all.work / slotSeconds
		t.Logf("%s: in time %d of %d, late %d, refused after waiting %d, slots at useful work %.1f%%, in the engines' queue p50 %.2fs p99 %.2fs",
			c.name, all.good, all.offered, all.late, all.refusedLater, 100*busy, quantile(all.inner, 0.5), quantile(all.inner, 0.99))
		is.True(busy > 0.9)
	}
}
