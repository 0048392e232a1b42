package revision_test

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"chervilloom/internal/revision"
)

// steps are what may happen in any order.
func (w *world) steps(withRestore bool) map[string]func(*rapid.T) {
	s := map[string]func(*rapid.T){
		"accept": func(t *rapid.T) {
			n := w.drawNode()
			w.accept(n, w.drawBase(n))
		},
		"accept, answer lost": func(t *rapid.T) {
			n := w.drawNode()
			w.table.lose, w.table.downAfter = 1, rapid.IntRange(0, 8).Draw(t, "down after")
			w.accept(n, w.drawBase(n))
			w.table.lose, w.table.downAfter = 0, 0
		},
		"accept, write late": func(t *rapid.T) {
			n := w.drawNode()
			w.table.drop, w.table.downAfter = rapid.IntRange(1, 3).Draw(t, "writes"), rapid.IntRange(0, 8).Draw(t, "down after")
			w.accept(n, w.drawBase(n))
			w.table.drop, w.table.downAfter = 0, 0
		},
		"accept while another does": func(*rapid.T) {
			n, other := w.drawNode(), w.drawNode()
			w.during(n, func() { w.accept(other, w.drawBase(other)) })
			w.accept(n, w.drawBase(n))
			w.table.beforeCommit = nil
		},
		"heal while another accepts": func(*rapid.T) {
			n, other := w.drawNode(), w.drawNode()
			w.during(n, func() { w.accept(other, w.drawBase(other)) })
			w.heal(n)
			w.table.beforeCommit = nil
		},
		"heal while another heals": func(*rapid.T) {
			n, other := w.drawNode(), w.drawNode()
			w.during(n, func() { w.heal(other) })
			w.heal(n)
			w.table.beforeCommit = nil
		},
		"late writes land": func(*rapid.T) { w.table.deliver(); w.look() },
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
			n.island = rapid.IntRange(0, 1).Draw(t, "island")
			n.noTable = rapid.Bool().Draw(t, "no table")
		},
		"time passes": func(t *rapid.T) {
			w.clock = w.clock.Add(1 << rapid.IntRange(0, 33).Draw(t, "time"))
		},
		"": func(*rapid.T) { w.check() },
	}
	if withRestore {
		s["backup"] = func(*rapid.T) { w.saved = w.table.backup() }
		s["restore"] = func(*rapid.T) { w.restore() }
	}
	return s
}

// during runs step before the next transaction of n reaches the table.
func (w *world) during(n *node, step func()) {
	w.table.beforeCommit = func() {
		step()
		w.table.down = n.noTable
	}
}

// drawBase returns the revision that an author at n starts from: mostly the one
// in force there.
func (w *world) drawBase(n *node) uint64 {
	if rapid.IntRange(0, 4).Draw(w.t, "stale") == 0 {
		return uint64(rapid.IntRange(0, 8).Draw(w.t, "base"))
	}
	return n.inForce.Number
}

// check holds after every step.
func (w *world) check() {
	for _, n := range w.nodes {
		for _, h := range n.state.Memory {
			if w.refused[h.Stamp.Hash] {
				w.t.Fatalf("%s holds %s, whose author was told that it was not accepted", n.vm, h.Stamp)
			}
		}
	}
}

// end checks what holds once all nodes reach each other and the table again:
// one revision is in force everywhere, and it is the highest that the table or
// a node held.
func (w *world) end() {
	w.settle()
	w.check()
	head, err := w.nodes[0].store.Head(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	if head.Stamp != w.highest {
		w.t.Fatalf("the table ends at %s, the highest held was %s", head.Stamp, w.highest)
	}
	for _, n := range w.nodes {
		if n.inForce != w.highest {
			w.t.Fatalf("%s ends at %s, the highest held was %s", n.vm, n.inForce, w.highest)
		}
	}
	if !w.restored {
		w.chain()
	}
}

// chain checks that the accepted revisions form one line: each number once,
// each based on the one below. A table that lost nothing gives no room for more.
func (w *world) chain() {
	ctx := context.Background()
	at := map[uint64]revision.Stamp{}
	var below *revision.Record
	for number := uint64(1); number <= w.highest.Number; number++ {
		rec, err := w.nodes[0].store.Get(ctx, number)
		if err != nil {
			w.t.Fatalf("revision %d is missing: %v", number, err)
		}
		if w.refused[rec.Stamp.Hash] {
			w.t.Fatalf("revision %s was told as not accepted", rec.Stamp)
		}
		if rec.Base != number-1 || (below != nil && rec.BaseHash != below.Stamp.Hash) {
			w.t.Fatalf("revision %s is based on %d", rec.Stamp, rec.Base)
		}
		at[number], below = rec.Stamp, rec
	}
	for _, rec := range w.accepted {
		if at[rec.Stamp.Number] != rec.Stamp {
			w.t.Fatalf("revision %s was told as accepted and %s has its number", rec.Stamp, at[rec.Stamp.Number])
		}
	}
	for _, n := range w.nodes {
		if n.reported > 0 {
			w.t.Fatalf("%s reported a clash, and there was none", n.vm)
		}
	}
}

// Operators accept at any node, while answers are lost, writes land late, nodes
// restart and are cut off. Nobody sees a revision taken back in any life of a
// node; who was told "accepted" finds the revision in the line, who was told
// "not accepted" never does; and at the end all nodes agree with the table.
func TestAcceptedRevisionsFormOneLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		t.Repeat(w.steps(false))
		w.end()
	})
}

// The same, and the table is put back to older states. What any node still
// holds comes back into the table and is in force everywhere at the end.
func TestARestoredTableLosesNothingThatANodeHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		t.Repeat(w.steps(true))
		w.end()
	})
}
