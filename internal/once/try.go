package once

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// refuse finishes the try with the error, whose outcome is right for the call.
func (t *try) refuse(e *outcome.Error) { t.w.Finish(answer.End{Error: e}) }

// refuseBeforeLookup finishes the try with an error that occurred before its key or
// ticket was looked up at the holder.
func (t *try) refuseBeforeLookup(e *outcome.Error) { t.refuse(Refusal(t.req, e)) }

// dispatch runs the call, unless dispatchError returns an error.
func (t *try) dispatch(ctx context.Context) {
	e := t.dispatchError(ctx)
	if e == nil {
		t.run(ctx)
		return
	}
	t.recordEnd(e.Outcome, nil, 0, e)
	t.refuse(e)
}

// dispatchError returns an error if the call must not be dispatched any more. If the
// caller has disconnected, a later try of the same key may already have been
// answered "not-run". If this node was paused after its claim, the row may have
// expired and been claimed by another node.
func (t *try) dispatchError(ctx context.Context) *outcome.Error {
	now := t.k.opt.Clock.Now()
	switch {
	case ctx.Err() != nil:
		return outcome.New(outcome.CallerGone, outcome.NotRun, "the caller left before the call was sent",
			"repeat the call with the same key or ticket")
	case t.req.Deadline != 0 && !now.Before(t.req.Deadline), now.Sub(t.startedAt) >= t.claimValidity:
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the deadline passed before the call was sent",
			"repeat the call with the same key or ticket and allow more time")
	}
	return nil
}

// run dispatches the call. The call continues if the caller disconnects:
// cancelling a non-repeatable call would leave its outcome unknown, and the
// caller's repeat should get the answer.
func (t *try) run(ctx context.Context) {
	ctx, cancel := t.runContext(ctx)
	defer cancel()
	rec := &recorder{
		w: t.w, ticket: t.req.Ticket, limit: t.k.opt.MaxAnswerBytes,
		onEnd: t.recordEnd, cancel: cancel,
	}
	// A panic in the next handler must not leave the entry in Running forever.
	defer rec.Finish(answer.End{Error: outcome.FromError(errNoReason)})
	t.next.Serve(ctx, t.req, rec)
}

func (t *try) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return t.withDeadline(context.WithoutCancel(ctx))
}

func (t *try) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.req.Deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, t.req.Deadline.Sub(t.k.opt.Clock.Now()))
}

func (t *try) recordEnd(o outcome.Outcome, kept *keptAnswer, size int, failure *outcome.Error) {
	act := t.k.mem.endDispatch(t.id, o, kept, size, failure)
	t.k.writeNote(t.id, act)
}

// replayFromMemory answers a repeat from memory.
func (t *try) replayFromMemory(s *memoryEntry) {
	switch {
	case s.answer != nil:
		replay(t.w, s.answer, t.req.Ticket)
	case s.failure != nil:
		t.refuse(s.failure)
	default:
		t.refuse(answerNotStored())
	}
}

// replayFromRow answers a repeat with the answer in the row.
func (t *try) replayFromRow(kept *keptAnswer) {
	if kept == nil {
		t.refuse(answerNotStored())
		return
	}
	replay(t.w, kept, t.req.Ticket)
}

// serveTicket handles a try with a ticket.
func (k *Keeper) serveTicket(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	t := k.newTry(req, w, next, mechanismTicket)
	ticket, err := k.ticketCodec.decode(req.Ticket)
	switch {
	case err == ErrTicketOtherSecret:
		t.refuse(foreignTicket(err))
		return
	case err != nil:
		t.refuse(badTicket(err))
		return
	case ticket.Organisation != req.Organisation:
		t.refuse(otherOrganisation())
		return
	}
	t.id = ticketID(ticket)
	if ticket.Holder != k.opt.Self {
		act := Action{Verb: Forward, Holder: ticket.Holder, Reason: "the ticket names another holder"}
		t.recordDecision(act)
		t.forward(ctx, act)
		return
	}
	t.serveHeldTicket(ctx, ticket)
}

func (t *try) serveHeldTicket(ctx context.Context, ticket Ticket) {
	if !t.startedAt.Before(ticket.Expires) {
		t.refuse(t.notRunIfFirst(expiredTicket()))
		return
	}
	act, s, ok := t.k.mem.beginCall(t.id, false, t.hash, ticket.Expires)
	if !ok {
		// The memory evicts no ticket before it expires, so a ticket without an
		// entry was never dispatched.
		t.refuse(tooManyKeys())
		return
	}
	t.execute(ctx, act, s)
}

// serveKey handles a try with a key and without a ticket.
func (k *Keeper) serveKey(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	t := k.newTry(req, w, next, mechanismKey)
	t.id = rowKey(req.Organisation, req.Key)
	expires := t.startedAt.Add(t.claimValidity + 2*k.opt.MaxClockSkew)
	act, s, ok := k.mem.beginCall(t.id, true, t.hash, expires)
	if !ok {
		t.refuseBeforeLookup(tooManyKeys())
		return
	}
	t.execute(ctx, act, s)
}

// execute executes a decision for the try.
func (t *try) execute(ctx context.Context, act Action, s *memoryEntry) {
	t.recordDecision(act)
	switch act.Verb {
	case WriteClaim:
		t.k.writeClaim(t.id, t.hash, act.Version)
		t.execute(ctx, t.awaitClaim(ctx, s.decided), s)
	case AwaitClaim:
		t.execute(ctx, t.awaitClaim(ctx, s.decided), s)
	case Dispatch:
		t.dispatch(ctx)
	case Replay:
		t.replayFromMemory(s)
	case ReplayRow:
		t.replayFromRow(act.Answer)
	case Forward:
		t.forward(ctx, act)
	case RefuseRunning:
		t.refuse(stillRunning())
	case RefuseKeyReused:
		t.refuse(keyReused())
	case RefuseNoClaim:
		t.refuseBeforeLookup(noClaim())
	default:
		t.refuse(holderLost())
	}
}

// awaitClaim waits for the decision on the claim, until the claim timeout, the
// deadline of the request or the end of ctx.
func (t *try) awaitClaim(ctx context.Context, decided chan Action) Action {
	start := time.Now()
	_, span := otel.Tracer("chervilloom/once").Start(ctx, "once.claim")
	defer func() {
		t.k.metrics.claimSeconds.Observe(time.Since(start).Seconds())
		span.End()
	}()
	timer := time.NewTimer(t.k.opt.ClaimTimeout)
	defer timer.Stop()
	ctx, cancel := t.withDeadline(ctx)
	defer cancel()
	select {
	case act := <-decided:
		return act
	case <-timer.C:
		t.k.writer.markUnavailable(errClaimTimeout)
	case <-ctx.Done():
	}
	return t.k.mem.cancelWait(t.id, decided)
}
