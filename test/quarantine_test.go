package test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/outcome"
)

// retryInterval is the interval between attempts. Without it, twelve attempts
// are sent within 100 ms, and the number in flight before the nodes learn of
// the first crash would depend on the machine.
const retryInterval = 150 * time.Millisecond

// A lookup crashes each service process that starts to run it, and the caller
// retries at another node each time. Without shared state every node tried up
// to four processes, and none of twelve survived. The nodes must announce the
// crashes to each other over their links, so that after a few crashes each node
// refuses the lookup, and the surviving processes serve other lookups.
func TestNodesShareQuarantineOfCrashingCall(t *testing.T) {
	is := is.New(t)
	const harmful, processes = "/licences/crash", 12
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneA}, services: processes, exitOn: harmful})
	var last callResult
	for i := range 12 {
		last = f.nodes[i%len(f.nodes)].call(t.Context(), "GET", harmful, "", nil)
		is.True(!last.isComplete())
		f.awaitLookup(f.nodes[(i+1)%len(f.nodes)])
		time.Sleep(retryInterval)
	}
	ended := 0
	for _, s := range f.services {
		select {
		case <-s.done:
			ended++
		default:
		}
	}
	if ended > quarantineThreshold+quarantineOvershoot {
		t.Errorf("%d of %d processes crashed", ended, processes)
	}
	for _, n := range f.nodes {
		last = n.call(t.Context(), "GET", harmful, "", nil)
		is.Equal(last.status, http.StatusUnprocessableEntity)
		is.Equal(last.kind, outcome.Quarantined)
		is.Equal(last.outcome, outcome.NotRun)
		is.Equal(last.header.Get("Retry-After"), "")
	}
}
