package scale

import (
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/load"
)

const loadTime = 10 * time.Second

// onPath is a fleet whose cost is that of requests: one node asked, two others
// idle beside it.
func onPath(b *testing.B) *testFleet {
	b.Helper()
	return startFleet(b, shape{nodes: 3, zones: 1, engines: 16, slots: 2048, tokens: 500})
}

func plan(rate float64, r load.Request) *load.Plan {
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

// answered returns how many requests of the first kind got a whole answer.
func answered(r *load.Report) int {
	for _, c := range r.Kinds[0].Outcomes {
		if c.Name == "whole" {
			return c.Count
		}
	}
	return 0
}

// unanswered logs what became of the requests that got no whole answer, and
// returns their number.
func unanswered(b *testing.B, r *load.Report) int {
	b.Helper()
	n := r.Sent + r.NotSent - answered(r)
	if n > 0 {
		b.Logf("outcomes %v, details %v", r.Kinds[0].Outcomes, r.Kinds[0].Details)
	}
	return n
}

// BenchmarkAdded compares lookups through a node with lookups at the service
// itself, in turn and in one run; each side gets the rate.
func BenchmarkAdded(b *testing.B) {
	for _, rate := range []float64{100, 500, 1000} {
		b.Run(fmt.Sprintf("rate=%g", rate), func(b *testing.B) {
			f := onPath(b)
			for b.Loop() {
				c, err := load.Compare(b.Context(), plan(2*rate, lookup()),
					load.Side{Name: "node", Targets: []string{f.nodes[0].caller}},
					load.Side{Name: "direct", Targets: f.services[:1], Bare: true})
				must(b, err)
				reportAdded(b, c)
			}
		})
	}
}

func reportAdded(b *testing.B, c *load.Comparison) {
	b.Helper()
	node, direct := c.Sides[0], c.Sides[1]
	for _, d := range c.Added {
		if d.What == "total" {
			b.ReportMetric(float64(d.P50), "added-p50-us")
			b.ReportMetric(float64(d.P99), "added-p99-us")
		}
	}
	b.ReportMetric(float64(direct.Kinds[0].Total.P50), "direct-p50-us")
	b.ReportMetric(float64(direct.Kinds[0].Total.P99), "direct-p99-us")
	b.ReportMetric(float64(unanswered(b, node)), "not-ok")
	b.ReportMetric(float64(unanswered(b, direct)), "direct-not-ok")
	b.ReportMetric(loadAverage(b), "machine-load")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRequests gives the processor time of a node for one request: its
// growth with the rate is the cost of a lookup, its growth with the length of
// the answers that of a token.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("lookups=%g", rate), func(b *testing.B) { requests(b, plan(rate, lookup())) })
	}
	for _, tokens := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("streams=50,tokens=%d", tokens), func(b *testing.B) { requests(b, plan(50, chat(100, tokens))) })
	}
	for _, words := range []int{10, 500, 2000} {
		b.Run(fmt.Sprintf("streams=50,tokens=8,words=%d", words), func(b *testing.B) { requests(b, plan(50, chat(words, 8))) })
	}
}

func requests(b *testing.B, p *load.Plan) {
	b.Helper()
	f := onPath(b)
	time.Sleep(settle)
	idle := f.watch(func() { time.Sleep(settle) })[0].core()
	for b.Loop() {
		var r *load.Report
		s := f.watch(func() {
			var err error
			r, err = load.Run(b.Context(), load.Options{Plan: p, Targets: []string{f.nodes[0].caller}})
			must(b, err)
		})[0]
		ok := answered(r)
		core := (s.core() - idle) / 100 * s.seconds()
		b.ReportMetric(1e6*core/float64(max(ok, 1)), "cpu-us/request")
		b.ReportMetric(s.core(), "core%")
		b.ReportMetric(s.to.memory/1e6, "MB")
		b.ReportMetric(float64(ok)/loadTime.Seconds(), "answered/s")
		b.ReportMetric(float64(unanswered(b, r)), "not-ok")
		b.ReportMetric(float64(r.Kinds[0].Tokens)/float64(max(ok, 1)), "tokens/request")
		b.ReportMetric(float64(r.Kinds[0].Total.P50), "p50-us")
		b.ReportMetric(float64(r.Kinds[0].Total.P99), "p99-us")
		b.ReportMetric(loadAverage(b), "machine-load")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOpenStreams gives the memory that a node holds while so many streams
// are open.
func BenchmarkOpenStreams(b *testing.B) {
	for _, open := range []int{100, 400, 800, 1600} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) { openStreams(b, open) })
	}
}

// slowTokens is the speed of a stream that stays open for long.
const slowTokens = 4

func openStreams(b *testing.B, open int) {
	for b.Loop() {
		f := startFleet(b, shape{nodes: 3, zones: 1, engines: 16, slots: 2048, tokens: slowTokens})
		time.Sleep(settle)
		before := f.nodes[0].take(b)
		p := plan(float64(open)/loadTime.Seconds(), chat(100, slowTokens*20))
		done := make(chan *load.Report, 1)
		go func() {
			r, _ := load.Run(b.Context(), load.Options{Plan: p, Targets: []string{f.nodes[0].caller}})
			done <- r
		}()
		time.Sleep(loadTime + 2*time.Second)
		at := f.nodes[0].take(b)
		held := at.sum("chervilloom_accept_in_flight_requests")
		r := <-done
		b.ReportMetric(held, "held")
		b.ReportMetric((at.memory-before.memory)/1e3/max(held, 1), "KB/stream")
		b.ReportMetric(at.memory/1e6, "MB")
		b.ReportMetric(float64(unanswered(b, r)), "not-ok")
		b.ReportMetric(loadAverage(b), "machine-load")
	}
	b.ReportMetric(0, "ns/op")
}
