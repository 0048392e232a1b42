// Package identify determines the properties of a request: its organisation,
// its class, whether it may run more than once, its deadline and its target.
// They depend only on the request, the configuration document and the time,
// which the filter provides.
package identify

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// Headers of requests.
const (
	HeaderDeadline   = "Chervilloom-Deadline-Ms" // remaining time that the caller waits, in milliseconds
	HeaderIdempotent = "Chervilloom-Idempotent"  // "false": the request may run at most once
	HeaderResume     = "Last-Event-Id"           // event after which a stream is resumed
)

// Default and maximum timeouts of requests.
const (
	DefaultModelTimeout   = 2 * time.Minute
	DefaultServiceTimeout = 5 * time.Second
	MaxTimeout            = 30 * time.Minute
)

// Options configures an Identifier. Explain may be nil.
type Options struct {
	View         view.Source
	Clock        clock.Clock
	Explain      explain.Recorder
	ModelTimeout time.Duration // timeout of a model call without a deadline; 0: DefaultModelTimeout
}

// Identifier is the filter that identifies requests. It caches the key table of
// the newest configuration document.
type Identifier struct {
	opt    Options
	keys   atomic.Pointer[keyTable]
	tracer trace.Tracer
}

// New returns an identifier.
func New(opt Options) *Identifier {
	if opt.ModelTimeout == 0 {
		opt.ModelTimeout = DefaultModelTimeout
	}
	return &Identifier{opt: opt, tracer: otel.Tracer("chervilloom/identify")}
}

// Filter returns a handler that identifies the request and passes it to next,
// or finishes it with the outcome "not run".
func (i *Identifier) Filter(next filter.Handler) filter.Handler {
	return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
		ctx, span := i.tracer.Start(ctx, "identify")
		err := i.identify(req)
		i.recordDecision(req, span, err)
		span.End()
		if err != nil {
			w.Finish(answer.End{Error: err})
			return
		}
		next.Serve(ctx, req, w)
	})
}

func (i *Identifier) identify(req *request.Request) *outcome.Error {
	snap := i.opt.View.Snapshot()
	if snap.Config == nil {
		return noConfigurationError()
	}
	return Identify(req, Inputs{
		Config:       snap.Config,
		Keys:         i.currentKeys(snap),
		Now:          i.opt.Clock.Now(),
		ModelTimeout: i.opt.ModelTimeout,
	})
}

// Organisation returns the organisation whose key the header contains.
func (i *Identifier) Organisation(h http.Header) (fleet.Organisation, *outcome.Error) {
	snap := i.opt.View.Snapshot()
	if snap.Config == nil {
		return "", noConfigurationError()
	}
	org, err := authorise(h, i.currentKeys(snap))
	if err != nil {
		return "", err
	}
	return fleet.Organisation(org.Name), nil
}

// currentKeys returns the keys of the snapshot's document. Two goroutines may
// rebuild an outdated table concurrently; both results are equal.
func (i *Identifier) currentKeys(snap *view.Snapshot) Keys {
	t := i.keys.Load()
	if t == nil || t.doc != snap.Config {
		t = newKeyTable(snap.Config)
		i.keys.Store(t)
	}
	return t.keys
}

func noConfigurationError() *outcome.Error {
	return outcome.New(outcome.NoCapacity, outcome.NotRun,
		"this node knows no configuration yet",
		"send the request again, if possible to another node").WithRetryAfter(time.Second)
}

func (i *Identifier) recordDecision(req *request.Request, span trace.Span, err *outcome.Error) {
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("request.id", req.ID),
			attribute.String("organisation", string(req.Organisation)),
			attribute.String("class", string(req.Class)),
			attribute.Bool("idempotent", req.Idempotent),
		)
	}
	if i.opt.Explain == nil {
		return
	}
	st := explain.Step{Subject: req.ID, Stage: "identify", Decision: "accepted"}
	if err != nil {
		st.Decision, st.Reason = "refused "+string(err.Kind), err.Message
	} else {
		st.Reason = formatRequest(req)
	}
	i.opt.Explain.Record(st)
}

func formatRequest(req *request.Request) string {
	var b strings.Builder
	b.WriteString(string(req.Organisation) + " " + string(req.Class) + " ")
	if req.Class == request.ClassModel {
		b.WriteString(req.Target.String())
	} else {
		b.WriteString(req.Service + " " + req.Method)
	}
	if !req.Idempotent {
		b.WriteString(", at most once")
	}
	return b.String()
}
