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

// startService starts an endpoint of the plain service in the test's own process and
// registers it.
func (f *testFleet) startService(vm string) *service.Service {
	f.t.Helper()
	s := service.New(service.Options{VM: fleet.VM(vm), Zone: zoneA})
	srv := httptest.NewServer(s)
	f.t.Cleanup(srv.Close)
	f.register(s.Record(srv.Listener.Addr().String()))
	return s
}

// lookUpFor has a caller of each node send lookups one after another for a while, and returns
// those that weren't served.
func (f *testFleet) lookUpFor(d time.Duration, name string) (failed []string) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for _, n := range f.nodes {
		callers.Go(func() {
			pause := time.NewTicker(pressurePause)
			defer pause.Stop()
			for k, end := 0, time.Now().Add(d); time.Now().Before(end); k++ {
				id := fmt.Sprintf("%s.%s%d", n.vm, name, k)
				if a := n.call(f.t.Context(), "GET", "/licences/7", "", map[string]string{"X-Request-Id": id}); !a.whole() {
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

// Guards against nodes that keep what an endpoint told them each by itself, and against an
// endpoint that isn't used again afterwards.
func TestNodesKeepToWhatAnEndpointTakes(t *testing.T) {
	f := startFleet(t, plan{zones: []string{zoneA, zoneA, zoneA, zoneA}})
	pressed, other := f.startService("counter-1"), f.startService("counter-2")
	for _, n := range f.nodes {
		testkit.Eventually(t, "lookups are served", func() bool {
			return n.call(t.Context(), "GET", "/first", "", nil).whole() && pressed.Pressure.Arrivals() > 0 && other.Pressure.Arrivals() > 0
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
		before := pressed.Pressure.Arrivals()
		pressed.Pressure.Set(c.signals)
		failed := f.lookUpFor(pressureTime, c.name)
		if broken := pressed.Pressure.Broken(); len(broken) > 0 {
			t.Fatalf("%s: %d times, first %s", c.name, len(broken), broken[0])
		}
		if len(failed) > 0 {
			t.Errorf("%s: %d not served, first %s", c.name, len(failed), failed[0])
		}
		t.Logf("%s: %d arrivals", c.name, pressed.Pressure.Arrivals()-before)
		if c.signals.Leaving {
			break // for good
		}
		pressed.Pressure.Set(pressure.Signals{})
		used := pressed.Pressure.Arrivals()
		testkit.Eventually(t, "it is used again", func() bool {
			f.lookUpFor(pressurePause, c.name+"-after")
			return pressed.Pressure.Arrivals() > used+20
		})
	}
}
