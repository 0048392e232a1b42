// Package account records the requests of the request path: one log line per
// request, metrics by class and outcome, and the duration of each filter. It
// never records a prompt, an answer or a key.
package account

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/filter"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// Options configures an Account. Log, Explain and Registerer may be nil.
type Options struct {
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer
	Explain    explain.Recorder
}

// Account records each request that passes through its Filter.
type Account struct {
	opt     Options
	metrics *metrics
}

// New returns an account with its metrics registered.
func New(opt Options) *Account {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	return &Account{opt: opt, metrics: newMetrics(opt.Registerer)}
}

// Record collects what later filters report about one request.
type Record struct{ tries atomic.Int64 }

// CountAttempt counts an attempt to run the request.
func (r *Record) CountAttempt() { r.tries.Add(1) }

type recordKey struct{}

// RecordFrom returns the record of the request in ctx, or an unused record if ctx has
// none.
func RecordFrom(ctx context.Context) *Record {
	if r, ok := ctx.Value(recordKey{}).(*Record); ok {
		return r
	}
	return &Record{}
}

// Filter records each request that passes through it. It must be the outermost
// filter.
func (a *Account) Filter(next filter.Handler) filter.Handler {
	return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
		rec := &Record{}
		started := a.opt.Clock.Now()
		ww := &observedWriter{Writer: w, clock: a.opt.Clock}
		// Deferred, so that a request whose path panics is recorded as well.
		defer a.record(ctx, req, rec, ww, started)
		next.Serve(context.WithValue(ctx, recordKey{}, rec), req, ww)
	})
}

func (a *Account) record(ctx context.Context, req *request.Request, rec *Record, w *observedWriter, started clock.Instant) {
	now := a.opt.Clock.Now()
	l := summary{
		outcome: outcome.Ran, kind: "ok", total: now.Sub(started),
		tries: rec.tries.Load(), head: w.head, end: w.end,
	}
	if w.firstFrameAt != 0 {
		l.timeToFirstFrame = w.firstFrameAt.Sub(started)
	}
	switch e := w.end.Error; {
	case e != nil:
		l.outcome, l.kind = e.Outcome, string(e.Kind)
	case !w.end.Complete: // the caller receives the same when the path returns without an end
		l.outcome, l.kind = outcome.Unknown, string(outcome.Internal)
	}
	a.metrics.observe(req, l, w.firstFrameAt != 0)
	a.log(ctx, req, l)
	a.explain(req, l)
}

// summary is the result of one request as it is logged and measured.
type summary struct {
	outcome          outcome.Outcome
	kind             string // "ok" or the kind of the failure
	timeToFirstFrame time.Duration
	total            time.Duration
	tries            int64
	head             answer.Head
	end              answer.End
}

func (a *Account) log(ctx context.Context, req *request.Request, l summary) {
	attrs := []slog.Attr{
		slog.String("id", req.ID),
		slog.String("organisation", string(req.Organisation)),
		slog.String("class", string(req.Class)),
		slog.Bool("idempotent", req.Idempotent),
		slog.String("outcome", string(l.outcome)),
		slog.String("kind", l.kind),
		slog.Int("status", l.head.Status),
		slog.String("endpoint", string(l.head.Endpoint)),
		slog.String("group", string(l.head.Group)),
		slog.Uint64("generation", uint64(l.head.Generation)),
		slog.Int64("tries", l.tries),
		slog.Float64("first_seconds", l.timeToFirstFrame.Seconds()),
		slog.Float64("total_seconds", l.total.Seconds()),
		slog.Uint64("frames", l.end.Frames),
		slog.Uint64("bytes", l.end.Bytes),
	}
	if l.end.Error != nil && l.end.Error.Cause != nil {
		attrs = append(attrs, slog.String("cause", l.end.Error.Cause.Error()))
	}
	a.opt.Log.LogAttrs(ctx, slog.LevelInfo, "request", attrs...)
}

func (a *Account) explain(req *request.Request, l summary) {
	if a.opt.Explain == nil {
		return
	}
	st := explain.Step{
		Subject: req.ID, Stage: "account",
		Decision: string(l.outcome) + " " + l.kind,
		Facts: []explain.Fact{
			{Name: "first", Value: l.timeToFirstFrame.String()},
			{Name: "total", Value: l.total.String()},
		},
	}
	if l.end.Error != nil {
		st.Reason = l.end.Error.Message
	}
	a.opt.Explain.Record(st)
}

// observedWriter records the head, the first frame's time and the end of an
// answer.
type observedWriter struct {
	answer.Writer
	clock        clock.Clock
	head         answer.Head
	end          answer.End
	firstFrameAt clock.Instant
}

// Start records the head and passes it on.
func (w *observedWriter) Start(h answer.Head) error {
	w.head = h
	return w.Writer.Start(h)
}

// Frame records the time of the first frame and passes the frame on.
func (w *observedWriter) Frame(f answer.Frame) error {
	if w.firstFrameAt == 0 {
		w.firstFrameAt = w.clock.Now()
	}
	return w.Writer.Frame(f)
}

// Finish records the end and passes it on.
func (w *observedWriter) Finish(e answer.End) {
	w.end = e
	w.Writer.Finish(e)
}
