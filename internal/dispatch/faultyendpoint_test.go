package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/view"
)

// The first endpoint refuses with the header that guarantees that nothing ran, and never
// ends the response body. Without the limit on reading the body, the retry at the second
// endpoint would wait until the deadline.
func TestRefusalWithEndlessBodyIsRetried(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addHandler(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body) // net/http detects a closed connection only after the body was read
		w.Header().Set(headerServiceNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, "leaving")
		http.NewResponseController(w).Flush()
		<-req.Context().Done()
	})
	s := r.addService()
	c := r.serve(context.Background(), r.receipt("a"))
	is.True(c.end.Complete)
	is.Equal(s.Executions("POST", "/receipts", "a"), 1)
	is.Equal(r.router.begun, 2)
}

// An endpoint responds with a status that no final response has, or switches protocols
// without being asked. The request may have run, so the outcome is "unknown", and neither
// the status nor the following bytes may reach the caller.
func TestNonFinalStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000 Zero", "042 Low", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			r.addHandler(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				r.t.Cleanup(func() { conn.Close() })
				writeRawResponse(conn, status)
			})
			c := r.serve(context.Background(), r.receipt("a"))
			is.True(!c.end.Complete)
			is.Equal(c.started, 0)
			is.Equal(c.end.Error.Kind, outcome.EndpointFailed)
			is.Equal(c.end.Error.Outcome, outcome.Unknown)
			is.True(r.router.results[0].Failed)
		})
	}
}

func writeRawResponse(conn net.Conn, status string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n", status)
}

// A stream breaks, and its engine accepts each resume and breaks it again before the
// first token. The response must end as cut, and the stream must be cancelled at the
// engine, which would otherwise keep generating.
func TestStreamThatCannotBeResumedIsCancelled(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	cancelled := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodDelete {
			cancelled <- req.URL.Path
			return
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	e := r.addEngine(standin.Options{})
	r.change(func(s *view.Snapshot) {
		m := e.State()
		s.Groups[0].Members = []fleet.Member{{VM: "e1", Boot: m.Boot, Addr: srv.Listener.Addr().String()}}
	})
	ref := relay.StreamRef{VM: "e1", Group: "g1", Generation: 1, Stream: relay.NewStreamID("sagarmatha", "n1")}
	s := newSession(r.chat("a", 8, true), newCollector())
	f := &streamRelay{d: r.d, s: s, g: &r.Snapshot().Groups[0], t: &try{}, st: relay.NewStream(ref, 1)}
	f.nextWait, f.brokenSince = time.Millisecond, r.clock.Now().Add(-2*resumeLimit)
	_, cut := f.resume(context.Background(), context.Background(), nil)
	is.Equal(cut.Kind, outcome.AnswerCut)
	is.True(f.t.endpointFailed)
	select {
	case path := <-cancelled:
		is.Equal(path, "/v1/streams/"+ref.Stream)
	case <-time.After(waitTimeout):
		t.Fatal("the stream was not cancelled")
	}
}

// A Retry-After value of years, or one that overflows time.Duration, must be limited to
// maxRetryAfter.
func TestRetryAfterIsLimited(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "soon": 0, "-5": 0, "0": 0, "7": 7 * time.Second, "60": time.Minute,
		"1000000000": time.Minute, "18446744074": time.Minute,
	} {
		is.New(t).Equal(parseRetryAfter(http.Header{"Retry-After": {value}}), want)
	}
}
