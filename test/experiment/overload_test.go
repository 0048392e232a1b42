package experiment

import (
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/config"
)

// The engines can answer 64 chats per second: two replicas with 16 slots each,
// and half a second per chat.
const (
	engineCapacity  = 2 * 16 * 50 / 25
	deadline        = 3 * time.Second
	overloadSeconds = 20
	steadyFrom      = 5  // start of the evaluated seconds: the queues fill up before
	steadyTo        = 18 // end of the evaluated seconds: the queues drain afterwards
)

// BenchmarkGoodput measures the complete responses within their deadline as a
// share of the engines' capacity, at an offered load of once and twice the
// capacity.
func BenchmarkGoodput(b *testing.B) {
	for _, times := range []float64{1, 2} {
		b.Run(fmt.Sprintf("load=%gx", times), func(b *testing.B) {
			for b.Loop() {
				measureGoodput(b, times)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureGoodput runs the load on one fleet and reports the results.
func measureGoodput(b *testing.B, times float64) {
	b.Helper()
	f := startFleet(b, fleetSpec{nodes: 3, zones: 1, domains: 2, slots: 16, tokens: 50})
	p := newLoadPlan(keyA, times*engineCapacity, overloadSeconds*time.Second, chat(1, 25, deadline))
	p.Timeout = config.Duration(deadline) // later responses don't count
	r := startLoad(b, p, f.nodes)()
	complete, refused, failed := 0, 0, 0
	for _, s := range r.Seconds {
		if s.Second < steadyFrom || s.Second >= steadyTo {
			continue
		}
		complete += s.Whole
		refused += s.Refused
		failed += s.Failed
	}
	const seconds = steadyTo - steadyFrom
	countIncomplete(b, "overload", r)
	b.ReportMetric(float64(complete)/seconds, "whole/s")
	b.ReportMetric(100*float64(complete)/seconds/engineCapacity, "of-capacity-%")
	b.ReportMetric(float64(refused)/seconds, "not-run/s")
	b.ReportMetric(float64(failed)/seconds, "failed/s")
	b.ReportMetric(float64(r.Kinds[0].Total.P99)/1e3, "p99-ms")
	b.ReportMetric(loadAverage(b), "machine-load")
}
