package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// peer is an endpoint whose every byte the test decides.
type peer struct {
	t  *testing.T
	ln net.Listener
}

func newPeer(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) *peer {
	t.Helper()
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
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return &peer{t, ln}
}

func (p *peer) addr() string { return p.ln.Addr().String() }

func readRequest(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

func exchange(t *testing.T, p *Pool, addr string) (*Conn, error) {
	t.Helper()
	c, err := p.Get(context.Background(), addr, false)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Send(&Request{Method: "POST", Target: "/x?y=%2F", Host: "h", Header: http.Header{}, Body: []byte("b")})
	if err != nil {
		p.Put(c, nil, 4)
		return c, err
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return c, err
	}
	p.Put(c, resp, 4)
	return c, nil
}

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, answer)
		}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	one, err := exchange(t, p, addr)
	is.NoErr(err)
	two, err := exchange(t, p, addr)
	is.NoErr(err)
	is.Equal(one, two)
}

// An endpoint sends a second answer after the first. The next request on that
// connection would take it for its own; the connection must not be used again.
func TestExtraAnswerSpoilsTheConnection(t *testing.T) {
	is := is.New(t)
	extra := make(chan struct{})
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, answer+answer)
			close(extra)
		}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	one, err := exchange(t, p, addr)
	is.NoErr(err)
	<-extra
	p.mu.Lock()
	kept := len(p.idle[addr])
	p.mu.Unlock()
	if kept == 1 {
		is.True(!one.live() || p.takeIdle(addr) == nil) // it came after the connection was given back
	}
}

// The endpoint closes a connection while it is idle. The next request opens a
// new one instead of being lost on the old one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		if readRequest(br) {
			io.WriteString(c, answer)
		}
		c.Close()
		closed <- struct{}{}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	one, err := exchange(t, p, addr)
	is.NoErr(err)
	<-closed
	for one.live() { // until the close has arrived
		time.Sleep(time.Millisecond)
	}
	_, err = exchange(t, p, addr)
	is.NoErr(err)
}

// An endpoint resets after it has read the request. It may have run, so the
// error says that, and the pool doesn't send it a second time by itself.
func TestBrokenExchangeIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	requests := make(chan struct{}, 10)
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		requests <- struct{}{}
	}).addr()
	_, err := exchange(t, &Pool{Clock: clock.Boot{}}, addr)
	is.True(errors.Is(err, ErrNoAnswer))
	is.Equal(len(requests), 1)
}

// An endpoint answers before it has read a long body and reads on later. The
// answer is taken at once, and the rest of the body never stands where another
// request would begin.
func TestEarlyAnswerSpoilsTheConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		<-release
	}).addr()
	defer close(release)
	p := &Pool{Clock: clock.Boot{}}
	c, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	resp, err := c.Send(&Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)})
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	p.Put(c, resp, 4)
	is.Equal(len(p.idle[addr]), 0)
}

func TestAbortEndsAnExchange(t *testing.T) {
	is := is.New(t)
	got := make(chan struct{})
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		close(got)
		io.Copy(io.Discard, br) // until the connection is closed
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	c, err := p.Get(context.Background(), addr, true)
	is.NoErr(err)
	go func() { <-got; c.Abort() }()
	_, err = c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	is.True(errors.Is(err, ErrNoAnswer))
}

func TestIdleLimitComesFromTheEndpoint(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAlive(http.Header{"Keep-Alive": {"timeout=5, max=10"}}), 5*time.Second-idleMargin)
	is.Equal(keepAlive(http.Header{}), idleDefault)
}

func TestOldIdleConnectionsAreSwept(t *testing.T) {
	is := is.New(t)
	addr := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, answer)
		}
	}).addr()
	c := clock.NewManual(clock.Instant(time.Hour))
	p := &Pool{Clock: c}
	_, err := exchange(t, p, addr)
	is.NoErr(err)
	p.Sweep()
	is.Equal(len(p.idle[addr]), 1)
	c.Advance(10 * time.Second)
	p.Sweep()
	is.Equal(len(p.idle[addr]), 0)
}

// Many nodes share an endpoint's connections. One that keeps more idle than its
// part would have the others' new connections reset, and with them requests that
// can't be sent again.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := &Pool{Clock: clock.NewManual(1)}
	var conns []*Conn
	for range 3 {
		near, far := net.Pipe()
		defer far.Close()
		conns = append(conns, &Conn{Conn: near, addr: "a", br: bufio.NewReader(near)})
	}
	for _, c := range conns {
		p.Put(c, &http.Response{Header: http.Header{}}, 1)
	}
	is.Equal(len(p.idle["a"]), 1)
	_, err := conns[2].Write([]byte("x"))
	is.True(err != nil) // closed
}

// A client closes or resets its connection while nobody reads it. That shows without
// reading; bytes of a next request that wait don't pass for an end.
func TestPeerThatLeftIsSeenWithoutReading(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	pair := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		server, err = ln.Accept()
		is.NoErr(err)
		t.Cleanup(func() { client.Close(); server.Close() })
		return client, server
	}
	left := func(server net.Conn) bool {
		for range 1000 { // the end is on its way over the loopback
			if PeerLeft(server) {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		return false
	}
	client, server := pair()
	is.True(!PeerLeft(server))
	_, err = client.Write([]byte("GET"))
	is.NoErr(err)
	is.True(!PeerLeft(server))
	closing, closed := pair()
	closing.Close()
	is.True(left(closed))
	resetting, reset := pair()
	is.NoErr(resetting.(*net.TCPConn).SetLinger(0))
	resetting.Close()
	is.True(left(reset))
}
