package experiment

import (
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/config"
)

// The engines answer 64 chats a second: two replicas with 16 slots each, and
// half a second for each chat.
const (
	chatsOfEngines = 2 * 16 * 50 / 25
	deadline       = 3 * time.Second
	overloadTime   = 20 // seconds
	steadyFrom     = 5  // seconds that count: the queues are full before
	steadyTo       = 18 // and empty themselves afterwards
)

// BenchmarkGoodput gives the whole answers within their deadline, as a part of
// what the engines can answer, when callers ask for as much and for twice that.
func BenchmarkGoodput(b *testing.B) {
	for _, times := range []float64{1, 2} {
		b.Run(fmt.Sprintf("load=%gx", times), func(b *testing.B) {
			for b.Loop() {
				goodput(b, times)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func goodput(b *testing.B, times float64) {
	b.Helper()
	f := startFleet(b, shape{nodes: 3, zones: 1, domains: 2, slots: 16, tokens: 50})
	p := planOf(keyA, times*chatsOfEngines, overloadTime*time.Second, chat(1, 25, deadline))
	p.Timeout = config.Duration(deadline) // a later answer is none
	r := begin(b, p, f.nodes)()
	whole, refused, failed := 0, 0, 0
	for _, s := range r.Seconds {
		if s.Second < steadyFrom || s.Second >= steadyTo {
			continue
		}
		whole += s.Whole
		refused += s.Refused
		failed += s.Failed
	}
	const seconds = steadyTo - steadyFrom
	notWhole(b, "overload", r)
	b.ReportMetric(float64(whole)/seconds, "whole/s")
	b.ReportMetric(100*float64(whole)/seconds/chatsOfEngines, "of-capacity-%")
	b.ReportMetric(float64(refused)/seconds, "not-run/s")
	b.ReportMetric(float64(failed)/seconds, "failed/s")
	b.ReportMetric(float64(r.Kinds[0].Total.P99)/1e3, "p99-ms")
	b.ReportMetric(loadAverage(b), "machine-load")
}
