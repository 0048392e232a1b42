package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"
)

// These tests produce the figures of docs/measurements/admit.md; run them with -v.
// The simulation is seeded, so the figures are the same every time.

const (
	simSeeds      = 5
	simSlots      = 32
	tenWeights    = 20.0
	lookupSlots   = 32
	modelDuration = 4 * time.Minute
	modelWarmUp   = time.Minute
	slotSeconds   = simSeeds * simSlots * 180.0 // of the whole measured time
)

// tenOrganisations are the weights of a current installation: ten organisations, a
// few of them large.
var tenOrganisations = map[fleet.Organisation]float64{
	"a": 5, "b": 5, "c": 3, "d": 1, "e": 1, "f": 1, "g": 1, "h": 1, "i": 1, "j": 1,
}

var organisationNames = []fleet.Organisation{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

// organisationLoads returns loads at factor times each organisation's share of
// capacity, and at ten times the share for greedy.
func organisationLoads(capacity, factor float64, greedy fleet.Organisation) []simLoad {
	var l []simLoad
	for _, o := range organisationNames {
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

func modelConfig(seed int, loads []simLoad) simConfig {
	return simConfig{
		seed: uint64(seed), duration: modelDuration, warmUp: modelWarmUp, slots: simSlots,
		loads: loads, weights: tenOrganisations, drawRequest: drawModelRequest,
	}
}

func lookupConfig(seed int, loads []simLoad) simConfig {
	return simConfig{
		seed: uint64(seed), duration: 4 * time.Second, warmUp: time.Second, slots: lookupSlots,
		loads: loads, weights: tenOrganisations, lookup: true,
		drawRequest: func(*rand.Rand) simRequest { return simRequest{} },
	}
}

func newBuckets(capacity float64) *buckets {
	b := &buckets{rates: map[fleet.Organisation]float64{}, orgs: map[fleet.Organisation]*bucket{}}
	for _, o := range organisationNames {
		b.rates[o] = capacity * tenOrganisations[o] / tenWeights
	}
	return b
}

// addResults sums the results of the given organisations.
func addResults(to *orgResults, from map[fleet.Organisation]*orgResults, orgs ...fleet.Organisation) {
	for _, o := range orgs {
		v := from[o]
		to.offered += v.offered
		to.inTime += v.inTime
		to.late += v.late
		to.refused += v.refused
		to.work += v.work
		to.refusedAfterWait += v.refusedAfterWait
		to.sends += v.sends
		to.engineWaits = append(to.engineWaits, v.engineWaits...)
		to.timesToAnswer = append(to.timesToAnswer, v.timesToAnswer...)
		to.waits = append(to.waits, v.waits...)
		to.totals = append(to.totals, v.totals...)
	}
}

// The load is two and four times the engines' capacity. Requests that cannot be
// answered in time must be refused early, so that the engines work only for callers
// that still wait and goodput stays near that at capacity. A FIFO queue without
// deadlines does not achieve this.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	policies := []struct {
		name string
		core func() stateMachine
	}{
		{"admit", func() stateMachine { return NewModels() }},
		{"fifo", func() stateMachine { return &fifo{slots: simSlots} }},
		{"buckets", func() stateMachine { return newBuckets(modelCapacity()) }},
	}
	good := map[string]map[float64]int{}
	for _, p := range policies {
		good[p.name] = map[float64]int{}
		for _, factor := range []float64{0.8, 1, 2, 4} {
			var all orgResults
			least, most := 1<<30, 0
			for seed := range simSeeds {
				before := all.inTime
				addResults(&all, modelConfig(seed, organisationLoads(modelCapacity(), factor, "")).run(p.core()), organisationNames...)
				least, most = min(least, all.inTime-before), max(most, all.inTime-before)
			}
			good[p.name][factor] = all.inTime
			t.Logf("%-7s load %.1f: in time %d of %d (a seed %d to %d), late %d, refused %d (%d after waiting), slots at useful work %.1f%%, wait p50 %.2fs p99 %.2fs",
				p.name, factor, all.inTime, all.offered, least, most, all.late, all.refused, all.refusedAfterWait,
				100*all.work/slotSeconds, quantile(all.waits, 0.5), quantile(all.waits, 0.99))
		}
	}
	for _, factor := range []float64{2, 4} {
		is.True(float64(good["admit"][factor]) >= 0.9*float64(good["admit"][1]))
		is.True(good["admit"][factor] > good["fifo"][factor])
		is.True(good["admit"][factor] > good["buckets"][factor])
	}
}

// One organisation sends ten times its share of model calls and the others less
// than theirs. The others must be answered as before, with short waits.
func TestGreedyOrganisationModelCalls(t *testing.T) {
	is := is.New(t)
	quiet := []fleet.Organisation{"b", "c", "e", "f", "g", "h", "i", "j"}
	wait := map[fleet.Organisation]float64{}
	served := map[fleet.Organisation]float64{}
	for _, greedy := range []fleet.Organisation{"", "d", "a"} {
		for _, p := range []string{"admit", "fifo"} {
			var others, own orgResults
			for seed := range simSeeds {
				var core stateMachine = NewModels()
				if p == "fifo" {
					core = &fifo{slots: simSlots}
				}
				r := modelConfig(seed, organisationLoads(modelCapacity(), 0.8, greedy)).run(core)
				addResults(&others, r, quiet...)
				if greedy != "" {
					addResults(&own, r, greedy)
				}
			}
			t.Logf("%-5s greedy %-1s: others in time %d of %d, refused %d, wait p50 %.2fs p99 %.2fs; greedy in time %d of %d",
				p, greedy, others.inTime, others.offered, others.refused, quantile(others.waits, 0.5), quantile(others.waits, 0.99), own.inTime, own.offered)
			if p == "admit" {
				wait[greedy] = quantile(others.waits, 0.5)
				served[greedy] = float64(others.inTime) / float64(others.offered)
			}
		}
	}
	for _, greedy := range []fleet.Organisation{"d", "a"} {
		is.True(wait[greedy] < 0.25)              // seconds; an answer takes 1.6 s
		is.True(served[greedy] > served[""]-0.01) // same share answered as without it
	}
}

// One organisation sends ten times its share of lookups. The others must see the
// same latencies as before and almost no refusals.
func TestGreedyOrganisationLookups(t *testing.T) {
	is := is.New(t)
	quiet := []fleet.Organisation{"e", "f", "g", "h", "i", "j"}
	capacity := lookupSlots / simLookup.Seconds()
	p99 := map[fleet.Organisation]float64{}
	for _, greedy := range []fleet.Organisation{"", "d", "a"} {
		var others, own orgResults
		for seed := range simSeeds {
			r := lookupConfig(seed, organisationLoads(capacity, 0.3, greedy)).run(NewLookups())
			addResults(&others, r, quiet...)
			if greedy != "" {
				addResults(&own, r, greedy)
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

// All organisations send four times their share. The work done for them must follow
// their weights: Jain's index over work per weight is close to one.
func TestFairness(t *testing.T) {
	is := is.New(t)
	for seed := range simSeeds {
		r := modelConfig(seed, organisationLoads(modelCapacity(), 4, "")).run(NewModels())
		var sum, squares float64
		for _, o := range organisationNames {
			x := r[o].work / tenOrganisations[o]
			sum += x
			squares += x * x
		}
		jain := sum * sum / (float64(len(organisationNames)) * squares)
		t.Logf("seed %d: Jain's index %.4f", seed, jain)
		is.True(jain > 0.98)
	}
}

// The engines have half of the reported slots, because reports are wrong or other
// nodes use them, or all callers use one node of six. The limit must adapt to the
// available capacity in both cases.
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
		var all orgResults
		for seed := range simSeeds {
			b := modelConfig(seed, organisationLoads(modelCapacity(), 2, ""))
			b.reported, b.share = c.reported, c.share
			addResults(&all, b.run(NewModels()), organisationNames...)
		}
		busy := all.work / slotSeconds
		t.Logf("%s: in time %d of %d, late %d, slots at useful work %.1f%%", c.name, all.inTime, all.offered, all.late, 100*busy)
		is.True(busy > 0.9)
	}
}

// For a minute the load is three times the capacity, then less than half of it.
// Callers that follow Retry-After must be spread over the time with free capacity.
// Callers that retry every second either give up earlier or send far more requests.
func TestRetryingCallers(t *testing.T) {
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
		var all orgResults
		for seed := range simSeeds {
			b := modelConfig(seed, organisationLoads(modelCapacity(), 0.4, ""))
			b.warmUp, b.surge, b.surgeUntil, b.retryDelay, b.tries = 0, 7.5, time.Minute, c.wait, c.tries
			addResults(&all, b.run(NewModels()), organisationNames...)
		}
		sends[c.name] = float64(all.sends) / float64(all.offered)
		answered[c.name] = float64(all.inTime) / float64(all.offered)
		t.Logf("%-21s: answered %.1f%% of %d, %.2f sends a request, from first try to answer p50 %.1fs p90 %.1fs p99 %.1fs",
			c.name, 100*answered[c.name], all.offered, sends[c.name],
			quantile(all.timesToAnswer, 0.5), quantile(all.timesToAnswer, 0.9), quantile(all.timesToAnswer, 0.99))
	}
	is.True(answered["as told, 10 tries"] > answered["each second, 10 tries"])
	is.True(sends["as told, 10 tries"] < sends["each second, 10 tries"])
	is.True(sends["as told, 10 tries"] < sends["each second, no bound"]/5)
}

// Six nodes share the engines without coordination, at twice the capacity: evenly
// loaded, with half of the load on one node, or with engines that slow down as they
// fill. The sum of the nodes' limits must be near the number of slots, and the
// engines' own queue must stay short.
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
		var all orgResults
		for seed := range simSeeds {
			b := modelConfig(seed, organisationLoads(modelCapacity(), 2, ""))
			b.share, b.node, b.slowdown = simSlots/6.0, c.node, c.slowdown
			cores := make([]stateMachine, nodes)
			for i := range cores {
				cores[i] = NewModels()
			}
			addResults(&all, b.run(cores...), organisationNames...)
		}
		busy := all.work / slotSeconds
		t.Logf("%s: in time %d of %d, late %d, refused after waiting %d, slots at useful work %.1f%%, in the engines' queue p50 %.2fs p99 %.2fs",
			c.name, all.inTime, all.offered, all.late, all.refusedAfterWait, 100*busy, quantile(all.engineWaits, 0.5), quantile(all.engineWaits, 0.99))
		is.True(busy > 0.9)
	}
}
