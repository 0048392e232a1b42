package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/links"
	"chervilloom/internal/outcome"
	"chervilloom/internal/priority"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// exchange is the state of one client request over all its attempts.
type exchange struct {
	f            *Forwarder
	req          *Request
	route        *catalog.Route
	catalog      *catalog.Catalog
	organisation string
	// organisationRegions are the regions to which the organisation is restricted; empty: all.
	organisationRegions []string
	service             string
	isClientRetry       bool        // an earlier attempt of the client was probably refused
	contention          *contention // nil: the service is not contended
	start               clock.Instant
	deadline            clock.Instant

	clientRequest *http.Request
	w             http.ResponseWriter
	clientCtx     context.Context // cancelled when the client disconnects
	body          [][]byte        // in parts
	fingerprint   quarantine.Fingerprint
	parts         []quarantine.Part // of the prompt, that other requests may share

	tried            []roster.ID
	progress         Progress
	runs             atomic.Int64 // progress.Runs, for other goroutines
	lastEventID      string       // id of the last event that the client received
	eventsSent       int          // number of events sent to the client
	failure          *failureResponse
	lastCause        string // cause of the newest failed attempt
	pickReason       balance.Reason
	candidateStats   candidateStats
	barredRegions    int           // endpoints that could serve the request but are in a region that it must not reach
	backingOff       int           // endpoints that could serve the request but accept nothing at present
	backoffLeft      time.Duration // until the first of them accepts a request again
	noPath           bool          // no node that may pass the newest attempt on has links to endpoints
	noPaths          int           // attempts with noPath
	heldBack         bool          // the newest attempt was stopped before it was sent, through no fault of the endpoint
	sentAt           clock.Instant // when the newest attempt was sent
	endsWithConn     bool          // the newest attempt's response has neither a length nor chunks
	isUnframed       bool          // the client's response ends with its connection
	peer             upstream.Peer // the node that passed the newest attempt on
	firstByteLatency time.Duration // from the start to the response header; 0: none sent yet
	lastEventAt      clock.Instant
	maxGap           time.Duration // longest pause between two events
	abortedStalled   atomic.Bool   // a stalled attempt was aborted, with its retry taken from the budget
	recalled         atomic.Bool   // the quarantine aborted the attempt
	isQuarantined    bool          // the request is quarantined and not sent
	verdict          quarantine.Verdict
	expectedFirst    time.Duration // predicted time to the newest attempt's first event; 0: none, or it was observed
	// connRefused reports whether the newest attempt's endpoint refused the connection;
	// connRefusals counts the attempts for which this happened.
	connRefused  bool
	connRefusals int
	value        valueRecord
}

// timeLeft returns the time from now to the request's deadline.
func (x *exchange) timeLeft(now clock.Instant) time.Duration { return x.deadline.Sub(now) }

// run makes attempts until the client has a response or none is possible.
func (x *exchange) run(ctx context.Context) {
	x.f.budget(x.service).CountFirst()
	ep := x.pick()
	x.recordDemand()
	if !x.isAdmitted(ep) {
		x.refuseNotRun()
		return
	}
	for {
		res := x.attempt(ctx, ep)
		x.reportResult(ep, res)
		x.f.Metrics.countAttempt(x.route, res)
		next := x.pick()
		x.progress.HasEndpoint = next != nil && x.noPaths < maxNoPaths
		x.progress.HasBudget = true
		step := NextStep(x.route, res, x.progress)
		if step == Retry && !x.abortedStalled.Swap(false) {
			x.progress.HasBudget = x.takeExemption(res) || x.allowRetry()
			step = NextStep(x.route, res, x.progress)
		}
		x.f.Log.Debug("attempt", "request", loggedID(x.req.ID), "endpoint", ep.ID, "result", res.String(), "step", step.String(), "cause", x.lastCause, "events", x.eventsSent)
		if step != Retry {
			x.finish(step, res)
			return
		}
		ep = next
	}
}

// maxNoPaths is the number of endpoints to which a request finds no path before it is refused. A node
// that has lost its links would go through all of them, one after the other, for each request.
const maxNoPaths = 2

// maxFreeRefusals is the number of refused connections per request that are exempt from the
// retry budget.
const maxFreeRefusals = 3

// takeExemption reports whether the next attempt is exempt from the retry budget, and counts it.
func (x *exchange) takeExemption(res Result) bool {
	exempt := x.isExemptFromBudget(res)
	if exempt {
		x.f.Metrics.retries.WithLabelValues(exemptRetry).Inc()
	}
	return exempt
}

// isExemptFromBudget reports whether the next attempt is exempt from the retry budget, because
// nothing reached the last endpoint: backpressure stopped the attempt, no node has a link to the
// endpoint, or it refused the connection. Many requests are placed at a terminated endpoint until
// it is removed from the list. A dial that times out has used up the request's time and does count.
func (x *exchange) isExemptFromBudget(res Result) bool {
	return res == NotRun && (x.heldBack || x.connRefused && x.connRefusals <= maxFreeRefusals)
}

// attempt sends the request to an endpoint and relays the response.
func (x *exchange) attempt(ctx context.Context, ep *roster.Endpoint) Result {
	x.tried = append(x.tried, ep.ID)
	x.lastCause, x.connRefused, x.noPath, x.heldBack, x.peer = "", false, false, false, upstream.Peer{}
	x.endsWithConn = false
	x.recalled.Store(false)
	conn, err := x.connect(ctx, ep)
	if err != nil {
		return x.classifyError(ctx, ep, err)
	}
	if res, over := x.checkBeforeSend(ctx, ep); over {
		x.f.Pool.PutUnused(conn, x.maxIdleConns())
		return res
	}
	x.progress.Sent++
	x.sentAt, x.peer = x.f.Clock.Now(), conn.Peer
	x.predictFirst(ep)
	mayMove := x.newMoveCheck()
	moveStalled := func() {
		if !conn.HasUnread() && mayMove() { // otherwise the delay is this node's or the client's
			conn.Abort()
		}
	}
	ticket := x.f.Tracker.Start(ep.ID, moveStalled)
	ticket.WatchAnswer(conn.HasUnread, x.route.Repeat != catalog.Stream)
	ticket.SetPromptTokens(x.req.PromptTokens)
	if x.engine() != nil {
		x.f.OnSent(ep.ID, x.req.PromptTokens)
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	stopLimit := x.startAttemptTimeout(conn, moveStalled)
	endRun := x.f.Quarantine.BeginRun(x.fingerprint, x.recallFunc(conn))
	resp, err := conn.Send(x.outboundRequest(ep))
	var res Result
	if err != nil {
		x.countRun()
		res = x.classifyError(ctx, ep, err)
	} else {
		ticket.RecordProgress()
		x.endsWithConn = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		if conn.Peer.IsDirect() {
			x.f.OnResponse()
		}
		res = x.handleResponse(ctx, ep, conn, resp, ticket)
	}
	x.reportRun(ep, res, x.sentAt)
	// Stop everything that may abort the connection before another request reuses it: a
	// late abort would end the other request's exchange.
	ticket.End()
	stopLimit()
	endRun()
	if !stop() || x.isAbortedHere() {
		conn.MarkUnusable()
	}
	x.f.Pool.Put(conn, resp, x.maxIdleConns())
	return res
}

// checkBeforeSend checks immediately before sending whether the request must not be sent:
// the client disconnected, the deadline has passed, the request is quarantined or the
// endpoint accepts no more. On a node short of CPU time, or after a slow dial, this can be
// seconds after the client disconnected; net/http detects the disconnection just as late,
// and the endpoint would run the request for nobody.
func (x *exchange) checkBeforeSend(ctx context.Context, ep *roster.Endpoint) (Result, bool) {
	switch {
	case x.clientCtx.Err() != nil || isClientGone(x.clientRequest):
		x.lastCause = "the client had left before the request was sent"
		return ClientGone, true
	case ctx.Err() != nil || x.timeLeft(x.f.Clock.Now()) <= 0:
		x.lastCause = "the time was over before the request was sent"
		return OutOfTime, true
	case x.checkQuarantine(ctx):
		x.lastCause = "the request is quarantined: endpoints that run it terminate"
		return Quarantined, true
	case x.f.View().Evacuated[ep.Zone]:
		x.lastCause, x.heldBack = "the endpoint's zone is evacuated", true
		return NotRun, true
	case !x.takeFromLimits(ep): // checked last, because it counts the request as sent
		x.lastCause, x.heldBack = "the endpoint accepts no more requests at present", true
		return NotRun, true
	}
	return 0, false
}

// takeFromLimits reports whether the endpoint accepts the request, and counts it as sent if so.
func (x *exchange) takeFromLimits(ep *roster.Endpoint) bool {
	view := x.f.View()
	return x.f.Backpressure.TakeCold(backpressureID(ep), x.coldRate(&view, ep))
}

// checkQuarantine reports whether the request must not be sent because it terminates the
// endpoints that run it. Every attempt passes this check before it is sent.
func (x *exchange) checkQuarantine(ctx context.Context) bool {
	x.verdict, x.isQuarantined = x.f.Quarantine.Refused(ctx, x.fingerprint, x.parts...)
	return x.isQuarantined
}

// recallFunc returns a function that aborts the attempt if the request becomes suspected of
// terminating endpoints. It is nil for a request that is not repeatable.
func (x *exchange) recallFunc(conn *upstream.Conn) func() {
	if !x.route.Repeatable() {
		return nil
	}
	return func() {
		x.recalled.Store(true)
		conn.Abort()
	}
}

// isAbortedHere reports whether this node aborted the attempt, so that its result is no failure
// of the endpoint.
func (x *exchange) isAbortedHere() bool { return x.abortedStalled.Load() || x.recalled.Load() }

// startAttemptTimeout starts a timeout for an attempt of an idempotent request: a hanging
// endpoint would otherwise block the request until its deadline. The returned function stops the
// timeout.
func (x *exchange) startAttemptTimeout(conn *upstream.Conn, moveStalled func()) func() {
	if x.route.Repeat != catalog.Idempotent {
		return func() {}
	}
	t := time.AfterFunc(max(minAttemptTimeout, attemptTimeoutObjectives*x.route.Objective), moveStalled)
	return func() {
		if !t.Stop() {
			conn.MarkUnusable()
		}
	}
}

const (
	// attemptTimeoutObjectives is the timeout of an attempt as a multiple of the route's
	// latency objective. One in a hundred calls takes five times the mean.
	attemptTimeoutObjectives = 2
	minAttemptTimeout        = 200 * time.Millisecond
)

// countRun counts an attempt that ran or may have run.
func (x *exchange) countRun() {
	x.progress.Runs++
	x.runs.Store(int64(x.progress.Runs))
}

// newMoveCheck returns a function that reports whether the attempt at a stalled endpoint should be
// aborted and retried at another one; if so, the retry has been taken from the budget. Without
// another endpoint the attempt continues: the endpoint may recover, and an abort would only cut the
// response. The function is called from other goroutines while the attempt runs, and has its own
// copy of what the choice depends on.
func (x *exchange) newMoveCheck() func() bool {
	choice := &exchange{
		f: x.f, req: x.req, route: x.route, catalog: x.catalog, organisationRegions: x.organisationRegions,
		service: x.service, tried: slices.Clone(x.tried),
	}
	var mu sync.Mutex // guards choice
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		if !x.route.Repeatable() || int(x.runs.Load())+1 >= x.route.MaxAttempts || x.abortedStalled.Load() {
			return false
		}
		if ep, _ := choice.choose(choice.candidates()); ep == nil {
			return false
		}
		ok := x.allowRetry()
		if ok {
			x.abortedStalled.Store(true)
		}
		return ok
	}
}

// maxIdleConns returns the maximum number of idle connections from this node to an endpoint of
// the request's service. An endpoint limits the connections of all callers together and
// resets new ones above the limit.
func (x *exchange) maxIdleConns() int {
	const (
		idleShare = 0.75 // of an endpoint's connections; the rest is for running requests
		most      = 16
	)
	s, nodes := x.catalog.Service(x.service), x.f.NodeCount()
	switch {
	case s == nil || s.MaxConns <= 0:
		return most
	case nodes == 0: // not known yet
		return 1
	}
	return min(most, int(idleShare*float64(s.MaxConns))/nodes)
}

// maxConnectTime bounds the time to connect to an endpoint. The dialer's own timeout depends on how
// late this node is.
const maxConnectTime = time.Second

// connect returns a connection to the endpoint. A request that may run only once gets a new
// one.
func (x *exchange) connect(ctx context.Context, ep *roster.Endpoint) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, maxConnectTime)
	defer cancel()
	return x.f.Pool.Get(ctx, ep.Addr, x.route.Repeat == catalog.Once, x.allowsPeerZone)
}

// allowsPeerZone reports whether a node of the zone may pass the request on: its body must not
// leave the regions to which route and organisation restrict it.
func (x *exchange) allowsPeerZone(zone string) bool {
	return !x.f.View().Evacuated[zone] && isAllowedRegion(x.f.Regions[zone], x.route.AllowedRegions, x.organisationRegions)
}

// outboundRequest returns the request to send to the endpoint.
func (x *exchange) outboundRequest(ep *roster.Endpoint) *upstream.Request {
	hop := Hop{
		ExpectedEndpoint: ep.ID, TimeLeft: max(time.Millisecond, x.timeLeft(x.f.Clock.Now())),
		Organisation: x.organisation, ResumeAfter: x.lastEventID, Urgency: x.urgency(),
	}
	return &upstream.Request{
		Method: x.clientRequest.Method, Target: x.req.Target, Host: x.clientRequest.Host,
		Header: x.f.Codec.OutboundHeader(x.clientRequest.Header, x.req, hop), Body: x.body,
	}
}

// Urgencies of requests to engines. Endpoints resume a started response before they start
// others; a request that is already late comes last.
const (
	urgencyResumed = priority.UrgencyResumed
	urgencyNew     = priority.UrgencyNew
	urgencyRetried = priority.UrgencyRetried
)

func (x *exchange) urgency() int {
	switch {
	case x.engine() == nil:
		return NoUrgency
	case x.contention != nil:
		return priority.Urgency(x.contention.levels, x.contention.request.Level, x.lastEventID != "", x.isClientRetry)
	case x.lastEventID != "":
		return urgencyResumed
	case x.isClientRetry:
		return urgencyRetried
	}
	return urgencyNew
}

// classifyError returns the result of an attempt that ended with err and records the cause.
func (x *exchange) classifyError(ctx context.Context, ep *roster.Endpoint, err error) Result {
	x.lastCause = err.Error()
	switch {
	case x.clientCtx.Err() != nil:
		return ClientGone
	case ctx.Err() != nil:
		return OutOfTime
	case errors.Is(err, links.ErrNoPath):
		x.noPath, x.heldBack = true, true
		x.noPaths++
		return NotRun
	case errors.Is(err, upstream.ErrNotSent):
		if x.connRefused = errors.Is(err, syscall.ECONNREFUSED); x.connRefused {
			x.connRefusals++
		}
		x.f.Tracker.MarkSuspect(ep.ID)
		x.f.OnStaleEndpoint()
		return NotRun
	}
	return MayHaveRun
}

// finish ends the request with the given step.
func (x *exchange) finish(step Step, res Result) {
	x.recordLoss(step)
	if step == RelayFailure && x.failure == nil { // the endpoint's status would claim that the request has not run
		step = ReportUnknown
	}
	x.f.Metrics.countEnd(x.route, step, res)
	x.recordEnd(step, res)
	switch step {
	case Finish:
		if res == Answered {
			x.completeUnframed()
		}
		x.logEnd("request done", res)
	case RelayFailure:
		x.relayFailure()
		x.logEnd("request failed at the endpoint", res)
	case Refuse:
		x.refuseNotRun()
	case ReportUnknown:
		x.logEnd("request unknown", res)
		x.f.Codec.WriteError(x.w, x.req.ID, x.unknownOutcome(res))
	case Abort:
		x.logEnd("request cut", res)
		panic(http.ErrAbortHandler) // closes the connection without ending the response properly
	}
}

// unknownOutcome returns the error for a request that may have run.
func (x *exchange) unknownOutcome(res Result) *outcome.Error {
	if res == OutOfTime {
		return outcome.New(outcome.DeadlineExceeded, outcome.Unknown,
			"the time is over and the request may have run", "look before sending it again")
	}
	return outcome.New(outcome.EndpointFailed, outcome.Unknown,
		"the endpoint gave no usable answer and the request may have run", "look before sending it again")
}

// relayFailure relays the endpoint's error response.
func (x *exchange) relayFailure() {
	x.f.Codec.CopyHeader(x.w.Header(), x.failure.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(x.failure.body)))
	x.w.WriteHeader(x.failure.status)
	_, _ = x.w.Write(x.failure.body) // an error means that the client disconnected
}

// refuseNotRun reports to the client that the request has not run, and why.
func (x *exchange) refuseNotRun() {
	x.recordLoss(Refuse)
	e := outcome.New(outcome.NoCapacity, outcome.NotRun, "nothing serves this now", "try again").WithRetryAfter(retryAfterNone)
	stage := "pick"
	switch {
	case x.isQuarantined:
		stage, e = "quarantine", x.verdict.Refusal()
	case x.noPath:
		stage = "links"
		e = outcome.New(outcome.NoCapacity, outcome.NotRun, "this node has lost its links to the endpoints and no other node passes requests on", "try again, at another node if possible").
			WithRetryAfter(addJitter(retryAfterNone))
	case x.pickReason == balance.AllFull:
		e = outcome.New(outcome.Overloaded, outcome.NotRun, "every endpoint is full", "try again").WithRetryAfter(retryAfterFull)
	case x.barredRegions > 0 && x.candidateStats.endpoints == 0 && x.backingOff == 0:
		stage = "region"
		e = outcome.New(outcome.NoCapacity, outcome.NotRun, "no endpoint in a region that may run this request serves it now",
			"try again later, or ask the operator which regions route and organisation allow").WithRetryAfter(retryAfterNone)
	case x.backingOff > 0 && x.candidateStats.endpoints == 0:
		e = outcome.New(outcome.Overloaded, outcome.NotRun, "the endpoints take nothing more now", "try again").WithRetryAfter(addJitter(x.backoffLeft))
	}
	stage, e = x.refuseUnderContention(stage, e)
	x.f.refuse(x.w, x.req, stage, e.WithCause(errors.New(string(x.pickReason)+"; "+x.lastCause)),
		append(x.rankFields(),
			"route", x.route.Name, "model", x.req.Model, "endpoints", x.candidateStats.endpoints, "free_slots", x.candidateStats.freeSlots,
			"held_back", x.backingOff, "tried", x.tried, "fingerprint", x.fingerprint, "part", x.verdict.Part)...)
}

func (x *exchange) logEnd(message string, res Result) {
	x.f.Log.With(x.rankFields()...).Info(message, "request", loggedID(x.req.ID), "route", x.route.Name, "organisation", x.organisation,
		"config", x.catalog.Version, "tried", x.tried, "peer", x.peer.Addr, "events", x.eventsSent, "result", res.String(),
		"cause", x.lastCause, "ms", x.f.Clock.Now().Sub(x.start).Milliseconds(),
		"model", x.req.Model, "endpoints", x.candidateStats.endpoints, "free_slots", x.candidateStats.freeSlots,
		"first_ms", x.firstByteLatency.Milliseconds(), "objective_ms", x.route.Objective.Milliseconds(),
		"gap_ms", x.maxGap.Milliseconds(), "gap_aim_ms", x.route.GapAim.Milliseconds())
}

// reportRun reports the end of a run to the quarantine. A broken run is not reported if the
// endpoint drains, since it may abort its remaining requests, or if this node aborted the
// attempt at a stalled endpoint: neither was caused by the request. An endpoint may still
// terminate because of a recalled run, so that one is reported.
func (x *exchange) reportRun(ep *roster.Endpoint, res Result, sent clock.Instant) {
	switch res {
	case Answered:
		if x.endsWithConn {
			x.f.Quarantine.RunSucceeded(x.fingerprint)
			x.f.Quarantine.ResponseUnclear(string(ep.ID), x.fingerprint, quarantine.AttemptID(x.req.ID), x.parts...)
			return
		}
		x.f.Quarantine.RunSucceeded(x.fingerprint, x.parts...)
	case MayHaveRun:
		x.logBrokenAttempt(ep, sent)
		if x.abortedStalled.Load() {
			return
		}
		if now := x.f.View().Roster.Get(ep.ID); now == nil || !now.Usable() {
			return
		}
		note := x.f.Quarantine.AttemptFailed
		if x.recalled.Load() {
			note = x.f.Quarantine.AttemptRecalled
		}
		note(string(ep.ID), ep.Addr, x.fingerprint, quarantine.AttemptID(x.req.ID), x.parts...)
	}
}

// logBrokenAttempt logs an attempt without a usable response. Each attempt of a client has its
// own request id; attempts with the same fingerprint are the same request.
func (x *exchange) logBrokenAttempt(ep *roster.Endpoint, sent clock.Instant) {
	x.f.Log.Info("attempt broke off", "request", loggedID(x.req.ID), "fingerprint", x.fingerprint, "prompt_parts", x.req.PromptParts, "endpoint", ep.ID,
		"group", ep.Member.Group, "sent_ms_ago", x.f.Clock.Now().Sub(sent).Milliseconds(), "events", x.eventsSent, "peer", x.peer.Addr, "cause", x.lastCause)
}
