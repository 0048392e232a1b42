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

// waitForTries waits until the given number of tries has begun and ended.
func (r *rig) waitForTries(tries int) {
	r.t.Helper()
	testkit.Eventually(r.t, "every try has ended", func() bool {
		r.router.mu.Lock()
		defer r.router.mu.Unlock()
		return len(r.router.results) == tries && r.router.begun == tries
	})
}

// An endpoint pauses with a lookup in flight, before its probes fail. The lookup must be
// answered by a second endpoint although the first never responds.
func TestLookupIsHedgedAtPausedEndpoint(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.HedgeAfter = time.Millisecond })
	r.addService().SetFaults(service.Faults{Stall: true})
	r.addService()
	c := r.serve(context.Background(), r.lookup("a"))
	is.True(c.end.Complete)
	is.Equal(c.head.Endpoint, fleet.VM("s2"))
	is.Equal(c.finished, 1)
	r.waitForTries(2)
}

// With an exhausted retry budget the lookup must wait for its first endpoint: hedging
// every lookup would double the load of a slow service.
func TestLookupIsNotHedgedWithoutBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.HedgeAfter = time.Millisecond })
	r.retry.allow = false
	first := r.addService()
	r.addService()
	first.SetFaults(service.Faults{Stall: true})
	c := newCollector()
	go r.d.Serve(context.Background(), r.lookup("a"), c)
	testkit.Eventually(t, "the retry budget is checked", func() bool {
		r.retry.mu.Lock()
		defer r.retry.mu.Unlock()
		return r.retry.asked == 1
	})
	first.SetFaults(service.Faults{})
	<-c.done
	is.True(c.end.Complete)
	is.Equal(c.head.Endpoint, fleet.VM("s1"))
	r.waitForTries(1)
}

// A request that may run at most once is never sent to a second endpoint, however long
// the first takes.
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

// fakePeers handles forwarded requests with one function per node.
type fakePeers map[fleet.VM]func(context.Context, *request.Request, answer.Writer) *outcome.Error

func (p fakePeers) Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error {
	return p[to](ctx, req, w)
}

// The only endpoint of the service in the availability zone is paused. The lookup must be
// hedged through a node of another zone.
func TestLookupIsHedgedThroughAnotherNode(t *testing.T) {
	is := is.New(t)
	peers := fakePeers{"n2": func(_ context.Context, req *request.Request, w answer.Writer) *outcome.Error {
		is.Equal(req.Stage, request.StageDispatch)
		is.Equal(req.Hops, 1)
		is.Equal(req.ForwardedBy, fleet.VM("n1"))
		w.Start(answer.Head{Status: 200, Endpoint: "far"})
		w.Frame(answer.Frame{Data: []byte("licence")})
		w.Finish(answer.End{Complete: true, Frames: 1, Bytes: 7})
		return nil
	}}
	r := newRig(t, func(o *Options) { o.HedgeAfter, o.Peers = time.Millisecond, peers })
	r.addService().SetFaults(service.Faults{Stall: true})
	r.change(func(s *view.Snapshot) {
		s.Nodes = []view.Node{{Node: fleet.Node{VM: "n2"}, Zone: otherZone, State: view.NodeAlive}}
	})
	c := r.serve(context.Background(), r.lookup("a"))
	is.True(c.end.Complete)
	is.Equal(c.body(), "licence")
	is.Equal(c.head.Endpoint, fleet.VM("far"))
	r.waitForTries(2)
}
