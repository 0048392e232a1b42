package experiment

import (
	"testing"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/load"
)

// callerTimeout is the timeout of requests without a deadline.
const callerTimeout = 10 * time.Second

// newLoadPlan returns a load plan for one organisation at a rate per second.
func newLoadPlan(key string, rate float64, d time.Duration, requests ...load.Request) *load.Plan {
	return &load.Plan{
		Version: 1, Seed: 1, Rate: rate, Duration: config.Duration(d), Arrivals: load.ArrivalsPoisson,
		InFlight: load.MaxInFlight, Timeout: config.Duration(callerTimeout),
		Organisations: []load.Organisation{{Name: key, Key: key, Weight: 1}}, Requests: requests,
	}
}

func lookup(weight int) load.Request {
	return load.Request{
		Name: "lookup", Type: load.TypeLookup, Weight: weight, Service: "counter", Method: "GET", Path: "/status/{n}",
	}
}

func chat(weight, tokens int, deadline time.Duration) load.Request {
	return load.Request{
		Name: "chat", Type: load.TypeChat, Weight: weight, Model: "clerk", Words: 20, MaxTokens: tokens, Stream: true,
		Deadline: config.Duration(deadline),
	}
}

// startLoad starts a load on the nodes. The returned function waits for the
// report.
func startLoad(tb testing.TB, p *load.Plan, nodes []*node) func() *load.Report {
	tb.Helper()
	type result struct {
		report *load.Report
		err    error
	}
	done := make(chan result, 1)
	go func() {
		r, err := load.Run(tb.Context(), load.Options{Plan: p, Targets: callerAddrs(nodes)})
		done <- result{r, err}
	}()
	return func() *load.Report {
		tb.Helper()
		r := <-done
		must(tb, r.err)
		return r.report
	}
}

// countIncomplete returns the number of requests without a complete response,
// and logs the outcomes if there are any.
func countIncomplete(tb testing.TB, name string, r *load.Report) int {
	tb.Helper()
	n := r.Sent + r.NotSent - r.Whole()
	if n == 0 {
		return 0
	}
	for i := range r.Kinds {
		tb.Logf("%s: %s: %v %v", name, r.Kinds[i].Name, r.Kinds[i].Outcomes, r.Kinds[i].Details)
	}
	return n
}
