package tunnel

import (
	"bufio"
	"bytes"
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
	"chervilloom/internal/upstream"
)

// node is a node that passes connections on.
type node struct {
	*Server
	addr                    string
	leaving, cut, unreached atomic.Bool
}

func startNode(t testing.TB) *node {
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
func startEndpoint(t testing.TB, f func(*net.TCPConn)) string {
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

// Guards against an endpoint that counts as down, or crashed, because the node in between could not
// try or has ended.
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
	is.True(errors.Is(err, ErrPeerUnfit) && !errors.Is(err, syscall.ECONNREFUSED))
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

// Guards against a node that shuts down and takes an endpoint that is silent for a second for one
// that has answered, and against one that waits for tunnels that the other node only keeps for
// later requests.
func TestShutdownWaitsForTunnelsInUse(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	const events = 20
	leaving := make(chan struct{})
	stream := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 1)) // the request
		for i := range events {
			_, _ = io.WriteString(c, "event")
			if i == events/2 {
				<-leaving
				time.Sleep(silence)
			}
		}
		c.Close()
	})
	conn, err := Dial(t.Context(), n.addr, stream)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "x")
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, len("event")))
	is.NoErr(err) // the response has begun
	quiet := startEndpoint(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	pool := newPool(n)
	idle, err := pool.Get(t.Context(), quiet, false, allZones)
	is.NoErr(err)
	pool.PutUnused(idle, 1)

	n.AnnounceLeaving()
	testkit.Eventually(t, "the idle tunnel is closed", func() bool { pool.CloseExpired(); return n.open.Load() == 1 })
	unused := make(chan struct{})
	go func() { n.AwaitUnused(t.Context()); close(unused) }()
	close(leaving)
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(len(got), (events-1)*len("event"))
	<-unused
}

// silence is how long a sound endpoint may send nothing.
const silence = time.Second

func allZones(string) bool { return true }

// newPool returns a pool of connections through a node.
func newPool(n *node) *upstream.Pool {
	return &upstream.Pool{Clock: clock.Boot{}, Dial: func(ctx context.Context, addr string, _ func(string) bool) (net.Conn, upstream.Peer, error) {
		conn, err := Dial(ctx, n.addr, addr)
		return conn, upstream.Peer{Addr: n.addr, Zone: "a"}, err
	}}
}

// Guards against a connection that carries another request although the node that passes it on
// shuts down, and told so while a response was read.
func TestTunnelOfLeavingNodeIsNotReused(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	addr := startEndpoint(t, func(c *net.TCPConn) {
		buf := make([]byte, 512)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool(n)
	get := func() (*upstream.Conn, *http.Response) {
		conn, err := pool.Get(t.Context(), addr, false, allZones)
		is.NoErr(err)
		resp, err := conn.Send(&upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		return conn, resp
	}
	first, resp := get()
	pool.Put(first, resp, 1)
	second, resp := get()
	is.True(second == first)
	n.AnnounceLeaving()
	testkit.Eventually(t, "the announcement arrives", second.HasUnread)
	pool.Put(second, resp, 1)
	testkit.Eventually(t, "the tunnel is closed", func() bool { pool.CloseExpired(); return n.open.Load() == 0 })
}

// Guards against a node that can't shut down while another one polls an endpoint through it with a
// client that keeps connections.
func TestPollsLeaveTheTunnelOfLeavingNode(t *testing.T) {
	is := is.New(t)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }))
	t.Cleanup(endpoint.Close)
	first, second := startNode(t), startNode(t)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := Dial(ctx, first.addr, addr)
		if err != nil {
			return Dial(ctx, second.addr, addr)
		}
		return conn, nil
	}}
	t.Cleanup(transport.CloseIdleConnections)
	poll := func() {
		resp, err := (&http.Client{Transport: transport}).Get(endpoint.URL)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
	}
	poll()
	is.Equal(first.open.Load(), int64(1))
	first.leaving.Store(true)
	first.AnnounceLeaving()
	testkit.Eventually(t, "the polls pass the other node", func() bool { poll(); return first.open.Load() == 0 })
	poll()
	is.Equal(second.open.Load(), int64(1))
}

// Guards against a response without a length that looks complete because the node that passes it on
// ended, and against a whole one that doesn't.
func TestOnlyTheEndpointEndsAResponse(t *testing.T) {
	for _, c := range []struct {
		name, frames string
		want         string
		err          error
	}{
		{"whole", "\x00\x04half\x00\x04half\x00\x00", "halfhalf", nil},
		{"whole, leaving", "\x00\x04half\xff\xfe\x00\x04half\x00\x00", "halfhalf", nil},
		{"nothing", "\x00\x00", "", nil},
		{"cut between frames", "\x00\x04half", "half", upstream.ErrPeerGone},
		{"cut in a frame", "\x00\x08half", "half", upstream.ErrPeerGone},
		{"cut in a header", "\x00\x04half\x00", "half", upstream.ErrPeerGone},
		{"cut before the response", "", "", upstream.ErrPeerGone},
		{"reset by the endpoint", "\x00\x04half\xff\xff", "half", syscall.ECONNRESET},
	} {
		for _, step := range []int{1, 3, 64} { // bytes a read
			is := is.New(t)
			peer := startEndpoint(t, func(conn *net.TCPConn) {
				readConnect(conn)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headerFrames+": "+framesV1+"\r\n\r\n")
				_, _ = io.ReadFull(conn, make([]byte, 1)) // the request
				_, _ = io.WriteString(conn, c.frames)
				conn.Close()
			})
			conn, err := Dial(t.Context(), peer, "10.0.0.9:1")
			is.NoErr(err)
			_, err = io.WriteString(conn, "x")
			is.NoErr(err)
			got, err := io.ReadAll(bufio.NewReaderSize(limitedReads{conn, step}, 16))
			is.Equal(string(got), c.want) // c.name
			is.True(errors.Is(err, c.err))
			conn.Close()
		}
	}
}

// limitedReads reads at most n bytes at once.
type limitedReads struct {
	io.Reader
	n int
}

func (r limitedReads) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.n)]) }

// readConnect reads a request for a tunnel.
func readConnect(conn net.Conn) {
	buf, have := make([]byte, 1), []byte{}
	for !bytes.HasSuffix(have, []byte("\r\n\r\n")) {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		have = append(have, buf...)
	}
}

// Guards against a node of an older program that gets frames, and against one whose unframed bytes
// are read as frames, while nodes are replaced one at a time.
func TestTunnelsOfOlderProgramsHaveNoFrames(t *testing.T) {
	is := is.New(t)
	const text = "\x00\x04half" // looks like a frame
	older := startEndpoint(t, func(conn *net.TCPConn) {
		readConnect(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, text)
		conn.Close()
	})
	conn, err := Dial(t.Context(), older, "10.0.0.9:1")
	is.NoErr(err)
	_, err = io.WriteString(conn, "x")
	is.NoErr(err)
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), text)

	n := startNode(t)
	for _, reset := range []bool{false, true} {
		conn := dialWithoutFrames(t, n, startEndpoint(t, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = io.WriteString(c, text)
			if reset {
				_ = c.SetLinger(0)
			}
			c.Close()
		}))
		_, err = io.WriteString(conn, "x")
		is.NoErr(err)
		got, err := io.ReadAll(conn)
		is.Equal(string(got), text)
		is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
	}
}

// dialWithoutFrames opens a tunnel as an older program does.
func dialWithoutFrames(t testing.TB, n *node, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	const response = "HTTP/1.1 200 OK\r\n\r\n"
	if _, err := io.WriteString(conn, "CONNECT "+addr+" HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, len(response))
	if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != response {
		t.Fatalf("response to the request for a tunnel: %q, %v", buf, err)
	}
	return conn
}

// Guards against a node that shuts down and makes the answer to a node of an older program, which
// can't be told, look complete.
func TestShutdownResetsTunnelsOfOlderPrograms(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	now := &manualClock{}
	n.Clock = now
	conn := dialWithoutFrames(t, n, startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "half")
		_, _ = io.Copy(io.Discard, c)
	}))
	_, err := io.ReadFull(conn, make([]byte, len("half")))
	is.NoErr(err)
	n.AnnounceLeaving()
	now.advance(quietTime - 1)
	is.Equal(n.resetQuiet(), 1)
	now.advance(1)
	is.Equal(n.resetQuiet(), 0)
	_, err = io.ReadAll(conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// manualClock is a clock that stands still.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() clock.Instant      { return clock.Instant(c.now.Load()) }
func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// Guards against a reset whose error a write to the endpoint consumes, so that the read finds a
// proper end.
func TestEndWhileARequestIsSentIsNoProperEnd(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	const body = 8 << 20 // more than the buffers of both connections hold
	for range 20 {
		addr := startEndpoint(t, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = io.WriteString(c, "half")
			c.Close() // with unread bytes: a reset
		})
		conn, err := Dial(t.Context(), n.addr, addr)
		is.NoErr(err)
		go func() { _, _ = conn.Write(make([]byte, body)) }()
		_, err = io.ReadAll(conn)
		is.True(err != nil)
		conn.Close()
	}
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
