package test

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/standin/pressure"
	"chervilloom/internal/standin/service"
	"chervilloom/internal/testkit"
)

// startInProcessService starts and registers a plain service in the test
// process.
func (f *testFleet) startInProcessService(vm string) *service.Service {
	f.t.Helper()
	s := service.New(service.Options{VM: fleet.VM(vm), Zone: zoneA})
	srv := httptest.NewServer(s)
	f.t.Cleanup(srv.Close)
	f.register(s.Record(srv.Listener.Addr().String()))
	return s
}

// sendLookupsFor runs one caller for each node, each sending sequential lookups
// for d, and returns the results of the failed ones.
func (f *testFleet) sendLookupsFor(d time.Duration, name string) (failed []string) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for _, n := range f.nodes {
		callers.Go(func() {
			pause := time.NewTicker(requestInterval)
			defer pause.Stop()
			for k, end := 0, time.Now().Add(d); time.Now().Before(end); k++ {
				id := fmt.Sprintf("%s.%s%d", n.vm, name, k)
				if a := n.call(f.t.Context(), "GET", "/licences/7", "", map[string]string{"X-Request-Id": id}); !a.isComplete() {
					mu.Lock()
					failed = append(failed, a.String())
					mu.Unlock()
				}
				<-pause.C
			}
		})
	}
	callers.Wait()
	return failed
}

// Guards against nodes that apply an endpoint's pressure signals separately
// instead of sharing them, and against an endpoint that gets no more calls
// after the signals end.
func TestNodesShareEndpointPressureSignals(t *testing.T) {
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA, zoneA, zoneA}})
	target, other := f.startInProcessService("counter-1"), f.startInProcessService("counter-2")
	for _, n := range f.nodes {
		// Only this node sends meanwhile: it knows an endpoint at which a call arrives.
		targetBefore, otherBefore := target.Pressure.Arrivals(), other.Pressure.Arrivals()
		testkit.Eventually(t, "the node's lookups are served by both endpoints", func() bool {
			return n.call(t.Context(), "GET", "/first", "", nil).isComplete() &&
				target.Pressure.Arrivals() > targetBefore && other.Pressure.Arrivals() > otherBefore
		})
	}
	for _, c := range []struct {
		name    string
		signals pressure.Signals
	}{
		{"limit", pressure.Signals{Limit: 1.9}},
		{"rest", pressure.Signals{RetryAfter: 2250 * time.Millisecond}},
		{"leaving", pressure.Signals{Leaving: true}},
	} {
		before := target.Pressure.Arrivals()
		target.Pressure.SetSignals(c.signals)
		failed := f.sendLookupsFor(trafficDuration, c.name)
		if broken := target.Pressure.Violations(); len(broken) > 0 {
			t.Fatalf("%s: %d violations, first: %s", c.name, len(broken), broken[0])
		}
		if len(failed) > 0 {
			t.Errorf("%s: %d lookups failed, first: %s", c.name, len(failed), failed[0])
		}
		t.Logf("%s: %d arrivals", c.name, target.Pressure.Arrivals()-before)
		if c.signals.Leaving {
			break // leaving is permanent
		}
		target.Pressure.SetSignals(pressure.Signals{})
		used := target.Pressure.Arrivals()
		testkit.Eventually(t, "the endpoint gets calls again", func() bool {
			f.sendLookupsFor(requestInterval, c.name+"-after")
			return target.Pressure.Arrivals() > used+20
		})
	}
}
