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

// restoringTable is a table with one lease row that is restored from older copies, reissues
// versions, loses answers and applies writes late.
type restoringTable struct {
	clock      *clock.Manual
	rng        *rand.Rand
	era        uint64
	version    uint64
	row        platform.Row
	copies     []savedCopy // copies of the last 5 s
	lateWrites []lateWrite
	faulty     bool
	offset     time.Duration // of the table's clock; changes with each era
}

// clockMillis returns the table's clock, in ms.
func (t *restoringTable) clockMillis() int64 {
	return (time.Duration(t.clock.Now()) + t.offset).Milliseconds()
}

type savedCopy struct {
	at      clock.Instant
	row     platform.Row
	version uint64
}

type lateWrite struct {
	at  clock.Instant
	txn platform.Txn
}

func (t *restoringTable) save() {
	now := t.clock.Now()
	t.copies = append(t.copies, savedCopy{now, t.row, t.version})
	for len(t.copies) > 1 && now.Sub(t.copies[1].at) > 5*time.Second {
		t.copies = t.copies[1:]
	}
}

// restore restores a copy that is up to 5 s old.
func (t *restoringTable) restore() {
	i := t.rng.IntN(len(t.copies))
	t.row, t.version = t.copies[i].row, t.copies[i].version
	t.copies = t.copies[:i+1]
	t.era++
	t.offset = time.Duration(t.rng.IntN(20000)) * time.Millisecond
}

// apply applies a write if its condition holds. Like the store it does not check eras.
func (t *restoringTable) apply(txn platform.Txn) bool {
	if t.row.Version != txn.Checks[0].Version {
		return false
	}
	t.save()
	t.version++
	w := txn.Writes[0]
	t.row = platform.Row{Table: w.Table, Key: w.Key, Version: t.version, Value: w.Value, Attempt: txn.Attempt}
	return true
}

func (t *restoringTable) applyLateWrites() {
	due := t.lateWrites
	t.lateWrites = nil
	for _, l := range due {
		if l.at.After(t.clock.Now()) {
			t.lateWrites = append(t.lateWrites, l)
			continue
		}
		t.apply(l.txn)
	}
}

// tableClient is one node's client of the table, with the state that the platform adapter
// keeps.
type tableClient struct {
	*restoringTable
	newestEra uint64 // newest era that an answer to this node has shown
}

func (s *tableClient) currentRow() platform.Row {
	s.newestEra = s.restoringTable.era
	row := s.row
	row.Era, row.ClockMs = s.newestEra, s.clockMillis()
	return row
}

func (s *tableClient) Get(context.Context, string, string) (platform.Row, error) {
	if s.faulty && s.rng.IntN(8) == 0 {
		return platform.Row{}, platform.ErrUnavailable
	}
	return s.currentRow(), nil
}

func (s *tableClient) Commit(_ context.Context, txn platform.Txn) (platform.Result, error) {
	checked := txn.Checks[0].Era
	if checked != s.newestEra {
		return platform.Result{}, platform.ErrRestored
	}
	fate := 100
	if s.faulty {
		fate = s.rng.IntN(100)
	}
	s.clock.Advance(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	switch {
	case fate < 5:
		return platform.Result{}, platform.ErrUnavailable
	case fate < 12:
		at := s.clock.Now().Add(time.Duration(s.rng.IntN(5000)) * time.Millisecond)
		s.lateWrites = append(s.lateWrites, lateWrite{at, txn})
		return platform.Result{}, platform.ErrAmbiguous
	case fate < 15: // the table is restored while the write is in flight
		s.restore()
	}
	landed := s.apply(txn)
	if fate >= 15 && fate < 20 {
		return platform.Result{}, platform.ErrAmbiguous
	}
	row := s.currentRow()
	if row.Era != checked {
		return platform.Result{}, fmt.Errorf("%w: %w", platform.ErrAmbiguous, platform.ErrRestored)
	}
	return platform.Result{Committed: landed, ClockMs: row.ClockMs, Rows: []platform.Row{row}}, nil
}

// restoreSim simulates a few nodes that compete for one duty.
type restoreSim struct {
	*restoringTable
	nodes          []*Manager
	clients        []*tableClient
	suspendedUntil []clock.Instant // end of each node's suspension
	fenceOwners    map[uint64]int  // acquiring node by fence
	failure        string
}

func newRestoreSim(seed uint64) *restoreSim {
	c := clock.NewManual(clock.Instant(time.Hour))
	t := &restoringTable{clock: c, rng: rand.New(rand.NewPCG(seed, 1)), era: 1, row: platform.Row{Table: platform.TableLeases, Key: "d"}}
	t.save()
	w := &restoreSim{restoringTable: t, fenceOwners: map[uint64]int{}}
	for i := range 3 {
		w.clients = append(w.clients, &tableClient{restoringTable: t})
		w.suspendedUntil = append(w.suspendedUntil, 0)
		w.nodes = append(w.nodes, nil)
		w.start(i, true)
	}
	return w
}

// start starts or restarts a node's process.
func (w *restoreSim) start(i int, isNew bool) {
	s := &tableClient{restoringTable: w.restoringTable}
	w.clients[i] = s
	self := fleet.Node{VM: fleet.VM(fmt.Sprint("n", i)), Incarnation: fleet.Incarnation(w.clock.Now())}
	m := &Manager{
		Duty: "d", Self: self, Params: DefaultParams(1500 * time.Millisecond), Table: s, Clock: w.clock,
		Rank: func() int { return i }, Log: slog.New(slog.DiscardHandler), PollInterval: 700 * time.Millisecond,
		Era: func() uint64 { return s.newestEra }, TableIsNew: isNew,
	}
	m.Acquired = func() {
		fence := m.grant().Fence
		if by, twice := w.fenceOwners[fence]; twice {
			w.fail("fence %d is given out to %d and to %d", fence, by, i)
		}
		w.fenceOwners[fence] = i
	}
	w.nodes[i] = m
}

func (w *restoreSim) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *restoreSim) countHolders() int {
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

// run steps the nodes for d. If faulty is set, nodes are suspended and restarted and the table
// is restored from copies.
func (w *restoreSim) run(d time.Duration, faulty bool) {
	w.faulty = faulty
	next := make([]clock.Instant, len(w.nodes))
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(10 * time.Millisecond)
		w.applyLateWrites()
		w.save()
		if faulty {
			w.injectFault()
		}
		for i, m := range w.nodes {
			now := w.clock.Now()
			if now.Before(next[i]) || now.Before(w.suspendedUntil[i]) {
				continue
			}
			next[i] = now.Add(m.Step(context.Background()))
			w.countHolders()
		}
	}
}

func (w *restoreSim) injectFault() {
	switch i := w.rng.IntN(len(w.nodes)); w.rng.IntN(300) {
	case 0:
		w.restore()
	case 1:
		w.suspendedUntil[i] = w.clock.Now().Add(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
	case 2:
		w.start(i, false)
	case 3:
		w.nodes[i].release(context.Background())
	}
}

// The table is restored from older copies at any time, also twice in a row, in combination
// with suspended and restarted holders, lost answers and delayed writes. Guards against two
// nodes that send orders to the same engines, or under one fence, because the row shows the
// lease as free or an earlier holder while the actual holder is active. Afterwards the duty
// must have a holder within maxDowntime.
func TestAtMostOneHolderAcrossRestores(t *testing.T) {
	const seeds = 1000
	for seed := range uint64(seeds) {
		w := newRestoreSim(seed)
		w.run(time.Second, false)
		for range 3 {
			w.run(6*time.Second, true)
			for i := range w.suspendedUntil {
				w.suspendedUntil[i] = 0
			}
			w.lateWrites = nil // a delayed write is a disturbance as well
			w.restore()
			w.run(maxDowntime(w.nodes[0].Params), false)
			if w.countHolders() != 1 {
				w.fail("nobody holds the duty %v after a restore", maxDowntime(w.nodes[0].Params))
			}
		}
		if w.failure != "" {
			t.Fatalf("seed %d: %s", seed, w.failure)
		}
	}
}

// maxDowntime is the longest time without a holder after a restore: a term, the margin, one
// step for each rank that may be down, and one polling interval.
func maxDowntime(p Params) time.Duration {
	return p.Term + p.Margin + 2*p.Step + 700*time.Millisecond
}

// A running holder rewrites its row within its term under the same fence, and no other node
// acquires the lease.
func TestHolderRewritesRowAfterRestore(t *testing.T) {
	w := newRestoreSim(1)
	w.run(3*time.Second, false)
	before, held := w.nodes[0].Held(w.clock.Now())
	if !held {
		t.Fatal("the first node doesn't hold the duty")
	}
	w.row, w.version = platform.Row{Table: platform.TableLeases, Key: "d"}, 0 // a copy from before the first write
	w.restoringTable.era++
	for range 100 {
		w.clients[0].currentRow() // another call of its node shows the new era
		w.run(50*time.Millisecond, false)
		after, held := w.nodes[0].Held(w.clock.Now())
		if !held || after.Fence != before.Fence {
			t.Fatalf("the lease changed from fence %d to %d, held %v", before.Fence, after.Fence, held)
		}
	}
	if w.row.Version == 0 {
		t.Fatal("the row was not rewritten")
	}
}
