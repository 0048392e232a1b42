package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chervilloom/internal/operator"
	"chervilloom/internal/revision"
	"chervilloom/internal/yamlcheck"
)

// historyLength is the number of revisions that History returns.
const historyLength = 50

// Config returns the configuration in force on this node.
func (n *Node) Config() operator.ConfigView {
	number, _, hash := n.config.Current()
	v := operator.ConfigView{Revision: number, Hash: fmt.Sprintf("%016x", hash)}
	if number == 0 {
		return v
	}
	// The revision in force is in memory; Get does not call the platform.
	if rec, err := n.config.Get(context.Background(), number); err == nil {
		v.Document = string(rec.Document)
	}
	return v
}

// Apply tries to accept a document as the revision after req.Base.
func (n *Node) Apply(ctx context.Context, req operator.ApplyRequest, author string) operator.ApplyResult {
	rec, err := n.config.Accept(ctx, req.Base, []byte(req.Document), author)
	return applyResult(rec, err)
}

// ConfigAt returns the revision with the given number from memory or the table.
func (n *Node) ConfigAt(ctx context.Context, number uint64) (operator.ConfigView, error) {
	rec, err := n.config.Get(ctx, number)
	if err != nil {
		return operator.ConfigView{}, err
	}
	return operator.ConfigView{
		Revision: number, Hash: fmt.Sprintf("%016x", rec.Stamp.Hash), Document: string(rec.Document),
	}, nil
}

// RollBack tries to accept the document of revision to as the revision after
// base.
func (n *Node) RollBack(ctx context.Context, base, to uint64, author string) operator.ApplyResult {
	rec, err := n.config.RollBack(ctx, base, to, author)
	return applyResult(rec, err)
}

func applyResult(rec *revision.Record, err error) operator.ApplyResult {
	var problems yamlcheck.Problems
	var conflict *revision.Conflict
	var ambiguous *revision.Ambiguous
	switch {
	case err == nil:
		return operator.ApplyResult{State: operator.ApplyAccepted, Revision: rec.Stamp.Number}
	case errors.As(err, &problems):
		r := operator.ApplyResult{State: operator.ApplyInvalid, Message: "the document is not valid; nothing changed"}
		for _, p := range problems {
			r.Problems = append(r.Problems, p.Error())
		}
		return r
	case errors.As(err, &conflict):
		r := operator.ApplyResult{State: operator.ApplyConflict, Revision: conflict.Current.Number, Message: conflict.Error()}
		for _, c := range conflict.Changes {
			r.Changes = append(r.Changes, c.String())
		}
		return r
	case errors.As(err, &ambiguous):
		return operator.ApplyResult{
			State: operator.ApplyUnknown, Revision: ambiguous.Stamp.Number,
			Attempt: ambiguous.Attempt, Message: ambiguous.Error(),
		}
	}
	return operator.ApplyResult{State: operator.ApplyRefused, Message: err.Error()}
}

// History returns the newest revisions, newest first.
func (n *Node) History(ctx context.Context) ([]operator.Revision, error) {
	records, err := n.config.History(ctx, historyLength)
	if err != nil {
		return nil, err
	}
	var out []operator.Revision
	for _, r := range records {
		out = append(out, operator.Revision{
			Number: r.Stamp.Number, Author: r.Author, Time: time.UnixMilli(r.Stamp.Time).UTC(),
			Hash: fmt.Sprintf("%016x", r.Stamp.Hash), Attempt: r.Attempt,
		})
	}
	return out, nil
}
