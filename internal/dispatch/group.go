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

// leader returns the member that takes the requests; the zero Member for a
// group that has none.
func leader(g *view.Group) *fleet.Member {
	if len(g.Members) == 0 {
		return &fleet.Member{}
	}
	return &g.Members[0]
}

// sendGroup makes one try at a group.
func (d *Dispatcher) sendGroup(ctx context.Context, s *session, g *view.Group, t *try) *outcome.Error {
	if err := d.checkWhole(ctx, g); err != nil {
		return err
	}
	ref := relay.StreamRef{
		VM: leader(g).VM, Group: g.ID, Generation: g.Generation,
		Stream: relay.NewStreamID(s.req.Organisation, d.opt.View.Snapshot().Self.VM),
	}
	guarded, unwatch := d.guard.watch(ctx, s, g)
	defer unwatch()
	r, err := newCall(guarded, s.req, leader(g).Addr)
	if err != nil {
		return badCall(err)
	}
	setEngineHeaders(r.Header, s.req, ref)
	run := d.runAtMember(s.req, leader(g))
	if refused := run.allowed(ctx); refused != nil {
		return refused
	}
	told := d.sendToLeader(ctx, guarded, s, g, t, r, ref, run)
	run.ended(guarded, told)
	return told
}

// sendToLeader sends the request and passes the answer on.
func (d *Dispatcher) sendToLeader(ctx, guarded context.Context, s *session, g *view.Group, t *try, r *http.Request, ref relay.StreamRef, run *endpointRun) *outcome.Error {
	sent := d.opt.Clock.Now()
	resp, sn, err := d.client.do(r, s.req.Idempotent)
	if err != nil {
		oerr := d.failed(ctx, sn, because(guarded, err))
		t.blamed = ctx.Err() == nil
		if oerr.Outcome != outcome.NotRun {
			d.abandon(abandoned{leader(g).Addr, ref.Stream})
		}
		return oerr
	}
	defer resp.Body.Close()
	t.first(d.opt.Clock.Now())
	run.answered(resp, sent)
	if oerr := checkEngine(resp, g); oerr != nil {
		t.blamed = oerr.Outcome != outcome.NotRun
		return oerr
	}
	h := answer.Head{
		Status: resp.StatusCode, Header: incoming(resp),
		Endpoint: ref.VM, Group: ref.Group, Generation: ref.Generation,
	}
	if !isEventStream(resp) {
		return d.relayAnswer(ctx, s, resp, h, t, g, ref)
	}
	h.Stream = true
	f := &following{d: d, s: s, g: g, t: t, head: h, st: relay.NewStream(ref, 0), at: run}
	return f.run(ctx, guarded, resp)
}

func (d *Dispatcher) relayAnswer(ctx context.Context, s *session, resp *http.Response, h answer.Head, t *try, g *view.Group, ref relay.StreamRef) *outcome.Error {
	rep, oerr := d.receive(ctx, resp, h, wholeCompletion)
	if oerr == nil {
		oerr = d.deliver(ctx, s, rep)
	}
	if oerr != nil {
		t.blamed = oerr.Kind == outcome.AnswerCut
		d.abandon(abandoned{leader(g).Addr, ref.Stream})
	}
	return oerr
}

// checkWhole refuses a group of which a member is missing or has not been
// seen lately. The router looked too, but on an older snapshot, and the
// request may have waited since.
func (d *Dispatcher) checkWhole(ctx context.Context, g *view.Group) *outcome.Error {
	now := d.opt.Clock.Now()
	if fresh(g, now) {
		return nil
	}
	if g.Whole && d.opt.Prober != nil {
		if until, ok := d.opt.Prober.Probe(ctx, g); ok && d.opt.Clock.Now().Before(until) {
			return nil
		}
	}
	return outcome.New(outcome.NoCapacity, outcome.NotRun,
		fmt.Sprintf("group %s is not seen whole", g.ID), "send the request again").After(time.Second)
}

func fresh(g *view.Group, now clock.Instant) bool { return g.Whole && now.Before(g.FreshUntil) }

func setEngineHeaders(h http.Header, req *request.Request, ref relay.StreamRef) {
	h.Set(engine.HeaderGeneration, engine.GenerationTag(ref.Group, ref.Generation))
	h.Set(engine.HeaderStream, ref.Stream)
	h.Set(engine.HeaderPriority, strconv.Itoa(req.Priority))
	h.Del("Accept-Encoding")
}

// checkEngine refuses what is not this generation's answer. The engine may
// have been given to another group, or may have restarted and answer
// again, since its members were last probed: what it says then is the
// answer of another model or of a replica with a member missing.
func checkEngine(resp *http.Response, g *view.Group) *outcome.Error {
	if resp.StatusCode >= 400 && resp.Header.Get(engine.HeaderNotRun) == "true" {
		return refusedNotRun(resp)
	}
	want := engine.GenerationTag(g.ID, g.Generation)
	gen, boot := resp.Header.Get(engine.HeaderGeneration), resp.Header.Get(engine.HeaderBoot)
	if gen != want || boot != string(leader(g).Boot) {
		return outcome.New(outcome.EndpointFailed, outcome.Unknown,
			"the endpoint answered for another generation", "send the request again").
			WithCause(fmt.Errorf("dispatch: got %q boot %q, want %q boot %q", gen, boot, want, leader(g).Boot))
	}
	if !isAnswer(resp) || resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
		return refusedUnknown(resp)
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

// maxAdvice bounds the advice of an endpoint on when to come back. Others may
// take the request long before, and beyond some 292 years of seconds the
// product would run over into a time that has passed.
const maxAdvice = time.Minute

// retryAfter returns the advice of an answer's header, 0 when there is none that can be used.
func retryAfter(h http.Header) time.Duration {
	var s backpressure.Signals
	_ = s.ReadRetryAfter(h.Values(engine.HeaderRetryAfter)) // answered logs what can't be read
	return min(s.RetryAfter, maxAdvice)
}
