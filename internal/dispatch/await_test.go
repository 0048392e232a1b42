package dispatch

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/standin/service"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

// countingRouter counts calls of Pick and Begin.
type countingRouter struct {
	*listRouter
	picks, begun atomic.Int64
}

func (c *countingRouter) Begin(ch route.Choice) {
	c.begun.Add(1)
	c.listRouter.Begin(ch)
}

func (c *countingRouter) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	c.picks.Add(1)
	return c.listRouter.Pick(req, snap, now, tried)
}

func newCountingRig(t *testing.T) (*rig, *countingRouter) {
	c := &countingRouter{}
	r := newRig(t, func(o *Options) {
		c.listRouter = o.Router.(*listRouter)
		o.Router, o.PickWait = c, waitTimeout
	})
	return r, c
}

// Guards against refusals while a late probe reply hides the only destination.
func TestRequestWaitsForARecentDestination(t *testing.T) {
	is := is.New(t)
	r, router := newCountingRig(t)
	r.addService()
	is.True(r.serve(context.Background(), r.lookup("a")).end.Complete)
	vms := r.Snapshot().VMs
	r.change(func(s *view.Snapshot) { s.VMs = nil })
	c := newCollector()
	done := make(chan struct{})
	from := router.picks.Load()
	go func() {
		defer close(done)
		r.d.Serve(context.Background(), r.receipt("b"), c)
	}()
	testkit.Eventually(t, "the router is asked again", func() bool { return router.picks.Load() > from+1 })
	r.change(func(s *view.Snapshot) { s.VMs = vms })
	<-done
	is.True(c.end.Complete)
}

// Guards against waiting for a target that has not served a request recently.
func TestRequestWithoutRecentDestinationIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	r, router := newCountingRig(t)
	c := r.serve(context.Background(), r.lookup("a"))
	is.Equal(c.end.Error.Kind, outcome.NoCapacity)
	is.Equal(router.picks.Load(), int64(1))
}

// Guards against refusals because the only destination refused briefly.
func TestOnlyDestinationIsRetried(t *testing.T) {
	is := is.New(t)
	r, _ := newCountingRig(t)
	s := r.addService()
	is.True(r.serve(context.Background(), r.lookup("a")).end.Complete)
	s.SetFaults(service.Faults{Stages: fault.Stages{RefuseNotRun: 2}})
	is.True(r.serve(context.Background(), r.receipt("b")).end.Complete)
	is.Equal(s.Executions("POST", "/receipts", "b"), 1)
}

// Guards against unlimited retries at an endpoint that keeps refusing.
func TestTriesAtTheOnlyDestinationAreBounded(t *testing.T) {
	for hops, want := range []int64{DefaultMaxTries, 1} {
		is := is.New(t)
		r, router := newCountingRig(t)
		s := r.addService()
		is.True(r.serve(context.Background(), r.lookup("a")).end.Complete)
		s.SetFaults(service.Faults{Stages: fault.Stages{RefuseNotRun: fault.Always}})
		req := r.receipt("b")
		req.Hops = hops
		begun := router.begun.Load()
		c := r.serve(context.Background(), req)
		is.Equal(c.end.Error.Outcome, outcome.NotRun)
		is.Equal(router.begun.Load()-begun, want)
	}
}
