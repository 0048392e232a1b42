package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// The members of a group are asked seldom while its head has requests, whichever
// node they came from: a loss shows by them within a quarter of a second. A head
// that stands still, or has no requests, gives no such sign.
func TestBusyGroupsAreAskedSeldom(t *testing.T) {
	now := clock.Instant(time.Hour)
	member := roster.Membership{Group: "g", Epoch: 1, Rank: 1, State: roster.Ready}
	for name, c := range map[string]struct {
		active, failures int
		sign             clock.Instant
		suspect          bool
		want             time.Duration
	}{
		"idle":                    {want: probeCalm},
		"own requests":            {sign: now.Add(-100 * time.Millisecond), want: probeServing},
		"other nodes' requests":   {active: 3, want: probeServing},
		"stands still":            {active: 3, suspect: true, want: probeCalm},
		"its head doesn't answer": {active: 3, failures: 1, want: probeCalm},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &Fact{ID: "m", Report: Report{Member: member}}
			ctl := &Controller{
				Signs:  func(roster.ID) (clock.Instant, bool) { return c.sign, c.suspect },
				ledger: Ledger{Groups: []Group{{Name: "g", Epoch: 1, Members: []roster.ID{"h", "m"}}}},
				facts:  map[roster.ID]*Fact{"h": {ID: "h", Report: Report{Active: c.active}, Failures: c.failures}, "m": f},
			}
			is.Equal(ctl.calmPause(f, now), c.want)
		})
	}
}
