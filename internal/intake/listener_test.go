package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/testkit"
)

func startListener(t *testing.T, maxOpen int) *Listener {
	t.Helper()
	ln, err := Listen(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	l := (&Listener{TCPListener: ln, Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler), ConnLimiter: ConnLimiter{MaxOpen: maxOpen}}).Init(nil)
	t.Cleanup(func() { l.Close() })
	return l
}

func (l *Listener) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// isOpen reports whether the other side has not closed the connection: it answers "ok".
func isOpen(c net.Conn) bool {
	answer := make([]byte, 2)
	_, err := io.ReadFull(c, answer)
	return err == nil
}

// Guards against connections that are lost or mixed up while many come at once: each is served.
func TestAllConnectionsOfABurstAreServed(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 0)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.URL.Path)
	})}
	defer server.Close()
	go server.Serve(l)
	var clients sync.WaitGroup
	for i := range 4 * maxBatch {
		clients.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			for j := range 3 {
				path := fmt.Sprintf("/%d/%d", i, j)
				fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Error(err)
					return
				}
				if body, _ := io.ReadAll(resp.Body); string(body) != path {
					t.Errorf("%s got %q", path, body)
				}
			}
		})
	}
	clients.Wait()
	testkit.Eventually(t, "all connections are closed", func() bool { return l.Open() == 0 })
	is.Equal(l.waiting(), 0)
}

// Guards against connections that are handed on faster than the process runs them: after a batch, the
// next ones wait until each has had its turn.
func TestNextBatchWaitsForFirstTurns(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 0)
	var held []net.Conn
	for range maxBatch {
		l.dial(t)
		c, err := l.Accept()
		is.NoErr(err)
		held = append(held, c)
	}
	client := l.dial(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	for i, c := range held {
		is.Equal(len(accepted), 0)
		if i%2 == 0 {
			c.Close() // one that ends without a turn counts too
			continue
		}
		go c.Read(make([]byte, 1)) // blocks: the client sends nothing
	}
	c := <-accepted
	_, err := io.WriteString(c, "ok")
	is.NoErr(err)
	is.True(isOpen(client))
}

// Guards against a node that keeps clients waiting which it can't serve: their connections are closed
// unread, and the newest stay.
func TestStandingBacklogIsTurnedAway(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 0)
	const clients = 12 * maxBatch
	var conns []net.Conn
	for range clients {
		c := l.dial(t)
		_, err := io.WriteString(c, "request")
		is.NoErr(err)
		conns = append(conns, c)
	}
	stop := make(chan struct{})
	defer close(stop)
	turns := make(chan struct{})
	go func() { // a slow processor: one turn after the other
		for {
			select {
			case <-stop:
				return
			case turns <- struct{}{}:
				time.Sleep(settleTime / 20) // the time of a turn
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				select {
				case <-stop:
				case <-turns:
				}
				buf := make([]byte, len("request"))
				if _, err := io.ReadFull(c, buf); err == nil {
					_, _ = io.WriteString(c, "ok") // the client may have left
				}
				c.Close()
			}()
		}
	}()
	served, turnedAway := 0, 0
	for _, c := range conns {
		if isOpen(c) {
			served++
		} else {
			turnedAway++
		}
	}
	is.True(turnedAway > 0)
	is.True(served >= maxBatch)
}

// Guards against a node that runs out of descriptors or memory for open connections.
func TestOpenConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 4)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go c.Read(make([]byte, 1))
			TrackState(c, http.StateActive) // a request runs: its client doesn't stall
			accepted <- c
		}
	}()
	first := l.dial(t)
	c := <-accepted
	for range 3 {
		l.dial(t)
		<-accepted
	}
	is.True(!l.Keeps(c))
	is.True(!isOpen(l.dial(t)))
	c.Close()
	is.True(!isOpen(first))
	last := l.dial(t)
	_, err := io.WriteString(<-accepted, "ok")
	is.NoErr(err)
	is.True(isOpen(last))
}

// Guards against a listener that can't be closed while a batch waits for its turns.
func TestCloseEndsWaitingAccept(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 0)
	for range maxBatch {
		l.dial(t)
		_, err := l.Accept()
		is.NoErr(err)
	}
	client := l.dial(t)
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	is.NoErr(l.Close())
	is.True(<-ended != nil)
	is.True(!isOpen(client))
}

// Guards against requests that wait for a whole batch on a slow processor: batches shrink and grow with
// the time that they take.
func TestBatchFollowsItsTime(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 0)
	for range 10 {
		l.adaptBatch(slowBatch + 1)
	}
	is.Equal(l.batch, 1)
	l.adaptBatch((slowBatch + fastBatch) / 2)
	is.Equal(l.batch, 1)
	for range 10 {
		l.adaptBatch(fastBatch - 1)
	}
	is.Equal(l.batch, maxBatch)
}

// Guards against clients that keep their connections to a node which turns others away: they are
// asked to close them, until it has turned none away for a while.
func TestClientsSpreadWhileNodeIsBehind(t *testing.T) {
	is := is.New(t)
	l := startListener(t, 0)
	c := clock.NewManual(clock.Instant(time.Hour))
	l.Clock = c
	is.True(l.Keeps(nil))
	l.recordTurnedAway(reasonBehind, 1)
	is.True(!l.Keeps(nil))
	c.Advance(behindTime)
	is.True(l.Keeps(nil))
}

// serve accepts connections for a server that answers "ok" to each request until the test ends.
func (l *Listener) serve(t *testing.T) {
	t.Helper()
	s := &http.Server{
		ConnState: TrackState, ReadHeaderTimeout: ServerTimeout, IdleTimeout: ServerTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !l.Keeps(r.Context().Value(connKey{}).(net.Conn)) {
				w.Header().Set("Connection", "close")
			}
			io.WriteString(w, "ok")
		}),
	}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
}

type connKey struct{}

const okRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// isServed reports whether a request on the connection is answered.
func isServed(c net.Conn) bool {
	if _, err := io.WriteString(c, okRequest); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Guards against clients that take all connections: with half of them idle, which is sound, and the others
// silent, new ones are served and the idle ones keep their connections.
func TestNewConnectionsAreServedBesideSilentAndIdleClients(t *testing.T) {
	is := is.New(t)
	const maxOpen = 16
	l := startListener(t, maxOpen)
	l.serve(t)
	var idle []net.Conn
	for range maxOpen / 2 {
		c := l.dial(t)
		is.True(isServed(c))
		idle = append(idle, c)
	}
	for range 4 * maxOpen {
		l.dial(t)
	}
	testkit.Eventually(t, "new connections are served", func() bool { return isServed(l.dial(t)) })
	for _, c := range idle {
		is.True(isServed(c))
	}
}

// Guards against idle connections that fill a node.
func TestIdleConnectionsLeaveRoom(t *testing.T) {
	is := is.New(t)
	const maxOpen = 16
	l := startListener(t, maxOpen)
	l.serve(t)
	for range 4 * maxOpen {
		is.True(isServed(l.dial(t)))
	}
	testkit.Eventually(t, "connections are closed", func() bool { return l.Open() <= maxOpen/2 })
}
