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

type contender struct {
	name string
	make func(t *trace) policy
}

var contenders = []contender{
	{"decide-sagarmatha", func(t *trace) policy { return t.decided(sagarmatha) }},
	{"decide-lapwise", func(t *trace) policy { return t.decided(lapwise) }},
	{"static-peak", func(*trace) policy { return static }},
	{"static-peak+1", func(*trace) policy { return staticSpare }},
	{"reactive", func(*trace) policy { return reactive(0) }},
	{"reactive+1", func(*trace) policy { return reactive(1) }},
}

// result is a contender's week over all seeds.
type result struct{ downtime, stranded, moves []float64 }

func runAll(c contender, seeds int) result {
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

// BenchmarkWeek prints a week of each contender: means over the seeds with the
// least and the greatest, and what each user pays for them.
func BenchmarkWeek(b *testing.B) {
	for _, c := range contenders {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				r := runAll(c, seeds)
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
	h := newTrace(1).learned()
	b.ReportAllocs()
	for b.Loop() {
		Decide(traceInput(sagarmatha, h, traceStart, 40, 8, 0))
	}
}

// BenchmarkWeights prints how the spare grows with the weight of downtime.
func BenchmarkWeights(b *testing.B) {
	for _, w := range []float64{1, 10, 100, 1000, 10000} {
		o := config.Objective{DowntimeWeight: w, StrandingWeight: 1}
		b.Run(fmt.Sprintf("downtime=%g/stranding=1", w), func(b *testing.B) {
			for b.Loop() {
				r := runAll(contender{make: func(t *trace) policy { return t.decided(o) }}, seeds)
				b.ReportMetric(mean(r.downtime), "down-s")
				b.ReportMetric(mean(r.stranded)/3600, "strand-acc-h")
				b.ReportMetric(mean(r.moves), "moves")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
