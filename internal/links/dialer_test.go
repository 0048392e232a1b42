package links

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/tunnel"
)

// fakeNet dials instead of a Dialer's node: directly or through peers, by their addresses.
type fakeNet struct {
	direct func(ctx context.Context, addr string) error
	relay  map[string]func(ctx context.Context) error // by peer; missing: unfit

	mu    sync.Mutex
	conns []*fakeConn
	asked []string
}

type fakeConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *fakeConn) Close() error { c.closed.Store(true); return nil }

// bubbleClock follows the virtual time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

func (f *fakeNet) open(err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &fakeConn{}
	f.conns = append(f.conns, c)
	return c, nil
}

func (f *fakeNet) openDirect(ctx context.Context, addr string) (net.Conn, error) {
	return f.open(f.direct(ctx, addr))
}

func (f *fakeNet) openRelay(ctx context.Context, peer, _ string) (net.Conn, error) {
	f.mu.Lock()
	f.asked = append(f.asked, peer)
	f.mu.Unlock()
	if dial := f.relay[peer]; dial != nil {
		return f.open(dial(ctx))
	}
	return f.open(tunnel.ErrPeerUnfit)
}

// openConns returns the number of connections that are open.
func (f *fakeNet) openConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.conns {
		if !c.closed.Load() {
			n++
		}
	}
	return n
}

func newTestDialer(f *fakeNet, peers ...string) *Dialer {
	m := (&Monitor{Clock: bubbleClock{}, Log: slog.New(slog.DiscardHandler), Dial: f.openDirect, Listed: func() []string { return []string{"x", "y"} }}).Init(nil)
	return (&Dialer{
		Clock: bubbleClock{}, Monitor: m, Relay: f.openRelay, Peers: func() PeersByZone { return PeersByZone{"z": peers} },
	}).Init("z")
}

// Ways in which a connection attempt ends.
var (
	connects = func(context.Context) error { return nil }
	hangs    = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	refuses  = func(context.Context) error { return syscall.ECONNREFUSED }
	after200 = func(context.Context) error { time.Sleep(200 * time.Millisecond); return nil }
)

func direct(f func(context.Context) error) func(context.Context, string) error {
	return func(ctx context.Context, _ string) error { return f(ctx) }
}

// Guards against a direct connection that is awaited although another node reaches the endpoint,
// against connections left open by the slower way, and against two connections in use.
func TestFirstConnectionOfSeveralWaysWins(t *testing.T) {
	for name, c := range map[string]struct {
		direct  func(context.Context) error
		relayed bool
		within  time.Duration
	}{
		"direct":           {connects, false, 0},
		"direct hangs":     {hangs, true, hedgeDelay},
		"direct refuses":   {refuses, true, 0},
		"direct too slow":  {after200, true, hedgeDelay},
		"direct, no peers": {after200, false, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeNet{direct: direct(c.direct), relay: map[string]func(context.Context) error{"p": connects, "q": connects}}
				d := newTestDialer(f, "p", "q")
				if name == "direct, no peers" {
					d = newTestDialer(f)
				}
				began := time.Now()
				_, peer, err := d.Dial(t.Context(), "x", AllZones)
				is.NoErr(err)
				is.Equal(!peer.IsDirect(), c.relayed)
				is.Equal(time.Since(began), c.within)
				time.Sleep(time.Second)
				is.Equal(f.openConns(), 1)
			})
		})
	}
}

// Guards against an endpoint that ended and is taken for a lost link, and against a single node's
// word that an endpoint is down, which may have lost its own link to it.
func TestTwoNodesMustFindAnEndpointDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		down := func(context.Context) error { return errors.Join(tunnel.ErrEndpointDown, syscall.ECONNREFUSED) }
		f := &fakeNet{direct: direct(refuses), relay: map[string]func(context.Context) error{"p": down, "q": down, "r": down}}
		d := newTestDialer(f, "p", "q", "r")
		for range 10 {
			for range 5 { // the word of two nodes holds for a while
				_, _, err := d.Dial(t.Context(), "x", AllZones)
				is.True(errors.Is(err, syscall.ECONNREFUSED))
			}
			time.Sleep(downDuration + time.Millisecond)
		}
		synctest.Wait()                                   // the attempts that lost their race have ended
		is.True(len(f.asked) >= 20 && len(f.asked) <= 30) // two nodes, or all three at the same moment
		is.True(!d.Monitor.IsLost("x"))
		f.relay["p"], f.relay["q"] = connects, connects
		for range 10 {
			_, peer, err := d.Dial(t.Context(), "x", AllZones)
			is.NoErr(err)
			is.True(peer.Addr != "r")
		}
	})
}

// Guards against a node that refuses all requests because several endpoints crashed, while no other
// node tells it that they are down: all nodes ask each other then.
func TestCrashedEndpointsLeaveLinksInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		crashed := map[string]bool{"c0": true, "c1": true, "c2": true, "c3": true, "c4": true}
		f := &fakeNet{direct: func(_ context.Context, addr string) error {
			if crashed[addr] {
				return syscall.ECONNREFUSED
			}
			return nil
		}}
		d := newTestDialer(f, "p", "q")
		d.Monitor.Listed = func() []string { return []string{"c0", "c1", "c2", "c3", "c4", "x", "y"} }
		for range 10 {
			for addr := range crashed {
				_, _, err := d.Dial(t.Context(), addr, AllZones)
				is.True(errors.Is(err, syscall.ECONNREFUSED))
			}
			time.Sleep(10 * time.Millisecond)
			is.True(!d.Monitor.AreAllLost())
		}
		_, peer, err := d.Dial(t.Context(), "x", AllZones)
		is.NoErr(err)
		is.True(peer.IsDirect())
		d.Monitor.Close()
	})
}

// Guards against requests that wait for connections that no node can open: the first one finds
// out, the following ones fail at once, until a node has links again.
func TestConnectionsFailAtOnceWhileNoNodeHasLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeNet{direct: direct(hangs), relay: map[string]func(context.Context) error{}}
		d := newTestDialer(f, "p", "q")
		for _, addr := range []string{"x", "y", "w"} {
			_, _, err := d.Dial(t.Context(), addr, AllZones)
			is.True(err != nil)
		}
		is.True(d.Monitor.AreAllLost())
		began := time.Now()
		for range 100 {
			_, _, err := d.Dial(t.Context(), "x", AllZones)
			is.True(errors.Is(err, ErrNoPath))
		}
		is.Equal(time.Since(began), time.Duration(0))
		f.relay["q"] = connects
		time.Sleep(noPathDuration)
		_, peer, err := d.Dial(t.Context(), "x", AllZones)
		is.NoErr(err)
		is.Equal(peer.Addr, "q")
		is.True(d.KnowsPath())
	})
}

// Guards against a node that never uses its links again when they are back, although it has no
// requests.
func TestChecksFindRegainedLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeNet{direct: direct(hangs), relay: map[string]func(context.Context) error{"p": connects}}
		d := newTestDialer(f, "p")
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = d.Monitor.Run(ctx) })
		for _, addr := range []string{"x", "y"} {
			_, _, err := d.Dial(t.Context(), addr, AllZones)
			is.NoErr(err)
		}
		is.True(d.Monitor.AreAllLost())
		time.Sleep(10 * time.Second)
		is.True(d.Monitor.AreAllLost())
		f.direct = direct(connects)
		time.Sleep(2 * checkInterval)
		is.True(!d.Monitor.AreAllLost())
		is.True(!d.Monitor.IsLost("x") && !d.Monitor.IsLost("y"))
		stop()
		running.Wait()
	})
}

// Guards against a dark endpoint that is taken for a lost link: requests would go on to it. Three of
// them are no loss of all links either while other nodes find them silent too.
func TestDarkEndpointsAreNoLostLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := func(ctx context.Context) error { time.Sleep(160 * time.Millisecond); return tunnel.ErrEndpointDown }
		f := &fakeNet{direct: direct(hangs), relay: map[string]func(context.Context) error{"p": silent, "q": silent}}
		d := newTestDialer(f, "p", "q")
		for _, addr := range []string{"x", "y", "w"} {
			is.Equal(d.Verify(t.Context(), addr), Nobody)
			_, _, err := d.Dial(t.Context(), addr, AllZones)
			is.True(errors.Is(err, tunnel.ErrEndpointDown))
		}
		is.True(!d.Monitor.AreAllLost())
		f.relay["q"] = connects
		is.Equal(d.Verify(t.Context(), "x"), OtherNode)
		f.direct = direct(connects)
		is.Equal(d.Verify(t.Context(), "x"), ThisNode)
		time.Sleep(time.Second)
		is.Equal(f.openConns(), 0)
	})
}
