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
	// pressureTime is how long clients send: a grace of a second, one of the checks' windows
	// of 4 s, and some more.
	pressureTime = 6 * time.Second
	// pressurePause is between two requests of a client.
	pressurePause = 15 * time.Millisecond
)

// traffic is what clients got while an endpoint said how much it takes.
type traffic struct {
	mu     sync.Mutex
	served int
	other  map[string]int // by path, status and error
}

// sendTraffic has one client a node and path send requests one after another for a while.
func (f *entryFleet) sendTraffic(paths ...string) *traffic {
	tr := &traffic{other: map[string]int{}}
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
	pause := time.NewTicker(pressurePause)
	defer pause.Stop()
	method := map[string]string{"/text/x": "POST"}[path] // GET otherwise
	for k, end := 0, time.Now().Add(pressureTime); time.Now().Before(end); k++ {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		resp, err := http.DefaultClient.Do(f.request(ctx, n, method, path, fmt.Sprintf("%s.%s%d", name, path, k), "body", textHeader(7)))
		tr.note(path, resp, err)
		cancel()
		<-pause.C
	}
}

func (tr *traffic) note(path string, resp *http.Response, err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err != nil {
		tr.other[path+" "+err.Error()]++
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || err != nil {
		tr.other[fmt.Sprintf("%s %d %v", path, resp.StatusCode, err)]++
		return
	}
	tr.served++
}

// keptTo fails the test for whatever the endpoints' callers did against what they were told.
func (f *entryFleet) keptTo(endpoints ...*platformtest.Endpoint) {
	f.t.Helper()
	for _, e := range endpoints {
		if broken := e.Pressure.Broken(); len(broken) > 0 {
			f.t.Errorf("%s: %d times, first %s", e.ID, len(broken), broken[0])
		}
	}
}

// Guards against endpoints in need that get their usual share from nodes that know the limit.
func TestEntryKeepsTheRateLimitOfAnEndpoint(t *testing.T) {
	testEntryPressure(t, pressure.Signals{Limit: 1.9}, "a", "a", "a", "b", "b", "b")
}

// Guards against endpoints that asked for rest and get more requests than before, because a
// fast refusal looks like an idle endpoint.
func TestEntryLeavesAnEndpointAtRest(t *testing.T) {
	testEntryPressure(t, pressure.Signals{RetryAfter: 2250 * time.Millisecond}, "a", "a", "b")
}

// Guards against endpoints that say in their answers that they leave and get requests until
// the platform's list says so too.
func TestEntryLeavesAnEndpointThatSaysItLeaves(t *testing.T) {
	testEntryPressure(t, pressure.Signals{Leaving: true}, "a", "a", "b")
}

// testEntryPressure sends traffic while one of two heads and one of two plain endpoints say
// how much they take: nodes in the zones keep to it, and all is served.
func testEntryPressure(t *testing.T, signals pressure.Signals, zones ...string) {
	f := startEntryFleet(t, zones...)
	head, plain := f.fleet.Open("m")[0], f.fleet.Get("i-p0")
	head.Pressure.Set(signals)
	plain.Pressure.Set(signals)
	before := head.Pressure.Arrivals()
	tr := f.sendTraffic("/text/x", "/lookup/x")
	f.keptTo(head, plain)
	if len(tr.other) > 0 {
		t.Errorf("%d served, not served: %v", tr.served, tr.other)
	}
	t.Logf("%d served; %d and %d at these endpoints", tr.served, head.Pressure.Arrivals()-before, plain.Pressure.Arrivals())
}
