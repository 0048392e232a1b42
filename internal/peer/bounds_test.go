package peer

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// Guards against head-of-line blocking: a caller that reads slowly must delay
// only its own answer.
func TestSlowCallerBlocksOnlyItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20 // larger than the stream window
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			if req.ID != "slow" {
				tokenHandler(5).Serve(ctx, req, w)
				return
			}
			w.Start(answer.Head{Status: 200})
			w.Frame(answer.Frame{Data: bytes.Repeat([]byte("x"), size)})
			w.Finish(answer.End{Complete: true})
		})
	})
	exchangeAddrs(a, b)
	ctx := testContext(t)
	resume, started := make(chan struct{}), make(chan struct{})
	slow := &recorder{onHead: func() { close(started); <-resume }}
	done := make(chan *outcome.Error)
	go func() { done <- a.Relay(ctx, "b", testRequest("slow"), slow) }()
	<-started
	for i := range 50 {
		r := &recorder{}
		is.True(a.Relay(ctx, "b", testRequest(fmt.Sprint(i)), r) == nil)
		is.True(r.end.Complete)
	}
	close(resume)
	is.True(<-done == nil)
	is.True(slow.end.Complete)
	is.Equal(len(slow.text()), size)
}

// Relays above MaxRelays must be refused immediately as not run.
func TestRelaysOverLimitAreRefused(t *testing.T) {
	is := is.New(t)
	const limit = 4
	resume := make(chan struct{})
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) {
		o.MaxRelays = limit
		o.Handler = filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			select {
			case <-resume:
			case <-ctx.Done():
			}
			w.Finish(answer.End{Complete: true})
		})
	})
	exchangeAddrs(a, b)
	ctx := testContext(t)
	var wg sync.WaitGroup
	started := make(chan struct{}, limit)
	for i := range limit {
		wg.Go(func() {
			a.Relay(ctx, "b", testRequest(fmt.Sprint(i)), &recorder{onHead: func() { started <- struct{}{} }})
		})
	}
	for range limit {
		<-started
	}
	err := a.Relay(ctx, "b", testRequest("one more"), &recorder{})
	is.True(err != nil)
	is.Equal(err.Kind, outcome.Overloaded)
	is.Equal(err.Outcome, outcome.NotRun)
	is.True(err.RetryAfter > 0)
	close(resume)
	wg.Wait()
}

// Requests that cannot be sent must be refused locally as not run, with the
// matching error kind.
func TestRefusedBeforeSending(t *testing.T) {
	a := startMesh(t, "a", nil)
	for name, c := range map[string]struct {
		to     fleet.VM
		change func(*request.Request)
		want   outcome.Kind
	}{
		"to itself":              {"a", func(*request.Request) {}, outcome.Internal},
		"too many hops":          {"b", func(r *request.Request) { r.Hops = maxHops + 1 }, outcome.Internal},
		"too large":              {"b", func(r *request.Request) { r.Body = make([]byte, MaxBodyBytes+1) }, outcome.TooLarge},
		"deadline passed":        {"b", func(r *request.Request) { r.Deadline = 1 }, outcome.DeadlineExceeded},
		"no address is known":    {"b", func(*request.Request) {}, outcome.EndpointFailed},
		"no node at the address": {"c", func(*request.Request) {}, outcome.EndpointFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a.opts.ReadyTimeout = 100 * time.Millisecond
			a.SetPeers([]Peer{{VM: "c", Addr: "127.0.0.1:9"}})
			req := testRequest("q")
			c.change(req)
			err := a.Relay(testContext(t), c.to, req, &recorder{})
			is.True(err != nil)
			is.Equal(err.Kind, c.want)
			is.Equal(err.Outcome, outcome.NotRun)
		})
	}
}

// The handler must receive each request unchanged, with bodies of any size.
func TestRequestArrivesAsSent(t *testing.T) {
	a := startMesh(t, "a", nil)
	got := make(chan *request.Request, 1)
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(_ context.Context, req *request.Request, w answer.Writer) {
			got <- req
			w.Finish(answer.End{Error: outcome.New(outcome.NoCapacity, outcome.NotRun, "m", "r").WithRetryAfter(3 * time.Second)})
		})
	})
	exchangeAddrs(a, b)
	for _, size := range []int{0, 1, bodyChunkBytes, bodyChunkBytes + 1, 5<<20 + 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			req := testRequest("q")
			req.Body = bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			req.Key, req.Ticket, req.Prefix, req.Priority = "k", "t", []uint64{1, 1 << 63}, 3
			req.Header = map[string][]string{"X": {"a", "b"}}
			err := a.Relay(testContext(t), "b", req, &recorder{})
			is.Equal(err.Kind, outcome.NoCapacity)
			is.Equal(err.RetryAfter, 3*time.Second)
			r := <-got
			is.Equal(r.ForwardedBy, fleet.VM("a"))
			is.True(bytes.Equal(r.Body, req.Body))
			is.True(r.Deadline.Sub(r.Arrived) <= req.Deadline.Sub(req.Arrived)+time.Millisecond)
			r.ForwardedBy, r.Body, r.Arrived, r.Deadline, r.TraceParent = "", req.Body, req.Arrived, req.Deadline, req.TraceParent
			is.Equal(r, req)
		})
	}
}

// Messages to an unreachable peer wait in a bounded queue. When it is full, the
// oldest must be dropped, so that the newest arrive once the peer is reachable.
func TestFullQueueKeepsNewestMessages(t *testing.T) {
	is := is.New(t)
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	a.SetQueueDepth("digest", 1)
	got := make(chan string, 256)
	for _, topic := range []string{"digest", "list"} {
		b.Subscribe(topic, func(_ fleet.Node, p []byte) { got <- topic + string(p) })
	}
	for i := range 100 {
		is.NoErr(a.Send("b", "digest", fmt.Append(nil, i)))
		is.NoErr(a.Send("b", "list", fmt.Append(nil, i)))
	}
	exchangeAddrs(a, b)
	ctx := testContext(t)
	var digests, lists int
	for digests+lists < 1+defaultQueueDepth {
		select {
		case s := <-got:
			if strings.HasPrefix(s, "digest") {
				digests++
				is.Equal(s, "digest99")
			} else {
				lists++
			}
		case <-ctx.Done():
			t.Fatal("not all messages were delivered")
		}
	}
	is.Equal(digests, 1)
}
