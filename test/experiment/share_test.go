package experiment

import (
	"slices"
	"testing"
	"time"

	"chervilloom/internal/load"
)

// Organisation A is allowed allowedLookups and allowedChats per second and
// sends floodFactor times as many.
const (
	allowedLookups = 50
	allowedChats   = 5
	floodFactor    = 10
	lookupRateB    = 100 // lookups per second
	runTime        = 4 * time.Second
	runPairs       = 5 // pairs of a run without and a run with the flood
)

// BenchmarkFloodOfOneOrganisation measures the latency of organisation B's
// lookups without and with a flood of requests from organisation A, alternating
// on one fleet. In the "capped" case A has a rate limit at its share; in the
// "uncapped" case it has none, and the services have capacity for the whole
// flood.
func BenchmarkFloodOfOneOrganisation(b *testing.B) {
	for name, limits := range map[string]string{"capped": ", rate: 5, lookups: 50", "uncapped": ""} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measureFlood(b, limits)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// lookupLatency is the 99th percentile of organisation B's lookups in
// microseconds, through the nodes and sent directly to the services in the same
// run. The direct value shows the influence of the machine, which callers,
// nodes and services share.
type lookupLatency struct{ nodes, direct float64 }

// measureFlood runs the pairs on one fleet and reports the results.
func measureFlood(b *testing.B, limits string) {
	b.Helper()
	f := startFleet(b, fleetSpec{nodes: 3, zones: 1, domains: 1, services: 2, slots: 64, tokens: 100, limitsA: limits})
	var alone, beside []lookupLatency
	incomplete, complete, sent := 0, 0, 0
	f.runLookupsB() // establishes connections
	for range runPairs {
		l, n := f.runLookupsB()
		alone = append(alone, l)
		incomplete += n
		a := newLoadPlan(keyA, floodFactor*(allowedLookups+allowedChats), runTime, lookup(allowedLookups), chat(allowedChats, 16, 0))
		wait := startLoad(b, a, f.nodes)
		l, n = f.runLookupsB()
		r := wait()
		beside = append(beside, l)
		incomplete += n
		complete += r.Whole()
		sent += r.Sent
	}
	report := func(name string, of func(lookupLatency) float64) {
		var more []float64
		for i := range alone {
			more = append(more, 100*(of(beside[i])/of(alone[i])-1))
		}
		b.ReportMetric(medianLatency(alone, of), name+"alone-p99-us")
		b.ReportMetric(medianLatency(beside, of), name+"flood-p99-us")
		b.ReportMetric(median(more), name+"more-%")
	}
	report("", func(l lookupLatency) float64 { return l.nodes })
	report("direct-", func(l lookupLatency) float64 { return l.direct })
	b.ReportMetric(float64(incomplete), "b-not-whole")
	b.ReportMetric(100*float64(complete)/float64(max(sent, 1)), "a-whole-%")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// runLookupsB runs organisation B's lookups and returns their latency and the
// number of lookups through the nodes without a complete response.
func (f *testFleet) runLookupsB() (lookupLatency, int) {
	f.tb.Helper()
	var services []string
	for _, s := range f.services {
		services = append(services, s.addr)
	}
	c, err := load.Compare(f.tb.Context(), newLoadPlan(keyB, 2*lookupRateB, runTime, lookup(1)),
		load.Side{Name: "nodes", Targets: callerAddrs(f.nodes)}, load.Side{Name: "direct", Targets: services, DirectToService: true})
	must(f.tb, err)
	nodes, direct := c.Sides[0], c.Sides[1]
	return lookupLatency{float64(nodes.Kinds[0].Total.P99), float64(direct.Kinds[0].Total.P99)},
		countIncomplete(f.tb, "organisation B", nodes)
}

// medianLatency returns the median of one of the latency values.
func medianLatency(all []lookupLatency, value func(lookupLatency) float64) float64 {
	var values []float64
	for _, l := range all {
		values = append(values, value(l))
	}
	return median(values)
}

// median returns the median of values and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
