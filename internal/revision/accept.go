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

// Accept makes document the next revision after base, puts it in force here and
// tells the peers. Errors as of Store.Accept.
func (k *Keeper) Accept(ctx context.Context, base uint64, document []byte, author string) (*Record, error) {
	return k.Propose(ctx, Proposal{Base: base, Document: document, Author: author})
}

// Propose is Accept with the hash of the base checked as well.
//
// Before it looks at the table it has heard the highest revision of the peers
// that it reaches: the table may have been put back to an older state, and a
// number given twice would leave one of two accepted revisions out of force.
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
	k.fetchHeard(ctx)
	state := k.snapshot()
	if err := k.mayBeBehind(ctx, &state, &p); err != nil {
		return nil, err
	}
	rec, err := k.store.Accept(ctx, p, state.Records())
	if err != nil {
		k.learnFrom(err)
		return nil, err
	}
	k.learn(Got{k.hold(rec)})
	return rec, nil
}

// mayBeBehind deals with a revision that was heard of and is neither held here
// nor in the table, which was put back. Its number must not be given again. For
// a while the proposal is refused, so that its holder can be reached again;
// after that the revision counts as lost and the next number is above it, or
// nothing could ever be accepted here.
func (k *Keeper) mayBeBehind(ctx context.Context, state *State, p *Proposal) error {
	if state.Seen.Compare(state.Highest()) <= 0 {
		return nil
	}
	head, err := k.store.Head(ctx)
	if err != nil {
		return platformDown(err)
	}
	if head.Stamp.Compare(state.Seen) >= 0 {
		return nil
	}
	if left := k.opts.LostAfter - time.Since(k.lastHeard()); left > 0 {
		return &Refused{
			Reason: fmt.Sprintf("revision %d was in force elsewhere, and neither a peer nor the table hands it out", state.Seen.Number),
			Remedy: fmt.Sprintf("nothing changed, try again; unless it turns up it counts as lost in %s", left.Round(time.Second)),
		}
	}
	k.opts.Log.Error("a revision that was heard of counts as lost; the next one takes a number above it", "lost", state.Seen.String())
	p.Above = state.Seen.Number
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

// learnFrom takes in the newer revision that a conflict names.
func (k *Keeper) learnFrom(err error) {
	var c *Conflict
	if errors.As(err, &c) {
		k.learn(HeadRead{c.Current})
	}
}

// RollBack accepts the document of an old revision as the next one after base.
func (k *Keeper) RollBack(ctx context.Context, base, to uint64, author string) (*Record, error) {
	old, err := k.Get(ctx, to)
	if err != nil {
		return nil, err
	}
	return k.Accept(ctx, base, old.Document, author)
}

// Get returns the revision with the given number from memory or the table.
func (k *Keeper) Get(ctx context.Context, number uint64) (*Record, error) {
	state := k.snapshot()
	for i := len(state.Memory) - 1; i >= 0; i-- {
		if state.Memory[i].Stamp.Number == number {
			return state.Memory[i].Record, nil
		}
	}
	return k.store.Get(ctx, number)
}

// History returns up to n revisions, the newest first.
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
