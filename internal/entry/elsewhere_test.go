package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/board"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Guards against conversions that count on groups which are busy, in an evacuated zone or known
// from an old message only, and against an effect on services that are not contended.
func TestFreeGroupsElsewhere(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	n.Settings.Zones = []string{"a", "b", "c"}
	doc := &catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}}}
	n.config.apply(doc)
	var list []roster.Endpoint
	for _, id := range []string{"a1", "b1", "b2", "c1"} {
		list = append(list, roster.Endpoint{
			ID: roster.ID(id), Service: "s", Zone: id[:1], Domain: "d", Model: "m", Slots: 10,
			Member: roster.Membership{Group: "g" + id, State: roster.Open},
		})
	}
	n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, c.Now(), 0))
	n.loads.recordMeans([]board.MeanLoad{{Zone: "a", Model: "m"}, {Zone: "b", Model: "m", Load: 0.5}, {Zone: "c", Model: "m", Load: 1.5}}, c.Now())
	free := func() float64 { return n.freeGroupsElsewhere("a", &doc.Services[0])["m"] }
	is.Equal(free(), 0.0) // not contended
	n.Contention = ContentionOn
	is.Equal(free(), 0.5) // half of two heads, shared with zone c
	c.Advance(time.Second)
	is.Equal(free(), 0.25)
	n.evacuations.apply(catalog.EvacuationChange{Zones: map[string]bool{"b": true}}, c.Now())
	is.Equal(free(), 0.0)
	n.evacuations.apply(catalog.EvacuationChange{Zones: map[string]bool{"b": false}}, c.Now())
	c.Advance(meanTTL)
	is.Equal(free(), 0.0)
}
