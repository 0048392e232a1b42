package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// Guards against requests that are run for nobody: the client disconnects, or its deadline
// passes, while the node still dials the endpoint and does not read from the client's
// connection.
func TestNoRequestIsSentAfterClientDisconnects(t *testing.T) {
	for name, late := range map[string]bool{"left": false, "time is over": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := tcpPair(t)
			var sent atomic.Int32
			endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
			defer endpoint.Close()
			c := clock.NewManual(clock.Instant(time.Hour))
			f := &Forwarder{
				Clock: c, Tracker: &balance.Tracker{Clock: c, Silence: func(roster.ID) time.Duration { return time.Second }},
				Pool: &upstream.Pool{Clock: c, Dial: func(ctx context.Context, addr string, _ func(string) bool) (net.Conn, upstream.Peer, error) {
					if late {
						c.Advance(time.Minute)
					} else {
						client.Close()
						for !upstream.IsPeerClosed(server) && ctx.Err() == nil {
							time.Sleep(time.Millisecond) // the FIN has not arrived over the loopback yet
						}
					}
					conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
					return conn, upstream.Peer{}, err
				}},
			}
			f.Quarantine = (&quarantine.Guard{Clock: c}).Init(nil)
			f.Backpressure = backpressure.New(backpressure.Options{Clock: c})
			in := httptest.NewRequest(http.MethodGet, "/a/b", nil)
			in = in.WithContext(WithClientConn(context.Background(), server))
			x := &exchange{
				f: f, req: &Request{}, route: &catalog.Route{Repeat: catalog.Idempotent}, catalog: &catalog.Catalog{},
				clientRequest: in, clientCtx: in.Context(), start: c.Now(), deadline: c.Now().Add(time.Second),
			}
			f.NodeCount = func() int { return 1 }
			res := x.attempt(context.Background(), &roster.Endpoint{ID: "e", Addr: endpoint.Listener.Addr().String()})
			is.Equal(sent.Load(), int32(0))
			is.Equal(x.progress.Sent, 0)
			want := ClientGone
			if late {
				want = OutOfTime
			}
			is.Equal(res, want)
		})
	}
}

// Guards against a node that keeps the idle connections of the whole fleet to an endpoint while it
// doesn't know how many nodes there are.
func TestIdleConnectionsAreFewWhileNodesAreUnknown(t *testing.T) {
	is := is.New(t)
	cat, err := catalog.New(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", MaxConns: 300}}})
	is.NoErr(err)
	nodes := 0
	x := &exchange{f: &Forwarder{NodeCount: func() int { return nodes }}, service: "s", catalog: cat}
	is.Equal(x.maxIdleConns(), 1)
	nodes = 45
	is.Equal(x.maxIdleConns(), 5)
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, dialErr := net.Dial("tcp", ln.Addr().String())
	server, err = ln.Accept()
	if err = errors.Join(dialErr, err); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}
