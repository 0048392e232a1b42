package revision

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
)

const tracerName = "chervilloom/revision"

// Accept makes document the next revision after base, puts it in force on this
// node and announces it to the peers. Errors are those of Store.Accept.
func (k *Keeper) Accept(ctx context.Context, base uint64, document []byte, author string) (*Record, error) {
	return k.Propose(ctx, Proposal{Base: base, Document: document, Author: author})
}

// Propose is Accept with an optional check of the base's hash.
//
// It asks the reachable peers for their highest revision before it reads the
// table. The table may have been restored to an older state, and a number
// assigned twice would leave one of two accepted revisions out of force.
func (k *Keeper) Propose(ctx context.Context, p Proposal) (*Record, error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "revision.accept")
	defer span.End()
	span.SetAttributes(attribute.Int64("base", int64(p.Base)), attribute.String("author", p.Author))
	rec, err := k.propose(ctx, p)
	k.metrics.accepts.WithLabelValues(resultOf(err)).Inc()
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, err
	}
	span.SetAttributes(attribute.Int64("revision", int64(rec.Stamp.Number)))
	return rec, nil
}

func (k *Keeper) propose(ctx context.Context, p Proposal) (*Record, error) {
	if err := k.awaitJoin(ctx); err != nil {
		return nil, err
	}
	k.askPeers(ctx)
	k.fetchPending(ctx)
	state := k.snapshot()
	if err := k.checkUnavailable(ctx, &state, &p); err != nil {
		return nil, err
	}
	rec, err := k.store.Accept(ctx, p, state.Records())
	if err != nil {
		k.applyConflict(err)
		return nil, err
	}
	k.applyEvent(RevisionReceived{k.parseRecord(rec)})
	return rec, nil
}

// checkUnavailable handles a revision that was announced but is neither in
// memory nor in the table, which was restored to an older state. Its number
// must not be reused. Until LostAfter has passed the proposal is refused,
// because a node that has the revision may become reachable again. After that
// the revision counts as lost and the next number is above it; otherwise no
// revision could be accepted here any more.
func (k *Keeper) checkUnavailable(ctx context.Context, state *State, p *Proposal) error {
	if state.HighestSeen.Compare(state.Highest()) <= 0 {
		return nil
	}
	head, err := k.store.Head(ctx)
	if err != nil {
		return platformDownError(err)
	}
	if head.Stamp.Compare(state.HighestSeen) >= 0 {
		return nil
	}
	if left := k.opts.LostAfter - time.Since(k.lastHeardTime()); left > 0 {
		return &Refused{
			Reason: fmt.Sprintf("revision %d was in force elsewhere, and neither a peer nor the table hands it out", state.HighestSeen.Number),
			Remedy: fmt.Sprintf("nothing changed, try again; unless it turns up it counts as lost in %s", left.Round(time.Second)),
		}
	}
	k.opts.Log.Error("announced revision is lost; the next revision gets a higher number", "lost", state.HighestSeen.String())
	p.ReservedNumber = state.HighestSeen.Number
	return nil
}

func (k *Keeper) awaitJoin(ctx context.Context) error {
	select {
	case <-k.joined:
		return nil
	case <-ctx.Done():
		return &Refused{Reason: "the node has not heard from its peers yet", Remedy: "nothing changed, try again in a few seconds", Cause: ctx.Err()}
	}
}

// applyConflict applies the newer revision named by a conflict to the state.
func (k *Keeper) applyConflict(err error) {
	var c *Conflict
	if errors.As(err, &c) {
		k.applyEvent(HeadRead{c.Current})
	}
}

// RollBack accepts the document of revision to as the next revision after base.
func (k *Keeper) RollBack(ctx context.Context, base, to uint64, author string) (*Record, error) {
	old, err := k.Get(ctx, to)
	if err != nil {
		return nil, err
	}
	return k.Accept(ctx, base, old.Document, author)
}

// Get returns the revision with the given number from memory or the table, or
// ErrNoRevision.
func (k *Keeper) Get(ctx context.Context, number uint64) (*Record, error) {
	state := k.snapshot()
	for i := len(state.Memory) - 1; i >= 0; i-- {
		if state.Memory[i].Stamp.Number == number {
			return state.Memory[i].Record, nil
		}
	}
	return k.store.Get(ctx, number)
}

// History returns up to n revisions, newest first.
func (k *Keeper) History(ctx context.Context, n int) ([]*Record, error) {
	return k.store.History(ctx, n)
}

func resultOf(err error) string {
	var conflict *Conflict
	var ambiguous *Ambiguous
	var refused *Refused
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &ambiguous):
		return "ambiguous"
	case errors.As(err, &refused):
		return "refused"
	}
	return "invalid"
}
