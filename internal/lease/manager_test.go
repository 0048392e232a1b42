package lease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// table holds one row; its answers can be late, lost or refused.
type table struct {
	clock *clock.Manual
	row   platform.Row
	// before and after are how long the next commit takes until it takes
	// effect, and from then until the answer arrives.
	before, after time.Duration
	// during runs between the effect and the answer of the next commit.
	during func()
	lose   bool // the next answer is lost after the write took effect
	down   bool
}

func (t *table) Get(context.Context, string, string) (platform.Row, error) {
	if t.down {
		return platform.Row{}, platform.ErrDown
	}
	return t.row, nil
}

func (t *table) Commit(_ context.Context, txn platform.Txn) (platform.Result, error) {
	if t.down {
		return platform.Result{}, platform.ErrDown
	}
	t.clock.Advance(t.before)
	landed := t.row.Version == txn.Checks[0].Version
	if landed {
		w := txn.Writes[0]
		t.row = platform.Row{Table: w.Table, Key: w.Key, Version: t.row.Version + 1, Value: w.Value, Attempt: txn.Attempt}
	}
	lose, after, during := t.lose, t.after, t.during
	t.before, t.after, t.during, t.lose = 0, 0, nil, false
	if during != nil {
		during()
	}
	t.clock.Advance(after)
	if lose {
		return platform.Result{}, fmt.Errorf("%w: lost", platform.ErrAmbiguous)
	}
	return platform.Result{Committed: landed, Rows: []platform.Row{t.row}}, nil
}

func manager(t *table, self fleet.Node, c clock.Clock, rank int) *Manager {
	return &Manager{
		Duty: "d", Self: self, Params: Params{Term: 6 * time.Second, Margin: time.Second, Step: 2 * time.Second},
		Table: t, Clock: c, Rank: func() int { return rank }, Log: slog.New(slog.DiscardHandler),
	}
}

// Another node acts as owner while the first still does. The answer to the
// first's acquisition takes four seconds; were the term counted from the
// answer, it would outlast what the others wait out from the write on.
func TestTermCountsFromBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &table{clock: clk, after: 4 * time.Second}
	m := manager(tab, nodeA, clk, 0)
	sent := clk.Now()
	m.Step(context.Background())
	g, ok := m.Held(clk.Now())
	is.True(ok)
	is.Equal(g.Until, sent.Add(6*time.Second))
	clk.Advance(2 * time.Second)
	_, ok = m.Held(clk.Now())
	is.True(!ok)
}

// A paused owner wakes believing that it still owns the duty. It was suspended
// past its term; at its first look the lease is gone, and when it gets it again
// the fence has grown.
func TestPausedHolderSeesItsLeaseExpired(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &table{clock: clk}
	m := manager(tab, nodeA, clk, 0)
	m.Step(context.Background())
	first, ok := m.Held(clk.Now())
	is.True(ok)
	clk.Advance(10 * time.Second)
	_, ok = m.Held(clk.Now())
	is.True(!ok)
	for range 3 {
		m.Step(context.Background())
	}
	again, ok := m.Held(clk.Now())
	is.True(ok)
	is.Equal(again.Fence, first.Fence+1)
}

// The answer to an acquisition is lost after the write took effect. Reading the
// row back shows the node's own attempt; the term counts from before the write,
// not from the read.
func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &table{clock: clk, lose: true, after: time.Second}
	m := manager(tab, nodeA, clk, 0)
	sent := clk.Now()
	m.Step(context.Background())
	g, ok := m.Held(clk.Now())
	is.True(ok)
	is.Equal(g.Until, sent.Add(6*time.Second))
	is.Equal(tab.row.Version, uint64(1))
}

// Two nodes act as owners. Both write the free row; the second's write is
// refused because the first's landed, and that answer is lost. Reading back
// shows another node's attempt, which must not be taken for its own.
func TestLostRefusalIsNotTakenForAGrant(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &table{clock: clk}
	a, b := manager(tab, nodeA, clk, 0), manager(tab, nodeB, clk, 0)
	is.True(b.read(context.Background())) // b saw no row, then a acquires
	a.Step(context.Background())
	tab.lose = true
	b.write(context.Background(), Decide(b.Params, b.seen, Grant{}, nodeB, 0, clk.Now()))
	_, ok := b.Held(clk.Now())
	is.True(!ok)
	_, ok = a.Held(clk.Now())
	is.True(ok)
}

// A shutdown must not leave the duty without an owner for a whole term. The
// holder releases the row, and the next node acquires it at its next look.
func TestReleaseLetsTheNextNodeIn(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &table{clock: clk}
	a, b := manager(tab, nodeA, clk, 0), manager(tab, nodeB, clk, 0)
	a.Step(context.Background())
	b.Step(context.Background())
	_, ok := b.Held(clk.Now())
	is.True(!ok)
	a.release(context.Background())
	_, ok = a.Held(clk.Now())
	is.True(!ok)
	b.Step(context.Background())
	g, ok := b.Held(clk.Now())
	is.True(ok)
	is.Equal(g.Fence, uint64(2))
	is.True(!g.TakenOver)
}

// skewed is a clock that started at another time and runs a little faster or
// slower, as between VMs.
type skewed struct {
	real  *clock.Manual
	start clock.Instant
	off   time.Duration
	rate  float64
}

func (s skewed) Now() clock.Instant {
	return clock.Instant(s.off) + clock.Instant(float64(s.real.Now()-s.start)*s.rate)
}

// Two nodes must never hold the lease at once, whatever the order of steps,
// pauses, slow, lost and refused writes, with clocks that differ in start and
// rate; and the fence never goes down.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := clock.Instant(time.Hour)
		clk := clock.NewManual(start)
		tab := &table{clock: clk}
		clocks := []skewed{{clk, start, 0, 1.02}, {clk, start, 77 * time.Hour, 0.98}, {clk, start, 5 * time.Minute, 1}}
		var ms []*Manager
		for i, c := range clocks {
			self := fleet.Node{VM: fleet.VM(fmt.Sprintf("n%d", i)), Incarnation: 1}
			ms = append(ms, manager(tab, self, c, rapid.IntRange(0, 2).Draw(t, "rank")))
		}
		var fence uint64
		check := func() {
			holders := 0
			for i, m := range ms {
				if g, ok := m.Held(clocks[i].Now()); ok {
					holders++
					if g.Fence < fence {
						t.Fatalf("fence went from %d to %d", fence, g.Fence)
					}
					fence = g.Fence
				}
			}
			if holders > 1 {
				t.Fatalf("%d holders at once", holders)
			}
		}
		busy := map[int]bool{}
		step := func(i int) { // a node has one goroutine for each duty
			if !busy[i] {
				busy[i] = true
				ms[i].Step(context.Background())
				busy[i] = false
			}
		}
		ms3 := rapid.Int64Range(0, 3000)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "node")
			tab.down = false
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				tab.down = true
				step(i)
			case 1:
				tab.lose = true
			case 2:
				tab.before = time.Duration(ms3.Draw(t, "before")) * time.Millisecond
				tab.after = time.Duration(ms3.Draw(t, "after")) * time.Millisecond
				other := (i + 1) % 3
				tab.during = func() { step(other) }
			case 3:
				clk.Advance(time.Duration(rapid.Int64Range(0, 20).Draw(t, "pause")) * time.Second)
			case 4:
				ms[i].release(context.Background())
			default:
				step(i)
			}
			check()
			clk.Advance(time.Duration(ms3.Draw(t, "gap")) * time.Millisecond)
			check()
		}
	})
}

// A row that a person has spoilt must not be taken for a free one.
func TestUnreadableRowIsNotAcquired(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &table{clock: clk, row: platform.Row{Table: platform.TableLeases, Key: "d", Version: 3, Value: []byte("{")}}
	m := manager(tab, nodeA, clk, 0)
	m.Step(context.Background())
	_, ok := m.Held(clk.Now())
	is.True(!ok)
	is.Equal(tab.row.Version, uint64(3))
	is.True(errors.Is(m.note(tab.row), errUnreadable))
}

// An operator makes the leases longer while one is held. The holder renews with
// the new term, and the other node, which read the row, waits the new one out.
func TestTermFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	term := 6 * time.Second
	m := manager(&table{clock: clk}, nodeA, clk, 0)
	m.Term = func() time.Duration { return term }
	m.Step(context.Background())
	g, held := m.Held(clk.Now())
	is.True(held)
	is.Equal(g.Left(clk.Now()), 6*time.Second)
	term = 30 * time.Second
	clk.Advance(5 * time.Second)
	m.Step(context.Background())
	g, held = m.Held(clk.Now())
	is.True(held)
	is.Equal(g.Left(clk.Now()), 30*time.Second)
}
