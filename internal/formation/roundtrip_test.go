package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node with time to spare gets reports within 5 ms and gives one in doubt 50 ms.
// The same node short of processor time gets them after 20 to 140 ms: it must not
// take an engine for lost that answers like the others do. One that knows no pace
// yet waits the whole limit.
func TestBriefLimitFollowsOwnLateness(t *testing.T) {
	is := is.New(t)
	var r roundTrip
	is.Equal(r.brief(), probeLimit)
	for range 50 {
		r.took(5 * time.Millisecond)
	}
	is.Equal(r.brief(), briefLeast)
	for i := range 50 {
		r.took(time.Duration(20+120*(i%2)) * time.Millisecond)
	}
	is.True(r.brief() > 140*time.Millisecond)
	is.True(r.brief() <= probeLimit)
	for range 150 {
		r.took(5 * time.Millisecond)
	}
	is.Equal(r.brief(), briefLeast)
}
