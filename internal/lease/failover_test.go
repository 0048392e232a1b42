package lease

import (
	"testing"
	"time"
)

// All nodes, including the holder, lose power for 1.2 s and restart. By the table's clock
// the end of the holder's term is known: the duty must be acquired a fraction of a second
// after the restart, not a whole term later.
func TestDutyAcquiredSoonAfterLossOfAllNodes(t *testing.T) {
	w := newRestoreSim(1)
	w.run(5*time.Second, false)
	if w.countHolders() != 1 {
		t.Fatal("nobody holds the duty at first")
	}
	w.clock.Advance(1200 * time.Millisecond)
	for i := range w.nodes {
		w.start(i, false)
	}
	back := w.clock.Now()
	for w.countHolders() == 0 && w.clock.Now().Sub(back) < 5*time.Second {
		w.run(10*time.Millisecond, false)
	}
	p := w.nodes[0].Params
	if took := w.clock.Now().Sub(back); took > p.Term-1200*time.Millisecond+p.Margin+100*time.Millisecond {
		t.Errorf("the duty was acquired %v after the restart", took)
	}
}

// Without the table's clock, or without the end of the term in the row, the whole term must
// be waited for.
func TestWholeTermWaitedWithoutTableClock(t *testing.T) {
	for _, c := range []struct {
		over, clock int64
		left        time.Duration
	}{
		{0, 0, 3 * time.Second}, {5000, 0, 3 * time.Second}, {0, 5000, 3 * time.Second},
		{5000, 4000, time.Second}, {5000, 6000, 0},
		{9000, 1000, 3 * time.Second}, // the clock was set back
	} {
		s := ObservedRow{Row: Row{Term: 3 * time.Second, TermEnd: c.over}, TableClock: c.clock}
		if got := s.remainingTerm(); got != c.left {
			t.Errorf("over %d, clock %d: %v left, want %v", c.over, c.clock, got, c.left)
		}
	}
}
