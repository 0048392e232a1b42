package revision_test

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"chervilloom/internal/revision"
)

// actions returns the state machine's actions, which rapid runs in any order.
func (w *world) actions(withRestore bool) map[string]func(*rapid.T) {
	s := map[string]func(*rapid.T){
		"accept": func(t *rapid.T) {
			n := w.drawNode()
			w.accept(n, w.drawBase(n))
		},
		"accept, answer lost": func(t *rapid.T) {
			n := w.drawNode()
			w.table.loseAnswers, w.table.downAfter = 1, rapid.IntRange(0, 8).Draw(t, "down after")
			w.accept(n, w.drawBase(n))
			w.table.loseAnswers, w.table.downAfter = 0, 0
		},
		"accept, write late": func(t *rapid.T) {
			n := w.drawNode()
			w.table.delayWrites, w.table.downAfter = rapid.IntRange(1, 3).Draw(t, "writes"), rapid.IntRange(0, 8).Draw(t, "down after")
			w.accept(n, w.drawBase(n))
			w.table.delayWrites, w.table.downAfter = 0, 0
		},
		"accept during another accept": func(*rapid.T) {
			n, other := w.drawNode(), w.drawNode()
			w.beforeNextCommit(n, func() { w.accept(other, w.drawBase(other)) })
			w.accept(n, w.drawBase(n))
			w.table.beforeCommit = nil
		},
		"heal during an accept": func(*rapid.T) {
			n, other := w.drawNode(), w.drawNode()
			w.beforeNextCommit(n, func() { w.accept(other, w.drawBase(other)) })
			w.heal(n)
			w.table.beforeCommit = nil
		},
		"heal during another heal": func(*rapid.T) {
			n, other := w.drawNode(), w.drawNode()
			w.beforeNextCommit(n, func() { w.heal(other) })
			w.heal(n)
			w.table.beforeCommit = nil
		},
		"late writes land": func(*rapid.T) { w.table.deliver(); w.observeTable() },
		"task": func(t *rapid.T) {
			if len(w.tasks) > 0 {
				w.runTask(rapid.IntRange(0, len(w.tasks)-1).Draw(t, "task"))
			}
		},
		"message lost": func(t *rapid.T) {
			if len(w.tasks) > 0 {
				i := rapid.IntRange(0, len(w.tasks)-1).Draw(t, "task")
				w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			}
		},
		"poll":    func(*rapid.T) { w.poll(w.drawNode()) },
		"digest":  func(*rapid.T) { w.broadcast(w.drawNode()) },
		"join":    func(*rapid.T) { w.join(w.drawNode()) },
		"restart": func(*rapid.T) { w.restart(w.drawNode()) },
		"partition": func(t *rapid.T) {
			n := w.drawNode()
			n.partition = rapid.IntRange(0, 1).Draw(t, "island")
			n.isTableUnreachable = rapid.Bool().Draw(t, "no table")
		},
		"time passes": func(t *rapid.T) {
			w.clock = w.clock.Add(1 << rapid.IntRange(0, 33).Draw(t, "time"))
		},
		"": func(*rapid.T) { w.checkInvariants() },
	}
	if withRestore {
		s["backup"] = func(*rapid.T) { w.backup = w.table.backup() }
		s["restore"] = func(*rapid.T) { w.restoreTable() }
	}
	return s
}

// beforeNextCommit runs step before the next transaction of n reaches the
// table.
func (w *world) beforeNextCommit(n *node, step func()) {
	w.table.beforeCommit = func() {
		step()
		w.table.down = n.isTableUnreachable
	}
}

// drawBase returns the base of a proposal at n: usually the revision in force
// there.
func (w *world) drawBase(n *node) uint64 {
	if rapid.IntRange(0, 4).Draw(w.t, "stale") == 0 {
		return uint64(rapid.IntRange(0, 8).Draw(w.t, "base"))
	}
	return n.inForce.Number
}

// checkInvariants checks what must be true after every step.
func (w *world) checkInvariants() {
	for _, n := range w.nodes {
		for _, h := range n.state.Memory {
			if w.refused[h.Stamp.Hash] {
				w.t.Fatalf("%s has revision %s in memory, which was reported as not accepted", n.vm, h.Stamp)
			}
		}
	}
}

// checkConvergence checks that, once all nodes reach each other and the table
// again, one revision is in force everywhere, and it is the highest that the
// table or a node had.
func (w *world) checkConvergence() {
	w.converge()
	w.checkInvariants()
	head, err := w.nodes[0].store.Head(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	if head.Stamp != w.highest {
		w.t.Fatalf("final head of the table is %s, highest revision is %s", head.Stamp, w.highest)
	}
	for _, n := range w.nodes {
		if n.inForce != w.highest {
			w.t.Fatalf("%s has %s in force, highest revision is %s", n.vm, n.inForce, w.highest)
		}
	}
	if !w.restored {
		w.checkChain()
	}
}

// checkChain checks that the accepted revisions form one chain: each number
// once, each based on the previous one. Clashes are possible only after the
// table lost revisions.
func (w *world) checkChain() {
	ctx := context.Background()
	at := map[uint64]revision.Stamp{}
	var below *revision.Record
	for number := uint64(1); number <= w.highest.Number; number++ {
		rec, err := w.nodes[0].store.Get(ctx, number)
		if err != nil {
			w.t.Fatalf("revision %d is missing: %v", number, err)
		}
		if w.refused[rec.Stamp.Hash] {
			w.t.Fatalf("revision %s was reported as not accepted", rec.Stamp)
		}
		if rec.Base != number-1 || (below != nil && rec.BaseHash != below.Stamp.Hash) {
			w.t.Fatalf("revision %s is based on %d", rec.Stamp, rec.Base)
		}
		at[number], below = rec.Stamp, rec
	}
	for _, rec := range w.accepted {
		if at[rec.Stamp.Number] != rec.Stamp {
			w.t.Fatalf("revision %s was reported as accepted but %s has its number", rec.Stamp, at[rec.Stamp.Number])
		}
	}
	for _, n := range w.nodes {
		if n.reportedClashes > 0 {
			w.t.Fatalf("%s reported a clash, want none", n.vm)
		}
	}
}

// Tests accepting at any node while answers are lost, writes take effect late,
// nodes restart and are cut off. No node reverts a revision between restarts; a
// revision reported as accepted is in the chain, one reported as not accepted
// never is; and at the end all nodes agree with the table.
func TestAcceptedRevisionsFormOneChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		t.Repeat(w.actions(false))
		w.checkConvergence()
	})
}

// Tests the same while the table is restored to older states. Every revision
// that a node still has in memory is written back into the table, and the
// highest is in force everywhere at the end.
func TestRestoredTableRecoversRevisionsInMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		t.Repeat(w.actions(true))
		w.checkConvergence()
	})
}
