package peer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

const (
	tracerName  = "chervilloom/peer"
	traceparent = "traceparent"
	attrNode    = "chervilloom.node"
	attrRequest = "chervilloom.request"
	attrStage   = "chervilloom.stage"
	attrResult  = "chervilloom.result"
	attrOutcome = "chervilloom.outcome"
	spanRelay   = "peer.relay"
	spanServe   = "peer.serve"
	attrHops    = "chervilloom.hops"
)

var propagator propagation.TraceContext

// withParent returns ctx with the remote parent span, unless ctx already has a span.
func withParent(ctx context.Context, parent string) context.Context {
	if parent == "" || trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}

// traceParent returns the span of ctx as a W3C traceparent, or old if ctx has none.
func traceParent(ctx context.Context, old string) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return old
	}
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c[traceparent]
}

func startRelaySpan(ctx context.Context, to fleet.VM, req *request.Request) (context.Context, trace.Span) {
	return startSpan(withParent(ctx, req.TraceParent), spanRelay, trace.SpanKindClient, to, req)
}

func startServeSpan(ctx context.Context, from fleet.VM, req *request.Request) (context.Context, trace.Span) {
	return startSpan(withParent(ctx, req.TraceParent), spanServe, trace.SpanKindServer, from, req)
}

func startSpan(ctx context.Context, name string, kind trace.SpanKind, node fleet.VM, req *request.Request) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(
		attribute.String(attrNode, string(node)),
		attribute.String(attrRequest, req.ID),
		attribute.String(attrStage, string(req.Stage)),
		attribute.Int(attrHops, req.Hops),
	))
}

func endSpan(span trace.Span, result string, err *outcome.Error) {
	span.SetAttributes(attribute.String(attrResult, result))
	if err != nil {
		span.SetAttributes(attribute.String(attrOutcome, string(err.Outcome)))
		span.SetStatus(codes.Error, err.Message)
	}
	span.End()
}
