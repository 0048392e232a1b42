package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/standin/netfault"
)

// startLinkWithRelay starts two meshes with a datagram relay between them. Only a knows
// an address, so all traffic passes through the relay.
func startLinkWithRelay(t *testing.T, h filter.Handler) (a, b *Mesh, net *netfault.Relay) {
	t.Helper()
	short := func(o *Options) { o.RelayIdleTimeout, o.Handler = time.Second, h }
	a, b = startMesh(t, "a", short), startMesh(t, "b", short)
	net, err := netfault.NewRelay(b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { net.Close() })
	a.SetPeers([]Peer{{VM: "b", Addr: net.Addr()}})
	return a, b, net
}

// The network between two nodes is partitioned in one or both directions during
// an answer. The answer must be reported as cut, new requests as not run, and
// after the partition heals requests must succeed again.
func TestPartitionDuringAnswer(t *testing.T) {
	for name, cut := range map[string][2]bool{"both ways": {true, true}, "towards the peer": {true, false}, "from the peer": {false, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{}, 8)
			a, _, net := startLinkWithRelay(t, filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
				if req.ID != "long" {
					tokenHandler(3).Serve(ctx, req, w)
					return
				}
				w.Start(answer.Head{Status: 200})
				<-ctx.Done()
				ended <- struct{}{}
			}))
			ctx := testContext(t)
			r := &recorder{onHead: func() { net.Cut(cut[0], cut[1]) }}
			is.True(a.Relay(ctx, "b", testRequest("long"), r) == nil)
			is.Equal(r.end.Error.Kind, outcome.AnswerCut)
			err := a.Relay(ctx, "b", testRequest("in the cut"), &recorder{})
			is.True(err != nil)
			is.Equal(err.Outcome, outcome.NotRun)
			net.Cut(false, false)
			is.True(eventually(ctx, func() bool {
				r := &recorder{}
				return a.Relay(ctx, "b", testRequest("healed"), r) == nil && r.end.Complete
			}))
			select {
			case <-ended: // the context of the handler on the other node was cancelled
			case <-ctx.Done():
				t.Fatal("the context of the handler on the other node was not cancelled")
			}
		})
	}
}

// eventually polls f until it returns true, or reports false when ctx ends.
func eventually(ctx context.Context, f func() bool) bool {
	for !f() {
		if !sleep(ctx.Done(), 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// The network is partitioned while a link is open, so that the sender notices it
// only by the missing Ready. The outcome of a non-idempotent request must be not
// run, so that it can be retried elsewhere; that of an idempotent one is unknown,
// because its Commit was sent with it.
func TestPartitionBeforeReady(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		want       outcome.Outcome
	}{{false, outcome.NotRun}, {true, outcome.Unknown}} {
		t.Run(string(c.want), func(t *testing.T) {
			is := is.New(t)
			a, _, net := startLinkWithRelay(t, tokenHandler(1))
			ctx := testContext(t)
			is.True(a.Relay(ctx, "b", testRequest("before"), &recorder{}) == nil)
			net.Cut(true, true)
			a.opts.ReadyTimeout = 100 * time.Millisecond
			req := testRequest("in the cut")
			req.Idempotent = c.idempotent
			err := a.Relay(ctx, "b", req, &recorder{})
			is.True(err != nil)
			is.Equal(err.Outcome, c.want)
			is.Equal(err.Kind, outcome.EndpointFailed)
		})
	}
}

// With 20% packet loss in both directions, every answer must still arrive whole
// and at its own caller.
func TestRelaysUnderPacketLoss(t *testing.T) {
	is := is.New(t)
	const callers, length = 100, 30
	id := func(i int) string { return fmt.Sprint("q", i) }
	a, b := startMesh(t, "a", nil), startMesh(t, "b", func(o *Options) { o.Handler = tokenHandler(length) })
	net, err := netfault.NewRelay(b.Addr())
	is.NoErr(err)
	t.Cleanup(func() { net.Close() })
	a.SetPeers([]Peer{{VM: "b", Addr: net.Addr()}})
	ctx := testContext(t)
	is.True(a.Relay(ctx, "b", testRequest("opens the link"), &recorder{}) == nil)
	net.SetLoss(0.2)
	var wg sync.WaitGroup
	results := make([]recorder, callers)
	for i := range callers {
		wg.Go(func() { a.Relay(ctx, "b", testRequest(id(i)), &results[i]) })
	}
	wg.Wait()
	for i := range results {
		is.True(results[i].end != nil && results[i].end.Complete)
		is.Equal(results[i].text(), wantTokens(id(i), length))
	}
}

// The other node's process dies without closing its connections, and a new one
// starts on the same port. Its stateless reset must allow new calls long before
// the control connection's idle timeout of 15 minutes.
func TestRestartOnSamePort(t *testing.T) {
	is := is.New(t)
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	exchangeAddrs(a, b)
	ctx := testContext(t)
	var failed *CallError
	_, err := a.Call(ctx, "b", "none", nil)
	is.True(errors.As(err, &failed))
	addr := b.Addr()
	b.socket.Close() // so that Close cannot send anything
	b.Close()
	startMesh(t, "b", func(o *Options) { o.Listen, o.Self.Incarnation = addr, 2 })
	is.True(eventually(ctx, func() bool {
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Call(short, "b", "none", nil)
		return errors.As(err, &failed)
	}))
}

// The accept loop sees the closed socket before the context is cancelled, as when
// a node stops while it accepts a connection. Run must return nil: only Close
// closes the socket, so this is not a socket failure.
func TestRunReturnsNilWhenSocketClosesFirst(t *testing.T) {
	is := is.New(t)
	id, err := IdentityFromSecret("a", testSecret)
	is.NoErr(err)
	m, err := New(Options{
		Self: fleet.Node{VM: "a", Incarnation: 1}, Zone: "z1", Listen: "127.0.0.1:0",
		Identity: id, Log: slog.New(slog.DiscardHandler),
	})
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- m.Run(t.Context()) }()
	m.socket.Close()
	is.NoErr(<-done)
}
