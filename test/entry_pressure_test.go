package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/standin/pressure"
	"chervilloom/platform/platformtest"
)

const (
	// trafficDuration is how long clients send: a grace period of 1 s, one 4 s
	// window of the checks, and a margin.
	trafficDuration = 6 * time.Second
	// requestInterval is the minimum time between two requests of a client.
	requestInterval = 15 * time.Millisecond
)

// traffic counts the results that clients got while an endpoint sent pressure
// signals.
type traffic struct {
	mu       sync.Mutex
	served   int
	failures map[string]int // by path, status and error
}

// sendTraffic runs one client for each node and path, each sending sequential
// requests for trafficDuration.
func (f *entryFleet) sendTraffic(paths ...string) *traffic {
	tr := &traffic{failures: map[string]int{}}
	var clients sync.WaitGroup
	for i, n := range f.nodes {
		for _, path := range paths {
			clients.Go(func() { f.sendFor(tr, n, fmt.Sprintf("n%d", i), path) })
		}
	}
	clients.Wait()
	return tr
}

func (f *entryFleet) sendFor(tr *traffic, n *entryNode, name, path string) {
	pause := time.NewTicker(requestInterval)
	defer pause.Stop()
	method := map[string]string{"/text/x": "POST"}[path] // GET otherwise
	for k, end := 0, time.Now().Add(trafficDuration); time.Now().Before(end); k++ {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		resp, err := http.DefaultClient.Do(f.request(ctx, n, method, path, fmt.Sprintf("%s.%s%d", name, path, k), "body", textHeader(7)))
		tr.recordResponse(path, resp, err)
		cancel()
		<-pause.C
	}
}

func (tr *traffic) recordResponse(path string, resp *http.Response, err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err != nil {
		tr.failures[path+" "+err.Error()]++
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || err != nil {
		tr.failures[fmt.Sprintf("%s %d %v", path, resp.StatusCode, err)]++
		return
	}
	tr.served++
}

// checkPressureRespected fails the test for each violation of the pressure
// signals that the endpoints recorded.
func (f *entryFleet) checkPressureRespected(endpoints ...*platformtest.Endpoint) {
	f.t.Helper()
	for _, e := range endpoints {
		if broken := e.Pressure.Violations(); len(broken) > 0 {
			f.t.Errorf("%s: %d violations, first: %s", e.ID, len(broken), broken[0])
		}
	}
}

// Guards against nodes that send an overloaded endpoint its usual share
// although they know its rate limit.
func TestEntryRespectsEndpointRateLimit(t *testing.T) {
	testEntryPressure(t, pressure.Signals{Limit: 1.9}, "a", "a", "a", "b", "b", "b")
}

// Guards against endpoints that get more requests after asking for a pause,
// because a fast refusal looks like an idle endpoint.
func TestEntryRespectsEndpointRetryAfter(t *testing.T) {
	testEntryPressure(t, pressure.Signals{RetryAfter: 2250 * time.Millisecond}, "a", "a", "b")
}

// Guards against endpoints that announce in their responses that they are
// leaving and still get requests until the platform's list shows it.
func TestEntryStopsUsingLeavingEndpoint(t *testing.T) {
	testEntryPressure(t, pressure.Signals{Leaving: true}, "a", "a", "b")
}

// testEntryPressure sends traffic while one of two group heads and one of two
// plain endpoints send pressure signals. The nodes must respect the signals and
// serve every request.
func testEntryPressure(t *testing.T, signals pressure.Signals, zones ...string) {
	f := startEntryFleet(t, zones...)
	head, plain := f.fleet.OpenHeads("m")[0], f.fleet.Get("i-p0")
	head.Pressure.SetSignals(signals)
	plain.Pressure.SetSignals(signals)
	before := head.Pressure.Arrivals()
	tr := f.sendTraffic("/text/x", "/lookup/x")
	f.checkPressureRespected(head, plain)
	if len(tr.failures) > 0 {
		t.Errorf("%d served; failures: %v", tr.served, tr.failures)
	}
	t.Logf("%d served; %d arrivals at the group head, %d at the plain endpoint", tr.served, head.Pressure.Arrivals()-before, plain.Pressure.Arrivals())
}
