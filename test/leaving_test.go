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

// leavingGracePeriod is how long an endpoint may still get new work after its
// leaving was announced.
const leavingGracePeriod = 5 * time.Second

// countedService is an in-process service that records when calls arrive,
// including those that it refuses. With hideLeaving set it doesn't report that
// it is leaving.
type countedService struct {
	*service.Service
	hideLeaving bool

	mu           sync.Mutex
	arrivalTimes []time.Time
}

func (c *countedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/leave" && c.hideLeaving:
		w.WriteHeader(http.StatusNoContent)
		return
	case r.URL.Path != "/state" && r.URL.Path != "/load" && r.URL.Path != "/leave":
		c.mu.Lock()
		c.arrivalTimes = append(c.arrivalTimes, time.Now())
		c.mu.Unlock()
	}
	c.Service.ServeHTTP(w, r)
}

// arrivalsAfter returns the number of calls that arrived after the given time.
func (c *countedService) arrivalsAfter(after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.arrivalTimes {
		if at.After(after) {
			n++
		}
	}
	return n
}

// addCountedService starts a counted service and adds it to the platform's
// list.
func (f *testFleet) addCountedService(hideLeaving bool) (*countedService, fleet.Record) {
	f.t.Helper()
	c := &countedService{Service: service.New(service.Options{VM: "counted", Zone: zoneA, Name: "counter"}), hideLeaving: hideLeaving}
	s, err := standin.Start("127.0.0.1:0", c)
	must(f.t, err)
	f.t.Cleanup(func() { must(f.t, s.Close()) })
	r := c.Record(s.Addr)
	f.register(r)
	return c, r
}

// A service VM leaves while all nodes send calls to it. Whether the operator,
// the VM or the platform's list announces it first, the VM must get no new call
// once leavingGracePeriod has passed, although the platform's list shows it as
// live again long afterwards: nodes remember the leaving state for the life of
// the endpoint. No caller may be refused.
func TestLeavingServiceGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	const lag = 3 * time.Second
	cases := map[string]struct {
		hideLeaving bool // only the state that nodes remember prevents calls
		extraTime   time.Duration
		announce    func(*testFleet, *countedService, fleet.Record)
	}{
		"operator": {announce: func(f *testFleet, _ *countedService, r fleet.Record) {
			must(f.t, f.nodes[0].client().Drain(f.t.Context(), operator.DrainRequest{VM: r.VM}))
		}},
		"endpoint": {announce: func(_ *testFleet, c *countedService, _ fleet.Record) { c.Leave() }},
		"list, delayed, then stale": {hideLeaving: true, extraTime: lag, announce: func(f *testFleet, _ *countedService, r fleet.Record) {
			setFaults(f.t, f.platformAddr, map[string]any{"list_lag": lag.String()})
			r.State = fleet.StateLeaving
			f.register(r)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
			counted, record := f.addCountedService(c.hideLeaving)
			stop := f.startBackgroundCalls()
			waitUntil(t, "calls reach the new service", func() bool { return counted.arrivalsAfter(time.Time{}) > 20 }, func() string { return "" })

			c.announce(f, counted, record)
			announced := time.Now()
			f.awaitStatusOnAll("the endpoint is leaving", func(s operator.Status) bool { return endpointState(s, "counted") == "leaving" || s.Zone != zoneA })
			if c.hideLeaving {
				setFaults(t, f.platformAddr, map[string]any{"list_lag": "0s"})
				record.State = fleet.StateLive // the list shows the VM as live again
				f.register(record)
			}
			end := announced.Add(leavingGracePeriod + c.extraTime)
			waitUntil(t, "the grace period has passed twice", func() bool { return time.Since(end) > leavingGracePeriod }, func() string { return "" })
			calls, failed := stop()
			if n := counted.arrivalsAfter(end); n > 0 {
				t.Errorf("%d calls arrived more than %v after the announcement", n, leavingGracePeriod+c.extraTime)
			}
			t.Logf("%d calls; the last one reached the leaving endpoint %v after the announcement", calls, counted.lastArrival().Sub(announced))
			for _, a := range failed {
				t.Errorf("a caller got %v", a)
			}
		})
	}
}

// lastArrival returns the time of the last call.
func (c *countedService) lastArrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.MaxFunc(c.arrivalTimes, time.Time.Compare)
}

// endpointState returns the state of the VM's endpoint in the status, or "".
func endpointState(s operator.Status, vm string) string {
	for _, e := range s.Endpoints {
		if e.VM == vm {
			return e.State
		}
	}
	return ""
}

// startBackgroundCalls starts callers at every node that send lookups and
// receipts. The returned function stops them and returns the number of calls
// and the results of the failed ones.
func (f *testFleet) startBackgroundCalls() func() (int, []callResult) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var calls atomic.Int64
	var mu sync.Mutex
	var failed []callResult
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
				if err := checkCall(method, path, body, a); err != nil || !a.isComplete() {
					mu.Lock()
					failed = append(failed, a)
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond) // interval between calls; no check depends on it
			}
		})
	}
	return func() (int, []callResult) {
		cancel()
		work.Wait()
		return int(calls.Load()), failed
	}
}

// An operator drains a member VM of a group while long streams run. The streams
// must finish, and new requests must go to a generation in which a spare
// replaces the VM.
func TestDrainingMemberInterruptsNoStream(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB}, engines: 5, tokensPerSec: 50})
	old := f.awaitGroup()
	streams := startLongStreams(t, f.nodes, 150)
	must(t, f.nodes[0].client().Drain(t.Context(), operator.DrainRequest{VM: fleet.VM(old.VMs[1])}))
	for _, s := range streams() {
		if err := checkChat(s.body, s.callResult); err != nil || !s.done {
			t.Errorf("the drain interrupted a stream: %v %v", err, s.callResult)
		}
	}
	if now := f.awaitRepaired(old); slices.Contains(now.VMs, old.VMs[1]) {
		t.Errorf("the leaving member is part of the new generation %v", now.VMs)
	}
	f.checkNodesAnswer()
}
