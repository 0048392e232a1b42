package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/filter"
	"chervilloom/internal/request"
)

// A request through two nodes must produce one trace: the caller's span is the
// parent of the relay span, that of the serve span on the other node, and that of
// the handler's spans.
func TestSpanForEachHop(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)))
	defer otel.SetTracerProvider(before)
	a := startMesh(t, "a", nil)
	parent := make(chan string, 1)
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			parent <- req.TraceParent
			tokenHandler(1).Serve(ctx, req, w)
		})
	})
	exchangeAddrs(a, b)
	req := testRequest("q")
	req.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	is.True(a.Relay(testContext(t), "b", req, &recorder{}) == nil)
	is.True(eventually(testContext(t), func() bool { return len(spans.Ended()) == 2 }))
	byName := map[string]sdktrace.ReadOnlySpan{}
	for _, s := range spans.Ended() {
		byName[s.Name()] = s
	}
	relay, serve := byName[spanRelay], byName[spanServe]
	is.Equal(relay.Parent().SpanID().String(), "b7ad6b7169203331")
	is.Equal(serve.Parent().SpanID(), relay.SpanContext().SpanID())
	is.Equal(serve.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	is.Equal(<-parent, "00-0af7651916cd43dd8448eb211c80319c-"+serve.SpanContext().SpanID().String()+"-01")
}

// An unused relay connection must be closed, but not one with a relay in flight,
// however long it takes. The next relay must dial again.
func TestUnusedRelayLinkIsClosed(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(clock.Instant(time.Hour))
	resume := make(chan struct{})
	a := startMesh(t, "a", func(o *Options) { o.Clock = manual })
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			select {
			case <-resume:
			case <-ctx.Done():
			}
			w.Finish(answer.End{Complete: true})
		})
	})
	exchangeAddrs(a, b)
	ctx := testContext(t)
	started, done := make(chan struct{}), make(chan *recorder)
	r := &recorder{onHead: func() { close(started) }}
	req := testRequest("q")
	req.Deadline = 0
	go func() { a.Relay(ctx, "b", req, r); done <- r }()
	<-started
	ch := &a.link("b").relay
	manual.Advance(10 * relayUnusedTimeout)
	ch.closeUnused(manual.Now())
	close(resume)
	is.True((<-done).end.Complete)
	ch.closeUnused(manual.Now())
	is.True(ch.isConnected())
	manual.Advance(relayUnusedTimeout)
	ch.closeUnused(manual.Now())
	is.True(!ch.isConnected())
	again := &recorder{}
	is.True(a.Relay(ctx, "b", req, again) == nil)
	is.True(again.end.Complete)
}

// The bytes of a link must be counted while it is open, not only when it closes.
func TestLinkBytesAreCounted(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	a := startMesh(t, "a", func(o *Options) { o.Registerer = reg })
	b := startMesh(t, "b", func(o *Options) { o.Handler = tokenHandler(10) })
	exchangeAddrs(a, b)
	is.True(a.Relay(testContext(t), "b", testRequest("q"), &recorder{}) == nil)
	a.updateByteCounters()
	families, err := reg.Gather()
	is.NoErr(err)
	values := map[string]float64{}
	for _, f := range families {
		for _, m := range f.Metric {
			values[f.GetName()+"/"+m.Label[len(m.Label)-1].GetValue()] += m.GetCounter().GetValue()
		}
	}
	is.True(values["chervilloom_peer_link_bytes_total/relay"] > 1000)
	is.Equal(values["chervilloom_peer_relays_total/whole"], 1.0)
}
