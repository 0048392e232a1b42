package experiment

import (
	"slices"
	"testing"
	"time"
)

// Organisation A may send shareLookups and shareChats a second and sends ten
// times as many.
const (
	shareLookups = 50
	shareChats   = 5
	floodFactor  = 10
	rateOfB      = 100 // lookups a second
	shareTime    = 5 * time.Second
	pairs        = 4 // of a run without and one with the flood
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

func flood(b *testing.B, limits string) {
	b.Helper()
	f := startFleet(b, shape{nodes: 3, zones: 1, domains: 1, services: 2, slots: 64, tokens: 100, limitsA: limits})
	var alone, beside, ratios []float64
	lost, whole, sent := 0, 0, 0
	f.lookupsOfB() // warms connections up
	for range pairs {
		p, n := f.lookupsOfB()
		alone = append(alone, p)
		lost += n
		a := planOf(keyA, floodFactor*(shareLookups+shareChats), shareTime, lookup(shareLookups), chat(shareChats, 16, 0))
		wait := begin(b, a, f.nodes)
		p, n = f.lookupsOfB()
		r := wait()
		beside = append(beside, p)
		ratios = append(ratios, 100*(p/alone[len(alone)-1]-1))
		lost += n
		whole += r.Whole()
		sent += r.Sent
	}
	b.ReportMetric(middle(alone), "alone-p99-us")
	b.ReportMetric(middle(beside), "flood-p99-us")
	b.ReportMetric(middle(ratios), "more-%")
	b.ReportMetric(float64(lost), "b-not-whole")
	b.ReportMetric(100*float64(whole)/float64(max(sent, 1)), "a-whole-%")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// lookupsOfB returns the 99th percentile in microseconds, and how many lookups
// got no whole answer.
func (f *testFleet) lookupsOfB() (p99 float64, lost int) {
	f.tb.Helper()
	r := begin(f.tb, planOf(keyB, rateOfB, shareTime, lookup(1)), f.nodes)()
	return float64(r.Kinds[0].Total.P99), notWhole(f.tb, "organisation B", r)
}

func middle(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
