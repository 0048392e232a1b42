package dispatch

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/explain"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
)

type metrics struct {
	tries          *prometheus.CounterVec
	decisions      *prometheus.CounterVec
	resumes        prometheus.Counter
	hedges         *prometheus.CounterVec
	lost           prometheus.Counter
	cancelsDropped prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_dispatch_tries_total", Help: "Tries by class and kind of choice.",
		}, []string{"class", "kind"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_dispatch_decisions_total", Help: "What followed failed tries, by class and verdict.",
		}, []string{"class", "verdict"}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_dispatch_resumes_total", Help: "Streams asked for again at their endpoint.",
		}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_dispatch_hedges_total", Help: "Second tries of slow lookups, by whether they answered first.",
		}, []string{"first"}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_dispatch_lost_total", Help: "Answers given up because their replica lost a member.",
		}),
		cancelsDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_dispatch_cancels_dropped_total", Help: "Abandoned streams not cancelled because the ring was full.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.tries, m.decisions, m.resumes, m.hedges, m.lost, m.cancelsDropped)
	}
	return m
}

func (d *Dispatcher) recordTry(req *request.Request, c route.Choice) {
	d.metrics.tries.WithLabelValues(string(req.Class), c.Kind.String()).Inc()
	if d.opt.Explain != nil {
		d.recordStep(req, "send to "+destinationName(c), c.Reason)
	}
}

// recordDecision logs and counts the decision after a failed try.
func (d *Dispatcher) recordDecision(req *request.Request, dec decision, last *outcome.Error, tried []route.TriedDestination) {
	d.opt.Log.Info("try failed", "request", req.ID, "tried", tried, "kind", last.Kind, "outcome", last.Outcome,
		"cause", last.Error(), "decision", dec.verdict, "reason", dec.reason)
	d.metrics.decisions.WithLabelValues(string(req.Class), string(dec.verdict)).Inc()
	d.recordStep(req, string(dec.verdict), dec.reason+": "+last.Error())
}

func (d *Dispatcher) recordStep(req *request.Request, decision, reason string) {
	if d.opt.Explain != nil {
		d.opt.Explain.Record(explain.Step{Subject: req.ID, Stage: "dispatch", Decision: decision, Reason: reason})
	}
}

func destinationName(c route.Choice) string {
	switch c.Kind {
	case route.ToGroup:
		return "group " + string(c.Group.ID)
	case route.ToEndpoint:
		return "endpoint " + string(c.VM.Record.VM)
	default:
		return "node " + string(c.Node)
	}
}

// startTrySpan starts the span of one try: the hop to an endpoint or a node.
func (d *Dispatcher) startTrySpan(ctx context.Context, c route.Choice) (context.Context, trace.Span) {
	ctx, span := d.tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("to", destinationName(c)), attribute.String("reason", c.Reason))
	}
	return ctx, span
}

func endTrySpan(span trace.Span, err *outcome.Error) {
	if err != nil && span.IsRecording() {
		span.SetAttributes(attribute.String("outcome", string(err.Outcome)))
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// withRemoteParent continues the trace of a request forwarded by another node.
func withRemoteParent(ctx context.Context, req *request.Request) context.Context {
	if req.TraceParent == "" || trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	carrier := propagation.MapCarrier{"traceparent": req.TraceParent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
