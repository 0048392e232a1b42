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

// refuse ends the try with an error that is true as it stands.
func (t *try) refuse(e *outcome.Error) { t.w.Finish(answer.End{Error: e}) }

// refuseEarly ends the try before its key or ticket was looked up where its
// state is held.
func (t *try) refuseEarly(e *outcome.Error) { t.refuse(Refusal(t.req, e)) }

// dispatch runs the call unless that is of no use or not safe any more.
func (t *try) dispatch(ctx context.Context) {
	e := t.tooLate(ctx)
	if e == nil {
		t.run(ctx)
		return
	}
	t.ended(e.Outcome, nil, 0, e)
	t.refuse(e)
}

// tooLate returns why the call is not to be dispatched. A try that was on its
// way when its connection broke would else run after a later try of the same key
// was told "not-run". A node that was paused since its claim would run a call
// whose row has expired and was claimed by another.
func (t *try) tooLate(ctx context.Context) *outcome.Error {
	now := t.k.opt.Clock.Now()
	switch {
	case ctx.Err() != nil:
		return outcome.New(outcome.CallerGone, outcome.NotRun, "the caller left before the call was sent",
			"repeat the call with the same key or ticket")
	case t.req.Deadline != 0 && !now.Before(t.req.Deadline), now.Sub(t.began) >= t.valid:
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the deadline passed before the call was sent",
			"repeat the call with the same key or ticket and allow more time")
	}
	return nil
}

// run dispatches the call. It goes on when the caller leaves: cutting a call
// that may not be repeated would leave its outcome unknown, and the caller's
// repeat is to get its answer.
func (t *try) run(ctx context.Context) {
	ctx, cancel := t.runContext(ctx)
	defer cancel()
	rec := &recorder{
		w: t.w, ticket: t.req.Ticket, limit: t.k.opt.MaxAnswer,
		onEnd: t.ended, cancel: cancel,
	}
	// A panic below must not leave the entry "running" for ever.
	defer rec.Finish(answer.End{Error: outcome.Of(errNoReason)})
	t.next.Serve(ctx, t.req, rec)
}

func (t *try) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return t.untilDeadline(context.WithoutCancel(ctx))
}

func (t *try) untilDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.req.Deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, t.req.Deadline.Sub(t.k.opt.Clock.Now()))
}

func (t *try) ended(o outcome.Outcome, kept *keptAnswer, size int, failure *outcome.Error) {
	act := t.k.mem.end(t.id, o, kept, size, failure)
	t.k.writeNote(t.id, act)
}

// replayFrom answers a repeat from memory.
func (t *try) replayFrom(s *slot) {
	switch {
	case s.answer != nil:
		replay(t.w, s.answer, t.req.Ticket)
	case s.failure != nil:
		t.refuse(s.failure)
	default:
		t.refuse(answerGone())
	}
}

// replayRow answers a repeat from the row.
func (t *try) replayRow(a *keptAnswer) {
	if a == nil {
		t.refuse(answerGone())
		return
	}
	replay(t.w, a, t.req.Ticket)
}

// serveTicket answers a try that carries a ticket.
func (k *Keeper) serveTicket(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	t := k.newTry(req, w, next, byTicket)
	ticket, err := k.sealer.open(req.Ticket)
	switch {
	case err == ErrTicketForeign:
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
		act := Action{Verb: PassOn, Holder: ticket.Holder, Reason: "the ticket names another holder"}
		t.note(act)
		t.relay(ctx, act)
		return
	}
	t.holdTicket(ctx, ticket)
}

func (t *try) holdTicket(ctx context.Context, ticket Ticket) {
	if !t.began.Before(ticket.Expires) {
		t.refuse(t.asVouched(expiredTicket()))
		return
	}
	act, s, ok := t.k.mem.call(t.id, false, t.hash, ticket.Expires)
	if !ok {
		// The memory forgets no ticket before it expires, so one that it does
		// not know was never dispatched.
		t.refuse(tooManyKeys())
		return
	}
	t.follow(ctx, act, s)
}

// serveKey answers a try that carries a key and no ticket.
func (k *Keeper) serveKey(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	t := k.newTry(req, w, next, byKey)
	t.id = rowKey(req.Organisation, req.Key)
	expires := t.began.Add(t.valid + 2*k.opt.Skew)
	act, s, ok := k.mem.call(t.id, true, t.hash, expires)
	if !ok {
		t.refuseEarly(tooManyKeys())
		return
	}
	t.follow(ctx, act, s)
}

// follow carries out a decision on the try.
func (t *try) follow(ctx context.Context, act Action, s *slot) {
	t.note(act)
	switch act.Verb {
	case WriteClaim:
		t.k.writeClaim(t.id, t.hash, act.Version)
		t.follow(ctx, t.await(ctx, s.wake), s)
	case AwaitClaim:
		t.follow(ctx, t.await(ctx, s.wake), s)
	case Dispatch:
		t.dispatch(ctx)
	case Replay:
		t.replayFrom(s)
	case ReplayRow:
		t.replayRow(act.Answer)
	case PassOn:
		t.relay(ctx, act)
	case TellRunning:
		t.refuse(stillRunning())
	case TellReused:
		t.refuse(keyReused())
	case TellNoClaim:
		t.refuseEarly(noClaim())
	default:
		t.refuse(holderLost())
	}
}

// await waits for what becomes of the claim, within the caller's patience.
func (t *try) await(ctx context.Context, wake chan Action) Action {
	from := time.Now()
	_, span := otel.Tracer("chervilloom/once").Start(ctx, "once.claim")
	defer func() {
		t.k.meters.claimSeconds.Observe(time.Since(from).Seconds())
		span.End()
	}()
	timer := time.NewTimer(t.k.opt.ClaimWait)
	defer timer.Stop()
	ctx, cancel := t.untilDeadline(ctx)
	defer cancel()
	select {
	case act := <-wake:
		return act
	case <-timer.C:
		t.k.writer.unreachable(errSlowClaim)
	case <-ctx.Done():
	}
	return t.k.mem.leave(t.id, wake)
}
