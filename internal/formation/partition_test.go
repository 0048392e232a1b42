package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The whole zone is partitioned from the planning node for six seconds. Its groups are
// complete and keep serving, or are idle: they must resume when the partition heals, and
// none may be dissolved.
func TestZoneResumesAfterPartition(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	before := w.ledger
	for _, e := range w.sorted() {
		e.partitioned = true
	}
	var lost, resumed int
	planFor := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); w.advance(100 * time.Millisecond) {
			out := w.plan()
			lost += len(out.Lost)
			resumed += len(out.Resumed)
		}
	}
	planFor(6 * time.Second)
	for i, e := range w.sorted() { // they become reachable one after the other
		if i%6 == 0 {
			planFor(100 * time.Millisecond)
		}
		e.partitioned = false
	}
	planFor(3 * time.Second)
	is.Equal(w.ledger, before)
	is.Equal(lost, len(before.Groups)) // meanwhile requests are routed elsewhere
	is.Equal(resumed, lost)
	is.Equal(w.violation, "")
}

// The same partition, but a member dies during it: its group is dissolved once the others
// respond again, and only that group.
func TestLossDuringPartitionIsDetectedAfterwards(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	for _, e := range w.sorted() {
		e.partitioned = true
	}
	w.run(3 * time.Second)
	head := w.serving("big")[0]
	w.engines[head.members[1]].dead = true
	surviving := 0
	names := map[string]bool{}
	for _, g := range w.ledger.Groups {
		names[g.Name] = true
	}
	for _, e := range w.sorted() {
		e.partitioned = false
	}
	w.run(4 * time.Second)
	for _, g := range w.ledger.Groups {
		if names[g.Name] {
			surviving++
		}
	}
	is.Equal(surviving, len(names)-1)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.violation, "")
}
