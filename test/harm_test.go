package test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/outcome"
)

// harmPace is the pause after which callers come again. Without it a dozen attempts take a
// tenth of a second, and how many of them are under way before the nodes have heard of the
// first would depend on the machine.
const harmPace = 150 * time.Millisecond

// A caller's lookup ends each service process that begins to run it, and is asked again at
// another node each time. Every node tried it at up to four processes, for nobody told the
// others: none of twelve was left. The nodes tell each other now, over their links; after a
// few ends each of them refuses it, and other lookups are served by the processes that
// are left.
func TestNodesTellEachOtherOfACallThatEndsServices(t *testing.T) {
	is := is.New(t)
	const harmful, processes = "/licences/crash", 12
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneA}, services: processes, exitOn: harmful})
	var last told
	for i := range 12 {
		last = f.nodes[i%len(f.nodes)].call(t.Context(), "GET", harmful, "", nil)
		is.True(!last.whole())
		f.awaitLookup(f.nodes[(i+1)%len(f.nodes)])
		time.Sleep(harmPace)
	}
	ended := 0
	for _, s := range f.services {
		select {
		case <-s.done:
			ended++
		default:
		}
	}
	if ended > harmEnds+harmMore {
		t.Errorf("%d of %d processes ended", ended, processes)
	}
	for _, n := range f.nodes {
		last = n.call(t.Context(), "GET", harmful, "", nil)
		is.Equal(last.status, http.StatusUnprocessableEntity)
		is.Equal(last.kind, outcome.Quarantined)
		is.Equal(last.outcome, outcome.NotRun)
		is.Equal(last.header.Get("Retry-After"), "")
	}
}
