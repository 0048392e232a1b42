package lease

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// restoring is a table of one lease row that comes back from older copies of itself, gives
// versions out again, loses answers and carries writes out late.
type restoring struct {
	clock   *clock.Manual
	rng     *rand.Rand
	era     uint64
	ver     uint64
	row     platform.Row
	copies  []saved // of the last seconds
	late    []lateWrite
	trouble bool
	offset  time.Duration // of the table's clock; another one in each era
}

// told is the table's clock, in ms.
func (t *restoring) told() int64 { return (time.Duration(t.clock.Now()) + t.offset).Milliseconds() }

type saved struct {
	at  clock.Instant
	row platform.Row
	ver uint64
}

type lateWrite struct {
	at  clock.Instant
	txn platform.Txn
}

func (t *restoring) save() {
	now := t.clock.Now()
	t.copies = append(t.copies, saved{now, t.row, t.ver})
	for len(t.copies) > 1 && now.Sub(t.copies[1].at) > 5*time.Second {
		t.copies = t.copies[1:]
	}
}

// restore brings back a copy that is up to 5 s old.
func (t *restoring) restore() {
	i := t.rng.IntN(len(t.copies))
	t.row, t.ver = t.copies[i].row, t.copies[i].ver
	t.copies = t.copies[:i+1]
	t.era++
	t.offset = time.Duration(t.rng.IntN(20000)) * time.Millisecond
}

// apply carries a write out if its condition holds, as the store does: it knows no eras of
// checks.
func (t *restoring) apply(txn platform.Txn) bool {
	if t.row.Version != txn.Checks[0].Version {
		return false
	}
	t.save()
	t.ver++
	w := txn.Writes[0]
	t.row = platform.Row{Table: w.Table, Key: w.Key, Version: t.ver, Value: w.Value, Attempt: txn.Attempt}
	return true
}

func (t *restoring) tick() {
	due := t.late
	t.late = nil
	for _, l := range due {
		if l.at.After(t.clock.Now()) {
			t.late = append(t.late, l)
			continue
		}
		t.apply(l.txn)
	}
}

// side is what one node's client of the table knows, as the adapter keeps it.
type side struct {
	*restoring
	seen uint64 // newest era
}

func (s *side) present() platform.Row {
	s.seen = s.restoring.era
	row := s.row
	row.Era, row.Clock = s.seen, s.told()
	return row
}

func (s *side) Get(context.Context, string, string) (platform.Row, error) {
	if s.trouble && s.rng.IntN(8) == 0 {
		return platform.Row{}, platform.ErrDown
	}
	return s.present(), nil
}

func (s *side) Commit(_ context.Context, txn platform.Txn) (platform.Result, error) {
	checked := txn.Checks[0].Era
	if checked != s.seen {
		return platform.Result{}, platform.ErrRestored
	}
	fate := 100
	if s.trouble {
		fate = s.rng.IntN(100)
	}
	s.clock.Advance(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	switch {
	case fate < 5:
		return platform.Result{}, platform.ErrDown
	case fate < 12:
		at := s.clock.Now().Add(time.Duration(s.rng.IntN(5000)) * time.Millisecond)
		s.late = append(s.late, lateWrite{at, txn})
		return platform.Result{}, platform.ErrAmbiguous
	case fate < 15: // the table comes back while the write is on its way
		s.restore()
	}
	landed := s.apply(txn)
	if fate >= 15 && fate < 20 {
		return platform.Result{}, platform.ErrAmbiguous
	}
	row := s.present()
	if row.Era != checked {
		return platform.Result{}, fmt.Errorf("%w: %w", platform.ErrAmbiguous, platform.ErrRestored)
	}
	return platform.Result{Committed: landed, Clock: row.Clock, Rows: []platform.Row{row}}, nil
}

// restoreWorld is a few nodes that try to hold one duty.
type restoreWorld struct {
	*restoring
	nodes  []*Manager
	sides  []*side
	asleep []clock.Instant // until when a node is frozen
	fences map[uint64]int  // by whom each fence was acquired
	broken string
}

func newRestoreWorld(seed uint64) *restoreWorld {
	c := clock.NewManual(clock.Instant(time.Hour))
	t := &restoring{clock: c, rng: rand.New(rand.NewPCG(seed, 1)), era: 1, row: platform.Row{Table: platform.TableLeases, Key: "d"}}
	t.save()
	w := &restoreWorld{restoring: t, fences: map[uint64]int{}}
	for i := range 3 {
		w.sides = append(w.sides, &side{restoring: t})
		w.asleep = append(w.asleep, 0)
		w.nodes = append(w.nodes, nil)
		w.start(i, true)
	}
	return w
}

// start starts a node's process, anew if it ran before.
func (w *restoreWorld) start(i int, isNew bool) {
	s := &side{restoring: w.restoring}
	w.sides[i] = s
	self := fleet.Node{VM: fleet.VM(fmt.Sprint("n", i)), Incarnation: fleet.Incarnation(w.clock.Now())}
	m := &Manager{
		Duty: "d", Self: self, Params: DefaultParams(1500 * time.Millisecond), Table: s, Clock: w.clock,
		Rank: func() int { return i }, Log: slog.New(slog.DiscardHandler), Poll: 700 * time.Millisecond,
		Era: func() uint64 { return s.seen }, New: isNew,
	}
	m.Acquired = func() {
		fence := m.heldRaw().Fence
		if by, twice := w.fences[fence]; twice {
			w.fail("fence %d is given out to %d and to %d", fence, by, i)
		}
		w.fences[fence] = i
	}
	w.nodes[i] = m
}

func (w *restoreWorld) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *restoreWorld) holders() int {
	n := 0
	for _, m := range w.nodes {
		if _, held := m.Held(w.clock.Now()); held {
			n++
		}
	}
	if n > 1 {
		w.fail("%d nodes hold the duty", n)
	}
	return n
}

// run steps the nodes for d; in trouble nodes freeze and start again and the table comes
// back from copies.
func (w *restoreWorld) run(d time.Duration, trouble bool) {
	w.trouble = trouble
	next := make([]clock.Instant, len(w.nodes))
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(10 * time.Millisecond)
		w.tick()
		w.save()
		if trouble {
			w.disturb()
		}
		for i, m := range w.nodes {
			now := w.clock.Now()
			if now.Before(next[i]) || now.Before(w.asleep[i]) {
				continue
			}
			next[i] = now.Add(m.Step(context.Background()))
			w.holders()
		}
	}
}

func (w *restoreWorld) disturb() {
	switch i := w.rng.IntN(len(w.nodes)); w.rng.IntN(300) {
	case 0:
		w.restore()
	case 1:
		w.asleep[i] = w.clock.Now().Add(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
	case 2:
		w.start(i, false)
	case 3:
		w.nodes[i].release(context.Background())
	}
}

// The table comes back from older copies at any moment, also twice in a row, beside frozen
// and restarted holders, lost answers and late writes. The row says that the lease is free,
// or shows a holder of before, while the real one acts on: two nodes would give orders to
// the same engines, or under one fence. Afterwards the duty has a holder again soon.
func TestNeverTwoHoldersAcrossRestores(t *testing.T) {
	const seeds = 1000
	for seed := range uint64(seeds) {
		w := newRestoreWorld(seed)
		w.run(time.Second, false)
		for range 3 {
			w.run(6*time.Second, true)
			for i := range w.asleep {
				w.asleep[i] = 0
			}
			w.late = nil // a write that is carried out late is trouble, too
			w.restore()
			w.run(bound(w.nodes[0].Params), false)
			if w.holders() != 1 {
				w.fail("nobody holds the duty %v after a restore", bound(w.nodes[0].Params))
			}
		}
		if w.broken != "" {
			t.Fatalf("seed %d: %s", seed, w.broken)
		}
	}
}

// bound is how long a duty may be without a holder after a restore: a term, the margin, a
// step for each rank that may be away, and a look.
func bound(p Params) time.Duration {
	return p.Term + p.Margin + 2*p.Step + 700*time.Millisecond
}

// The holder lives: it puts its row back within its term, under its fence, and nobody
// else is asked.
func TestHolderPutsItsLeaseBack(t *testing.T) {
	w := newRestoreWorld(1)
	w.run(3*time.Second, false)
	before, held := w.nodes[0].Held(w.clock.Now())
	if !held {
		t.Fatal("the first node doesn't hold the duty")
	}
	w.row, w.ver = platform.Row{Table: platform.TableLeases, Key: "d"}, 0 // a copy of before the first write
	w.restoring.era++
	for range 100 {
		w.sides[0].present() // another call of its node shows the new era
		w.run(50*time.Millisecond, false)
		after, held := w.nodes[0].Held(w.clock.Now())
		if !held || after.Fence != before.Fence {
			t.Fatalf("the lease went from fence %d to %d, held %v", before.Fence, after.Fence, held)
		}
	}
	if w.row.Version == 0 {
		t.Fatal("the row was not put back")
	}
}
