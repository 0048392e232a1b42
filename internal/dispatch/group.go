package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/backpressure"
	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// leader returns the member that receives the requests, or the zero Member if the group
// has no members.
func leader(g *view.Group) *fleet.Member {
	if len(g.Members) == 0 {
		return &fleet.Member{}
	}
	return &g.Members[0]
}

// sendGroup makes one try at a group.
func (d *Dispatcher) sendGroup(ctx context.Context, s *session, g *view.Group, t *try) *outcome.Error {
	if err := d.checkFresh(ctx, g); err != nil {
		return err
	}
	streamRef := relay.StreamRef{
		VM: leader(g).VM, Group: g.ID, Generation: g.Generation,
		Stream: relay.NewStreamID(s.req.Organisation, d.opt.View.Snapshot().Self.VM),
	}
	guarded, unwatch := d.lossGuard.watch(ctx, s, g)
	defer unwatch()
	r, err := newCall(guarded, s.req, leader(g).Addr)
	if err != nil {
		return badRequestError(err)
	}
	setEngineHeaders(r.Header, s.req, streamRef)
	run := d.newMemberRun(s.req, leader(g))
	if refused := run.checkAllowed(ctx); refused != nil {
		return refused
	}
	oerr := d.sendToLeader(ctx, guarded, s, g, t, r, streamRef, run)
	run.recordEnd(guarded, oerr)
	return oerr
}

// sendToLeader sends the request to the group's leader and forwards the response.
func (d *Dispatcher) sendToLeader(ctx, guarded context.Context, s *session, g *view.Group, t *try, r *http.Request, ref relay.StreamRef, run *endpointRun) *outcome.Error {
	sent := d.opt.Clock.Now()
	resp, sn, err := d.client.do(r, s.req.Idempotent)
	if err != nil {
		oerr := d.sendError(ctx, sn, cancelCause(guarded, err))
		t.endpointFailed = ctx.Err() == nil
		if oerr.Outcome != outcome.NotRun {
			d.queueCancel(abandonedStream{leader(g).Addr, ref.Stream})
		}
		return oerr
	}
	defer resp.Body.Close()
	t.markFirstByte(d.opt.Clock.Now())
	run.recordSignals(resp, sent)
	if oerr := checkEngineResponse(resp, g); oerr != nil {
		t.endpointFailed = oerr.Outcome != outcome.NotRun
		return oerr
	}
	h := answer.Head{
		Status: resp.StatusCode, Header: incomingHeaders(resp),
		Endpoint: ref.VM, Group: ref.Group, Generation: ref.Generation,
	}
	if !isEventStream(resp) {
		return d.relayAnswer(ctx, s, resp, h, t, g, ref)
	}
	h.Stream = true
	f := &streamRelay{d: d, s: s, g: g, t: t, head: h, st: relay.NewStream(ref, 0), endpoint: run}
	return f.run(ctx, guarded, resp)
}

func (d *Dispatcher) relayAnswer(ctx context.Context, s *session, resp *http.Response, h answer.Head, t *try, g *view.Group, ref relay.StreamRef) *outcome.Error {
	rep, oerr := d.receive(ctx, resp, h, checkCompletion)
	if oerr == nil {
		oerr = d.deliver(ctx, s, rep)
	}
	if oerr != nil {
		t.endpointFailed = oerr.Kind == outcome.AnswerCut
		d.queueCancel(abandonedStream{leader(g).Addr, ref.Stream})
	}
	return oerr
}

// checkFresh returns an error for a group with a missing member or a member without a
// recent probe reply. The router checked an older snapshot, and the request may have
// waited since.
func (d *Dispatcher) checkFresh(ctx context.Context, g *view.Group) *outcome.Error {
	now := d.opt.Clock.Now()
	if isFresh(g, now) {
		return nil
	}
	if g.Whole && d.opt.Prober != nil {
		if until, ok := d.opt.Prober.Probe(ctx, g); ok && d.opt.Clock.Now().Before(until) {
			return nil
		}
	}
	return outcome.New(outcome.NoCapacity, outcome.NotRun,
		fmt.Sprintf("group %s is not seen whole", g.ID), "send the request again").WithRetryAfter(time.Second)
}

func isFresh(g *view.Group, now clock.Instant) bool { return g.Whole && now.Before(g.FreshUntil) }

func setEngineHeaders(h http.Header, req *request.Request, ref relay.StreamRef) {
	h.Set(engine.HeaderGeneration, engine.GenerationTag(ref.Group, ref.Generation))
	h.Set(engine.HeaderStream, ref.Stream)
	h.Set(engine.HeaderPriority, strconv.Itoa(req.Priority))
	h.Del("Accept-Encoding")
}

// checkEngineResponse rejects a response of another generation. Since the last probe the
// engine may have been assigned to another group, or may have restarted; its response
// would come from another model or from a replica with a missing member.
func checkEngineResponse(resp *http.Response, g *view.Group) *outcome.Error {
	if resp.StatusCode >= 400 && resp.Header.Get(engine.HeaderNotRun) == "true" {
		return notRunRefusal(resp)
	}
	want := engine.GenerationTag(g.ID, g.Generation)
	gen, boot := resp.Header.Get(engine.HeaderGeneration), resp.Header.Get(engine.HeaderBoot)
	if gen != want || boot != string(leader(g).Boot) {
		return outcome.New(outcome.EndpointFailed, outcome.Unknown,
			"the endpoint answered for another generation", "send the request again").
			WithCause(fmt.Errorf("dispatch: got %q boot %q, want %q boot %q", gen, boot, want, leader(g).Boot))
	}
	if !isFinalStatus(resp) || resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
		return unknownRefusal(resp)
	}
	return nil
}

const eventStream = "text/event-stream"

func isEventStream(resp *http.Response) bool {
	return mediaType(resp.Header) == eventStream && resp.StatusCode == http.StatusOK
}

// mediaType returns the content type without its parameters, in lower case.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// maxRetryAfter limits the Retry-After value of an endpoint. Other endpoints may accept
// the request long before, and values above about 292 years in seconds overflow
// time.Duration.
const maxRetryAfter = time.Minute

// parseRetryAfter returns the Retry-After value of a response, at most maxRetryAfter, or 0 if
// it is missing or invalid.
func parseRetryAfter(h http.Header) time.Duration {
	var s backpressure.Signals
	_ = s.ParseRetryAfter(h.Values(engine.HeaderRetryAfter)) // invalid values are logged by recordSignals
	return min(s.RetryAfter, maxRetryAfter)
}
