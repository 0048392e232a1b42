package formation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/demand"
)

// decisionsWithoutValue returns the decisions of plans for zones that lose engines while the
// demand shifts.
func decisionsWithoutValue() string {
	var b strings.Builder
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := newSimZone()
		w.engine.Models[0].Size, w.engine.Models[1].Size = 4+int(seed), 2+int(seed)/2
		w.loadsAreFree = true
		w.add("d0", 19)
		w.add("d1", 19)
		w.run(6 * time.Second)
		w.loadsAreFree = false
		for step := range 120 {
			if step%30 == 0 {
				w.sorted()[r.IntN(len(w.engines))].dead = true
				w.demand = demand.Demand{Requests: 300, Work: map[string]float64{"big": 0.2 + r.Float64(), "small": 0.2 + 3*r.Float64()}}
			}
			for _, n := range w.plan().Decisions {
				fmt.Fprintf(&b, "%d %d %s\n", seed, step, n)
			}
			w.advance(100 * time.Millisecond)
		}
	}
	return b.String()
}

// Guards against changed decisions for services that are not contended. The file contains
// the decisions of the planner before it knew the value of requests; it is not to
// be recorded anew, since a difference means that such services are planned differently.
func TestDecisionsWithoutValueAreAsRecorded(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("testdata/decisions-without-value.txt")
	is.NoErr(err)
	is.Equal(decisionsWithoutValue(), string(want))
}
