package links

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

const start = clock.Instant(time.Hour)

// after returns the instant a number of milliseconds after start.
func after(ms int) clock.Instant { return start.Add(time.Duration(ms) * time.Millisecond) }

// fail records a connection that hung from one time to another, in milliseconds.
func fail(h *Health, addr string, from, to int, confirmed bool) Change {
	return h.RecordFailure(Failure{Addr: addr, StartedAt: after(from), Hung: true, Confirmed: confirmed}, after(to))
}

// Guards against a node that takes the failure of one endpoint for the loss of all its links, and
// against one that needs many failures of different endpoints to notice the loss.
func TestAllLinksAreLostAfterSeveralEndpointsFail(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	h.RecordConnect("a", after(0))
	for i := range 10 {
		is.Equal(fail(h, "b", 10*i+1, 10*i+5, true), Unchanged) // one endpoint, again and again
	}
	is.True(h.IsLost("b") && h.IsSilent("b"))
	is.True(!h.IsLost("a"))
	is.Equal(fail(h, "c", 101, 110, false), Suspected)
	is.Equal(fail(h, "d", 101, 110, false), Suspected)
	is.True(!h.AreAllLost())
	is.Equal(h.RecordProbesFailed(after(120)), AllLost)
	is.True(h.AreAllLost() && h.IsLost("a"))
}

// Guards against endpoints that crash one after the other and are taken for the loss of all links:
// requests meet no others.
func TestCrashedEndpointsAreNoLossOfLinks(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	for i := range 20 {
		is.True(fail(h, fmt.Sprint("e", i), 10, 20+i, false) != AllLost)
	}
	h.RecordConnect("f", after(50)) // a probe
	is.Equal(h.RecordProbesFailed(after(60)), Unchanged)
	is.Equal(fail(h, "k", 70, 80, false), Unchanged)
	is.True(!h.AreAllLost())
}

// Guards against probes of the past that count for a new loss.
func TestProbesCountUntilTheNextSuccess(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	is.Equal(h.RecordProbesFailed(after(0)), Unchanged)
	is.Equal(fail(h, "a", 0, 10, false), Unchanged)
	is.Equal(fail(h, "b", 0, 10, false), Suspected)
	is.Equal(fail(h, "c", 0, 10, false), AllLost)
	h = NewHealth()
	is.Equal(h.RecordProbesFailed(after(0)), Unchanged)
	h.RecordResponse(after(5))
	for i := range 5 {
		is.True(fail(h, fmt.Sprint("e", i), 10, 20, false) != AllLost)
	}
	h = NewHealth()
	is.Equal(h.RecordProbesFailed(after(0)), Unchanged)
	for i := range 5 {
		is.True(fail(h, fmt.Sprint("e", i), 6000, 6010, false) != AllLost)
	}
}

// Two endpoints that another node reaches are as good as three.
func TestEndpointsReachedByPeersAreStrongerEvidence(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	is.Equal(fail(h, "a", 0, 10, true), Unchanged)
	is.Equal(fail(h, "b", 0, 10, true), AllLost)
}

// Guards against a crash of many endpoints that is taken for the loss of links while others
// answer, or that old failures contribute to.
func TestSuccessesAndAgeInvalidateEvidence(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	for i := range 100 {
		is.Equal(fail(h, fmt.Sprint("e", i), 20*i, 20*i+10, false), Unchanged)
		h.RecordResponse(after(20*i + 5)) // another endpoint answers on an open connection
	}
	h = NewHealth()
	is.Equal(fail(h, "a", 0, 10, false), Unchanged)
	is.Equal(fail(h, "b", 0, 10, false), Suspected)
	is.Equal(fail(h, "c", 6000, 6010, false), Unchanged)
	h = NewHealth()
	for i := range 100 { // no node reaches them
		is.Equal(fail(h, fmt.Sprint("e", i), 0, 10, false), Unchanged)
		h.RecordEndpointDown(fmt.Sprint("e", i))
	}
	is.Equal(h.Lost(), []string{})
}

// Guards against a node that trusts its links after a single success, or never again: links may
// return in part, and endpoints may end meanwhile.
func TestLinksAreRegainedAfterTwoSuccesses(t *testing.T) {
	is := is.New(t)
	h := NewHealth()
	fail(h, "a", 0, 10, true)
	is.Equal(fail(h, "b", 0, 10, true), AllLost)
	h.RecordResponse(after(20)) // a late answer on an open connection
	is.True(h.AreAllLost())
	is.Equal(h.RecordConnect("x", after(30)), Unchanged)
	fail(h, "x", 40, 50, false)
	is.Equal(h.RecordConnect("y", after(60)), Unchanged)
	is.Equal(h.RecordConnect("a", after(70)), Regained)
	is.True(!h.AreAllLost() && h.IsLost("b") && !h.IsLost("a")) // each failed link returns by itself
	h.Retain(func(addr string) bool { return addr != "b" })
	is.True(!h.IsLost("b"))
}
