// Package dispatch is the end of the request path: it sends a request to an
// endpoint or passes it to another node, tries again where that is safe, and
// tells the truth about what was sent.
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

// Router picks where a try goes and learns how it ended.
type Router interface {
	Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.Tried) (route.Choice, *outcome.Error)
	Begin(route.Choice)
	End(route.Choice, route.Result)
}

// Retry holds the budget of retries.
type Retry interface {
	// First counts a request's first try.
	First(class request.Class)
	// Allow takes one retry from the budget. When ok, the retry starts after
	// wait; otherwise the caller is told to come back after wait.
	Allow(class request.Class) (ok bool, wait time.Duration)
}

// Peers passes requests to other nodes. Relay returns an error, with w
// untouched, when no answer began; otherwise it finishes w itself.
type Peers interface {
	Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error
}

// Prober asks every member of a group for its state at once. It returns until
// when the group may take requests, or false when a member is missing.
type Prober interface {
	Probe(ctx context.Context, g *view.Group) (freshUntil clock.Instant, ok bool)
}

// Options are what a dispatcher needs. Peers, Prober, Explain and Registerer
// may be nil; zero bounds stand for the defaults.
type Options struct {
	View   view.Source
	Clock  clock.Clock
	Router Router
	Retry  Retry
	Peers  Peers
	Prober Prober
	// Answers asks a node for a sign of life until ctx ends; nil: every node
	// that membership believes in is taken to answer.
	Answers    func(ctx context.Context, vm fleet.VM) bool
	Explain    explain.Recorder
	Quarantine *quarantine.Guard // of requests that end endpoints; nil: this dispatcher's own
	// Backpressure keeps to what endpoints say of how much they take; nil: this
	// dispatcher's own.
	Backpressure *backpressure.Guard
	Log          *slog.Logger
	Registerer   prometheus.Registerer

	DialTimeout  time.Duration // to connect to an endpoint
	AnswerBuffer int           // bytes of an answer held back until it is whole
	EventBound   int           // bytes of one event
	Tries        int           // of one request, the first one included
	HedgeAfter   time.Duration // after which a lookup is sent to a second endpoint as well
	ResumeGrace  time.Duration // for which a stream runs on whose caller has left; negative: not at all
	PickWait     time.Duration // for a destination that was there a moment ago
}

// The defaults of Options.
const (
	DefaultDialTimeout  = time.Second
	DefaultAnswerBuffer = 1 << 20
	DefaultEventBound   = 256 << 10
	DefaultTries        = 4
	DefaultHedgeAfter   = 200 * time.Millisecond
	DefaultResumeGrace  = 3 * time.Second
	DefaultPickWait     = 500 * time.Millisecond // two rounds of probes
)

func (o *Options) fill() {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.AnswerBuffer == 0 {
		o.AnswerBuffer = DefaultAnswerBuffer
	}
	if o.EventBound == 0 {
		o.EventBound = DefaultEventBound
	}
	if o.Tries == 0 {
		o.Tries = DefaultTries
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

// Dispatcher is the last filter.Handler of the path.
type Dispatcher struct {
	opt     Options
	own     *quarantine.Guard // nil: the options brought one
	client  *client
	cancels *ring.Queue[abandoned]
	guard   *guard
	linger  *linger
	served  served
	metrics *metrics
	tracer  trace.Tracer
}

// New returns a dispatcher. Run must be running for abandoned streams to be
// cancelled at the engines and for answers to be given up when their replica
// is lost.
func New(opt Options) *Dispatcher {
	opt.fill()
	var own *quarantine.Guard
	if opt.Quarantine == nil {
		own = quarantine.Alone(opt.Clock, opt.Log)
		opt.Quarantine = own
	}
	return &Dispatcher{
		own:     own,
		opt:     opt,
		client:  newClient(opt.DialTimeout),
		cancels: ring.NewQueue[abandoned](cancelQueue),
		guard:   newGuard(),
		linger:  newLinger(),
		metrics: newMetrics(opt.Registerer),
		tracer:  otel.Tracer("chervilloom/dispatch"),
	}
}

// Close closes idle connections, and the guard that New made.
func (d *Dispatcher) Close() {
	d.client.close()
	if d.own != nil {
		d.own.Close()
	}
}

// Serve sends the request and finishes w.
func (d *Dispatcher) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	ctx, span := d.tracer.Start(withRemoteParent(ctx, req), "dispatch")
	defer span.End()
	tryCtx, cancel := context.WithTimeout(ctx, d.left(req))
	defer cancel()
	s := newSession(req, w)
	err := d.serve(tryCtx, s)
	if err != nil {
		err = s.told(err)
		span.RecordError(err)
	}
	s.finish(err)
}

// maxTime bounds a request that came without a deadline.
const maxTime = 30 * time.Minute

func (d *Dispatcher) left(req *request.Request) time.Duration {
	if req.Deadline == 0 {
		return maxTime
	}
	return req.Deadline.Sub(d.opt.Clock.Now())
}

func (d *Dispatcher) serve(ctx context.Context, s *session) *outcome.Error {
	if s.req.ResumeID != "" {
		return d.serveResume(ctx, s)
	}
	d.opt.Retry.First(s.req.Class)
	for {
		last := d.once(ctx, s)
		if last == nil {
			return nil
		}
		dec := next(s.facts(ctx, last, d.opt.Tries, d.left(s.req)), d.budget(s.req.Class))
		d.noteDecision(s.req, dec, last, s.tried)
		switch dec.verdict {
		case giveUp:
			return last.After(comeBack(last, dec.wait))
		case retry:
			if !clock.Sleep(ctx, dec.wait) {
				return d.stopped(ctx, last.Outcome)
			}
		}
	}
}

func (d *Dispatcher) budget(c request.Class) func() (bool, time.Duration) {
	return func() (bool, time.Duration) { return d.opt.Retry.Allow(c) }
}

// once makes one try.
func (d *Dispatcher) once(ctx context.Context, s *session) *outcome.Error {
	if err := ctx.Err(); err != nil {
		return d.stopped(ctx, outcome.NotRun)
	}
	choice, err := d.pick(ctx, s)
	if err != nil {
		s.exhausted = true
		return s.nothingLeft(err)
	}
	if s.req.Class == request.ClassLookup && choice.Kind == route.ToEndpoint {
		return d.lookUp(ctx, s, choice)
	}
	t := d.begin(ctx, s, choice)
	tryCtx, span := d.startTry(ctx, choice)
	err = d.send(tryCtx, s, choice, t)
	endTry(span, err)
	d.ended(s, choice, t.result(d.opt.Clock.Now(), err))
	s.add(err)
	return err
}

// ended tells how a try ended.
func (d *Dispatcher) ended(s *session, c route.Choice, r route.Result) {
	d.opt.Router.End(c, r)
	if r.OK {
		d.served.note(s.req, d.opt.Clock.Now())
	}
}

// begin counts a try that is about to be made.
func (d *Dispatcher) begin(ctx context.Context, s *session, c route.Choice) *try {
	s.tries++
	s.tried = append(s.tried, triedBy(c))
	account.From(ctx).Try()
	d.noteTry(s.req, c)
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

func triedBy(c route.Choice) route.Tried {
	switch c.Kind {
	case route.ToGroup:
		return route.Tried{Group: c.Group.ID, VM: leader(c.Group).VM}
	case route.ToEndpoint:
		return route.Tried{VM: c.VM.Record.VM}
	default:
		return route.Tried{Node: c.Node}
	}
}

// try is what is learned of one try.
type try struct {
	started   clock.Instant
	firstByte clock.Instant
	tokens    int
	blamed    bool // the endpoint failed
}

func (t *try) first(now clock.Instant) {
	if t.firstByte == 0 {
		t.firstByte = now
	}
}

func (t *try) result(now clock.Instant, err *outcome.Error) route.Result {
	r := route.Result{OK: err == nil, Total: now.Sub(t.started), Tokens: t.tokens, Failed: t.blamed}
	if t.firstByte != 0 {
		r.FirstByte = t.firstByte.Sub(t.started)
	}
	return r
}
