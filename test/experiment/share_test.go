package experiment

import (
	"slices"
	"testing"
	"time"

	"chervilloom/internal/load"
)

// Organisation A may send shareLookups and shareChats a second and sends ten
// times as many.
const (
	shareLookups = 50
	shareChats   = 5
	floodFactor  = 10
	rateOfB      = 100 // lookups a second
	shareTime    = 4 * time.Second
	pairs        = 5 // of a run without and one with the flood
)

// BenchmarkFloodOfOneOrganisation gives the latency of organisation B's lookups
// without and with the flood of organisation A, in turn on one fleet. "capped"
// has a rate cap at A's share; "uncapped" has none, and all of the flood is
// within what the services can do.
func BenchmarkFloodOfOneOrganisation(b *testing.B) {
	for name, limits := range map[string]string{"capped": ", rate: 5, lookups: 50", "uncapped": ""} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				flood(b, limits)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// latency is the 99th percentile of organisation B's lookups in microseconds,
// through the nodes and at the services themselves in the same run. The latter
// shows what the machine alone does: caller, nodes and services share it.
type latency struct{ nodes, direct float64 }

func flood(b *testing.B, limits string) {
	b.Helper()
	f := startFleet(b, shape{nodes: 3, zones: 1, domains: 1, services: 2, slots: 64, tokens: 100, limitsA: limits})
	var alone, beside []latency
	lost, whole, sent := 0, 0, 0
	f.lookupsOfB() // warms connections up
	for range pairs {
		l, n := f.lookupsOfB()
		alone = append(alone, l)
		lost += n
		a := planOf(keyA, floodFactor*(shareLookups+shareChats), shareTime, lookup(shareLookups), chat(shareChats, 16, 0))
		wait := begin(b, a, f.nodes)
		l, n = f.lookupsOfB()
		r := wait()
		beside = append(beside, l)
		lost += n
		whole += r.Whole()
		sent += r.Sent
	}
	report := func(name string, of func(latency) float64) {
		var more []float64
		for i := range alone {
			more = append(more, 100*(of(beside[i])/of(alone[i])-1))
		}
		b.ReportMetric(middle(alone, of), name+"alone-p99-us")
		b.ReportMetric(middle(beside, of), name+"flood-p99-us")
		b.ReportMetric(median(more), name+"more-%")
	}
	report("", func(l latency) float64 { return l.nodes })
	report("direct-", func(l latency) float64 { return l.direct })
	b.ReportMetric(float64(lost), "b-not-whole")
	b.ReportMetric(100*float64(whole)/float64(max(sent, 1)), "a-whole-%")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// lookupsOfB returns the latency, and how many lookups through the nodes got no
// whole answer.
func (f *testFleet) lookupsOfB() (latency, int) {
	f.tb.Helper()
	var services []string
	for _, s := range f.services {
		services = append(services, s.addr)
	}
	c, err := load.Compare(f.tb.Context(), planOf(keyB, 2*rateOfB, shareTime, lookup(1)),
		load.Side{Name: "nodes", Targets: callers(f.nodes)}, load.Side{Name: "direct", Targets: services, Bare: true})
	must(f.tb, err)
	nodes, direct := c.Sides[0], c.Sides[1]
	return latency{float64(nodes.Kinds[0].Total.P99), float64(direct.Kinds[0].Total.P99)},
		notWhole(f.tb, "organisation B", nodes)
}

func middle(all []latency, of func(latency) float64) float64 {
	var values []float64
	for _, l := range all {
		values = append(values, of(l))
	}
	return median(values)
}

func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
