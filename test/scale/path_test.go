package scale

import (
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/load"
)

const loadTime = 10 * time.Second

// startRequestFleet starts a fleet to measure the cost of requests: one node
// gets requests and two other nodes are idle.
func startRequestFleet(b *testing.B) *testFleet {
	b.Helper()
	return startFleet(b, fleetSpec{nodes: 3, zones: 1, engines: 16, slots: 2048, tokens: 500})
}

// newLoadPlan returns a load plan for one kind of request at a rate per second.
func newLoadPlan(rate float64, r load.Request) *load.Plan {
	return &load.Plan{
		Version: 1, Rate: rate, Duration: config.Duration(loadTime), Arrivals: load.ArrivalsPoisson,
		InFlight: load.MaxInFlight, Timeout: config.Duration(30 * time.Second),
		Organisations: []load.Organisation{{Name: "counters", Key: callerKey, Weight: 1}},
		Requests:      []load.Request{r},
	}
}

func lookup() load.Request {
	return load.Request{Name: "lookup", Type: load.TypeLookup, Weight: 1, Service: "counter", Method: "GET", Path: "/status/{n}"}
}

func chat(words, tokens int) load.Request {
	return load.Request{Name: "chat", Type: load.TypeChat, Weight: 1, Model: "clerk", Words: words, MaxTokens: tokens, Stream: true}
}

// countAnswered returns how many requests of the first kind got a complete
// response.
func countAnswered(r *load.Report) int {
	for _, c := range r.Kinds[0].Outcomes {
		if c.Name == "whole" {
			return c.Count
		}
	}
	return 0
}

// countUnanswered returns the number of requests without a complete response,
// and logs their outcomes.
func countUnanswered(b *testing.B, r *load.Report) int {
	b.Helper()
	n := r.Sent + r.NotSent - countAnswered(r)
	if n > 0 {
		b.Logf("outcomes %v, details %v", r.Kinds[0].Outcomes, r.Kinds[0].Details)
	}
	return n
}

// BenchmarkAdded compares the latency of lookups through a node with that of
// lookups sent directly to the service. Both sides alternate in one run, each
// at the given rate.
func BenchmarkAdded(b *testing.B) {
	for _, rate := range []float64{100, 500, 1000} {
		b.Run(fmt.Sprintf("rate=%g", rate), func(b *testing.B) {
			f := startRequestFleet(b)
			for b.Loop() {
				c, err := load.Compare(b.Context(), newLoadPlan(2*rate, lookup()),
					load.Side{Name: "node", Targets: []string{f.nodes[0].caller}},
					load.Side{Name: "direct", Targets: f.services[:1], DirectToService: true})
				must(b, err)
				reportAddedLatency(b, c)
			}
		})
	}
}

// reportAddedLatency reports the difference between both sides and the direct
// latency.
func reportAddedLatency(b *testing.B, c *load.Comparison) {
	b.Helper()
	node, direct := c.Sides[0], c.Sides[1]
	for _, d := range c.Differences {
		if d.Metric == "total" {
			b.ReportMetric(float64(d.P50), "added-p50-us")
			b.ReportMetric(float64(d.P99), "added-p99-us")
		}
	}
	b.ReportMetric(float64(direct.Kinds[0].Total.P50), "direct-p50-us")
	b.ReportMetric(float64(direct.Kinds[0].Total.P99), "direct-p99-us")
	b.ReportMetric(float64(countUnanswered(b, node)), "not-ok")
	b.ReportMetric(float64(countUnanswered(b, direct)), "direct-not-ok")
	b.ReportMetric(loadAverage(b), "machine-load")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRequests measures the processor time of a node per request. Its
// growth with the rate is the cost of a lookup, its growth with the response
// length the cost of a token.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("lookups=%g", rate), func(b *testing.B) { measureRequests(b, newLoadPlan(rate, lookup())) })
	}
	for _, tokens := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("streams=50,tokens=%d", tokens), func(b *testing.B) { measureRequests(b, newLoadPlan(50, chat(100, tokens))) })
	}
	for _, words := range []int{10, 500, 2000} {
		b.Run(fmt.Sprintf("streams=50,tokens=8,words=%d", words), func(b *testing.B) { measureRequests(b, newLoadPlan(50, chat(words, 8))) })
	}
}

// measureRequests runs a load plan and reports the node's usage above that of
// an idle node.
func measureRequests(b *testing.B, p *load.Plan) {
	b.Helper()
	f := startRequestFleet(b)
	time.Sleep(settleTime)
	idle := f.sampleDuring(func() { time.Sleep(settleTime) })[0].corePercent()
	for b.Loop() {
		var r *load.Report
		s := f.sampleDuring(func() {
			var err error
			r, err = load.Run(b.Context(), load.Options{Plan: p, Targets: []string{f.nodes[0].caller}})
			must(b, err)
		})[0]
		ok := countAnswered(r)
		core := (s.corePercent() - idle) / 100 * s.seconds()
		b.ReportMetric(1e6*core/float64(max(ok, 1)), "cpu-us/request")
		b.ReportMetric(s.corePercent(), "core%")
		b.ReportMetric(s.to.memoryBytes/1e6, "MB")
		b.ReportMetric(float64(ok)/loadTime.Seconds(), "answered/s")
		b.ReportMetric(float64(countUnanswered(b, r)), "not-ok")
		b.ReportMetric(float64(r.Kinds[0].Tokens)/float64(max(ok, 1)), "tokens/request")
		b.ReportMetric(float64(r.Kinds[0].Total.P50), "p50-us")
		b.ReportMetric(float64(r.Kinds[0].Total.P99), "p99-us")
		b.ReportMetric(loadAverage(b), "machine-load")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOpenStreams measures the memory that a node uses per open stream.
func BenchmarkOpenStreams(b *testing.B) {
	for _, open := range []int{100, 400, 800, 1600} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) { measureOpenStreams(b, open) })
	}
}

// slowTokenRate, in tokens per second, makes streams stay open for the whole
// measurement.
const slowTokenRate = 4

// measureOpenStreams measures a node's memory with the given number of open
// streams.
func measureOpenStreams(b *testing.B, open int) {
	for b.Loop() {
		f := startFleet(b, fleetSpec{nodes: 3, zones: 1, engines: 16, slots: 2048, tokens: slowTokenRate})
		time.Sleep(settleTime)
		before := f.nodes[0].takeSample(b)
		p := newLoadPlan(float64(open)/loadTime.Seconds(), chat(100, slowTokenRate*20))
		done := make(chan *load.Report, 1)
		go func() {
			r, _ := load.Run(b.Context(), load.Options{Plan: p, Targets: []string{f.nodes[0].caller}})
			done <- r
		}()
		time.Sleep(loadTime + 2*time.Second)
		during := f.nodes[0].takeSample(b)
		openCount := during.sum("chervilloom_accept_in_flight_requests")
		r := <-done
		b.ReportMetric(openCount, "held")
		b.ReportMetric((during.memoryBytes-before.memoryBytes)/1e3/max(openCount, 1), "KB/stream")
		b.ReportMetric(during.memoryBytes/1e6, "MB")
		b.ReportMetric(float64(countUnanswered(b, r)), "not-ok")
		b.ReportMetric(loadAverage(b), "machine-load")
	}
	b.ReportMetric(0, "ns/op")
}
