package test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/standin"
	"chervilloom/internal/standin/service"
)

// leavingBound is how long after the word an endpoint may still get new work.
const leavingBound = 5 * time.Second

// countedService is a service in the test's own process that notes when calls
// arrive, also those that it refuses. mute has it hide that it leaves.
type countedService struct {
	*service.Service
	mute bool

	mu      sync.Mutex
	arrived []time.Time
}

func (c *countedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/leave" && c.mute:
		w.WriteHeader(http.StatusNoContent)
		return
	case r.URL.Path != "/state" && r.URL.Path != "/load" && r.URL.Path != "/leave":
		c.mu.Lock()
		c.arrived = append(c.arrived, time.Now())
		c.mu.Unlock()
	}
	c.Service.ServeHTTP(w, r)
}

// arrivals returns how many calls arrived after the instant.
func (c *countedService) arrivals(after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.arrived {
		if at.After(after) {
			n++
		}
	}
	return n
}

// addCounted starts a counted service and puts it on the platform's list.
func (f *testFleet) addCounted(mute bool) (*countedService, fleet.Record) {
	f.t.Helper()
	c := &countedService{Service: service.New(service.Options{VM: "counted", Zone: zoneA, Name: "counter"}), mute: mute}
	s, err := standin.Start("127.0.0.1:0", c)
	must(f.t, err)
	f.t.Cleanup(func() { must(f.t, s.Close()) })
	r := c.Record(s.Addr)
	f.register(r)
	return c, r
}

// A service VM leaves while all nodes send it calls. Whoever says so first, the
// operator, the VM itself or the platform's list, it gets no new call once
// leavingBound has passed, though the platform's list shows it live long after:
// leaving is kept for the life of the endpoint. No caller is refused.
func TestLeavingServiceGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	const lag = 3 * time.Second
	cases := map[string]struct {
		mute bool // only the nodes' own memory keeps calls away
		more time.Duration
		tell func(*testFleet, *countedService, fleet.Record)
	}{
		"operator": {tell: func(f *testFleet, _ *countedService, r fleet.Record) {
			must(f.t, f.nodes[0].client().Drain(f.t.Context(), operator.DrainRequest{VM: r.VM}))
		}},
		"endpoint": {tell: func(_ *testFleet, c *countedService, _ fleet.Record) { c.Leave() }},
		"list, late, then stale again": {mute: true, more: lag, tell: func(f *testFleet, _ *countedService, r fleet.Record) {
			faults(f.t, f.store, map[string]any{"list_lag": lag.String()})
			r.State = fleet.StateLeaving
			f.register(r)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
			counted, record := f.addCounted(c.mute)
			stop := f.keepCalling()
			until(t, "calls reach the new service", func() bool { return counted.arrivals(time.Time{}) > 20 }, func() string { return "" })

			c.tell(f, counted, record)
			told := time.Now()
			f.awaitAll("the endpoint is leaving", func(s operator.Status) bool { return stateOf(s, "counted") == "leaving" || s.Zone != zoneA })
			if c.mute {
				faults(t, f.store, map[string]any{"list_lag": "0s"})
				record.State = fleet.StateLive // the list forgets
				f.register(record)
			}
			end := told.Add(leavingBound + c.more)
			until(t, "the bound and as long again have passed", func() bool { return time.Since(end) > leavingBound }, func() string { return "" })
			calls, bad := stop()
			if n := counted.arrivals(end); n > 0 {
				t.Errorf("%d calls arrived more than %v after the word", n, leavingBound+c.more)
			}
			t.Logf("%d calls; the last to the leaving endpoint within %v", calls, counted.last().Sub(told))
			for _, a := range bad {
				t.Errorf("a caller was told %v", a)
			}
		})
	}
}

func (c *countedService) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.MaxFunc(c.arrived, time.Time.Compare)
}

func stateOf(s operator.Status, vm string) string {
	for _, e := range s.Endpoints {
		if e.VM == vm {
			return e.State
		}
	}
	return ""
}

// keepCalling has callers at every node ask for lookups and receipts. The
// function that it returns stops them and tells how many calls there were and
// which were not whole.
func (f *testFleet) keepCalling() func() (int, []told) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var calls atomic.Int64
	var mu sync.Mutex
	var bad []told
	var work sync.WaitGroup
	for i, n := range f.nodes {
		work.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				method, path, body := "GET", fmt.Sprintf("/licences/%d/%d", i, k), ""
				if k%2 == 1 {
					method, path, body = "POST", fmt.Sprintf("/receipts/%d/%d", i, k), receipt
				}
				a := n.call(context.WithoutCancel(ctx), method, path, body, nil)
				calls.Add(1)
				if err := checkCall(method, path, body, a); err != nil || !a.whole() {
					mu.Lock()
					bad = append(bad, a)
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond) // paces the callers; proves nothing
			}
		})
	}
	return func() (int, []told) {
		cancel()
		work.Wait()
		return int(calls.Load()), bad
	}
}

// An operator drains a member VM of a group under long streams. The streams in
// progress end whole, new requests go to a generation without the VM, which a
// spare completes.
func TestLeavingMemberCutsNoStream(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB}, engines: 5, tokensPerSec: 50})
	old := f.group()
	streams := longStreams(t, f.nodes, 150)
	must(t, f.nodes[0].client().Drain(t.Context(), operator.DrainRequest{VM: fleet.VM(old.VMs[1])}))
	for _, s := range streams() {
		if err := checkChat(s.body, s.told); err != nil || !s.done {
			t.Errorf("a stream in progress was cut by the drain: %v %v", err, s.told)
		}
	}
	if now := f.repaired(old); slices.Contains(now.VMs, old.VMs[1]) {
		t.Errorf("the leaving member is in the new generation %v", now.VMs)
	}
	f.mustAnswer()
}
