package experiment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/load"
)

// The schedule of the experiment, in seconds of the load.
const (
	darkAt   = 5
	darkFor  = 10
	loadTime = 25

	darkRate   = 60 // chats a second, of the 240 that the three groups can answer
	darkTokens = 20
	wholeShare = 0.95 // of a second's requests, at which the others carry the load
)

// BenchmarkDarkDomain pauses all engines of one of three fabric domains for ten
// seconds under a steady load of chats, whose callers do not ask again. "sends"
// are the tries that nodes sent to engines for each request, "runs" those that
// engines began.
func BenchmarkDarkDomain(b *testing.B) {
	for _, s := range []shape{
		{nodes: 3, zones: 1, domains: 3, slots: 32, tokens: 50},
		{nodes: 6, zones: 3, domains: 3, slots: 32, tokens: 50},
	} {
		b.Run(fmt.Sprintf("nodes=%d,zones=%d", s.nodes, s.zones), func(b *testing.B) {
			for b.Loop() {
				goDark(b, s)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func goDark(b *testing.B, s shape) {
	b.Helper()
	f := startFleet(b, s)
	ctx, stop := context.WithCancel(b.Context())
	down := make(chan time.Duration, 1)
	go func() { down <- f.watchDown(ctx) }()
	wait := begin(b, planOf(keyA, darkRate, loadTime*time.Second, chat(1, darkTokens, 5*time.Second)), f.nodes)
	time.Sleep(darkAt * time.Second)
	f.eachEngineOf("fabric-0", func(e *endpoint) { e.pause(b) })
	time.Sleep(darkFor * time.Second)
	f.eachEngineOf("fabric-0", func(e *endpoint) { e.resume(b) })
	r := wait()
	f.awaitServing()
	stop()
	first := float64(max(r.Sent, 1))
	runs := 0
	for _, n := range f.executions() {
		runs += n
	}
	b.ReportMetric(f.counter("chervilloom_dispatch_tries_total", `kind="group"`)/first, "sends/request")
	b.ReportMetric(float64(runs)/first, "runs/request")
	b.ReportMetric(float64(notWhole(b, "dark", r)), "not-whole")
	b.ReportMetric(float64(r.Sent), "requests")
	refused := 0
	for _, s := range r.Seconds {
		refused += s.Refused
	}
	b.ReportMetric(float64(refused), "not-run")
	b.ReportMetric(troubled(r), "troubled-s")
	b.ReportMetric(float64(r.Kinds[0].FirstToken.P99)/1e3, "first-token-p99-ms")
	b.ReportMetric(float64(r.Kinds[0].FirstToken.Max)/1e3, "first-token-most-ms")
	b.ReportMetric((<-down).Seconds(), "group-down-s")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// troubled is the time from the outage to the end of the last second in which
// too few requests got whole answers.
func troubled(r *load.Report) float64 {
	last := darkAt
	for _, s := range r.Seconds {
		all := s.Whole + s.Refused + s.Failed + s.NotSent
		if s.Second >= darkAt && float64(s.Whole) < wholeShare*float64(all) {
			last = s.Second + 1
		}
	}
	return float64(last - darkAt)
}

func (f *testFleet) eachEngineOf(domain string, do func(*endpoint)) {
	for _, e := range f.engines {
		if e.domain == domain {
			do(e)
		}
	}
}

// watchDown returns for how long the last node missed a group, until ctx ends.
func (f *testFleet) watchDown(ctx context.Context) (down time.Duration) {
	c := f.nodes[len(f.nodes)-1].client()
	for last := time.Now(); ctx.Err() == nil; time.Sleep(pollEvery) {
		s, err := c.Status(ctx)
		now := time.Now()
		if err == nil && len(serving(s)) < f.shape.domains {
			down += now.Sub(last)
		}
		last = now
	}
	return down
}

func (f *testFleet) awaitServing() {
	f.tb.Helper()
	c := f.nodes[len(f.nodes)-1].client()
	until(f.tb, "all groups serve again", func() bool {
		s, err := c.Status(f.tb.Context())
		return err == nil && len(serving(s)) == f.shape.domains
	}, func() string { return "fewer groups" })
}
