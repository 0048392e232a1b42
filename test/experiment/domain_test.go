package experiment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/load"
)

// Schedule of the load, in seconds, and its rates.
const (
	outageStart = 5
	outageTime  = 10
	loadTime    = 25

	outageRate   = 60 // chats per second; the three groups can answer 240
	outageTokens = 20
	healthyShare = 0.95 // share of a second's requests with complete responses that counts as recovered
)

// BenchmarkDarkDomain pauses all engines of one of three fabric domains for ten
// seconds under a steady load of chats whose callers don't retry. The metric
// "sends" is the number of attempts that nodes sent to engines per request,
// "runs" the number that engines started.
func BenchmarkDarkDomain(b *testing.B) {
	for _, s := range []fleetSpec{
		{nodes: 3, zones: 1, domains: 3, slots: 32, tokens: 50},
		{nodes: 6, zones: 3, domains: 3, slots: 32, tokens: 50},
	} {
		b.Run(fmt.Sprintf("nodes=%d,zones=%d", s.nodes, s.zones), func(b *testing.B) {
			for b.Loop() {
				measureDomainOutage(b, s)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureDomainOutage runs the load with the outage on one fleet and reports
// the results.
func measureDomainOutage(b *testing.B, s fleetSpec) {
	b.Helper()
	f := startFleet(b, s)
	ctx, stop := context.WithCancel(b.Context())
	down := make(chan time.Duration, 1)
	go func() { down <- f.measureGroupDowntime(ctx) }()
	wait := startLoad(b, newLoadPlan(keyA, outageRate, loadTime*time.Second, chat(1, outageTokens, 5*time.Second)), f.nodes)
	time.Sleep(outageStart * time.Second)
	f.forEachEngine("fabric-0", func(e *endpoint) { e.pause(b) })
	time.Sleep(outageTime * time.Second)
	f.forEachEngine("fabric-0", func(e *endpoint) { e.resume(b) })
	r := wait()
	f.awaitServing()
	stop()
	requests := float64(max(r.Sent, 1))
	runs := 0
	for _, n := range f.executions() {
		runs += n
	}
	b.ReportMetric(f.sumCounters("chervilloom_dispatch_tries_total", `kind="group"`)/requests, "sends/request")
	b.ReportMetric(float64(runs)/requests, "runs/request")
	b.ReportMetric(float64(countIncomplete(b, "dark", r)), "not-whole")
	b.ReportMetric(float64(r.Sent), "requests")
	refused := 0
	for _, s := range r.Seconds {
		refused += s.Refused
	}
	b.ReportMetric(float64(refused), "not-run")
	b.ReportMetric(outageSeconds(r), "troubled-s")
	b.ReportMetric(float64(r.Kinds[0].FirstToken.P99)/1e3, "first-token-p99-ms")
	b.ReportMetric(float64(r.Kinds[0].FirstToken.Max)/1e3, "first-token-most-ms")
	b.ReportMetric((<-down).Seconds(), "group-down-s")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// outageSeconds returns the time from the start of the outage to the end of the
// last second in which the share of complete responses was below healthyShare.
func outageSeconds(r *load.Report) float64 {
	last := outageStart
	for _, s := range r.Seconds {
		all := s.Whole + s.Refused + s.Failed + s.NotSent
		if s.Second >= outageStart && float64(s.Whole) < healthyShare*float64(all) {
			last = s.Second + 1
		}
	}
	return float64(last - outageStart)
}

// forEachEngine calls do for each engine of the domain.
func (f *testFleet) forEachEngine(domain string, do func(*endpoint)) {
	for _, e := range f.engines {
		if e.domain == domain {
			do(e)
		}
	}
}

// measureGroupDowntime returns for how long the last node reported fewer
// serving groups than domains, until ctx ends.
func (f *testFleet) measureGroupDowntime(ctx context.Context) (down time.Duration) {
	c := f.nodes[len(f.nodes)-1].client()
	for last := time.Now(); ctx.Err() == nil; time.Sleep(pollInterval) {
		s, err := c.Status(ctx)
		now := time.Now()
		if err == nil && len(servingGroups(s)) < f.spec.domains {
			down += now.Sub(last)
		}
		last = now
	}
	return down
}

// awaitServing waits until the last node reports all groups as serving.
func (f *testFleet) awaitServing() {
	f.tb.Helper()
	c := f.nodes[len(f.nodes)-1].client()
	waitUntil(f.tb, "all groups serve again", func() bool {
		s, err := c.Status(f.tb.Context())
		return err == nil && len(servingGroups(s)) == f.spec.domains
	}, func() string { return "fewer serving groups" })
}
