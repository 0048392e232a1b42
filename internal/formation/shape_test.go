package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
)

const (
	warmUp = 10 * time.Second // before the first request
	// repairTime is for two reports, a join from the host and the opening.
	repairTime = 3500 * time.Millisecond
)

func TestShapeKeepsSpares(t *testing.T) {
	small := []catalog.Model{{Name: "four", Size: 4, Share: 0.57}, {Name: "three", Size: 3, Share: 0.43}}
	large := []catalog.Model{{Name: "sixteen", Size: 16, Share: 0.3}, {Name: "four", Size: 4, Share: 0.7}}
	for _, c := range []struct {
		models []catalog.Model
		n      int
		want   []int
	}{
		{small, 9, []int{1, 1}}, // two spares
		{small, 7, []int{1, 1}}, // too few to keep any back
		{small, 3, []int{0, 1}},
		{small, 2, []int{0, 0}},
		{large, 37, []int{1, 4}}, // five spares, where one more group of four would leave one
		{large, 15, []int{0, 3}},
	} {
		is := is.New(t)
		is.Equal(shape(c.models, func(m *catalog.Model) float64 { return m.Share }, c.n), c.want)
	}
}

// A domain of a large fleet loses three members of its only group of sixteen, one
// after the other. Each time a spare takes the place at once; the spares are not
// spent on one more group of four before.
func TestSparesRepairTheLargeGroup(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.engine = testEngine()
	w.engine.Models = []catalog.Model{
		{Name: "big", Size: 16, Pace: 1, Share: 0.3, Load: w.engine.Models[0].Load, Warm: w.engine.Models[0].Warm},
		{Name: "small", Size: 4, Pace: 0.6, Share: 0.7, Load: w.engine.Models[1].Load, Warm: w.engine.Models[1].Warm},
	}
	w.free = true
	w.add("d0", 37)
	w.run(warmUp)
	w.free = false
	for range 3 {
		is.Equal(len(w.serving("big")), 1)
		is.True(len(w.serving("small")) >= 4)
		head := w.serving("big")[0]
		w.engines[head.members[3]].dead = true
		w.run(repairTime)
	}
	is.Equal(len(w.serving("big")), 1)
	is.True(len(w.serving("small")) >= 4)
	is.Equal(w.broken, "")
}
