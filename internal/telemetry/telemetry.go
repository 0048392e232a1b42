// Package telemetry sets up the structured logs, metrics and traces of a process.
package telemetry

import (
	"context"
	"io"
	"log/slog"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Exporter selects the destination of spans.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp" // OTLP over HTTP
)

// Options configure a process's telemetry.
type Options struct {
	VM           string
	Zone         string
	LogLevel     slog.Level
	LogJSON      bool
	LogTo        io.Writer
	Exporter     Exporter
	OTLPEndpoint string    // URL; ExporterOTLP only
	SpansTo      io.Writer // ExporterStdout only
	SampleRatio  float64   // share of root spans kept, 0..1; other spans follow their parent's decision
}

// Telemetry contains the logger and the metrics registry of a process.
type Telemetry struct {
	Log      *slog.Logger
	Registry *prometheus.Registry
	shutdown func(context.Context) error
}

// New sets up logs, a metrics registry with the Go and process collectors, and
// the global tracer provider with W3C trace context propagation. It returns an
// error if the exporter is unknown or cannot be created.
func New(ctx context.Context, o Options) (*Telemetry, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	shutdown, err := setUpTracing(ctx, o)
	if err != nil {
		return nil, err
	}
	return &Telemetry{Log: newLogger(o), Registry: reg, shutdown: shutdown}, nil
}

// Shutdown exports the remaining spans and stops the exporter.
func (t *Telemetry) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

func newLogger(o Options) *slog.Logger {
	ho := &slog.HandlerOptions{Level: o.LogLevel}
	var h slog.Handler = slog.NewTextHandler(o.LogTo, ho)
	if o.LogJSON {
		h = slog.NewJSONHandler(o.LogTo, ho)
	}
	return slog.New(h).With("vm", o.VM, "zone", o.Zone)
}

func setUpTracing(ctx context.Context, o Options) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exp, err := newExporter(ctx, o)
	if err != nil {
		return nil, err
	}
	if exp == nil {
		// Without a provider the global tracer creates no-op spans, which still
		// propagate the caller's trace context to the next hop.
		return func(context.Context) error { return nil }, nil
	}
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "chervilloom"),
			attribute.String("service.instance.id", o.VM),
			attribute.String("cloud.availability_zone", o.Zone),
		)),
	)
	otel.SetTracerProvider(tp)
	return tp.Shutdown, nil
}

func newExporter(ctx context.Context, o Options) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case ExporterNone, "":
		return nil, nil
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(o.SpansTo))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLPEndpoint))
	}
	return nil, merry.Errorf("telemetry: exporter %q is not known; write none, stdout or otlp", o.Exporter)
}
