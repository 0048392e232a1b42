package revision_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"chervilloom/internal/config"
	"chervilloom/internal/revision"
)

// proposalInput is the input of one acceptance: a document with this hash is to
// follow base.
type proposalInput struct{ base, hash uint64 }

// proposalOutput is the result that the author received.
type proposalOutput struct {
	verdict string
	stamp   revision.Stamp // stamp of the accepted revision or, after a conflict, of the current one
}

// registerModel is the sequential specification of a store: a register with the
// number and hash of the newest revision, changed by compare-and-set on the
// base.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{revision.Stamp{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(revision.Stamp), input.(proposalInput), output.(proposalOutput)
		s.Time = 0
		next := revision.Stamp{Number: in.base + 1, Hash: in.hash}
		matches := s.Number == in.base
		switch out.verdict {
		case "accepted":
			if matches && out.stamp == next {
				return []any{next}
			}
		case "conflict":
			if !matches && out.stamp == s {
				return []any{s}
			}
		case "refused":
			return []any{s}
		case "ambiguous":
			if matches {
				return []any{s, next}
			}
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

func outputOf(rec *revision.Record, err error) proposalOutput {
	var c *revision.Conflict
	var r *revision.Refused
	var a *revision.Ambiguous
	switch {
	case err == nil:
		return proposalOutput{"accepted", revision.Stamp{Number: rec.Stamp.Number, Hash: rec.Stamp.Hash}}
	case errors.As(err, &c):
		return proposalOutput{"conflict", revision.Stamp{Number: c.Current.Number, Hash: c.Current.Hash}}
	case errors.As(err, &r):
		return proposalOutput{verdict: "refused"}
	case errors.As(err, &a):
		return proposalOutput{verdict: "ambiguous"}
	}
	return proposalOutput{verdict: fmt.Sprintf("unexpected: %v", err)}
}

// author proposes a sequence of documents, each based on the last revision that
// it received in an answer.
type author struct {
	id           int
	store        *revision.Store
	table        *table
	rand         *rand.Rand
	logicalClock *atomic.Int64
}

func (a *author) run(rounds int) []porcupine.Operation {
	var out []porcupine.Operation
	var base uint64
	for i := range rounds {
		a.injectFaults()
		doc := fmt.Appendf(document(1), "# %d %d\n", a.id, i)
		in := proposalInput{base: base, hash: config.Hash(doc)}
		op := porcupine.Operation{ClientId: a.id, Input: in, Call: a.logicalClock.Add(1)}
		got := outputOf(a.store.Accept(context.Background(), revision.Proposal{Base: base, Document: doc, Author: "asha"}, nil))
		op.Output, op.Return = got, a.logicalClock.Add(1)
		switch got.verdict {
		case "ambiguous":
			op.Return = math.MaxInt64 // the write may still take effect
		case "accepted", "conflict":
			base = got.stamp.Number
		}
		out = append(out, op)
	}
	return out
}

// injectFaults makes some of the next requests of any author fail.
func (a *author) injectFaults() {
	a.table.update(func() {
		switch a.rand.IntN(6) {
		case 0:
			a.table.loseAnswers++
		case 1:
			a.table.delayWrites++
		case 2:
			a.table.downAfter = 1 + a.rand.IntN(6)
		case 3:
			a.table.down, a.table.downAfter = false, 0
		}
	})
	if a.rand.IntN(3) == 0 {
		a.table.deliver()
	}
}

// Tests that concurrent acceptances are linearizable: whatever the authors are
// answered fits one order of compare-and-set operations on one register, while
// answers are lost, writes take effect late and the table goes down and comes
// back.
func TestAcceptIsLinearizable(t *testing.T) {
	const histories, authors, rounds = 60, 4, 12
	for seed := range uint64(histories) {
		tab := newTable()
		var tick atomic.Int64
		var wg sync.WaitGroup
		parts := make([][]porcupine.Operation, authors)
		for id := range authors {
			store := revision.NewStore(tab, nil)
			store.DisableReadBackRetry()
			a := &author{id: id, store: store, table: tab, logicalClock: &tick, rand: rand.New(rand.NewPCG(seed, uint64(id)))}
			wg.Go(func() { parts[id] = a.run(rounds) })
		}
		wg.Wait()
		var history []porcupine.Operation
		for _, p := range parts {
			history = append(history, p...)
		}
		if !porcupine.CheckOperations(registerModel.ToModel(), history) {
			t.Fatalf("seed %d: history is not linearizable: %v", seed, history)
		}
	}
}
