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

// fakeTable contains one row; its answers can be delayed, lost or refused.
type fakeTable struct {
	clock *clock.Manual
	row   platform.Row
	// delayBefore is the time until the next commit takes effect, delayAfter the time from
	// then until the answer.
	delayBefore, delayAfter time.Duration
	// during runs between the effect of the next commit and its answer.
	during     func()
	loseAnswer bool // the next answer is lost after the write took effect
	down       bool
}

func (t *fakeTable) Get(context.Context, string, string) (platform.Row, error) {
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.row, nil
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) (platform.Result, error) {
	if t.down {
		return platform.Result{}, platform.ErrUnavailable
	}
	t.clock.Advance(t.delayBefore)
	landed := t.row.Version == txn.Checks[0].Version
	if landed {
		w := txn.Writes[0]
		t.row = platform.Row{Table: w.Table, Key: w.Key, Version: t.row.Version + 1, Value: w.Value, Attempt: txn.Attempt}
	}
	lose, after, during := t.loseAnswer, t.delayAfter, t.during
	t.delayBefore, t.delayAfter, t.during, t.loseAnswer = 0, 0, nil, false
	if during != nil {
		during()
	}
	t.clock.Advance(after)
	if lose {
		return platform.Result{}, fmt.Errorf("%w: lost", platform.ErrAmbiguous)
	}
	return platform.Result{Committed: landed, Rows: []platform.Row{t.row}}, nil
}

func newTestManager(t *fakeTable, self fleet.Node, c clock.Clock, rank int) *Manager {
	return &Manager{
		Duty: "d", Self: self, Params: Params{Term: 6 * time.Second, Margin: time.Second, Step: 2 * time.Second},
		Table: t, Clock: c, Rank: func() int { return rank }, Log: slog.New(slog.DiscardHandler),
	}
}

// Guards against two nodes that act as owner at the same time. The answer to the
// acquisition takes four seconds; a term counted from the answer would end after the wait
// of other nodes, which begins at the write.
func TestTermStartsBeforeWrite(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk, delayAfter: 4 * time.Second}
	m := newTestManager(tab, nodeA, clk, 0)
	sent := clk.Now()
	m.Step(context.Background())
	g, ok := m.Held(clk.Now())
	is.True(ok)
	is.Equal(g.Until, sent.Add(6*time.Second))
	clk.Advance(2 * time.Second)
	_, ok = m.Held(clk.Now())
	is.True(!ok)
}

// Guards against a suspended owner that resumes and acts on its old lease. After a
// suspension past the term Held returns false, and the next acquisition increments the
// fence.
func TestSuspendedHolderLosesLease(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk}
	m := newTestManager(tab, nodeA, clk, 0)
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

// The answer to an acquisition is lost after the write took effect. A read of the row shows
// this node's attempt id; the term must be counted from before the write, not from the
// read.
func TestLostAnswerResolvedByRead(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk, loseAnswer: true, delayAfter: time.Second}
	m := newTestManager(tab, nodeA, clk, 0)
	sent := clk.Now()
	m.Step(context.Background())
	g, ok := m.Held(clk.Now())
	is.True(ok)
	is.Equal(g.Until, sent.Add(6*time.Second))
	is.Equal(tab.row.Version, uint64(1))
}

// Guards against two owners. Two nodes write the free row; the second write is refused and
// its answer lost. The row read back shows the other node's attempt, which must not be
// treated as its own.
func TestLostRefusalIsNoGrant(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk}
	a, b := newTestManager(tab, nodeA, clk, 0), newTestManager(tab, nodeB, clk, 0)
	is.True(b.read(context.Background())) // b reads no row, then a acquires the lease
	a.Step(context.Background())
	tab.loseAnswer = true
	b.write(context.Background(), Decide(b.Params, b.seen, Grant{}, nodeB, 0, clk.Now()))
	_, ok := b.Held(clk.Now())
	is.True(!ok)
	_, ok = a.Held(clk.Now())
	is.True(ok)
}

// Guards against a duty without an owner for a whole term after a shutdown. The holder
// releases the row, and the next node acquires it at its next read.
func TestReleasedLeaseAcquiredByNextNode(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk}
	a, b := newTestManager(tab, nodeA, clk, 0), newTestManager(tab, nodeB, clk, 0)
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

// Guards against a duty that stays with a node that can't do it: it releases the lease, the next
// node acquires it, and the first one takes it again only when it is free.
func TestUnfitHolderGivesLeaseUp(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk}
	a, b := newTestManager(tab, nodeA, clk, 0), newTestManager(tab, nodeB, clk, 0)
	unfit := false
	a.Unfit = func() bool { return unfit }
	a.Step(context.Background())
	_, ok := a.Held(clk.Now())
	is.True(ok)
	unfit = true
	a.Step(context.Background())
	_, ok = a.Held(clk.Now())
	is.True(!ok)
	a.Step(context.Background()) // doesn't acquire the free lease
	b.Step(context.Background())
	_, ok = b.Held(clk.Now())
	is.True(ok)
	unfit = false
	a.Step(context.Background())
	_, ok = a.Held(clk.Now())
	is.True(!ok)
}

// skewedClock is a clock with another start and a slightly different rate, as between VMs.
type skewedClock struct {
	real   *clock.Manual
	start  clock.Instant
	offset time.Duration
	rate   float64
}

func (s skewedClock) Now() clock.Instant {
	return clock.Instant(s.offset) + clock.Instant(float64(s.real.Now()-s.start)*s.rate)
}

// Two nodes must never hold the lease at the same time, for any order of steps, suspensions
// and delayed, lost or refused writes, with clocks of different start and rate; and the
// fence never decreases.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := clock.Instant(time.Hour)
		clk := clock.NewManual(start)
		tab := &fakeTable{clock: clk}
		clocks := []skewedClock{{clk, start, 0, 1.02}, {clk, start, 77 * time.Hour, 0.98}, {clk, start, 5 * time.Minute, 1}}
		var ms []*Manager
		for i, c := range clocks {
			self := fleet.Node{VM: fleet.VM(fmt.Sprintf("n%d", i)), Incarnation: 1}
			ms = append(ms, newTestManager(tab, self, c, rapid.IntRange(0, 2).Draw(t, "rank")))
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
		step := func(i int) { // a node has one goroutine per duty
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
				tab.loseAnswer = true
			case 2:
				tab.delayBefore = time.Duration(ms3.Draw(t, "before")) * time.Millisecond
				tab.delayAfter = time.Duration(ms3.Draw(t, "after")) * time.Millisecond
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

// A row with invalid content must not be treated as free.
func TestMalformedRowNotAcquired(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	tab := &fakeTable{clock: clk, row: platform.Row{Table: platform.TableLeases, Key: "d", Version: 3, Value: []byte("{")}}
	m := newTestManager(tab, nodeA, clk, 0)
	m.Step(context.Background())
	_, ok := m.Held(clk.Now())
	is.True(!ok)
	is.Equal(tab.row.Version, uint64(3))
	is.True(errors.Is(m.recordRow(tab.row), errMalformedRow))
}

// An operator extends the term while the lease is held. The holder renews with the new
// term, and the other node, which reads the row, waits for it.
func TestTermFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(clock.Instant(time.Hour))
	term := 6 * time.Second
	m := newTestManager(&fakeTable{clock: clk}, nodeA, clk, 0)
	m.Term = func() time.Duration { return term }
	m.Step(context.Background())
	g, held := m.Held(clk.Now())
	is.True(held)
	is.Equal(g.Remaining(clk.Now()), 6*time.Second)
	term = 30 * time.Second
	clk.Advance(5 * time.Second)
	m.Step(context.Background())
	g, held = m.Held(clk.Now())
	is.True(held)
	is.Equal(g.Remaining(clk.Now()), 30*time.Second)
}
