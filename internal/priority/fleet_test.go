package priority

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilloom/internal/clock"
)

// arrivals is one source of requests.
type arrivals struct {
	level        int
	organisation string
	rate         float64 // requests a second at all nodes
	burst        float64 // factor for the rate from second burstFrom on
	repeats      bool    // clients repeat refused requests at once, at the same node
}

const (
	burstFrom   = 10
	fleetNodes  = 20
	fleetTick   = 5 * time.Millisecond
	fleetSlots  = 400
	runTime     = 1500 * time.Millisecond
	viewAge     = 150 * time.Millisecond
	fleetEnds   = 40 * time.Second
	fleetRate   = fleetSlots / 1.5 // requests a second that the slots serve
	mostRepeats = 3
)

// result is what a source was served from second burstFrom on.
type result struct{ asked, served, refusedWithFree float64 }

func (r result) share() float64 { return r.served / math.Max(1, r.asked) }

// play lets nodes with a late view of the free slots decide about requests for one model. With
// ranks false, requests are refused only if no slot is free.
func play(seed uint64, ranks bool, sources ...arrivals) []result {
	rng := rand.New(rand.NewPCG(seed, 1))
	histories := make([]History, fleetNodes)
	results := make([]result, len(sources))
	var ends []clock.Instant
	var free []float64
	start := clock.Instant(time.Hour)
	for now := start; now.Sub(start) < fleetEnds; now = now.Add(fleetTick) {
		kept := ends[:0]
		for _, e := range ends {
			if e > now {
				kept = append(kept, e)
			}
		}
		ends = kept
		free = append(free, float64(fleetSlots-len(ends)))
		seen := free[max(0, len(free)-1-int(viewAge/fleetTick))]
		busy := float64(fleetSlots) - seen
		supply := Supply{Slots: fleetSlots, Free: seen, Turnover: busy / runTime.Seconds(), Nodes: fleetNodes}
		counts := now.Sub(start) >= burstFrom*time.Second
		var due []int // sources of the requests of this tick
		for i, s := range sources {
			rate := s.rate
			if counts && s.burst > 0 {
				rate *= s.burst
			}
			for range poisson(rng, rate*fleetTick.Seconds()) {
				due = append(due, i)
			}
		}
		rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, i := range due {
			s, h := sources[i], &histories[rng.IntN(fleetNodes)]
			served, refusedWithFree := false, false
			for attempt := 0; attempt == 0 || s.repeats && attempt < mostRepeats && !served; attempt++ {
				r := Request{Level: s.level, Organisation: s.organisation, Early: attempt > 0}
				h.CountArrival(now, r)
				reason := Admitted
				if ranks {
					reason = h.Admit(now, supply, r, rng.Float64())
				}
				served = reason == Admitted && seen > 0 && len(ends) < fleetSlots
				if !served {
					h.Refuse(now)
					refusedWithFree = reason != Admitted && seen > fleetSlots*freeShare
					continue
				}
				h.Place(now, r)
				ends = append(ends, now.Add(time.Duration((0.5+rng.Float64())*float64(runTime))))
			}
			if !counts {
				continue
			}
			results[i].asked++
			if served {
				results[i].served++
			} else if refusedWithFree {
				results[i].refusedWithFree++
			}
		}
	}
	return results
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
		n++
	}
	return n
}

func overall(all []result) float64 {
	var sum result
	for _, r := range all {
		sum.asked += r.asked
		sum.served += r.served
	}
	return sum.share()
}

// Guards against a burst of the least urgent class, 2.6 times its load, that takes the slots of a
// steady most urgent class.
func TestBurstOfLeastUrgentLeavesMostUrgentServed(t *testing.T) {
	sources := []arrivals{{level: 0, rate: 0.4 * fleetRate}, {level: 1, rate: 0.5 * fleetRate, burst: 2.6}}
	before, after := play(1, false, sources...), play(1, true, sources...)
	t.Logf("served without ranks %.3f, %.3f; with ranks %.3f, %.3f", before[0].share(), before[1].share(), after[0].share(), after[1].share())
	if after[0].share() < 0.97 || before[0].share() > 0.8 {
		t.Errorf("the most urgent class is served %.3f, without ranks %.3f", after[0].share(), before[0].share())
	}
	if overall(after) < 0.93*overall(before) {
		t.Errorf("%.3f of all requests are served, without ranks %.3f", overall(after), overall(before))
	}
}

// Guards against a burst of the most urgent class, 1.8 times its load, that is served worse than a
// steady less urgent class, or that takes all slots of that class.
func TestBurstOfMostUrgentIsServedFirst(t *testing.T) {
	got := play(2, true, arrivals{level: 0, rate: 0.6 * fleetRate, burst: 1.8}, arrivals{level: 1, rate: 0.35 * fleetRate})
	t.Logf("served %.3f, %.3f", got[0].share(), got[1].share())
	if got[0].share() < got[1].share() || got[1].share() < overall(got)/4 {
		t.Errorf("served %.3f and %.3f", got[0].share(), got[1].share())
	}
}

// Guards against an organisation with ten times its usual load that takes the slots of the others.
func TestOrganisationBeyondItsShareIsRefusedFirst(t *testing.T) {
	sources := []arrivals{{organisation: "a", rate: 0.2 * fleetRate, burst: 10}}
	for _, name := range []string{"b", "c", "d"} {
		sources = append(sources, arrivals{organisation: name, rate: 0.2 * fleetRate})
	}
	before, after := play(3, false, sources...), play(3, true, sources...)
	for i := range sources {
		t.Logf("%s: served without shares %.3f, with shares %.3f", sources[i].organisation, before[i].share(), after[i].share())
	}
	for _, r := range after[1:] {
		if r.share() < 0.85 {
			t.Errorf("an organisation within its share is served %.3f", r.share())
		}
	}
	if after[0].share() < overall(after)/4 {
		t.Errorf("the largest organisation is served %.3f of %.3f", after[0].share(), overall(after))
	}
}

// Guards against clients that gain by repeating refused requests at once.
func TestImmediateRetriesGainNothing(t *testing.T) {
	got := play(4, true, arrivals{level: 0, rate: 0.4 * fleetRate}, arrivals{level: 1, rate: 0.7 * fleetRate}, arrivals{level: 1, rate: 0.7 * fleetRate, repeats: true})
	t.Logf("served %.3f, %.3f without repeats, %.3f with repeats", got[0].share(), got[1].share(), got[2].share())
	if got[0].share() < 0.95 || got[2].share() > got[1].share()+0.05 {
		t.Errorf("served %.3f, %.3f without repeats, %.3f with repeats", got[0].share(), got[1].share(), got[2].share())
	}
}

// Guards against decisions by rank, or by organisation, where there is one.
func TestOneRankIsAlwaysAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		now := clock.Instant(time.Hour)
		r := Request{Level: rapid.IntRange(0, 9).Draw(t, "level"), Organisation: rapid.SampledFrom([]string{"", "o"}).Draw(t, "organisation")}
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			h.CountArrival(now, r)
			s := Supply{Slots: 100, Free: float64(rapid.IntRange(0, 100).Draw(t, "free")), Turnover: 50, Nodes: 3}
			if reason := h.Admit(now, s, r, 0.999); reason != Admitted {
				t.Fatalf("refused: %s", reason)
			}
			h.Refuse(now)
		}
	})
}

// Guards, for any load, against a rank that starves, and against refusals for other ranks or
// organisations while there are free slots.
func TestNoRankStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sources []arrivals
		for level := range rapid.IntRange(2, 4).Draw(t, "ranks") {
			sources = append(sources, arrivals{
				level: level, rate: fleetRate * rapid.Float64Range(0.05, 0.8).Draw(t, "rate"), burst: rapid.Float64Range(1, 3).Draw(t, "burst"),
				organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
			})
		}
		got := play(rapid.Uint64().Draw(t, "seed"), true, sources...)
		for i, r := range got {
			if r.share() < overall(got)/4 {
				t.Fatalf("level %d is served %.3f of %.3f: %+v", i, r.share(), overall(got), sources)
			}
			if r.refusedWithFree > 0 {
				t.Fatalf("level %d: %.0f requests are refused although slots are free", i, r.refusedWithFree)
			}
		}
	})
}

// Guards against a rank that is refused twice: for its rank, and because its organisation wants
// more than its share. It was served 0.055 of 0.243.
func TestRankOfALargeOrganisationDoesNotStarve(t *testing.T) {
	got := play(0x26, true,
		arrivals{level: 0, organisation: "a", rate: 16, burst: 1.8}, arrivals{level: 1, organisation: "b", rate: 120, burst: 3},
		arrivals{level: 2, organisation: "b", rate: 133, burst: 1}, arrivals{level: 3, organisation: "b", rate: 158, burst: 3})
	for i, r := range got {
		t.Logf("level %d: served %.3f of %.3f", i, r.share(), overall(got))
		if r.share() < overall(got)/4 {
			t.Errorf("level %d starves", i)
		}
	}
}
