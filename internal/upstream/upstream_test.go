package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"chervilloom/internal/clock"
	"chervilloom/internal/testkit"
)

// rawEndpoint is an endpoint for which the test writes the raw bytes of the responses.
type rawEndpoint struct {
	t  *testing.T
	ln net.Listener
}

// startRawEndpoint starts an endpoint that calls serve for each connection.
func startRawEndpoint(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) *rawEndpoint {
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
	return &rawEndpoint{t, ln}
}

func (p *rawEndpoint) addr() string { return p.ln.Addr().String() }

// readRequest reads a request with its body and reports whether this succeeded.
func readRequest(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

const rawResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

// sendAndReturn sends a request over a connection of the pool, reads the response and returns the
// connection to the pool.
func sendAndReturn(t *testing.T, p *Pool, addr string) (*Conn, error) {
	t.Helper()
	c, err := p.Get(context.Background(), addr, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Send(&Request{Method: "POST", Target: "/x?y=%2F", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("b")}})
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

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, rawResponse)
		}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	one, err := sendAndReturn(t, p, addr)
	is.NoErr(err)
	two, err := sendAndReturn(t, p, addr)
	is.NoErr(err)
	is.Equal(one, two)
}

// Guards against a response that is taken for that of another request: the endpoint sends a
// second response after the first, so the connection must not be reused.
func TestConnectionIsNotReusedAfterExtraResponse(t *testing.T) {
	is := is.New(t)
	extra := make(chan struct{})
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, rawResponse+rawResponse)
			close(extra)
		}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	one, err := sendAndReturn(t, p, addr)
	is.NoErr(err)
	<-extra
	p.mu.Lock()
	kept := len(p.idle[addr])
	p.mu.Unlock()
	if kept == 1 {
		is.True(!one.isReusable() || p.takeIdle(addr, nil) == nil) // the second response arrived after Put
	}
}

// Guards against a request that is lost on an idle connection which the endpoint has closed:
// a new connection is opened.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		if readRequest(br) {
			io.WriteString(c, rawResponse)
		}
		c.Close()
		closed <- struct{}{}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	one, err := sendAndReturn(t, p, addr)
	is.NoErr(err)
	<-closed
	for one.isReusable() { // until the FIN has arrived
		time.Sleep(time.Millisecond)
	}
	_, err = sendAndReturn(t, p, addr)
	is.NoErr(err)
}

// Guards against a request that is run twice: the endpoint closes the connection after it has
// read the request, which may have run. The error reports that, and the pool does not resend
// the request.
func TestFailedRequestIsNotResent(t *testing.T) {
	is := is.New(t)
	requests := make(chan struct{}, 10)
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		requests <- struct{}{}
	}).addr()
	_, err := sendAndReturn(t, &Pool{Clock: clock.Boot{}}, addr)
	is.True(errors.Is(err, ErrNoResponse))
	is.Equal(len(requests), 1)
}

// Guards against a lost early response, and against the rest of a body that is read as the
// next request: the endpoint responds before it has read a long body. The response is
// returned at once and the connection is not reused.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		<-release
	}).addr()
	defer close(release)
	p := &Pool{Clock: clock.Boot{}}
	c, err := p.Get(context.Background(), addr, false, nil)
	is.NoErr(err)
	resp, err := c.Send(&Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, 16<<20)}})
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	p.Put(c, resp, 4)
	is.Equal(len(p.idle[addr]), 0)
}

func TestAbortEndsAnExchange(t *testing.T) {
	is := is.New(t)
	got := make(chan struct{})
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		close(got)
		io.Copy(io.Discard, br) // until the connection is closed
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	c, err := p.Get(context.Background(), addr, true, nil)
	is.NoErr(err)
	go func() { <-got; c.Abort() }()
	_, err = c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	is.True(errors.Is(err, ErrNoResponse))
}

func TestIdleLimitComesFromTheEndpoint(t *testing.T) {
	is := is.New(t)
	is.Equal(idleLimitFrom(http.Header{"Keep-Alive": {"timeout=5, max=10"}}), 5*time.Second-idleMargin)
	is.Equal(idleLimitFrom(http.Header{}), defaultIdleLimit)
}

func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, rawResponse)
		}
	}).addr()
	c := clock.NewManual(clock.Instant(time.Hour))
	p := &Pool{Clock: c}
	_, err := sendAndReturn(t, p, addr)
	is.NoErr(err)
	p.CloseExpired()
	is.Equal(len(p.idle[addr]), 1)
	c.Advance(10 * time.Second)
	p.CloseExpired()
	is.Equal(len(p.idle[addr]), 0)
}

// Guards against more idle connections than a node's share. Many nodes share the connection
// limit of an endpoint; above it new connections are reset, and with them requests that
// cannot be sent again.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := &Pool{Clock: clock.NewManual(1)}
	var conns []*Conn
	for range 3 {
		near, far := net.Pipe()
		defer far.Close()
		conns = append(conns, &Conn{Conn: near, addr: "a", buf: bufio.NewReader(near)})
	}
	for _, c := range conns {
		p.Put(c, &http.Response{Header: http.Header{}}, 1)
	}
	is.Equal(len(p.idle["a"]), 1)
	_, err := conns[2].Write([]byte("x"))
	is.True(err != nil) // closed
}

// Guards against a client whose closed or reset connection is not detected while nobody reads
// from it, and against unread data of a next request that is taken for a close.
func TestPeerCloseIsDetectedWithoutReading(t *testing.T) {
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
	waitForClose := func(server net.Conn) bool {
		for range 1000 { // the FIN or RST has not arrived over the loopback yet
			if IsPeerClosed(server) {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		return false
	}
	client, server := pair()
	is.True(!IsPeerClosed(server))
	_, err = client.Write([]byte("GET"))
	is.NoErr(err)
	is.True(!IsPeerClosed(server))
	closing, closed := pair()
	closing.Close()
	is.True(waitForClose(closed))
	resetting, reset := pair()
	is.NoErr(resetting.(*net.TCPConn).SetLinger(0))
	resetting.Close()
	is.True(waitForClose(reset))
}

// Guards against sound endpoints that lose their connections when they are silent for a second or
// two: the user timeout also ends a connection whose keep-alive probes are unanswered, so several
// probes must fit into it.
func TestSeveralProbesFitIntoUserTimeout(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	dialed, err := DialTCP(t.Context(), ln.Addr().String())
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := ln.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.NoErr(SetTimeouts(accepted))
	for _, c := range []net.Conn{dialed, accepted} {
		option := func(name int) time.Duration {
			raw, err := c.(*net.TCPConn).SyscallConn()
			is.NoErr(err)
			value := 0
			is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
			is.NoErr(err)
			return time.Duration(value) * time.Second
		}
		timeout := option(unix.TCP_USER_TIMEOUT) / 1000 // in ms
		is.True(timeout > 2*time.Second)
		is.True(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPINTVL) < timeout)
	}
}

// endlessBytes is how much an endpoint sends that never stops; the test ends all the same.
const endlessBytes = 64 << 20

// writeEndless writes start and then part again and again, until the other side closes the
// connection or endlessBytes are sent.
func writeEndless(c net.Conn, start, part string) {
	block := strings.Repeat(part, 1+(32<<10)/len(part))
	if _, err := io.WriteString(c, start); err != nil {
		return
	}
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
	}
}

// Guards against a node whose memory is exhausted by one endpoint that sends a header without end:
// every node that sends to it would be killed.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	for name, endless := range map[string]struct{ start, part string }{
		"status line": {"HTTP/1.1 200 ", "x"}, "header line": {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"many headers": {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"}, "no HTTP": {"", "\x00\xff"}, "empty lines": {"", "\r\n"},
		"folded line": {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " c\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				if readRequest(br) {
					writeEndless(c, endless.start, endless.part)
				}
			}).addr()
			p := &Pool{Clock: clock.Boot{}}
			c, err := p.Get(context.Background(), addr, true, nil)
			is.NoErr(err)
			counted := &countingConn{Conn: c.Conn}
			c = newConn(counted, Peer{}, addr)
			_, err = c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			is.True(errors.Is(err, ErrNoResponse))
			is.True(counted.read <= 2*maxHeaderBytes)
			p.Put(c, nil, 4)
			is.Equal(len(p.idle[addr]), 0)
		})
	}
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// Guards against a response that is taken for too long because of the ones before it on the
// connection: the bound is for one header.
func TestHeaderLimitIsForEachResponse(t *testing.T) {
	is := is.New(t)
	header := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", maxHeaderBytes*3/4) + "\r\nContent-Length: 200000\r\n\r\n"
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, header+strings.Repeat("y", 200000))
		}
	}).addr()
	p := &Pool{Clock: clock.Boot{}}
	for range 3 {
		_, err := sendAndReturn(t, p, addr)
		is.NoErr(err)
	}
}

// Guards against chunk extensions and trailers without end, which carry no byte of the body.
func TestEndlessFramingOfBodyIsCutOff(t *testing.T) {
	for name, endless := range map[string]struct{ start, part string }{
		"chunk extension": {"2;", "x"}, "extension of each chunk": {"", "1;" + strings.Repeat("x", 4000) + "\r\nb\r\n"},
		"trailer line": {"0\r\nX-A: ", "x"}, "many trailers": {"0\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				if readRequest(br) {
					writeEndless(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+endless.start, endless.part)
				}
			}).addr()
			p := &Pool{Clock: clock.Boot{}}
			c, err := p.Get(context.Background(), addr, true, nil)
			is.NoErr(err)
			resp, err := c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			is.NoErr(err)
			n, err := io.Copy(io.Discard, resp.Body)
			is.True(err != nil)
			is.True(n < 1<<10)
		})
	}
}

// FuzzSend feeds bytes of an endpoint to the reader of responses: it neither panics nor reads a
// header beyond its bound, and a response that it returns has a valid status.
func FuzzSend(f *testing.F) {
	f.Add([]byte(rawResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("\x00\xff\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			defer far.Close()
			if readRequest(bufio.NewReader(far)) {
				far.Write(data)
			}
		}()
		counted := &countingConn{Conn: near}
		c := newConn(counted, Peer{}, "a")
		resp, err := c.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			if counted.read > maxHeaderBytes+readBufferBytes {
				t.Fatalf("read %d bytes of a header", counted.read)
			}
			return
		}
		if resp.StatusCode < 0 || resp.StatusCode > 999 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the far side closes
	})
}

// Guards against an endpoint that is taken for silent although its answer lies unread in the socket.
func TestUnreadAnswerIsSeenWithoutReading(t *testing.T) {
	is := is.New(t)
	addr := startRawEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) {
			io.WriteString(c, rawResponse)
		}
	}).addr()
	c, err := (&Pool{Clock: clock.Boot{}}).Get(context.Background(), addr, true, nil)
	is.NoErr(err)
	defer c.Close()
	is.True(!c.HasUnread())
	_, err = c.write(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	is.NoErr(err)
	for !c.HasUnread() {
		time.Sleep(time.Millisecond)
	}
	answer := make([]byte, len(rawResponse))
	_, err = io.ReadFull(c, answer)
	is.NoErr(err)
	is.Equal(string(answer), rawResponse)
	is.True(!c.HasUnread())
}

// Guards against a response without a length that looks complete because the write of the request's
// body consumed the error of the endpoint's reset.
func TestResetWhileTheBodyIsSentIsNoProperEnd(t *testing.T) {
	is := is.New(t)
	addr := testkit.Listen(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 64))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		c.Close() // with unread bytes: a reset
	})
	const body = 8 << 20 // more than the kernel's buffers hold
	pool := &Pool{Clock: clock.Boot{}}
	for range 50 {
		c, err := pool.Get(t.Context(), addr, true, nil)
		is.NoErr(err)
		resp, err := c.Send(&Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, body)}})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		is.True(err != nil)
		c.Close()
	}
}

// Guards against a response without a length that looks complete because HasUnread consumed the error
// of the endpoint's reset.
func TestResetSeenByPeekIsNoProperEnd(t *testing.T) {
	is := is.New(t)
	const half = "half"
	reset := make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+half)
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	c, err := (&Pool{Clock: clock.Boot{}}).Get(t.Context(), addr, true, nil)
	is.NoErr(err)
	defer c.Close()
	resp, err := c.Send(&Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(half)))
	is.NoErr(err)
	close(reset)
	for range 100 {
		c.HasUnread()
		time.Sleep(time.Millisecond) // the reset is on its way
	}
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
