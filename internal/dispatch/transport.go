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

// Limits of the connection pool to the endpoints. The leader of a group serves tens of
// streams at once, each on its own connection.
const (
	idleConns         = 2048
	idleConnsPerHost  = 128
	idleConnTimeout   = 30 * time.Second
	maxEndpointHeader = 64 << 10
)

// countingConn counts the writes started on a connection. The count is incremented before
// the write, so a write that fails midway counts as sent.
type countingConn struct {
	net.Conn
	writes atomic.Uint64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// client sends HTTP requests to endpoints.
//
// net/http resends a request on its own if a reused connection breaks: GET and HEAD
// always, others if they have an Idempotency-Key and a body that can be read again. A
// request that may run at most once could silently run twice. Such requests use the
// unpooled transport, which opens a connection for each (net/http never resends on a new
// connection), and their body cannot be rewound. A new connection is also never one that
// the endpoint is just closing as idle, which would change the outcome of a request that
// did not run to unknown.
type client struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

func newClient(dialTimeout time.Duration) *client {
	return &client{
		pooled:   newTransport(dialTimeout, false),
		unpooled: newTransport(dialTimeout, true),
	}
}

func newTransport(dialTimeout time.Duration, unpooled bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		Protocols:              http1,
		DisableCompression:     true,
		DisableKeepAlives:      unpooled,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxEndpointHeader,
	}
}

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// do sends r. The returned sendTracker reports whether any byte of it was written.
func (c *client) do(r *http.Request, idempotent bool) (*http.Response, *sendTracker, error) {
	s := &sendTracker{}
	trace := &httptrace.ClientTrace{GotConn: s.gotConn}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	tr := c.unpooled
	if idempotent {
		tr = c.pooled
	}
	resp, err := tr.RoundTrip(r)
	return resp, s, err
}

// sendTracker records the connections assigned to a request, each with its write count at
// that time.
type sendTracker struct {
	mu    sync.Mutex
	conns []connWrites
}

type connWrites struct {
	conn   *countingConn // nil if its writes are not counted
	writes uint64
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	m := connWrites{}
	if c, ok := info.Conn.(*countingConn); ok {
		m = connWrites{conn: c, writes: c.writes.Load()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, m)
}

// closeAndCheck must be called after a request failed. It closes the connections, so that
// a pending write fails, and then reports whether any write had started. Without the
// close, a writer goroutine of net/http could send the request after "not run" was
// reported.
func (s *sendTracker) closeAndCheck() (sent bool) {
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

// unrewindableBody is a request body that net/http cannot rewind: http.NewRequest does not know
// its type. It is non-nil even if empty, because net/http treats a request without a body
// as replayable.
type unrewindableBody struct {
	data []byte
}

func (b *unrewindableBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *unrewindableBody) Close() error { return nil }
