package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The whole zone is cut off from the node that plans for it, and comes back after
// six seconds. Its groups have served its own clients all the while, or stood still
// for want of them: they are whole and serve on. Nothing is taken apart.
func TestCutZoneServesOnWhenItIsBack(t *testing.T) {
	is := is.New(t)
	w := started()
	before := w.ledger
	for _, e := range w.sorted() {
		e.cut = true
	}
	var lost, back int
	play := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); w.advance(100 * time.Millisecond) {
			out := w.plan()
			lost += len(out.Lost)
			back += len(out.Back)
		}
	}
	play(6 * time.Second)
	for i, e := range w.sorted() { // they are reached again one after the other
		if i%6 == 0 {
			play(100 * time.Millisecond)
		}
		e.cut = false
	}
	play(3 * time.Second)
	is.Equal(w.ledger, before)
	is.Equal(lost, len(before.Groups)) // requests go elsewhere meanwhile
	is.Equal(back, lost)
	is.Equal(w.broken, "")
}

// The same cut, but two engines have died under it: their groups are taken apart
// once the others answer again, and only theirs.
func TestLossUnderACutIsSeenAfterIt(t *testing.T) {
	is := is.New(t)
	w := started()
	for _, e := range w.sorted() {
		e.cut = true
	}
	w.run(3 * time.Second)
	head := w.serving("big")[0]
	w.engines[head.members[1]].dead = true
	whole := 0
	names := map[string]bool{}
	for _, g := range w.ledger.Groups {
		names[g.Name] = true
	}
	for _, e := range w.sorted() {
		e.cut = false
	}
	w.run(4 * time.Second)
	for _, g := range w.ledger.Groups {
		if names[g.Name] {
			whole++
		}
	}
	is.Equal(whole, len(names)-1)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.broken, "")
}
