// Package admit decides which requests go on to an endpoint now, which wait and
// which are refused.
//
// Plain service calls and model calls have a lane each, with its own goroutine,
// so that a lookup never waits behind a model call. The lookup lane has no
// queue: rate and concurrency of each organisation are bounded. The model lane
// has a concurrency limit for each set of groups, and a bounded queue that is
// fair between organisations and knows the deadlines: what cannot be answered
// in time is refused the moment that is known, "not run", with the time to come
// back after.
//
// The decisions are made by Models and Lookups, which are pure state machines.
package admit

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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

// planEvery is how often the limits are worked out anew.
const planEvery = 250 * time.Millisecond

// Usage tells this node's part of an organisation's rate caps.
type Usage interface {
	// Shares returns the parts, 0 to 1, of the caps on model requests and on
	// lookups.
	Shares(org fleet.Organisation) (model, lookups float64)
	// Count adds one request that the organisation made at this node, whatever
	// became of it.
	Count(org fleet.Organisation, class request.Class)
}

// Options is what an Admitter needs.
type Options struct {
	View       view.Source
	Clock      clock.Clock
	Usage      Usage                 // nil: this node may use all of every cap
	Log        *slog.Logger          // nil: none
	Registerer prometheus.Registerer // nil: no metrics
	Recorder   explain.Recorder      // nil: no explanations
}

// Admitter is the admission filter of a node.
type Admitter struct {
	opts    Options
	models  *lane
	lookups *lane
	metrics *metrics
	tracer  trace.Tracer
	looked  atomic.Pointer[looked]

	planning sync.Mutex      // held while limits are worked out and handed over
	empty    map[string]bool // pools and services that nothing serves
}

// New returns an Admitter. Its filter answers only while Run runs.
func New(o Options) *Admitter {
	if o.Usage == nil {
		o.Usage = wholeCaps{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	a := &Admitter{
		opts:    o,
		models:  newLane("model", NewModels(), o.Clock),
		lookups: newLane("lookup", NewLookups(), o.Clock),
		metrics: newMetrics(o.Registerer),
		tracer:  otel.Tracer("chervilloom/admit"),
		empty:   make(map[string]bool),
	}
	a.metrics.watch(o.Registerer, a.models, a.lookups)
	if p := a.plan(); p != nil {
		// Before any goroutine runs: a request that comes first would be told
		// that the node knows no configuration.
		a.models.step(replan(p))
		a.lookups.step(replan(p))
	}
	return a
}

type wholeCaps struct{}

func (wholeCaps) Shares(fleet.Organisation) (float64, float64) { return 1, 1 }
func (wholeCaps) Count(fleet.Organisation, request.Class)      {}

// Run decides until ctx ends. It must outlive the requests: those that wait
// when it ends are refused as shutting down.
func (a *Admitter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.models.run(ctx) })
	wg.Go(func() { a.lookups.run(ctx) })
	clock.Every(ctx, planEvery, a.replan)
	wg.Wait()
}

// look has the limits worked out before a request is judged when a group or
// endpoint came or went since they were. Until the regular time the first
// requests after a group came back, or after a node's start, would be refused
// although a group is there for them.
func (a *Admitter) look() {
	snap := a.opts.View.Snapshot()
	old := a.looked.Load()
	if old != nil && old.snap == snap {
		return
	}
	n := serving(snap)
	a.looked.Store(&looked{snap, n})
	if old == nil || old.serves != n {
		a.replan()
	}
}

// looked is the snapshot that look saw last, and what served in it.
type looked struct {
	snap   *view.Snapshot
	serves int
}

// serving counts what takes requests.
func serving(s *view.Snapshot) int {
	n := 0
	for i := range s.Groups {
		if s.Groups[i].Whole && s.Groups[i].Phase == fleet.PhaseServing {
			n++
		}
	}
	for i := range s.VMs {
		if v := &s.VMs[i]; v.Record.Service != "" && !v.Leaving && v.Probe.Answered != 0 && v.Probe.Failing == 0 {
			n++
		}
	}
	return n
}

// plan works out the limits of the newest snapshot; nil when it holds no
// configuration.
func (a *Admitter) plan() *Plan {
	return PlanOf(a.opts.View.Snapshot(), a.opts.Usage.Shares)
}

// replan gives both lanes the newest limits and returns when they have them.
func (a *Admitter) replan() {
	a.planning.Lock()
	defer a.planning.Unlock()
	p := a.plan()
	if p == nil {
		return
	}
	a.logChanges(p)
	a.models.tellAndWait(*replan(p))
	a.lookups.tellAndWait(*replan(p))
}

// logChanges tells when nothing serves a pool or service any more, and when
// something does again.
func (a *Admitter) logChanges(p *Plan) {
	for _, pools := range [][]Pool{p.Pools, p.Services} {
		for i := range pools {
			c := &pools[i]
			if empty := c.Total == 0; empty != a.empty[c.Name] {
				a.empty[c.Name] = empty
				a.opts.Log.Info("capacity changed", "pool", c.Name, "slots", c.Total, "share", c.Share)
			}
		}
	}
}

func replan(p *Plan) *message { return &message{event: Event{Kind: Replan, Plan: p}} }

// Filter returns the admission step of the request path.
func (a *Admitter) Filter() filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			a.serve(ctx, req, w, next)
		})
	}
}

func (a *Admitter) serve(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	if req.ResumeID != "" {
		// It goes on with a stream that was admitted when it began and holds its
		// slot still; it never starts one. Refused here, the caller would lose
		// the rest of the answer.
		next.Serve(ctx, req, w)
		return
	}
	l := a.lookups
	if req.Class == request.ClassModel {
		l = a.models
	}
	a.look()
	arrival := arrivalOf(req)
	if !arrival.Admitted {
		a.opts.Usage.Count(req.Organisation, req.Class)
	}
	c, d := a.ask(ctx, l, req, &arrival)
	if d.Verdict == Refuse {
		a.opts.Log.Info("request not admitted", "request", req.ID, "lane", l.name, "organisation", req.Organisation,
			"reason", d.Reason, "limit", d.Limit, "in_progress", d.InProgress, "share", d.Share, "waiting", d.Waiting,
			"wait_ms", d.Wait.Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds())
	}
	if d.Verdict != Admit {
		w.Finish(answer.End{Error: refusal(&d)})
		return
	}
	from := a.opts.Clock.Now()
	meter := &meter{next: w, clock: a.opts.Clock, from: from, stream: req.Stream}
	defer func() {
		l.tell(message{event: Event{Kind: Finish, Completion: meter.completion()}, call: c})
	}()
	if ctx.Err() != nil {
		meter.Finish(answer.End{Error: callerGone()})
		return
	}
	next.Serve(ctx, req, meter)
}

// arrivalOf returns what the lanes need to know of req. A request that another
// node passed on for dispatch was admitted there; one passed on for its key was
// not, because keys are looked up before admission.
func arrivalOf(req *request.Request) Arrival {
	return Arrival{
		Organisation: req.Organisation,
		Target:       req.Target,
		Service:      req.Service,
		Priority:     req.Priority,
		Deadline:     req.Deadline,
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		Admitted:     req.Hops > 0 && req.Stage == request.StageDispatch,
	}
}

// ask gets the decision and tells it to the operator's side.
func (a *Admitter) ask(ctx context.Context, l *lane, req *request.Request, arrival *Arrival) (*call, Decision) {
	ctx, span := a.tracer.Start(ctx, "admit")
	defer span.End()
	c, d := l.ask(ctx, arrival, func(q Decision) { a.note(req, l, &q) })
	a.note(req, l, &d)
	a.metrics.decided(l.name, &d)
	span.SetAttributes(
		attribute.String("admit.verdict", d.Verdict.String()),
		attribute.String("admit.reason", string(d.Reason)),
		attribute.Int64("admit.wait_us", d.Wait.Microseconds()),
	)
	return c, d
}

func (a *Admitter) note(req *request.Request, l *lane, d *Decision) {
	if a.opts.Recorder == nil {
		return
	}
	a.opts.Recorder.Note(explain.Step{
		Subject:  req.ID,
		Stage:    "admit",
		Decision: d.Verdict.String(),
		Reason:   string(d.Reason),
		Facts: []explain.Fact{
			{Name: "lane", Value: l.name},
			{Name: "organisation", Value: string(req.Organisation)},
			{Name: "limit", Value: strconv.Itoa(d.Limit)},
			{Name: "waiting", Value: strconv.Itoa(d.Waiting)},
			{Name: "wait", Value: d.Wait.String()},
			{Name: "service", Value: d.Service.String()},
			{Name: "retry_after", Value: d.RetryAfter.String()},
		},
	})
}

func callerGone() *outcome.Error {
	return outcome.New(outcome.CallerGone, outcome.NotRun, "the caller left before the request was sent on", "send it again if it is still wanted")
}

// refusal is the caller's form of a decision that is not Admit.
func refusal(d *Decision) *outcome.Error {
	if d.Verdict == Withdrawn {
		return callerGone()
	}
	e := outcome.New(d.Kind, outcome.NotRun, messageOf(d), remedyOf(d))
	return e.After(d.RetryAfter)
}

func messageOf(d *Decision) string {
	switch d.Reason {
	case ReasonRate:
		return "the organisation is over its rate"
	case ReasonConcurrency:
		return "the organisation has too many calls in progress"
	case ReasonSaturated, ReasonLaneFull:
		return "too many calls are in progress"
	case ReasonDeadline:
		return fmt.Sprintf("the answer would not be ready by the deadline: about %s of waiting and %s of work", roundTime(d.Wait), roundTime(d.Service))
	case ReasonExpired:
		return "the deadline has passed"
	case ReasonQueueFull:
		return "the queue is full"
	case ReasonOrganisation:
		return "the organisation's part of the queue is full"
	case ReasonNoCapacity:
		return "nothing that carries the target serves now"
	case ReasonNotConfigured:
		return "the node knows no configuration yet"
	case ReasonShuttingDown:
		return "the node is shutting down"
	}
	return "the request was refused"
}

func remedyOf(d *Decision) string {
	if d.RetryAfter <= 0 {
		return "send it again with a later deadline"
	}
	return "send it again after the time in Retry-After"
}

func roundTime(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
