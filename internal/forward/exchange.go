package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// exchange is one client request on its way through its attempts.
type exchange struct {
	f            *Forwarder
	req          *Request
	route        *catalog.Route
	catalog      *catalog.Catalog
	organisation string
	service      string
	returned     bool // it was refused before
	start        clock.Instant
	deadline     clock.Instant

	in     *http.Request
	w      http.ResponseWriter
	client context.Context // ends when the client leaves
	body   []byte
	fp     quarantine.Fingerprint

	tried     []roster.ID
	progress  Progress
	resume    string // id of the last event that the client has
	events    int    // sent to the client
	failure   *failure
	lastCause string // of the newest attempt that failed
	noChoice  balance.Reason
	choices   choices
	held      int           // endpoints that could serve the request and take nothing now
	heldFor   time.Duration // until the first of them takes a request again
	unsent    bool          // the newest attempt was held back before it was sent
	sentAt    clock.Instant // when the newest attempt was sent
	first     time.Duration // from the start to the answer's first event; 0: none came
	lastEvent clock.Instant
	gap       time.Duration // longest pause between two events
	moving    atomic.Bool   // a stalled attempt is given up; the budget has been asked
	recalled  atomic.Bool   // the quarantine has ended the attempt
	banned    bool          // the request ends endpoints; it isn't sent
	verdict   quarantine.Verdict
	// refusedDial says that the newest attempt's endpoint refused the connection, closed
	// how many have.
	refusedDial bool
	closed      int
}

func (x *exchange) left(now clock.Instant) time.Duration { return x.deadline.Sub(now) }

// run makes attempts until the client has its answer or can't get one.
func (x *exchange) run(ctx context.Context) {
	x.f.budget(x.service).First()
	ep := x.pick()
	x.noteDemand()
	if ep == nil {
		x.refuseUnserved()
		return
	}
	for {
		res := x.attempt(ctx, ep)
		x.report(ep, res)
		x.f.Metrics.attempt(x.route, res)
		next := x.pick()
		x.progress.Endpoint = next != nil
		x.progress.Budget = true
		step := Next(x.route, res, x.progress)
		if step == Again && !x.moving.Swap(false) {
			x.progress.Budget = x.free(res) || x.f.budget(x.service).Allow()
			step = Next(x.route, res, x.progress)
		}
		x.f.Log.Debug("attempt", "request", x.req.ID, "endpoint", ep.ID, "result", res.String(), "step", step.String(), "cause", x.lastCause, "events", x.events)
		if step != Again {
			x.finish(step, res)
			return
		}
		ep = next
	}
}

// mostClosed is how many endpoints that refuse the connection cost a request nothing.
const mostClosed = 3

// free reports whether the next attempt takes nothing from the retry budget: an attempt that
// was held back isn't one, and nothing has arrived at an endpoint that refuses connections.
// Many requests meet one that ended before it leaves the list. A connection that hangs has
// cost its time and counts.
func (x *exchange) free(res Result) bool {
	return res == NotRun && (x.unsent || x.refusedDial && x.closed <= mostClosed)
}

// attempt sends the request to an endpoint and relays what comes back.
func (x *exchange) attempt(ctx context.Context, ep *roster.Endpoint) Result {
	x.tried = append(x.tried, ep.ID)
	x.lastCause, x.refusedDial, x.unsent = "", false, false
	x.recalled.Store(false)
	conn, err := x.connect(ctx, ep)
	if err != nil {
		return x.failed(ctx, ep, err)
	}
	if res, over := x.overBeforeSend(ctx, ep); over {
		x.f.Pool.Return(conn, x.keptIdle())
		return res
	}
	x.progress.Sent++
	x.sentAt = x.f.Clock.Now()
	ticket := x.f.Tracker.Start(ep.ID, func() {
		if x.mayMove() {
			conn.Abort()
		}
	})
	ticket.Reads(x.req.Prompt)
	if x.engine() != nil {
		x.f.Placed(ep.ID, x.req.Prompt)
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	stopLimit := x.limitTry(conn)
	endRun := x.f.Quarantine.Begin(x.fp, x.recallBy(conn))
	resp, err := conn.Send(x.outbound(ep))
	var res Result
	if err != nil {
		x.progress.Runs++
		res = x.failed(ctx, ep, err)
	} else {
		ticket.Progress()
		res = x.judge(ctx, ep, conn, resp, ticket)
	}
	x.noteRun(ep, res, x.sentAt)
	// Whatever may abort the connection must be over before another request
	// gets it: an abort that came late would end that one's exchange.
	ticket.End()
	stopLimit()
	endRun()
	if !stop() || x.endedHere() {
		conn.Spoil()
	}
	x.f.Pool.Put(conn, resp, x.keptIdle())
	return res
}

// overBeforeSend looks once more whether the request may be sent: at the client, its time,
// the quarantine and what the endpoint takes. A node that is short of processor time, or
// whose dial hangs, comes here seconds after the client left; the server's own look at the
// connection is as late, and the endpoint would run for nobody.
func (x *exchange) overBeforeSend(ctx context.Context, ep *roster.Endpoint) (Result, bool) {
	switch {
	case x.client.Err() != nil || clientLeft(x.in):
		x.lastCause = "the client had left before the request was sent"
		return ClientGone, true
	case ctx.Err() != nil || x.left(x.f.Clock.Now()) <= 0:
		x.lastCause = "the time was over before the request was sent"
		return OutOfTime, true
	case x.quarantined(ctx):
		x.lastCause = "the request ends the endpoints that run it"
		return Banned, true
	case !x.f.Backpressure.Take(pressureID(ep)): // the last question: it counts what is sent
		x.lastCause, x.unsent = "the endpoint takes nothing more now", true
		return NotRun, true
	}
	return 0, false
}

// quarantined reports whether the request must not be sent because endpoints end under
// it. This is the only way to an endpoint, whichever attempt it is.
func (x *exchange) quarantined(ctx context.Context) bool {
	x.verdict, x.banned = x.f.Quarantine.Refused(ctx, x.fp)
	return x.banned
}

// recallBy returns what ends the attempt if the request becomes a suspect; nil for a request
// that may not run again.
func (x *exchange) recallBy(conn *upstream.Conn) func() {
	if !x.route.Repeatable() {
		return nil
	}
	return func() {
		x.recalled.Store(true)
		conn.Abort()
	}
}

// endedHere reports whether this node ended the attempt: that says nothing of the endpoint.
func (x *exchange) endedHere() bool { return x.moving.Load() || x.recalled.Load() }

// limitTry gives an answer that may be asked for again a time within which it
// must have come: an endpoint that hangs would otherwise hold the request until
// its client's time is over. It returns what ends the limit.
func (x *exchange) limitTry(conn *upstream.Conn) func() {
	if x.route.Repeat != catalog.Idempotent {
		return func() {}
	}
	t := time.AfterFunc(max(minTry, tryObjectives*x.route.Objective), func() {
		if x.mayMove() {
			conn.Abort()
		}
	})
	return func() {
		if !t.Stop() {
			conn.Spoil()
		}
	}
}

const (
	// tryObjectives is how many objectives a try may take; one in a hundred
	// calls takes five times the mean.
	tryObjectives = 2
	minTry        = 200 * time.Millisecond
)

// mayMove reports whether an attempt whose endpoint went silent should be given
// up for another one, and takes the repeat from the budget. Without another
// endpoint the attempt goes on: the silence may end, and giving up would only
// cut the answer. It is called while the attempt runs.
func (x *exchange) mayMove() bool {
	if !x.route.Repeatable() || x.progress.Runs+1 >= x.route.MaxAttempts {
		return false
	}
	if ep, _ := x.choose(x.candidates()); ep == nil {
		return false
	}
	ok := x.f.budget(x.service).Allow()
	if ok {
		x.moving.Store(true)
	}
	return ok
}

// keptIdle returns how many idle connections this node may keep to an endpoint of
// the request's service. Above its limit for all callers together an endpoint
// resets new connections.
func (x *exchange) keptIdle() int {
	const (
		idleShare = 0.75 // of an endpoint's connections; the others are for requests that run
		most      = 16
	)
	s := x.catalog.Service(x.service)
	if s == nil || s.MaxConns <= 0 {
		return most
	}
	return min(most, int(idleShare*float64(s.MaxConns))/max(1, x.f.Nodes()))
}

func (x *exchange) connect(ctx context.Context, ep *roster.Endpoint) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	return x.f.Pool.Get(ctx, ep.Addr, x.route.Repeat == catalog.Once)
}

func (x *exchange) outbound(ep *roster.Endpoint) *upstream.Request {
	hop := Hop{
		Expect: ep.ID, Left: max(time.Millisecond, x.left(x.f.Clock.Now())),
		Organisation: x.organisation, Resume: x.resume, Urgency: x.urgency(),
	}
	return &upstream.Request{
		Method: x.in.Method, Target: x.req.Target, Host: x.in.Host,
		Header: x.f.Codec.Outbound(x.in.Header, x.req, hop), Body: x.body,
	}
}

// The urgencies: an answer that has begun goes on before others begin, and one
// that is late already waits.
const (
	urgencyResumed  = 1
	urgencyFresh    = 4
	urgencyReturned = 8
)

func (x *exchange) urgency() int {
	switch {
	case x.engine() == nil:
		return NoUrgency
	case x.resume != "":
		return urgencyResumed
	case x.returned:
		return urgencyReturned
	}
	return urgencyFresh
}

// failed names the end of an attempt that brought no answer.
func (x *exchange) failed(ctx context.Context, ep *roster.Endpoint, err error) Result {
	x.lastCause = err.Error()
	switch {
	case x.client.Err() != nil:
		return ClientGone
	case ctx.Err() != nil:
		return OutOfTime
	case errors.Is(err, upstream.ErrUnsent):
		if x.refusedDial = errors.Is(err, syscall.ECONNREFUSED); x.refusedDial {
			x.closed++
		}
		x.f.Tracker.Suspect(ep.ID)
		x.f.Missed()
		return NotRun
	}
	return MayHaveRun
}

// finish ends the request as the step says.
func (x *exchange) finish(step Step, res Result) {
	x.f.Metrics.ended(x.route, step, res)
	switch step {
	case Finish:
		x.log("request done", res)
	case Pass:
		x.pass()
		x.log("request failed at the endpoint", res)
	case Refuse:
		x.refuseUnserved()
	case Admit:
		x.log("request unknown", res)
		x.f.Codec.Refuse(x.w, x.req.ID, x.unknown(res))
	case Cut:
		x.log("request cut", res)
		panic(http.ErrAbortHandler) // closes the connection without a proper end
	}
}

func (x *exchange) unknown(res Result) *outcome.Error {
	if res == OutOfTime {
		return outcome.New(outcome.DeadlineExceeded, outcome.Unknown,
			"the time is over and the request may have run", "look before sending it again")
	}
	return outcome.New(outcome.EndpointFailed, outcome.Unknown,
		"the endpoint gave no usable answer and the request may have run", "look before sending it again")
}

func (x *exchange) pass() {
	x.f.Codec.Relay(x.w.Header(), x.failure.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(x.failure.body)))
	x.w.WriteHeader(x.failure.status)
	_, _ = x.w.Write(x.failure.body) // a client that left needs no answer
}

// refuseUnserved tells the client that the request has not run.
func (x *exchange) refuseUnserved() {
	e := outcome.New(outcome.NoCapacity, outcome.NotRun, "nothing serves this now", "try again").After(retryAfterNone)
	stage := "pick"
	switch {
	case x.banned:
		stage, e = "quarantine", x.verdict.Refusal()
	case x.noChoice == balance.AllFull:
		e = outcome.New(outcome.Overloaded, outcome.NotRun, "every endpoint is full", "try again").After(retryAfterFull)
	case x.held > 0 && x.choices.endpoints == 0:
		e = outcome.New(outcome.Overloaded, outcome.NotRun, "the endpoints take nothing more now", "try again").After(spreadReturn(x.heldFor))
	}
	x.f.refuse(x.w, x.req, stage, e.WithCause(errors.New(string(x.noChoice)+"; "+x.lastCause)),
		"route", x.route.Name, "model", x.req.Model, "endpoints", x.choices.endpoints, "free_slots", x.choices.freeSlots,
		"held_back", x.held, "tried", x.tried, "fingerprint", x.fp)
}

// spreadReturn spreads the returns of clients that are refused for the same time over as
// much again.
func spreadReturn(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*float64(after))
}

func (x *exchange) log(message string, res Result) {
	x.f.Log.Info(message, "request", x.req.ID, "route", x.route.Name, "organisation", x.organisation,
		"config", x.catalog.Version, "tried", x.tried, "events", x.events, "result", res.String(),
		"cause", x.lastCause, "ms", x.f.Clock.Now().Sub(x.start).Milliseconds(),
		"model", x.req.Model, "endpoints", x.choices.endpoints, "free_slots", x.choices.freeSlots,
		"first_ms", x.first.Milliseconds(), "objective_ms", x.route.Objective.Milliseconds(),
		"gap_ms", x.gap.Milliseconds(), "gap_aim_ms", x.route.GapAim.Milliseconds())
}

// noteRun has the quarantine know how a run ended. An endpoint that leaves in order may
// break off what is left, and one that went silent was given up here; that is no end under
// a request. One whose run was recalled may still end by it.
func (x *exchange) noteRun(ep *roster.Endpoint, res Result, sent clock.Instant) {
	switch res {
	case Answered:
		x.f.Quarantine.Sound(x.fp)
	case MayHaveRun:
		x.logBroken(ep, sent)
		if x.moving.Load() {
			return
		}
		if now := x.f.View().Roster.Get(ep.ID); now == nil || !now.Usable() {
			return
		}
		note := x.f.Quarantine.Broke
		if x.recalled.Load() {
			note = x.f.Quarantine.Recalled
		}
		note(string(ep.ID), ep.Addr, x.fp, quarantine.AttemptID(x.req.ID))
	}
}

// logBroken tells of an attempt without a usable answer. Each client attempt has an id of
// its own; the fingerprint shows which of them are the same request.
func (x *exchange) logBroken(ep *roster.Endpoint, sent clock.Instant) {
	x.f.Log.Info("attempt broke off", "request", x.req.ID, "fingerprint", x.fp, "endpoint", ep.ID,
		"group", ep.Member.Group, "sent_ms_ago", x.f.Clock.Now().Sub(sent).Milliseconds(), "events", x.events, "cause", x.lastCause)
}
