package lease

import (
	"testing"
	"time"
)

// All nodes lose power for 1.2 s, the holder among them, and start again. The table's clock
// says when the holder's term was over: the duty has a holder a fraction of a second after
// the nodes are back, not a whole term later.
func TestDutyIsTakenSoonAfterAllNodesWereLost(t *testing.T) {
	w := newRestoreWorld(1)
	w.run(5*time.Second, false)
	if w.holders() != 1 {
		t.Fatal("nobody holds the duty at first")
	}
	w.clock.Advance(1200 * time.Millisecond)
	for i := range w.nodes {
		w.start(i, false)
	}
	back := w.clock.Now()
	for w.holders() == 0 && w.clock.Now().Sub(back) < 5*time.Second {
		w.run(10*time.Millisecond, false)
	}
	p := w.nodes[0].Params
	if took := w.clock.Now().Sub(back); took > p.Term-1200*time.Millisecond+p.Margin+100*time.Millisecond {
		t.Errorf("the duty was taken after %v", took)
	}
}

// A table that tells no clock, or a row that tells no end, leaves the whole term to wait.
func TestTermIsWaitedOutWithoutAClock(t *testing.T) {
	for _, c := range []struct {
		over, clock int64
		left        time.Duration
	}{
		{0, 0, 3 * time.Second}, {5000, 0, 3 * time.Second}, {0, 5000, 3 * time.Second},
		{5000, 4000, time.Second}, {5000, 6000, 0},
		{9000, 1000, 3 * time.Second}, // the clock went back
	} {
		s := Seen{Row: Row{Term: 3 * time.Second, Over: c.over}, Clock: c.clock}
		if got := s.left(); got != c.left {
			t.Errorf("over %d, clock %d: %v left, want %v", c.over, c.clock, got, c.left)
		}
	}
}
