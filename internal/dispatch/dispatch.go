// Package dispatch is the last stage of the request path. It sends a request to an
// endpoint or forwards it to another node, retries where that is safe, and reports
// whether the request ran.
package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/account"
	"chervilloom/internal/answer"
	"chervilloom/internal/backpressure"
	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/request"
	"chervilloom/internal/ring"
	"chervilloom/internal/route"
	"chervilloom/internal/view"
)

// Router chooses the destination of each try and records how the try ended.
type Router interface {
	Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error)
	Begin(route.Choice)
	End(route.Choice, route.Result)
}

// RetryBudget limits the retries of this node.
type RetryBudget interface {
	// CountFirst counts the first try of a request.
	CountFirst(class request.Class)
	// Allow consumes one retry from the budget. If ok, the retry starts after wait;
	// otherwise the caller is asked to retry after wait.
	Allow(class request.Class) (ok bool, wait time.Duration)
}

// Peers forwards requests to other nodes. Relay returns an error and leaves w untouched
// if no response began; otherwise it finishes w itself.
type Peers interface {
	Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error
}

// Prober probes every member of a group immediately. Probe returns the time until which
// the group may receive requests, or false if a member did not answer or does not
// report the group's generation and its expected boot ID.
type Prober interface {
	Probe(ctx context.Context, g *view.Group) (freshUntil clock.Instant, ok bool)
}

// Options configures a Dispatcher. Peers, Prober, Explain and Registerer may be nil; zero
// limits are replaced by the defaults.
type Options struct {
	View   view.Source
	Clock  clock.Clock
	Router Router
	Retry  RetryBudget
	Peers  Peers
	Prober Prober
	// NodeResponds checks until ctx ends whether a node responds. If nil, every node that is
	// alive in the membership is assumed to respond.
	NodeResponds func(ctx context.Context, vm fleet.VM) bool
	Explain      explain.Recorder
	Quarantine   *quarantine.Guard // blocks requests that crash endpoints; nil: private to this dispatcher
	// Backpressure enforces the limits that endpoints announce; nil: private to this
	// dispatcher.
	Backpressure *backpressure.Guard
	Log          *slog.Logger
	Registerer   prometheus.Registerer

	DialTimeout       time.Duration // for connecting to an endpoint
	AnswerBufferBytes int           // bytes of a response buffered until it is complete
	MaxEventBytes     int           // maximum bytes of one event
	MaxTries          int           // per request, including the first
	HedgeAfter        time.Duration // delay before a lookup is also sent to a second endpoint
	ResumeGrace       time.Duration // how long a stream is kept after its caller disconnects; negative: not kept
	PickWait          time.Duration // maximum wait for a destination that was available recently
}

// Defaults of Options.
const (
	DefaultDialTimeout       = time.Second
	DefaultAnswerBufferBytes = 1 << 20
	DefaultMaxEventBytes     = 256 << 10
	DefaultMaxTries          = 4
	DefaultHedgeAfter        = 200 * time.Millisecond
	DefaultResumeGrace       = 3 * time.Second
	DefaultPickWait          = 500 * time.Millisecond // two probe rounds
)

func (o *Options) setDefaults() {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.AnswerBufferBytes == 0 {
		o.AnswerBufferBytes = DefaultAnswerBufferBytes
	}
	if o.MaxEventBytes == 0 {
		o.MaxEventBytes = DefaultMaxEventBytes
	}
	if o.MaxTries == 0 {
		o.MaxTries = DefaultMaxTries
	}
	if o.HedgeAfter == 0 {
		o.HedgeAfter = DefaultHedgeAfter
	}
	if o.ResumeGrace == 0 {
		o.ResumeGrace = DefaultResumeGrace
	}
	if o.PickWait == 0 {
		o.PickWait = DefaultPickWait
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Backpressure == nil {
		o.Backpressure = backpressure.New(backpressure.Options{Clock: o.Clock, Log: o.Log})
	}
}

// Dispatcher is the last filter.Handler of the request path.
type Dispatcher struct {
	opt           Options
	ownQuarantine *quarantine.Guard // nil if Options.Quarantine was set
	client        *client
	cancels       *ring.Queue[abandonedStream]
	lossGuard     *lossGuard
	detached      *detachedStreams
	servedTimes   servedTimes
	metrics       *metrics
	tracer        trace.Tracer
}

// New returns a Dispatcher. Run must be running for abandoned streams to be cancelled at
// the engines and for requests to be cancelled when their replica is lost.
func New(opt Options) *Dispatcher {
	opt.setDefaults()
	var ownQuarantine *quarantine.Guard
	if opt.Quarantine == nil {
		ownQuarantine = quarantine.NewStandalone(opt.Clock, opt.Log)
		opt.Quarantine = ownQuarantine
	}
	return &Dispatcher{
		ownQuarantine: ownQuarantine,
		opt:           opt,
		client:        newClient(opt.DialTimeout),
		cancels:       ring.NewQueue[abandonedStream](cancelQueueSize),
		lossGuard:     newLossGuard(),
		detached:      newDetachedStreams(),
		metrics:       newMetrics(opt.Registerer),
		tracer:        otel.Tracer("chervilloom/dispatch"),
	}
}

// Close closes idle connections and the quarantine guard created by New.
func (d *Dispatcher) Close() {
	d.client.close()
	if d.ownQuarantine != nil {
		d.ownQuarantine.Close()
	}
}

// Serve sends the request and finishes w.
func (d *Dispatcher) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	ctx, span := d.tracer.Start(withRemoteParent(ctx, req), "dispatch")
	defer span.End()
	tryCtx, cancel := context.WithTimeout(ctx, d.timeLeft(req))
	defer cancel()
	s := newSession(req, w)
	err := d.serve(tryCtx, s)
	if err != nil {
		err = s.withWorstOutcome(err)
		span.RecordError(err)
	}
	s.finish(err)
}

// defaultTimeLimit is the time limit of a request without a deadline.
const defaultTimeLimit = 30 * time.Minute

func (d *Dispatcher) timeLeft(req *request.Request) time.Duration {
	if req.Deadline == 0 {
		return defaultTimeLimit
	}
	return req.Deadline.Sub(d.opt.Clock.Now())
}

func (d *Dispatcher) serve(ctx context.Context, s *session) *outcome.Error {
	if s.req.ResumeID != "" {
		return d.serveResume(ctx, s)
	}
	d.opt.Retry.CountFirst(s.req.Class)
	for {
		last := d.tryOnce(ctx, s)
		if last == nil {
			return nil
		}
		dec := decideRetry(s.retryInput(ctx, last, d.opt.MaxTries, d.timeLeft(s.req)), d.retryBudget(s.req.Class))
		d.recordDecision(s.req, dec, last, s.tried)
		switch dec.verdict {
		case giveUp:
			return last.WithRetryAfter(callerRetryAfter(last, dec.wait))
		case retry:
			if !clock.Sleep(ctx, dec.wait) {
				return d.stoppedError(ctx, last.Outcome)
			}
		}
	}
}

func (d *Dispatcher) retryBudget(c request.Class) func() (bool, time.Duration) {
	return func() (bool, time.Duration) { return d.opt.Retry.Allow(c) }
}

// tryOnce makes one try.
func (d *Dispatcher) tryOnce(ctx context.Context, s *session) *outcome.Error {
	if err := ctx.Err(); err != nil {
		return d.stoppedError(ctx, outcome.NotRun)
	}
	choice, err := d.pick(ctx, s)
	if err != nil {
		s.noDestination = true
		return s.noDestinationError(err)
	}
	if s.req.Class == request.ClassLookup && choice.Kind == route.ToEndpoint {
		return d.sendLookup(ctx, s, choice)
	}
	t := d.beginTry(ctx, s, choice)
	tryCtx, span := d.startTrySpan(ctx, choice)
	err = d.send(tryCtx, s, choice, t)
	endTrySpan(span, err)
	d.finishTry(s, choice, t.result(d.opt.Clock.Now(), err))
	s.recordFailure(err)
	return err
}

// finishTry reports the result of a try to the router.
func (d *Dispatcher) finishTry(s *session, c route.Choice, r route.Result) {
	d.opt.Router.End(c, r)
	if r.OK {
		d.servedTimes.record(s.req, d.opt.Clock.Now())
	}
}

// beginTry records a try that is about to be made.
func (d *Dispatcher) beginTry(ctx context.Context, s *session, c route.Choice) *try {
	s.tries++
	s.tried = append(s.tried, triedDestination(c))
	account.RecordFrom(ctx).CountAttempt()
	d.recordTry(s.req, c)
	d.opt.Router.Begin(c)
	return &try{started: d.opt.Clock.Now()}
}

func (d *Dispatcher) send(ctx context.Context, s *session, c route.Choice, t *try) *outcome.Error {
	switch c.Kind {
	case route.ToGroup:
		return d.sendGroup(ctx, s, c.Group, t)
	case route.ToEndpoint:
		return d.sendService(ctx, s, c.VM, t)
	case route.ToNode:
		return d.sendNode(ctx, s, c.Node, t)
	}
	return outcome.New(outcome.Internal, outcome.NotRun, "the router chose nothing", "ask the operator to look up the request id")
}

func triedDestination(c route.Choice) route.TriedDestination {
	switch c.Kind {
	case route.ToGroup:
		return route.TriedDestination{Group: c.Group.ID, VM: leader(c.Group).VM}
	case route.ToEndpoint:
		return route.TriedDestination{VM: c.VM.Record.VM}
	default:
		return route.TriedDestination{Node: c.Node}
	}
}

// try holds the measurements of one try.
type try struct {
	started        clock.Instant
	firstByte      clock.Instant
	tokens         int
	endpointFailed bool // the failure counts against the endpoint
}

func (t *try) markFirstByte(now clock.Instant) {
	if t.firstByte == 0 {
		t.firstByte = now
	}
}

func (t *try) result(now clock.Instant, err *outcome.Error) route.Result {
	r := route.Result{OK: err == nil, Total: now.Sub(t.started), Tokens: t.tokens, Failed: t.endpointFailed}
	if t.firstByte != 0 {
		r.FirstByte = t.firstByte.Sub(t.started)
	}
	return r
}
