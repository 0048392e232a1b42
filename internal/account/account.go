// Package account keeps the books of the request path: one log line for each
// request, metrics by class and outcome, and the time each filter took. No
// prompt, answer or key is written anywhere.
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

// Options are what the account needs. Explain and Registerer may be nil.
type Options struct {
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer
	Explain    explain.Recorder
}

// Account is the filter around the path.
type Account struct {
	opt     Options
	metrics *metrics
}

// New returns an account.
func New(opt Options) *Account {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	return &Account{opt: opt, metrics: newMetrics(opt.Registerer)}
}

// Record is what the filters add to the account of one request.
type Record struct{ tries atomic.Int64 }

// Try counts a try.
func (r *Record) Try() { r.tries.Add(1) }

type recordKey struct{}

// From returns the record of the request that ctx belongs to. Without one it
// returns a record that nobody reads.
func From(ctx context.Context) *Record {
	if r, ok := ctx.Value(recordKey{}).(*Record); ok {
		return r
	}
	return &Record{}
}

// Filter accounts for each request that goes through it. It is the outermost.
func (a *Account) Filter(next filter.Handler) filter.Handler {
	return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
		rec := &Record{}
		started := a.opt.Clock.Now()
		ww := &writer{Writer: w, clock: a.opt.Clock}
		// Deferred: a request whose path panics is accounted for as well.
		defer a.close(ctx, req, rec, ww, started)
		next.Serve(context.WithValue(ctx, recordKey{}, rec), req, ww)
	})
}

func (a *Account) close(ctx context.Context, req *request.Request, rec *Record, w *writer, started clock.Instant) {
	now := a.opt.Clock.Now()
	l := line{
		outcome: outcome.Ran, kind: "ok", total: now.Sub(started),
		tries: rec.tries.Load(), head: w.head, end: w.end,
	}
	if w.first != 0 {
		l.first = w.first.Sub(started)
	}
	switch e := w.end.Error; {
	case e != nil:
		l.outcome, l.kind = e.Outcome, string(e.Kind)
	case !w.end.Whole: // what the caller is told when the path gave no end
		l.outcome, l.kind = outcome.Unknown, string(outcome.Internal)
	}
	a.metrics.observe(req, l, w.first != 0)
	a.log(ctx, req, l)
	a.explain(req, l)
}

// line is what is written of one request.
type line struct {
	outcome outcome.Outcome
	kind    string // "ok" or the kind of failure
	first   time.Duration
	total   time.Duration
	tries   int64
	head    answer.Head
	end     answer.End
}

func (a *Account) log(ctx context.Context, req *request.Request, l line) {
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
		slog.Float64("first_seconds", l.first.Seconds()),
		slog.Float64("total_seconds", l.total.Seconds()),
		slog.Uint64("frames", l.end.Frames),
		slog.Uint64("bytes", l.end.Bytes),
	}
	if l.end.Error != nil && l.end.Error.Cause != nil {
		attrs = append(attrs, slog.String("cause", l.end.Error.Cause.Error()))
	}
	a.opt.Log.LogAttrs(ctx, slog.LevelInfo, "request", attrs...)
}

func (a *Account) explain(req *request.Request, l line) {
	if a.opt.Explain == nil {
		return
	}
	st := explain.Step{
		Subject: req.ID, Stage: "account",
		Decision: string(l.outcome) + " " + l.kind,
		Facts: []explain.Fact{
			{Name: "first", Value: l.first.String()},
			{Name: "total", Value: l.total.String()},
		},
	}
	if l.end.Error != nil {
		st.Reason = l.end.Error.Message
	}
	a.opt.Explain.Note(st)
}

// writer looks at an answer that goes by.
type writer struct {
	answer.Writer
	clock clock.Clock
	head  answer.Head
	end   answer.End
	first clock.Instant
}

// Start keeps the head.
func (w *writer) Start(h answer.Head) error {
	w.head = h
	return w.Writer.Start(h)
}

// Frame keeps the time of the first frame.
func (w *writer) Frame(f answer.Frame) error {
	if w.first == 0 {
		w.first = w.clock.Now()
	}
	return w.Writer.Frame(f)
}

// Finish keeps the end.
func (w *writer) Finish(e answer.End) {
	w.end = e
	w.Writer.Finish(e)
}
