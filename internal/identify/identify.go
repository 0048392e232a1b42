// Package identify tells what a request is: whose it is, which lane it takes,
// whether it may run more than once, by when it must be answered and what it
// asks for. All of it follows from the request, the configuration document and
// the time; the filter only fetches those three.
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

// Header names that callers send.
const (
	HeaderDeadline   = "Chervilloom-Deadline-Ms" // milliseconds that the caller still waits
	HeaderIdempotent = "Chervilloom-Idempotent"  // "false": the request runs at most once
	HeaderResume     = "Last-Event-Id"           // where to resume a stream
)

// The default and longest times to answer.
const (
	DefaultModelTimeout   = 2 * time.Minute
	DefaultServiceTimeout = 5 * time.Second
	MaxTimeout            = 30 * time.Minute
)

// Options are what the filter needs. Explain may be nil.
type Options struct {
	View         view.Source
	Clock        clock.Clock
	Explain      explain.Recorder
	ModelTimeout time.Duration // of a model call without a deadline; 0: DefaultModelTimeout
}

// Identifier is the filter's adapter: it keeps the table of keys of the newest
// configuration revision.
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

// Filter fills in the request and hands it on, or refuses it "not run".
func (i *Identifier) Filter(next filter.Handler) filter.Handler {
	return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
		ctx, span := i.tracer.Start(ctx, "identify")
		err := i.identify(req)
		i.note(req, span, err)
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
		return noConfiguration()
	}
	return Identify(req, Facts{
		Config:       snap.Config,
		Keys:         i.table(snap),
		Now:          i.opt.Clock.Now(),
		ModelTimeout: i.opt.ModelTimeout,
	})
}

// Organisation returns whose key the header carries.
func (i *Identifier) Organisation(h http.Header) (fleet.Organisation, *outcome.Error) {
	snap := i.opt.View.Snapshot()
	if snap.Config == nil {
		return "", noConfiguration()
	}
	org, err := authorise(h, i.table(snap))
	if err != nil {
		return "", err
	}
	return fleet.Organisation(org.Name), nil
}

// table returns the keys of the snapshot's document. Two goroutines that both
// find the table old both build the new one; either serves.
func (i *Identifier) table(snap *view.Snapshot) Keys {
	t := i.keys.Load()
	if t == nil || t.doc != snap.Config {
		t = newKeyTable(snap.Config)
		i.keys.Store(t)
	}
	return t.keys
}

func noConfiguration() *outcome.Error {
	return outcome.New(outcome.NoCapacity, outcome.NotRun,
		"this node knows no configuration yet",
		"send the request again, if possible to another node").After(time.Second)
}

func (i *Identifier) note(req *request.Request, span trace.Span, err *outcome.Error) {
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
		st.Reason = describe(req)
	}
	i.opt.Explain.Note(st)
}

func describe(req *request.Request) string {
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
