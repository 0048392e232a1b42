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

// proposed is the input of one acceptance: "make hash the revision after base".
type proposed struct{ base, hash uint64 }

// answered is what the author was told.
type answered struct {
	verdict string
	stamp   revision.Stamp // of the accepted or, after a conflict, of the current revision
}

// register is the sequential meaning of a store: the number and hash of the
// newest revision, changed by compare and set on the base.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{revision.Stamp{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(revision.Stamp), input.(proposed), output.(answered)
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

func answer(rec *revision.Record, err error) answered {
	var c *revision.Conflict
	var r *revision.Refused
	var a *revision.Ambiguous
	switch {
	case err == nil:
		return answered{"accepted", revision.Stamp{Number: rec.Stamp.Number, Hash: rec.Stamp.Hash}}
	case errors.As(err, &c):
		return answered{"conflict", revision.Stamp{Number: c.Current.Number, Hash: c.Current.Hash}}
	case errors.As(err, &r):
		return answered{verdict: "refused"}
	case errors.As(err, &a):
		return answered{verdict: "ambiguous"}
	}
	return answered{verdict: fmt.Sprintf("unexpected: %v", err)}
}

// author proposes documents one after another, each from the revision that it
// was last told of.
type author struct {
	id    int
	store *revision.Store
	table *table
	rand  *rand.Rand
	tick  *atomic.Int64
}

func (a *author) run(rounds int) []porcupine.Operation {
	var out []porcupine.Operation
	var base uint64
	for i := range rounds {
		a.fault()
		doc := fmt.Appendf(document(1), "# %d %d\n", a.id, i)
		in := proposed{base: base, hash: config.Hash(doc)}
		op := porcupine.Operation{ClientId: a.id, Input: in, Call: a.tick.Add(1)}
		got := answer(a.store.Accept(context.Background(), revision.Proposal{Base: base, Document: doc, Author: "asha"}, nil))
		op.Output, op.Return = got, a.tick.Add(1)
		switch got.verdict {
		case "ambiguous":
			op.Return = math.MaxInt64 // may still land
		case "accepted", "conflict":
			base = got.stamp.Number
		}
		out = append(out, op)
	}
	return out
}

// fault makes some of the next requests of any author fail.
func (a *author) fault() {
	a.table.set(func() {
		switch a.rand.IntN(6) {
		case 0:
			a.table.lose++
		case 1:
			a.table.drop++
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

// Authors propose at the same time, answers are lost, writes land late and the
// table goes down and comes back. Whatever they are told must fit one order of
// compare-and-set operations on one register.
func TestAcceptIsLinearizable(t *testing.T) {
	const histories, authors, rounds = 60, 4, 12
	for seed := range uint64(histories) {
		tab := newTable()
		var tick atomic.Int64
		var wg sync.WaitGroup
		parts := make([][]porcupine.Operation, authors)
		for id := range authors {
			store := revision.NewStore(tab, nil)
			store.GiveUpAtOnce()
			a := &author{id: id, store: store, table: tab, tick: &tick, rand: rand.New(rand.NewPCG(seed, uint64(id)))}
			wg.Go(func() { parts[id] = a.run(rounds) })
		}
		wg.Wait()
		var history []porcupine.Operation
		for _, p := range parts {
			history = append(history, p...)
		}
		if !porcupine.CheckOperations(register.ToModel(), history) {
			t.Fatalf("seed %d: no order explains what the authors were told: %v", seed, history)
		}
	}
}
