package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

type discard struct{ end answer.End }

func (*discard) Start(answer.Head) error  { return nil }
func (*discard) Frame(answer.Frame) error { return nil }
func (d *discard) Finish(e answer.End)    { d.end = e }

// benchDispatcher returns a dispatcher in front of one endpoint of a service.
func benchDispatcher(b *testing.B) (*rig, *Dispatcher, string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	b.Cleanup(srv.Close)
	addr := srv.Listener.Addr().String()
	r := &rig{retry: &countingRetry{allow: true}, router: &listRouter{}, snap: &view.Snapshot{Zone: testZone,
		VMs: []view.VM{{Record: fleet.Record{VM: "s1", Addr: addr, Service: "counter"}}}}}
	d := New(Options{View: r, Clock: clock.Boot{}, Router: r.router, Retry: r.retry})
	b.Cleanup(d.Close)
	return r, d, addr
}

// BenchmarkHop compares a request through the dispatcher with a bare http.Transport to
// the same endpoint.
func BenchmarkHop(b *testing.B) {
	b.Run("bare transport", func(b *testing.B) {
		_, _, addr := benchDispatcher(b)
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			req, _ := http.NewRequest("GET", "http://"+addr+"/licences/7", nil)
			resp, err := tr.RoundTrip(req)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.Run("lookup", func(b *testing.B) {
		r, d, _ := benchDispatcher(b)
		b.ReportAllocs()
		for b.Loop() {
			w := &discard{}
			d.Serve(context.Background(), r.lookup("a"), w)
			if !w.end.Complete {
				b.Fatal(w.end.Error)
			}
		}
	})
	b.Run("receipt", func(b *testing.B) {
		r, d, _ := benchDispatcher(b)
		b.ReportAllocs()
		for b.Loop() {
			w := &discard{}
			d.Serve(context.Background(), r.receipt("a"), w)
			if !w.end.Complete {
				b.Fatal(w.end.Error)
			}
		}
	})
}
