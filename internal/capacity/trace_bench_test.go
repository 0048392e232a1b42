package capacity

import (
	"fmt"
	"slices"
	"testing"

	"chervilloom/internal/config"
)

const seeds = 5

var users = []struct {
	name      string
	objective config.Objective
}{{"sagarmatha", sagarmatha}, {"lapwise", lapwise}}

type policyCase struct {
	name string
	make func(t *trace) policy
}

var policyCases = []policyCase{
	{"decide-sagarmatha", func(t *trace) policy { return t.decidePolicy(sagarmatha) }},
	{"decide-lapwise", func(t *trace) policy { return t.decidePolicy(lapwise) }},
	{"static-peak", func(*trace) policy { return staticPeak }},
	{"static-peak+1", func(*trace) policy { return staticPeakWithSpare }},
	{"reactive", func(*trace) policy { return reactive(0) }},
	{"reactive+1", func(*trace) policy { return reactive(1) }},
}

// result is the outcome of a policy's week, by seed.
type result struct{ downtime, stranded, moves []float64 }

func runSeeds(c policyCase, seeds int) result {
	var r result
	for seed := range seeds {
		t := newTrace(uint64(seed + 1))
		s := t.run(c.make(t))
		r.downtime = append(r.downtime, s.downtime)
		r.stranded = append(r.stranded, s.stranded)
		r.moves = append(r.moves, float64(s.moves))
	}
	return r
}

func mean(v []float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}
	return s / float64(len(v))
}

func (r *result) cost(o config.Objective) float64 {
	return o.DowntimeWeight*mean(r.downtime) + o.StrandingWeight*mean(r.stranded)
}

// BenchmarkWeek reports one week of each policy: means, minima and maxima over the
// seeds, and the cost under each user's objective.
func BenchmarkWeek(b *testing.B) {
	for _, c := range policyCases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				r := runSeeds(c, seeds)
				b.ReportMetric(mean(r.downtime), "down-s")
				b.ReportMetric(slices.Min(r.downtime), "down-least-s")
				b.ReportMetric(slices.Max(r.downtime), "down-most-s")
				b.ReportMetric(mean(r.stranded)/3600, "strand-acc-h")
				b.ReportMetric(slices.Min(r.stranded)/3600, "strand-least-acc-h")
				b.ReportMetric(slices.Max(r.stranded)/3600, "strand-most-acc-h")
				b.ReportMetric(mean(r.moves), "moves")
				for _, u := range users {
					b.ReportMetric(r.cost(u.objective)/1e6, "cost-"+u.name+"-M")
				}
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	h := newTrace(1).trainedHistory()
	b.ReportAllocs()
	for b.Loop() {
		Decide(traceInput(sagarmatha, h, traceStart, 40, 8, 0))
	}
}

// BenchmarkWeights reports downtime and stranding for growing weights of downtime.
func BenchmarkWeights(b *testing.B) {
	for _, w := range []float64{1, 10, 100, 1000, 10000} {
		o := config.Objective{DowntimeWeight: w, StrandingWeight: 1}
		b.Run(fmt.Sprintf("downtime=%g/stranding=1", w), func(b *testing.B) {
			for b.Loop() {
				r := runSeeds(policyCase{make: func(t *trace) policy { return t.decidePolicy(o) }}, seeds)
				b.ReportMetric(mean(r.downtime), "down-s")
				b.ReportMetric(mean(r.stranded)/3600, "strand-acc-h")
				b.ReportMetric(mean(r.moves), "moves")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
