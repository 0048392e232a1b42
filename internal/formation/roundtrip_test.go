package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fixed timeout on a slow node. A node with spare processor time gets
// responses within 5 ms and uses a short timeout of 50 ms. Short of processor time, it
// gets them after 20 to 140 ms and must not declare an engine lost that responds like the
// others. Without enough samples, the full timeout applies.
func TestShortTimeoutFollowsObservedLatency(t *testing.T) {
	is := is.New(t)
	var r roundTrip
	is.Equal(r.shortTimeout(), probeTimeout)
	for range 50 {
		r.observe(5 * time.Millisecond)
	}
	is.Equal(r.shortTimeout(), minShortTimeout)
	for i := range 50 {
		r.observe(time.Duration(20+120*(i%2)) * time.Millisecond)
	}
	is.True(r.shortTimeout() > 140*time.Millisecond)
	is.True(r.shortTimeout() <= probeTimeout)
	for range 150 {
		r.observe(5 * time.Millisecond)
	}
	is.Equal(r.shortTimeout(), minShortTimeout)
}
