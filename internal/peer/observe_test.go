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

// A request through two nodes shows as one trace: the caller's span, the relay
// below it, the other node's below that, and the handler's work below that.
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
			tokens(1).Serve(ctx, req, w)
		})
	})
	introduce(a, b)
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

// A relay connection that nobody uses is closed, one that carries a relay isn't,
// however long it takes; the next relay dials again.
func TestUnusedRelayLinkIsClosed(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(clock.Instant(time.Hour))
	goOn := make(chan struct{})
	a := startMesh(t, "a", func(o *Options) { o.Clock = manual })
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			select {
			case <-goOn:
			case <-ctx.Done():
			}
			w.Finish(answer.End{Whole: true})
		})
	})
	introduce(a, b)
	ctx := testContext(t)
	begun, done := make(chan struct{}), make(chan *recorder)
	r := &recorder{onHead: func() { close(begun) }}
	req := testRequest("q")
	req.Deadline = 0
	go func() { a.Relay(ctx, "b", req, r); done <- r }()
	<-begun
	lane := &a.link("b").relay
	manual.Advance(10 * relayUnused)
	lane.closeUnused(manual.Now())
	close(goOn)
	is.True((<-done).end.Whole)
	lane.closeUnused(manual.Now())
	is.True(lane.live())
	manual.Advance(relayUnused)
	lane.closeUnused(manual.Now())
	is.True(!lane.live())
	again := &recorder{}
	is.True(a.Relay(ctx, "b", req, again) == nil)
	is.True(again.end.Whole)
}

// What went over the links is counted while they live, not only when they close.
func TestLinkBytesAreCounted(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	a := startMesh(t, "a", func(o *Options) { o.Registerer = reg })
	b := startMesh(t, "b", func(o *Options) { o.Handler = tokens(10) })
	introduce(a, b)
	is.True(a.Relay(testContext(t), "b", testRequest("q"), &recorder{}) == nil)
	a.countBytes()
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
