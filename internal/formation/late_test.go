package formation

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an engine's second, late report that is taken for a newer one, so that the engine
// counts as free after it has begun an order.
func TestEarlierReportIsIgnoredOnce(t *testing.T) {
	is := is.New(t)
	var f EngineState
	for _, step := range []struct {
		orders  uint64
		earlier bool
	}{
		{0, false}, {3, false}, {3, false}, {2, true}, {3, false}, {4, false},
		{3, true}, {0, false}, // the engine's count has begun anew
		{1, false},
	} {
		is.Equal(f.isEarlierReport(Report{OrderCount: step.orders}), step.earlier)
	}
}
