package entry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
)

// Guards against an evacuation that is lost or ends early because an older set of evacuated zones
// arrives from another node, or because another zone's evacuation changes.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	e := &evacuations{zones: []string{"a", "b"}, clock: c, log: slog.New(slog.DiscardHandler)}
	begin := c.Now()
	e.apply(catalog.EvacuationChange{Zones: map[string]bool{"a": true}}, begin)
	e.applyPeerList([]string{}, begin.Add(-time.Second)) // read before the evacuation
	e.applyPeerList(nil, begin.Add(time.Second))         // of a node that doesn't report evacuations
	is.Equal(e.list(), []string{"a"})
	e.apply(catalog.EvacuationChange{Zones: map[string]bool{"b": true}}, begin.Add(time.Second))
	is.Equal(e.list(), []string{"a", "b"})
	e.applyPeerList([]string{"b"}, begin.Add(2*time.Second))
	is.Equal(e.list(), []string{"b"})
	is.True(e.presumedCold()["a"])
	c.Advance(coldReportDelay)
	is.True(!e.presumedCold()["a"])
}

// Guards against nodes that learn late of an evacuation or of its end, against a node that starts
// during one and serves without knowing it, and against full load at the end of an evacuation,
// when the endpoints are cold.
func TestEvacuationReachesAllNodes(t *testing.T) {
	const evacuateWithin = 5 * time.Second
	runWorld(t, 200, 100, func(w *world) {
		w.startAll(true)
		time.Sleep(3 * time.Second)
		w.store.evacuate("z1", true)
		time.Sleep(evacuateWithin)
		w.checkEvacuated(t, true)
		w.start("z1", w.perZone, false)
		w.start("z2", w.perZone, false)
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			for _, vm := range []string{"z1-200", "z2-200"} {
				if x := w.nodes[vm]; x.config.current.Load() != nil && !x.evacuations.contains("z1") {
					t.Fatalf("%s serves without knowing the evacuation", vm)
				}
			}
		}
		w.store.evacuate("z1", false)
		time.Sleep(evacuateWithin / 2)
		w.checkEvacuated(t, false)
		for vm, x := range w.nodes {
			if !x.evacuations.presumedCold()["z1"] {
				t.Errorf("%s doesn't presume the zone's endpoints to be cold", vm)
			}
		}
	})
}

func (w *world) checkEvacuated(t *testing.T, want bool) {
	t.Helper()
	for vm, x := range w.nodes {
		if x.evacuations.contains("z1") != want || x.evacuations.contains("z0") {
			t.Errorf("%s knows the evacuated zones as %v", vm, x.evacuations.list())
		}
	}
}

// Guards against group changes in an evacuated zone: its engines get neither probes nor orders.
func TestControllerStopsInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	for _, c := range n.controllers {
		is.Equal(c.Evacuated(), false)
	}
	n.evacuations.apply(catalog.EvacuationChange{Zones: map[string]bool{"b": true}}, n.Clock.Now())
	for _, c := range n.controllers {
		is.Equal(c.Evacuated(), c.Zone == "b")
	}
}
