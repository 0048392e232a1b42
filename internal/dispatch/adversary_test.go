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

// A clerk sends a receipt. The first endpoint refuses it, promises that nothing
// ran, and then never ends the text of its refusal. The promise is in the
// header: the second endpoint is asked long before the clerk's deadline.
func TestRefusalWithoutEndIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addHandler(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body) // net/http notices a closed connection only then
		w.Header().Set(headerServiceNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, "leaving")
		http.NewResponseController(w).Flush()
		<-req.Context().Done()
	})
	s := r.addService()
	c := r.serve(context.Background(), r.receipt("a"))
	is.True(c.end.Whole)
	is.Equal(s.Executions("POST", "/receipts", "a"), 1)
	is.Equal(r.router.begun, 2)
}

// An endpoint answers with a status that no HTTP answer has, or changes the
// protocol unasked. The receipt may have been issued: the clerk is told so at
// once, and never gets the status or what follows it as an answer.
func TestImpossibleStatusIsAFailure(t *testing.T) {
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
				answerRaw(conn, status)
			})
			c := r.serve(context.Background(), r.receipt("a"))
			is.True(!c.end.Whole)
			is.Equal(c.started, 0)
			is.Equal(c.end.Error.Kind, outcome.EndpointFailed)
			is.Equal(c.end.Error.Outcome, outcome.Unknown)
			is.True(r.router.results[0].Failed)
		})
	}
}

func answerRaw(conn net.Conn, status string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n", status)
}

// A scorer's stream breaks, and its engine takes each resume and breaks it
// again before a token came. The caller is told that the answer is cut; the
// engine is told to cancel, or it would go on producing for nobody.
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
	f := &following{d: r.d, s: s, g: &r.Snapshot().Groups[0], t: &try{}, st: relay.NewStream(ref, 1)}
	f.wait, f.silent = time.Millisecond, r.clock.Now().Add(-2*resumeLimit)
	_, cut := f.reopen(context.Background(), context.Background(), nil)
	is.Equal(cut.Kind, outcome.AnswerCut)
	is.True(f.t.blamed)
	select {
	case path := <-cancelled:
		is.Equal(path, "/v1/streams/"+ref.Stream)
	case <-time.After(patience):
		t.Fatal("the stream was not cancelled")
	}
}

// An endpoint advises to come back in years, or in no time that there is. The
// caller is never told to stay away for longer than others need to take over.
func TestAdviceOfAnEndpointIsBounded(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "soon": 0, "-5": 0, "0": 0, "7": 7 * time.Second, "60": time.Minute,
		"1000000000": time.Minute, "18446744074": time.Minute,
	} {
		is.New(t).Equal(retryAfter(http.Header{"Retry-After": {value}}), want)
	}
}
