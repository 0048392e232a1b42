package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/balance"
	"chervilloom/internal/formation"
)

// Guards against nodes that know nothing of the work that engines still hold, in zones with a board
// and in small ones, and against seeds that are sent again after nodes have counted requests.
func TestSeedsReachTheNodesOfEveryZone(t *testing.T) {
	for _, perZone := range []int{3, 27} {
		is := is.New(t)
		p := newSimFleet(t, 2, perZone, 0)
		holder := p.nodes["z0-0"]
		holder.holdsDuty = (&fixedDuty{"z0"}).holds
		reports := []formation.HeadReport{{ID: "full", Requests: 34, ReportedAt: p.clock.Now()}}
		holder.loads.tenureReports = func(string) []formation.HeadReport { return reports }
		tick := func(d time.Duration) {
			for ; d > 0; d -= balance.SilenceCheckInterval {
				p.clock.Advance(balance.SilenceCheckInterval)
				for _, n := range p.nodes {
					n.loads.tick()
				}
			}
		}
		load := func(vm string) float64 { return p.nodes[vm].tracker.StateOf("full", engineLoadDecay).Load }
		tick(150 * time.Millisecond)
		is.True(load("z0-2") > 30)
		is.Equal(load("z1-1"), 0.0) // the nodes of other zones get the zone's mean load
		tick(2 * time.Second)
		is.True(load("z0-2") > 14 && load("z0-2") < 20) // half of the run time is over
		tick(3 * time.Second)
		is.True(load("z0-2") < 1)
	}
}
