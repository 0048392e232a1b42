package forward_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/forward"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
	"chervilloom/platform"
)

// testForwarder is a forwarder in front of plain endpoints that the test starts.
type testForwarder struct {
	*forward.Forwarder
	server *httptest.Server
	guard  *quarantine.Guard
}

// newTestForwarder starts a forwarder whose budget allows retries for each request, for
// endpoints at addrs.
func newTestForwarder(t *testing.T, retries float64, addrs ...string) *testForwarder {
	t.Helper()
	doc := catalog.Document{
		Version:  1,
		Services: []catalog.Service{{Name: "plain"}},
		Routes: []catalog.Route{{
			Name: "lookup", Host: "h.example", Prefix: "/lookup/", Repeat: catalog.Idempotent, Public: true,
			Timeout: 10 * time.Second, Objective: 5 * time.Second, MaxAttempts: 2,
			Backends: []catalog.Backend{{Service: "plain", Weight: 1}},
		}, {
			Name: "draft", Host: "h.example", Prefix: "/draft/", Repeat: catalog.Stream, Public: true,
			Timeout: 10 * time.Second, Objective: 5 * time.Second, MaxAttempts: 1,
			Backends: []catalog.Backend{{Service: "plain", Weight: 1}},
		}},
	}
	cat, err := catalog.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	var list []roster.Endpoint
	for i, addr := range addrs {
		list = append(list, roster.Endpoint{ID: roster.ID(rune('a' + i)), Service: "plain", Addr: addr, Zone: "z", Slots: 8})
	}
	c := clock.Boot{}
	known := roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, c.Now(), 0)
	log := slog.New(slog.DiscardHandler)
	r := &testForwarder{guard: (&quarantine.Guard{
		Clock: c, Log: log, SendToTalliers: func(quarantine.Message) {}, Broadcast: func(quarantine.Message) {},
	}).Init(nil)}
	r.Forwarder = &forward.Forwarder{
		Codec: platform.Codec{}, Clock: c, Log: log, Metrics: forward.NewMetrics(nil), Pool: &upstream.Pool{Clock: c}, Zone: "z",
		Tracker: &balance.Tracker{
			Clock: c, Silence: func(roster.ID) time.Duration { return time.Minute }, OnSuspect: func(roster.ID) {}, OnDoubt: func(roster.ID) {},
		},
		PlainProfile: forward.Profile{Bounds: balance.Bounds{QueueShare: 1}, Turnover: time.Second},
		View: func() forward.View {
			return forward.View{Catalog: cat, Fresh: true, Current: true, Roster: known}
		},
		Ejector:    retry.NewEjector(retry.OutlierOptions{Consecutive: 100, MinRequests: 100, Margin: 1}, c, log, nil),
		Quarantine: r.guard, Backpressure: backpressure.New(backpressure.Options{Clock: c}),
		NewBudget: func() *retry.WindowedBudget {
			return &retry.WindowedBudget{Clock: c, Window: 10 * time.Second, Ratio: retries, Slack: func() float64 { return 0 }}
		},
		OnStaleEndpoint: func() {}, OnNoResponse: func(*roster.Endpoint) {}, OnResponse: func() {}, OnSent: func(roster.ID, int) {},
		SampleSize: func() int { return 0 }, ZoneLoad: func(string, string) board.MeanLoad { return board.MeanLoad{} }, NodeCount: func() int { return 1 },
	}
	r.server = httptest.NewUnstartedServer(r.Forwarder)
	r.server.Config.ConnContext = forward.WithClientConn
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

// get requests a path and returns the status and the body of the response.
func (r *testForwarder) get(t *testing.T, id, path string) (int, string) {
	t.Helper()
	resp, err := r.send(t, id, path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// send sends a GET request for a path.
func (r *testForwarder) send(t *testing.T, id, path string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, r.server.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	return http.DefaultClient.Do(req)
}

// startEndpoint starts an endpoint that answers every request, and returns its address.
func startEndpoint(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		io.WriteString(w, "ok")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// unusedAddr returns an address on which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against retry budget spent on refused connections. When a request terminates one
// endpoint after the other, the list shows them for some more seconds, and other requests
// placed there have their connections refused at once. Nothing was sent, so another attempt
// is no retry. Each attempt did take one retry from the budget, and once it was spent, 108
// requests of a simulated day were refused although endpoints were free ("least loaded;
// ... connection refused").
func TestRefusedConnectionsAreExemptFromRetryBudget(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 0, unusedAddr(t), unusedAddr(t), startEndpoint(t))
	for i := range 20 {
		code, body := r.get(t, string(rune('a'+i)), "/lookup/x")
		is.Equal(code, http.StatusOK)
		is.Equal(body, "ok")
	}
}

// Guards against a request that dials hundreds of endpoints when all of them refuse
// connections. It is refused after a few dials.
func TestRefusedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	var addrs []string
	for range 40 {
		addrs = append(addrs, unusedAddr(t))
	}
	r := newTestForwarder(t, 0, addrs...)
	var dials atomic.Int32
	r.Pool.Dial = func(ctx context.Context, addr string, _ func(string) bool) (net.Conn, upstream.Peer, error) {
		dials.Add(1)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return conn, upstream.Peer{}, err
	}
	code, _ := r.get(t, "a", "/lookup/x")
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(dials.Load() <= 4)
}

// Guards against requests that wait, or are sent anyway, while every endpoint of their
// service has asked for a backoff.
func TestRequestsAreRefusedWhileAllEndpointsBackOff(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int32
	newBackingOffEndpoint := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", "30.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	r := newTestForwarder(t, 100, newBackingOffEndpoint(), newBackingOffEndpoint())
	for i := range 20 {
		resp, err := r.send(t, string(rune('a'+i)), "/lookup/x")
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		if i == 0 {
			continue // the first request learns about the backoff
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 25)
	}
	is.Equal(arrivals.Load(), int32(2)) // one at each endpoint
}
