package formation

import (
	"testing"
	"time"
)

// largeZone is a zone of three domains of 73 engines with all of its groups open.
func largeZone() *world {
	w := newWorld()
	w.engine, w.free = largeEngine(), true
	for _, d := range []string{"d0", "d1", "d2"} {
		w.add(d, 73)
	}
	w.run(10 * time.Second)
	w.free = false
	return w
}

// BenchmarkPlanLargeZone is one plan of a zone of 219 engines from which nothing is
// awaited.
func BenchmarkPlanLargeZone(b *testing.B) {
	w := largeZone()
	w.plan()
	in := w.input()
	for b.Loop() {
		Plan(in, w.mem)
	}
}
