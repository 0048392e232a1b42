// Package admit decides which requests proceed to an endpoint now, which are
// queued and which are refused.
//
// Plain-service calls and model calls have separate lanes, each with its own
// goroutine, so a lookup never waits behind a model call. The lookup lane limits
// the rate and concurrency of each organisation; a call without a free slot waits
// a short time for one. The model lane has a concurrency limit per set of groups
// and a bounded queue that is fair between organisations and aware of deadlines:
// a request that cannot be answered in time is refused as soon as this is known,
// with outcome "not run" and a retry delay.
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

// planEvery is the interval at which the limits are recomputed.
const planEvery = 250 * time.Millisecond

// Usage provides this node's share of each organisation's rate caps.
type Usage interface {
	// Shares returns the shares, 0 to 1, of the caps on model requests and on
	// lookups.
	Shares(org fleet.Organisation) (model, lookups float64)
	// Count adds one request that the organisation made at this node, whether or
	// not it was admitted.
	Count(org fleet.Organisation, class request.Class)
}

// Options configures an Admitter.
type Options struct {
	View       view.Source
	Clock      clock.Clock
	Usage      Usage                 // nil: this node may use every cap in full
	Log        *slog.Logger          // nil: no logging
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
	checked atomic.Pointer[checkedSnapshot]

	planning        sync.Mutex      // held while limits are computed and passed to the lanes
	withoutCapacity map[string]bool // pools and services without capacity
}

// New returns an Admitter. Its filter decides only while Run is running.
func New(o Options) *Admitter {
	if o.Usage == nil {
		o.Usage = fullCaps{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	a := &Admitter{
		opts:            o,
		models:          newLane("model", NewModels(), o.Clock),
		lookups:         newLane("lookup", NewLookups(), o.Clock),
		metrics:         newMetrics(o.Registerer),
		tracer:          otel.Tracer("chervilloom/admit"),
		withoutCapacity: make(map[string]bool),
	}
	a.metrics.registerGauges(o.Registerer, a.models, a.lookups)
	if p := a.plan(); p != nil {
		// Done before any goroutine runs. Otherwise the first request could be
		// refused because the node has no configuration yet.
		a.models.step(replanMessage(p))
		a.lookups.step(replanMessage(p))
	}
	return a
}

type fullCaps struct{}

func (fullCaps) Shares(fleet.Organisation) (float64, float64) { return 1, 1 }
func (fullCaps) Count(fleet.Organisation, request.Class)      {}

// Run processes requests until ctx ends. It must outlive the requests: those that
// are queued when it ends are refused as shutting down.
func (a *Admitter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.models.run(ctx) })
	wg.Go(func() { a.lookups.run(ctx) })
	clock.Every(ctx, planEvery, a.replan)
	wg.Wait()
}

// refreshPlan recomputes the limits before a request is decided if the number of
// serving groups or endpoints has changed. Otherwise the first requests after a
// group's recovery or a node's start would be refused until the next periodic
// update, although a group is available.
func (a *Admitter) refreshPlan() {
	snap := a.opts.View.Snapshot()
	old := a.checked.Load()
	if old != nil && old.snap == snap {
		return
	}
	n := countServing(snap)
	a.checked.Store(&checkedSnapshot{snap, n})
	if old == nil || old.serving != n {
		a.replan()
	}
}

// checkedSnapshot is the snapshot that refreshPlan last checked.
type checkedSnapshot struct {
	snap    *view.Snapshot
	serving int // number of serving groups and endpoints
}

// countServing returns the number of groups and endpoints that accept requests.
func countServing(s *view.Snapshot) int {
	n := 0
	for i := range s.Groups {
		if s.Groups[i].Whole && s.Groups[i].Phase == fleet.PhaseServing {
			n++
		}
	}
	for i := range s.VMs {
		if v := &s.VMs[i]; v.Record.Service != "" && !v.Leaving && v.Probe.AnsweredAt != 0 && v.Probe.FailingSince == 0 {
			n++
		}
	}
	return n
}

// plan computes the limits from the newest snapshot. It returns nil if that has no
// configuration.
func (a *Admitter) plan() *Plan {
	return ComputePlan(a.opts.View.Snapshot(), a.opts.Usage.Shares)
}

// replan passes the newest limits to both lanes and returns when they are applied.
func (a *Admitter) replan() {
	a.planning.Lock()
	defer a.planning.Unlock()
	p := a.plan()
	if p == nil {
		return
	}
	a.logChanges(p)
	a.models.sendAndWait(*replanMessage(p))
	a.lookups.sendAndWait(*replanMessage(p))
}

// logChanges logs when a pool or service loses its last slot or has slots again.
func (a *Admitter) logChanges(p *Plan) {
	for _, pools := range [][]Pool{p.Pools, p.Services} {
		for i := range pools {
			c := &pools[i]
			if empty := c.TotalSlots == 0; empty != a.withoutCapacity[c.Name] {
				a.withoutCapacity[c.Name] = empty
				a.opts.Log.Info("capacity changed", "pool", c.Name, "slots", c.TotalSlots, "share", c.ShareSlots)
			}
		}
	}
}

func replanMessage(p *Plan) *message { return &message{event: Event{Kind: Replan, Plan: p}} }

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
		// A resume continues a stream that was admitted before and still occupies
		// its slot. Refusing it would lose the rest of the answer.
		next.Serve(ctx, req, w)
		return
	}
	l := a.lookups
	if req.Class == request.ClassModel {
		l = a.models
	}
	a.refreshPlan()
	arrival := arrivalOf(req)
	if !arrival.AdmittedElsewhere {
		a.opts.Usage.Count(req.Organisation, req.Class)
	}
	c, d := a.decide(ctx, l, req, &arrival)
	if d.Verdict == Refuse {
		a.opts.Log.Info("request not admitted", "request", req.ID, "lane", l.name, "organisation", req.Organisation,
			"reason", d.Reason, "limit", d.Limit, "in_progress", d.InProgress, "share", d.ShareSlots, "waiting", d.Waiting,
			"wait_ms", d.WaitTime.Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds())
	}
	if d.Verdict != Admit {
		w.Finish(answer.End{Error: refusal(&d)})
		return
	}
	start := a.opts.Clock.Now()
	meter := &meter{next: w, clock: a.opts.Clock, start: start, stream: req.Stream}
	defer func() {
		l.send(message{event: Event{Kind: Finish, Completion: meter.completion()}, call: c})
	}()
	if ctx.Err() != nil {
		meter.Finish(answer.End{Error: callerGone()})
		return
	}
	next.Serve(ctx, req, meter)
}

// arrivalOf returns the arrival event data of req. A request forwarded by another
// node for dispatch was admitted there. One forwarded for its key was not, because
// keys are looked up before admission.
func arrivalOf(req *request.Request) Arrival {
	return Arrival{
		Organisation:      req.Organisation,
		Target:            req.Target,
		Service:           req.Service,
		Priority:          req.Priority,
		Deadline:          req.Deadline,
		PromptTokens:      req.PromptTokens,
		MaxTokens:         req.MaxTokens,
		AdmittedElsewhere: req.Hops > 0 && req.Stage == request.StageDispatch,
	}
}

// decide requests a decision from the lane and records it for explanations, metrics
// and tracing.
func (a *Admitter) decide(ctx context.Context, l *lane, req *request.Request, arrival *Arrival) (*call, Decision) {
	ctx, span := a.tracer.Start(ctx, "admit")
	defer span.End()
	c, d := l.decide(ctx, arrival, func(q Decision) { a.recordDecision(req, l, &q) })
	a.recordDecision(req, l, &d)
	a.metrics.countDecision(l.name, &d)
	span.SetAttributes(
		attribute.String("admit.verdict", d.Verdict.String()),
		attribute.String("admit.reason", string(d.Reason)),
		attribute.Int64("admit.wait_us", d.WaitTime.Microseconds()),
	)
	return c, d
}

func (a *Admitter) recordDecision(req *request.Request, l *lane, d *Decision) {
	if a.opts.Recorder == nil {
		return
	}
	a.opts.Recorder.Record(explain.Step{
		Subject:  req.ID,
		Stage:    "admit",
		Decision: d.Verdict.String(),
		Reason:   string(d.Reason),
		Facts: []explain.Fact{
			{Name: "lane", Value: l.name},
			{Name: "organisation", Value: string(req.Organisation)},
			{Name: "limit", Value: strconv.Itoa(d.Limit)},
			{Name: "waiting", Value: strconv.Itoa(d.Waiting)},
			{Name: "wait", Value: d.WaitTime.String()},
			{Name: "service", Value: d.ServiceTime.String()},
			{Name: "retry_after", Value: d.RetryAfter.String()},
		},
	})
}

func callerGone() *outcome.Error {
	return outcome.New(outcome.CallerGone, outcome.NotRun, "the caller left before the request was sent on", "send it again if it is still wanted")
}

// refusal returns the caller's error for a decision other than Admit.
func refusal(d *Decision) *outcome.Error {
	if d.Verdict == Withdrawn {
		return callerGone()
	}
	e := outcome.New(d.Kind, outcome.NotRun, messageOf(d), remedyOf(d))
	return e.WithRetryAfter(d.RetryAfter)
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
		return fmt.Sprintf("the answer would not be ready by the deadline: about %s of waiting and %s of work", roundTime(d.WaitTime), roundTime(d.ServiceTime))
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
