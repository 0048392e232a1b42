package tunnel

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/testkit"
)

// node is a node that passes connections on.
type node struct {
	*Server
	addr                    string
	leaving, cut, unreached atomic.Bool
}

func startNode(t *testing.T) *node {
	n := &node{}
	n.Server = (&Server{
		Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
		HasLinks: func() bool { return !n.cut.Load() }, HasOtherLinks: func(context.Context, string) bool { return !n.unreached.Load() },
		HasNoLink: func(addr string) bool { return addr == "10.0.0.1:1" }, IsListed: func(addr string) bool { return addr != "10.0.0.2:1" }, IsLeaving: n.leaving.Load,
	}).Init(nil)
	s := httptest.NewServer(n.Server)
	t.Cleanup(func() { n.Server.Close(); s.Close() })
	n.addr = strings.TrimPrefix(s.URL, "http://")
	return n
}

// startEndpoint starts an endpoint that handles each connection with f.
func startEndpoint(t *testing.T, f func(*net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// Bytes pass unchanged in both directions, and the end of one side ends the other.
func TestTunnelPassesBytesAndEnds(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	closed := make(chan struct{})
	addr := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.Copy(c, c) // ends when the other side closes
		c.Close()
		close(closed)
	})
	conn, err := Dial(t.Context(), n.addr, addr)
	is.NoErr(err)
	text := strings.Repeat("0123456789", 10_000)
	go func() { _, _ = io.WriteString(conn, text) }()
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), text)
	conn.Close()
	<-closed // the endpoint learns at once that the client has left
	testkit.Eventually(t, "the tunnel is gone", func() bool { return n.open.Load() == 0 })
}

// Guards against a response without a length that an endpoint's reset cuts off and that looks
// complete behind a tunnel.
func TestTunnelPassesResetsOn(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	for _, reset := range []bool{true, false} {
		addr := startEndpoint(t, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = io.WriteString(c, "half")
			if reset {
				_ = c.SetLinger(0)
			}
			c.Close()
		})
		conn, err := Dial(t.Context(), n.addr, addr)
		is.NoErr(err)
		_, err = io.WriteString(conn, "x")
		is.NoErr(err)
		_, err = io.ReadAll(conn)
		is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
		conn.Close()
	}
}

// Guards against an endpoint that counts as down because the node in between could not try.
func TestDialTellsUnfitNodesFromEndpointsThatAreDown(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	free := unusedAddr(t)
	_, err := Dial(t.Context(), n.addr, free)
	is.True(errors.Is(err, ErrEndpointDown) && errors.Is(err, syscall.ECONNREFUSED))
	n.unreached.Store(true) // it may just have lost its own links
	_, err = Dial(t.Context(), n.addr, free)
	is.True(errors.Is(err, ErrPeerUnfit))
	n.unreached.Store(false)
	for _, addr := range []string{"10.0.0.1:1", "10.0.0.2:1"} { // no link to it, not listed
		_, err = Dial(t.Context(), n.addr, addr)
		is.True(errors.Is(err, ErrNoLink))
	}
	for _, state := range []*atomic.Bool{&n.cut, &n.leaving} {
		state.Store(true)
		_, err = Dial(t.Context(), n.addr, free)
		is.True(errors.Is(err, ErrPeerUnfit))
		state.Store(false)
	}
	n.open.Store(MaxTunnels)
	_, err = Dial(t.Context(), n.addr, free)
	is.True(errors.Is(err, ErrPeerUnfit))
	_, err = Dial(t.Context(), free, free) // no node there
	is.True(errors.Is(err, ErrPeerUnfit))
	old := httptest.NewServer(http.NotFoundHandler()) // a build that knows no tunnels
	defer old.Close()
	_, err = Dial(t.Context(), strings.TrimPrefix(old.URL, "http://"), free)
	is.True(errors.Is(err, ErrPeerUnfit))
}

// Guards against a node that hangs and is awaited, and against the deadline of the attempt to
// connect that later breaks the connection.
func TestDialEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	hanging := startEndpoint(t, func(c *net.TCPConn) {})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := Dial(ctx, hanging, "10.0.0.3:1")
	is.True(errors.Is(err, ErrPeerUnfit))

	n := startNode(t)
	ctx, cancel = context.WithCancel(t.Context())
	conn, err := Dial(ctx, n.addr, startEndpoint(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) }))
	is.NoErr(err)
	cancel()
	_, err = io.WriteString(conn, "x")
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err)
	conn.Close()
}

// Guards against a node that shuts down while a stream of another node passes it, and against one
// that waits for tunnels that the other node only keeps for later requests.
func TestShutdownWaitsForTunnelsInUse(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	done := make(chan struct{})
	stream := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 1)) // the request
		for range 20 {
			_, _ = io.WriteString(c, "event")
			time.Sleep(answeredQuietTime / 6) // the interval of events
		}
		close(done)
		_, _ = io.Copy(io.Discard, c)
	})
	conn, err := Dial(t.Context(), n.addr, stream)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "x")
	is.NoErr(err)
	idle, err := Dial(t.Context(), n.addr, startEndpoint(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }))
	is.NoErr(err)
	defer idle.Close()
	quiet := make(chan struct{})
	go func() { n.AwaitQuiet(t.Context()); close(quiet) }()
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed, so that it isn't used for another request
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(len(got), 20*len("event"))
	<-done
	<-quiet
}

func unusedAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against a node whose memory is exhausted by another one that answers the request for a
// tunnel without end.
func TestEndlessAnswerToTunnelRequestIsCutOff(t *testing.T) {
	is := is.New(t)
	const most, endless = 64 << 10, 64 << 20
	sent := make(chan int, 1)
	peer := startEndpoint(t, func(c *net.TCPConn) {
		defer c.Close()
		if err := c.SetWriteBuffer(most); err != nil {
			t.Error(err)
		}
		n := 0
		for block := make([]byte, most); n < endless; {
			k, err := c.Write(block)
			if n += k; err != nil {
				break
			}
		}
		sent <- n
	})
	_, err := Dial(t.Context(), peer, "10.0.0.9:1")
	is.True(errors.Is(err, ErrPeerUnfit))
	is.True(<-sent < endless)
}
