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
	// pressureTime is a grace of a second, one of the checks' windows of 4 s, and some more.
	pressureTime  = 6 * time.Second
	pressurePause = 15 * time.Millisecond
)

// sendFor sends requests one after another for a while and returns how many failed.
func (r *rig) sendFor(name string, make func(id string) *request.Request) (failed []string) {
	pause := time.NewTicker(pressurePause)
	defer pause.Stop()
	for k, end := 0, time.Now().Add(pressureTime); time.Now().Before(end); k++ {
		req := make(fmt.Sprintf("%s.%d", name, k))
		if c := r.serve(context.Background(), req); !c.end.Whole {
			failed = append(failed, fmt.Sprintf("%s: %v", req.ID, c.end.Error))
		}
		<-pause.C
	}
	return failed
}

// Guards against endpoints in need that get their usual share from a node that knows the limit.
func TestRateLimitOfAnEndpointIsKept(t *testing.T) {
	testPressure(t, pressure.Signals{Limit: 1.9})
}

// Guards against endpoints that asked for rest and get requests all the same.
func TestEndpointAtRestIsLeft(t *testing.T) {
	testPressure(t, pressure.Signals{RetryAfter: 2250 * time.Millisecond})
}

// Guards against endpoints that say in their answers that they leave and get requests until
// a probe says so too.
func TestEndpointThatSaysItLeavesIsLeft(t *testing.T) {
	testPressure(t, pressure.Signals{Leaving: true})
}

// testPressure sends traffic while one of two engines and one of two plain endpoints say how
// much they take: these keep to it, and all is served.
func testPressure(t *testing.T, signals pressure.Signals) {
	r := newRig(t, nil)
	engine, other := r.addEngine(standin.Options{}), r.addEngine(standin.Options{})
	plain, second := r.addService(), r.addService()
	engine.Pressure.Set(signals)
	plain.Pressure.Set(signals)
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
	for name, broken := range map[string][]string{"engine": engine.Pressure.Broken(), "plain": plain.Pressure.Broken()} {
		if len(broken) > 0 {
			t.Errorf("%s: %d times, first %s", name, len(broken), broken[0])
		}
	}
	t.Logf("at them %d and %d, beside %d and %d", engine.Pressure.Arrivals(), plain.Pressure.Arrivals(), other.Pressure.Arrivals(), second.Pressure.Arrivals())
}

// Guards against an endpoint that is left out for what an earlier life of it said.
func TestNextLifeOfAnEndpointIsUsed(t *testing.T) {
	r := newRig(t, nil)
	plain, other := r.addService(), r.addService()
	setBoot := func() {
		r.change(func(s *view.Snapshot) { s.VMs[0].Load.Boot = plain.State().Boot })
	}
	setBoot()
	plain.Pressure.Set(pressure.Signals{Leaving: true})
	for i := range 5 {
		r.serve(context.Background(), r.lookup(fmt.Sprintf("leaving.%d", i)))
	}
	if plain.Pressure.Arrivals() != 1 || other.Pressure.Arrivals() != 4 {
		t.Fatalf("%d and %d arrivals, want 1 and 4", plain.Pressure.Arrivals(), other.Pressure.Arrivals())
	}
	plain.Restart()
	setBoot()
	plain.Pressure.Set(pressure.Signals{})
	for i := range 5 {
		r.serve(context.Background(), r.lookup(fmt.Sprintf("next.%d", i)))
	}
	if plain.Pressure.Arrivals() != 6 {
		t.Errorf("%d arrivals in both lives, want 6", plain.Pressure.Arrivals())
	}
}

// Guards against an endpoint that is avoided as a failing one long after its rest is over.
func TestRestIsNoFailureOfItsEndpoint(t *testing.T) {
	r := newRig(t, nil)
	plain, _ := r.addService(), r.addService()
	plain.Pressure.Set(pressure.Signals{RetryAfter: time.Minute})
	r.serve(context.Background(), r.lookup("rest.1"))
	if plain.Pressure.Arrivals() != 1 {
		t.Fatalf("%d arrivals", plain.Pressure.Arrivals())
	}
	for _, res := range r.router.results {
		if res.Failed {
			t.Errorf("a try is held against an endpoint: %+v", res)
		}
	}
}

// hidingRouter leaves an endpoint out of some choices, as if a probe was answered late.
type hidingRouter struct {
	*listRouter
	hides int
}

func (h *hidingRouter) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.Tried) (route.Choice, *outcome.Error) {
	if h.hides > 0 {
		h.hides--
		tried = append(tried, route.Tried{VM: "s2"})
	}
	return h.listRouter.Pick(req, snap, now, tried)
}

// Guards against callers that are refused because one endpoint is held back while a late probe
// hides the other one.
func TestRequestWaitsBesideAnEndpointThatIsHeldBack(t *testing.T) {
	h := &hidingRouter{}
	r := newRig(t, func(o *Options) {
		h.listRouter = o.Router.(*listRouter)
		o.Router, o.PickWait = h, patience
	})
	resting, _ := r.addService(), r.addService()
	resting.Pressure.Set(pressure.Signals{RetryAfter: time.Minute})
	for i := range 2 {
		if c := r.serve(context.Background(), r.lookup(fmt.Sprintf("rest.%d", i))); !c.end.Whole {
			t.Error(c.end.Error)
		}
		h.hides = 2
	}
	if n := resting.Pressure.Arrivals(); n != 1 {
		t.Errorf("%d arrivals at the endpoint at rest, want 1", n)
	}
}

// takingRouter has another request take what an endpoint takes once it is chosen.
type takingRouter struct {
	*listRouter
	guard *backpressure.Guard
}

func (r *takingRouter) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.Tried) (route.Choice, *outcome.Error) {
	c, err := r.listRouter.Pick(req, snap, now, tried)
	if err == nil && c.VM.Record.VM == "s1" {
		r.guard.Take("s1@")
	}
	return c, err
}

// Guards against callers that are refused for want of retries although nothing was sent.
func TestSendHeldBackTakesNoRetry(t *testing.T) {
	guard := backpressure.New(backpressure.Options{Clock: clock.Boot{}})
	r := newRig(t, func(o *Options) {
		o.Router, o.Backpressure = &takingRouter{o.Router.(*listRouter), guard}, guard
	})
	limited, _ := r.addService(), r.addService()
	limit := 40.0
	guard.Answered("s1@", backpressure.Signals{Limit: &limit}, r.clock.Now())
	r.retry.allow = false
	for i := range 3 {
		testkit.Eventually(t, "the endpoint takes a request", func() bool { return guard.Allows("s1@") })
		if c := r.serve(context.Background(), r.lookup(fmt.Sprint(i))); !c.end.Whole {
			t.Error(c.end.Error)
		}
	}
	if limited.Pressure.Arrivals() != 0 || r.retry.asked != 0 {
		t.Errorf("%d arrivals at the limited endpoint, %d retries asked for, want none", limited.Pressure.Arrivals(), r.retry.asked)
	}
}
