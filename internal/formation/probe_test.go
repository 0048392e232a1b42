package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Members of a group are probed less often while its head serves requests from any node,
// because those reveal a loss within a quarter of a second. A stalled or idle head gives
// no such evidence.
func TestBusyGroupsAreProbedLessOften(t *testing.T) {
	now := clock.Instant(time.Hour)
	member := roster.Membership{Group: "g", Epoch: 1, Rank: 1, State: roster.Ready}
	for name, c := range map[string]struct {
		active, failures int
		sign             clock.Instant
		suspect          bool
		want             time.Duration
	}{
		"idle":                  {want: probeInterval},
		"own requests":          {sign: now.Add(-100 * time.Millisecond), want: servingProbeInterval},
		"other nodes' requests": {active: 3, want: servingProbeInterval},
		"stalled head":          {active: 3, suspect: true, want: probeInterval},
		"head doesn't respond":  {active: 3, failures: 1, want: probeInterval},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &EngineState{ID: "m", Report: Report{Member: member}}
			ctl := &Controller{
				Activity:     func(roster.ID) (clock.Instant, bool) { return c.sign, c.suspect },
				ledger:       Ledger{Groups: []Group{{Name: "g", Epoch: 1, Members: []roster.ID{"h", "m"}}}},
				engineStates: map[roster.ID]*EngineState{"h": {ID: "h", Report: Report{Active: c.active}, Failures: c.failures}, "m": f},
			}
			is.Equal(ctl.probeDelay(f, now), c.want)
		})
	}
}
