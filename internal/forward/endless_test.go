package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
)

// startEndlessEndpoint starts an endpoint whose bodies never end; sent counts their bytes. The
// endpoint gives up after 256 MiB.
func startEndlessEndpoint(t *testing.T, status int, notRun bool, pause time.Duration) (addr string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		if notRun {
			w.Header().Set("X-Not-Run", "1")
		}
		w.WriteHeader(status)
		block := make([]byte, 64<<10)
		for sent.Load() < 256<<20 && r.Context().Err() == nil {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			if pause > 0 {
				_ = http.NewResponseController(w).Flush() // fails if the node has closed the connection
				time.Sleep(pause)                         // a slow endpoint
			}
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), sent
}

// Guards against a request that hangs at an endpoint whose refusal or error has a body without end:
// it is served by another endpoint, and little of the body is read.
func TestEndlessBodyOfFailureIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		notRun bool
		pause  time.Duration
	}{
		"refusal": {503, true, 0}, "slow refusal": {503, true, 5 * time.Millisecond}, "error": {500, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endless, sent := startEndlessEndpoint(t, c.status, c.notRun, c.pause)
			r := newTestForwarder(t, 1000, endless, startEndpoint(t))
			for i := range 10 { // the endpoints are chosen at random
				status, _ := r.get(t, fmt.Sprint(i), "/lookup/x")
				is.Equal(status, http.StatusOK)
			}
			is.True(sent.Load() < 10*(8<<20)) // with the buffers of the sockets
			is.Equal(r.Memory.Held(), int64(0))
		})
	}
}

// Guards against one endpoint whose slow bodies without end take the memory for all bodies, so that
// the requests for other endpoints are refused.
func TestSlowBodiesOfOneEndpointLeaveMemoryForOthers(t *testing.T) {
	is := is.New(t)
	const maxHeld = 8 << 20
	endless, _ := startEndlessEndpoint(t, 200, false, 20*time.Millisecond)
	r := newTestForwarder(t, 1000)
	r.Memory.Limit = maxHeld
	r.setView(t, lookupDocument(), nil, endpointAt("endless", "z", endless))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 60 {
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+"/lookup/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h.example"
			req.Header.Set("X-Request-Id", fmt.Sprint("e", i))
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body) // ends with ctx
				resp.Body.Close()
			}
		}()
	}
	testkit.Eventually(t, "responses are being read", func() bool { return r.Memory.Held() >= maxHeld/8 })
	for range 100 {
		is.True(r.Memory.Held() <= maxHeld/2)
		time.Sleep(5 * time.Millisecond) // not a proof: the bound holds at every moment
	}
}

// Guards against an answer without end that is relayed until the client's deadline.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	is := is.New(t)
	endless, sent := startEndlessEndpoint(t, 200, false, 0)
	r := newTestForwarder(t, 1000, endless)
	resp, err := r.send(t, "a", "/lookup/x")
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil) // not complete
	is.True(sent.Load() < 128<<20)
}

// Guards against clients that send a body so slowly that it holds memory beyond the request's
// deadline.
func TestSlowBodyEndsWithDeadlineOfRequest(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 1000, startEndpoint(t))
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.server.URL, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nX-Deadline-Ms: 50\r\nContent-Length: 100\r\n\r\nx")
	is.NoErr(err)
	answer := make([]byte, 4<<10)
	n, err := conn.Read(answer)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 503 "))
	is.True(strings.Contains(string(answer[:n]), "not-run"))
	testkit.Eventually(t, "the memory is released", func() bool { return r.Memory.Held() == 0 })
}
