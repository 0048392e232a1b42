package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/roster"
)

// Guards against nodes that detect an endpoint's limit one by one, and against senders in
// zones that may be partitioned from the endpoint.
func TestEndpointLimitReachesAllNodes(t *testing.T) {
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {4, 19}, {5, 59}} {
		t.Run(fmt.Sprint(c.zones*c.perZone), func(t *testing.T) {
			is := is.New(t)
			p := newSimFleet(t, c.zones, c.perZone, 0)
			e := roster.Endpoint{ID: "e", Service: "s", Zone: "z1", Domain: "d"}
			for _, n := range p.nodes {
				n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
			}
			limit := 1.9
			p.nodes["z0-0"].backpressureGuard.RecordAnswer("e", backpressure.Signals{Limit: &limit}, p.clock.Now())
			for _, n := range p.nodes {
				is.True(!n.backpressureGuard.Allows("e"))
			}
			p.clock.Advance(4 * time.Second) // the senders may send now, and no other node has replaced them
			var senders []string
			for vm, n := range p.nodes {
				if n.backpressureGuard.Allows("e") {
					senders = append(senders, vm)
					is.True(n.Settings.Zone == "z1" || c.perZone < 3)
				}
			}
			is.Equal(len(senders), 3)

			p.nodes[senders[0]].backpressureGuard.RecordAnswer("e", backpressure.Signals{}, p.clock.Now())
			p.clock.Advance(time.Second)
			for _, n := range p.nodes {
				is.True(n.backpressureGuard.Allows("e"))
			}
		})
	}
}

// Guards against nodes that learn of an endpoint's shutdown from the endpoint list only.
func TestEndpointShutdownReachesAllNodes(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 5, 59, 0)
	e := roster.Endpoint{ID: "e", Service: "s", Zone: "z1", Domain: "d"}
	for _, n := range p.nodes {
		n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
	}
	p.nodes["z0-1"].backpressureGuard.RecordAnswer("e", backpressure.Signals{Leaving: true}, p.clock.Now())
	for _, n := range p.nodes {
		is.True(!n.roster.current.Load().Get("e").Usable())
	}
}
