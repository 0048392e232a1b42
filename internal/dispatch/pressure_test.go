package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/pressure"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

const (
	// pressureDuration covers the grace period of one second and one check window of 4 s,
	// with a margin.
	pressureDuration = 6 * time.Second
	pressurePause    = 15 * time.Millisecond
)

// sendFor sends requests sequentially for pressureDuration and returns the failures.
func (r *rig) sendFor(name string, make func(id string) *request.Request) (failed []string) {
	pause := time.NewTicker(pressurePause)
	defer pause.Stop()
	for k, end := 0, time.Now().Add(pressureDuration); time.Now().Before(end); k++ {
		req := make(fmt.Sprintf("%s.%d", name, k))
		if c := r.serve(context.Background(), req); !c.end.Complete {
			failed = append(failed, fmt.Sprintf("%s: %v", req.ID, c.end.Error))
		}
		<-pause.C
	}
	return failed
}

// Guards against a node that knows an endpoint's rate limit and exceeds it.
func TestEndpointRateLimitIsRespected(t *testing.T) {
	testPressure(t, pressure.Signals{Limit: 1.9})
}

// Guards against requests to an endpoint that asked for a backoff.
func TestEndpointInBackoffGetsNoRequests(t *testing.T) {
	testPressure(t, pressure.Signals{RetryAfter: 2250 * time.Millisecond})
}

// Guards against endpoints that announce in their responses that they leave and receive
// requests until a probe reports it.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	testPressure(t, pressure.Signals{Leaving: true})
}

// testPressure sends traffic while one of two engines and one of two plain endpoints
// announce limits: the limits must be kept and all requests served.
func testPressure(t *testing.T, signals pressure.Signals) {
	r := newRig(t, nil)
	engine, other := r.addEngine(standin.Options{}), r.addEngine(standin.Options{})
	plain, second := r.addService(), r.addService()
	engine.Pressure.SetSignals(signals)
	plain.Pressure.SetSignals(signals)
	var clients sync.WaitGroup
	for name, make := range map[string]func(id string) *request.Request{
		"lookup": r.lookup, "call": r.receipt,
		"stream": func(id string) *request.Request { return sameChat(r, id, true) },
	} {
		clients.Go(func() {
			if failed := r.sendFor(name, make); len(failed) > 0 {
				t.Errorf("%d of %s not served, first %s", len(failed), name, failed[0])
			}
		})
	}
	clients.Wait()
	for name, broken := range map[string][]string{"engine": engine.Pressure.Violations(), "plain": plain.Pressure.Violations()} {
		if len(broken) > 0 {
			t.Errorf("%s: limit violated %d times, first %s", name, len(broken), broken[0])
		}
	}
	t.Logf("arrivals: limited endpoints %d and %d, others %d and %d", engine.Pressure.Arrivals(), plain.Pressure.Arrivals(), other.Pressure.Arrivals(), second.Pressure.Arrivals())
}

// Guards against applying the signals of an earlier incarnation of an endpoint.
func TestRestartedEndpointIsUsed(t *testing.T) {
	r := newRig(t, nil)
	plain, other := r.addService(), r.addService()
	setBoot := func() {
		r.change(func(s *view.Snapshot) { s.VMs[0].Load.Boot = plain.State().Boot })
	}
	setBoot()
	plain.Pressure.SetSignals(pressure.Signals{Leaving: true})
	for i := range 5 {
		r.serve(context.Background(), r.lookup(fmt.Sprintf("leaving.%d", i)))
	}
	if plain.Pressure.Arrivals() != 1 || other.Pressure.Arrivals() != 4 {
		t.Fatalf("%d and %d arrivals, want 1 and 4", plain.Pressure.Arrivals(), other.Pressure.Arrivals())
	}
	plain.Restart()
	setBoot()
	plain.Pressure.SetSignals(pressure.Signals{})
	for i := range 5 {
		r.serve(context.Background(), r.lookup(fmt.Sprintf("next.%d", i)))
	}
	if plain.Pressure.Arrivals() != 6 {
		t.Errorf("%d arrivals in both lives, want 6", plain.Pressure.Arrivals())
	}
}

// Guards against treating a backoff as a failure, which would keep the endpoint avoided
// long after the backoff is over.
func TestBackoffIsNoEndpointFailure(t *testing.T) {
	r := newRig(t, nil)
	plain, _ := r.addService(), r.addService()
	plain.Pressure.SetSignals(pressure.Signals{RetryAfter: time.Minute})
	r.serve(context.Background(), r.lookup("rest.1"))
	if plain.Pressure.Arrivals() != 1 {
		t.Fatalf("%d arrivals", plain.Pressure.Arrivals())
	}
	for _, res := range r.router.results {
		if res.Failed {
			t.Errorf("a try counts as a failure of its endpoint: %+v", res)
		}
	}
}

// hidingRouter omits an endpoint from some choices, as after a late probe reply.
type hidingRouter struct {
	*listRouter
	remaining int
}

func (h *hidingRouter) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	if h.remaining > 0 {
		h.remaining--
		tried = append(tried, route.TriedDestination{VM: "s2"})
	}
	return h.listRouter.Pick(req, snap, now, tried)
}

// Guards against refusals because one endpoint is in backoff while a late probe reply
// hides the other one.
func TestRequestWaitsWhileAnotherEndpointIsInBackoff(t *testing.T) {
	h := &hidingRouter{}
	r := newRig(t, func(o *Options) {
		h.listRouter = o.Router.(*listRouter)
		o.Router, o.PickWait = h, waitTimeout
	})
	limited, _ := r.addService(), r.addService()
	limited.Pressure.SetSignals(pressure.Signals{RetryAfter: time.Minute})
	for i := range 2 {
		if c := r.serve(context.Background(), r.lookup(fmt.Sprintf("rest.%d", i))); !c.end.Complete {
			t.Error(c.end.Error)
		}
		h.remaining = 2
	}
	if n := limited.Pressure.Arrivals(); n != 1 {
		t.Errorf("%d arrivals at the endpoint in backoff, want 1", n)
	}
}

// competingRouter simulates a concurrent request that uses up the limit of an endpoint after
// it was chosen.
type competingRouter struct {
	*listRouter
	guard *backpressure.Guard
}

func (r *competingRouter) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	c, err := r.listRouter.Pick(req, snap, now, tried)
	if err == nil && c.VM.Record.VM == "s1" {
		r.guard.Take("s1@")
	}
	return c, err
}

// Guards against consuming retry budget for a send that backpressure stopped, although
// nothing was sent.
func TestUnsentTryConsumesNoRetryBudget(t *testing.T) {
	guard := backpressure.New(backpressure.Options{Clock: clock.Boot{}})
	r := newRig(t, func(o *Options) {
		o.Router, o.Backpressure = &competingRouter{o.Router.(*listRouter), guard}, guard
	})
	limited, _ := r.addService(), r.addService()
	limit := 40.0
	guard.RecordAnswer("s1@", backpressure.Signals{Limit: &limit}, r.clock.Now())
	r.retry.allow = false
	for i := range 3 {
		testkit.Eventually(t, "the limit allows a request", func() bool { return guard.Allows("s1@") })
		if c := r.serve(context.Background(), r.lookup(fmt.Sprint(i))); !c.end.Complete {
			t.Error(c.end.Error)
		}
	}
	if limited.Pressure.Arrivals() != 0 || r.retry.asked != 0 {
		t.Errorf("%d arrivals at the limited endpoint, %d retries requested, want none", limited.Pressure.Arrivals(), r.retry.asked)
	}
}
