package formation

import (
	"testing"
	"time"

	"chervilloom/internal/demand"
)

// largeZone returns a zone of three domains of 73 engines with all groups open.
func largeZone() *simZone {
	w := newSimZone()
	w.engine, w.loadsAreFree = largeEngine(), true
	for _, d := range []string{"d0", "d1", "d2"} {
		w.add(d, 73)
	}
	w.run(10 * time.Second)
	w.loadsAreFree = false
	return w
}

// BenchmarkPlanLargeZone measures one plan of a zone of 219 engines without pending
// changes.
func BenchmarkPlanLargeZone(b *testing.B) {
	w := largeZone()
	w.plan()
	in := w.input()
	for b.Loop() {
		Plan(in, w.mem)
	}
}

// BenchmarkPlanLargeContendedZone measures the same with the value of requests known.
func BenchmarkPlanLargeContendedZone(b *testing.B) {
	w := largeZone()
	w.plan()
	in := w.input()
	in.Demand = demand.Demand{
		Requests: 1000, Work: map[string]float64{"big": 30, "small": 30},
		Value: map[string]float64{"big": 300, "small": 700}, Lost: map[string]float64{"small": 100},
	}
	for b.Loop() {
		Plan(in, w.mem)
	}
}
