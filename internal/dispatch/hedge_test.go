package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/standin/service"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

// ended waits until each try that began has ended.
func (r *rig) ended(tries int) {
	r.t.Helper()
	testkit.Eventually(r.t, "every try ends", func() bool {
		r.router.mu.Lock()
		defer r.router.mu.Unlock()
		return len(r.router.results) == tries && r.router.begun == tries
	})
}

// A clerk looks a licence up and the endpoint pauses with the lookup in hand.
// Its probes have not failed yet. Another endpoint is asked meanwhile, and the
// clerk has the answer although the first never gives one.
func TestPausedEndpointDoesNotHoldALookup(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.HedgeAfter = time.Millisecond })
	r.addService().SetFaults(service.Faults{Stall: true})
	r.addService()
	c := r.serve(context.Background(), r.lookup("a"))
	is.True(c.end.Whole)
	is.Equal(c.head.Endpoint, fleet.VM("s2"))
	is.Equal(c.finished, 1)
	r.ended(2)
}

// The same with a spent budget: everybody asking twice would double the load
// of a service that is merely slow, so the lookup waits for its one answer.
func TestLookupWaitsWithoutBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.HedgeAfter = time.Millisecond })
	r.retry.allow = false
	first := r.addService()
	r.addService()
	first.SetFaults(service.Faults{Stall: true})
	c := newCollector()
	go r.d.Serve(context.Background(), r.lookup("a"), c)
	testkit.Eventually(t, "the budget is asked", func() bool {
		r.retry.mu.Lock()
		defer r.retry.mu.Unlock()
		return r.retry.asked == 1
	})
	first.SetFaults(service.Faults{})
	<-c.done
	is.True(c.end.Whole)
	is.Equal(c.head.Endpoint, fleet.VM("s1"))
	r.ended(1)
}

// A receipt is never sent to a second endpoint, however long the first takes.
func TestReceiptIsNotHedged(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.HedgeAfter = time.Millisecond })
	r.addService().SetFaults(service.Faults{Stall: true})
	second := r.addService()
	q := r.receipt("a")
	q.Deadline = r.clock.Now().Add(100 * time.Millisecond)
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
	is.Equal(second.Executions("POST", "/receipts", "a"), 0)
	is.Equal(r.retry.asked, 0)
}

// fakePeers answers relayed requests from a function for each node.
type fakePeers map[fleet.VM]func(context.Context, *request.Request, answer.Writer) *outcome.Error

func (p fakePeers) Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error {
	return p[to](ctx, req, w)
}

// The availability zone has one endpoint of the service and it is paused. The
// lookup goes on through a node of another zone.
func TestLookupIsHedgedThroughAnotherNode(t *testing.T) {
	is := is.New(t)
	peers := fakePeers{"n2": func(_ context.Context, req *request.Request, w answer.Writer) *outcome.Error {
		is.Equal(req.Stage, request.StageDispatch)
		is.Equal(req.Hops, 1)
		is.Equal(req.From, fleet.VM("n1"))
		w.Start(answer.Head{Status: 200, Endpoint: "far"})
		w.Frame(answer.Frame{Data: []byte("licence")})
		w.Finish(answer.End{Whole: true, Frames: 1, Bytes: 7})
		return nil
	}}
	r := newRig(t, func(o *Options) { o.HedgeAfter, o.Peers = time.Millisecond, peers })
	r.addService().SetFaults(service.Faults{Stall: true})
	r.change(func(s *view.Snapshot) {
		s.Nodes = []view.Node{{Node: fleet.Node{VM: "n2"}, Zone: otherZone, State: view.NodeAlive}}
	})
	c := r.serve(context.Background(), r.lookup("a"))
	is.True(c.end.Whole)
	is.Equal(c.body(), "licence")
	is.Equal(c.head.Endpoint, fleet.VM("far"))
	r.ended(2)
}
