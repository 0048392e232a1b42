package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// The sizes of the connection pool to the endpoints. A group's leader answers
// tens of streams at once, each on a connection of its own.
const (
	idleConns         = 2048
	idleConnsPerHost  = 128
	idleConnTimeout   = 30 * time.Second
	maxEndpointHeader = 64 << 10
)

// meteredConn counts the writes begun on a connection. The count is raised
// before the bytes go out: a write that fails half-way counts as sent.
type meteredConn struct {
	net.Conn
	writes atomic.Uint64
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// client holds the connections to endpoints.
//
// net/http resends a request by itself when a reused connection breaks: GET
// and HEAD always, others when they carry an Idempotency-Key and their body
// can be read again. A call that may run at most once would run twice without
// anyone knowing. Such calls go through single, which opens a connection for
// each (net/http never resends on one that was not reused), and their body
// cannot be rewound. A new connection also cannot be one that the endpoint is
// just closing for idleness, which would turn a call that never ran into an
// unknown one.
type client struct {
	pooled *http.Transport
	single *http.Transport
}

func newClient(dialTimeout time.Duration) *client {
	return &client{
		pooled: newTransport(dialTimeout, false),
		single: newTransport(dialTimeout, true),
	}
}

func newTransport(dialTimeout time.Duration, single bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: c}, nil
		},
		Protocols:              http1,
		DisableCompression:     true,
		DisableKeepAlives:      single,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxEndpointHeader,
	}
}

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// do sends r. The sends tell afterwards whether any byte of it left.
func (c *client) do(r *http.Request, idempotent bool) (*http.Response, *sends, error) {
	s := &sends{}
	trace := &httptrace.ClientTrace{GotConn: s.gotConn}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	tr := c.single
	if idempotent {
		tr = c.pooled
	}
	resp, err := tr.RoundTrip(r)
	return resp, s, err
}

// sends remembers the connections that a request was given, each with its
// count of writes at that time.
type sends struct {
	mu    sync.Mutex
	conns []sendMark
}

type sendMark struct {
	conn   *meteredConn // nil: a connection whose writes are not counted
	writes uint64
}

func (s *sends) gotConn(info httptrace.GotConnInfo) {
	m := sendMark{}
	if c, ok := info.Conn.(*meteredConn); ok {
		m = sendMark{conn: c, writes: c.writes.Load()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, m)
}

// seal is called after a request failed. It closes the connections, so that a
// write that is about to begin fails, and then reports whether any write had
// begun. Without the close a writer goroutine of net/http could send the
// request after it was told as "not run".
func (s *sends) seal() (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.conns {
		if m.conn == nil {
			return true
		}
		m.conn.Close()
		if m.conn.writes.Load() != m.writes {
			sent = true
		}
	}
	return sent
}

// onceBody is a request body that net/http cannot read a second time: it is of
// no type that http.NewRequest knows how to rewind, and it is not nil even
// when empty, because a request without a body counts as replayable.
type onceBody struct {
	data []byte
}

func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *onceBody) Close() error { return nil }
