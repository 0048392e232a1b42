package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/view"
)

// addHandler adds h as an endpoint of the service.
func (r *rig) addHandler(h http.HandlerFunc) {
	srv := httptest.NewServer(h)
	r.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	vm := fleet.VM(fmt.Sprintf("h%d", len(r.Snapshot().VMs)))
	rec := fleet.Record{VM: vm, Addr: srv.Listener.Addr().String(), Service: "counter"}
	r.change(func(s *view.Snapshot) { s.VMs = append(s.VMs, view.VM{Record: rec}) })
}

func TestEndpointSeesEndToEndHeadersOnly(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	var seen http.Header
	r.addHandler(func(w http.ResponseWriter, q *http.Request) {
		seen = q.Header
		w.Header().Set("X-Mine", "1")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("Engine-Boot", "b")
		w.Header().Set("Chervilloom-Request", "not yours")
	})
	q := r.lookup("a")
	q.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	q.Header = http.Header{
		"X-Request-Id": {"theirs"}, "X-Own": {"1"}, "Connection": {"X-Local, close"}, "X-Local": {"1"},
		"Engine-Stream": {"stolen"}, "Chervilloom-Ticket": {"t"}, "Idempotency-Key": {"k"}, "Upgrade": {"websocket"},
	}
	c := r.serve(context.Background(), q)
	is.True(c.end.Complete)
	is.Equal(seen.Get("X-Own"), "1")
	is.Equal(seen.Get("X-Request-Id"), "theirs")
	is.Equal(seen.Get("Chervilloom-Request"), "a")
	is.Equal(seen.Get("Idempotency-Key"), "k")
	is.True(strings.Contains(seen.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c"))
	for _, k := range []string{"X-Local", "Engine-Stream", "Chervilloom-Ticket", "Upgrade"} {
		is.Equal(seen.Get(k), "")
	}
	is.Equal(c.head.Header.Get("X-Mine"), "1")
	for _, k := range []string{"X-Hop", "Engine-Boot", "Chervilloom-Request"} {
		is.Equal(c.head.Header.Get(k), "")
	}
	is.Equal(q.Header.Get("X-Local"), "1") // the request itself must not be modified
}

// A response exceeds AnswerBufferBytes. It must be forwarded completely; if the endpoint fails
// midway, the response must end as cut and must not be continued by another endpoint.
func TestLongAnswer(t *testing.T) {
	for _, cut := range []bool{false, true} {
		is := is.New(t)
		r := newRig(t, func(o *Options) { o.AnswerBufferBytes = 1000 })
		const size = 200_000
		r.addHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			n := size
			if cut {
				n = size / 2
			}
			io.WriteString(w, strings.Repeat("x", n))
			if cut {
				panic(http.ErrAbortHandler)
			}
		})
		r.addService()
		c := r.serve(context.Background(), r.lookup("a"))
		is.Equal(c.started, 1)
		is.Equal(c.head.Endpoint, fleet.VM("h0"))
		is.Equal(c.end.Complete, !cut)
		is.Equal(c.end.Bytes, uint64(len(c.body())))
		if cut {
			is.Equal(c.end.Error.Kind, outcome.AnswerCut)
		} else {
			is.Equal(len(c.body()), size)
		}
	}
}

// A response without a length ends when the endpoint closes the connection. A complete
// response cannot be distinguished from a crash, so it must be reported as cut.
func TestAnswerWithoutLengthIsReportedAsCut(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addHandler(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body) // unread bytes would turn the close into a reset
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		rw.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nreceipt")
		rw.Flush()
	})
	c := r.serve(context.Background(), r.receipt("a"))
	is.Equal(c.end.Error.Kind, outcome.AnswerCut)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
}

// Error responses of a service must be forwarded, unless the request is a lookup that
// another endpoint may answer.
func TestServiceErrorsArePassedOn(t *testing.T) {
	for status, retried := range map[int]bool{400: false, 404: false, 409: false, 500: false, 502: true, 503: true, 504: true} {
		is := is.New(t)
		r := newRig(t, nil)
		fail := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", status) }
		r.addHandler(fail)
		r.addHandler(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") })
		is.Equal(r.serve(context.Background(), r.receipt("a")).head.Status, status)
		want := status
		if retried {
			want = 200
		}
		is.Equal(r.serve(context.Background(), r.lookup("a")).head.Status, want)
	}
}

// fakeProber returns the same result for every probe.
type fakeProber struct {
	until clock.Instant
	asked int
}

func (p *fakeProber) Probe(context.Context, *view.Group) (clock.Instant, bool) {
	p.asked++
	return p.until, p.until != 0
}

func TestStaleGroupIsProbedOnce(t *testing.T) {
	for _, until := range []clock.Instant{forever, 0} {
		is := is.New(t)
		p := &fakeProber{until: until}
		store := explain.NewStore("n1", 10, 10)
		r := newRig(t, func(o *Options) { o.Prober, o.Explain = p, store })
		r.addEngine(standin.Options{})
		r.change(func(s *view.Snapshot) { s.Groups[0].FreshUntil = 1 })
		c := r.serve(context.Background(), r.chat("a", 4, true))
		is.Equal(c.end.Complete, until != 0)
		is.Equal(p.asked, 1)
		is.Equal(store.Steps("a")[0].Decision, "send to group g1")
	}
}

// A request that one engine rejects as invalid must not be tried at another.
func TestInvalidRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addEngine(standin.Options{})
	r.addEngine(standin.Options{})
	q := r.chat("a", 4, true)
	q.Body = []byte(`{"model":"renewals"}`)
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Kind, outcome.BadRequest)
	is.Equal(c.end.Error.Outcome, outcome.NotRun)
	is.Equal(r.router.begun, 1)
}

func TestAnswerCutErrorWrapsItsCause(t *testing.T) {
	is := is.New(t)
	cause := errors.New("reset")
	is.True(errors.Is(answerCutError("m", cause), cause))
}
