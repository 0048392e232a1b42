package test

import (
	"fmt"
	"net/http"
	"testing"

	"chervilloom/internal/testkit"
)

// lookups sends n lookups through a node. All of them must be served.
func (f *entryFleet) lookups(n *entryNode, name string, count int) {
	f.t.Helper()
	for k := range count {
		if code, body := f.status(n, "GET", "/lookup/x", fmt.Sprint(name, k), nil); code != http.StatusOK {
			f.t.Errorf("lookup %d through %s: status %d, %s", k, n.name, code, body)
		}
	}
}

// Guards against requests that reach the endpoints of a zone that the operator evacuates: from
// nodes of any zone, from one that starts meanwhile, and while the store is down.
func TestEntryEvacuatesZone(t *testing.T) {
	f := startEntryFleet(t, "a", "a", "b")
	evacuated, other := f.fleet.Get("i-p0"), f.fleet.Get("i-p1")
	head := f.fleet.OpenHeads("m")[0]
	f.lookups(f.nodes[0], "before", 10)

	f.store.Put("op", "evacuate/a", map[string]any{})
	f.store.Put("op", "evacuate/nowhere", map[string]any{})
	for _, n := range f.nodes {
		n.awaitLine(t, "evacuation of an unknown zone has no effect")
		n.awaitLine(t, "zone is evacuated")
	}
	before, headBefore, otherBefore := evacuated.Pressure.Arrivals(), head.Pressure.Arrivals(), other.Pressure.Arrivals()
	f.startNode("front-a-late", "a")
	late := f.nodes[len(f.nodes)-1]
	testkit.Eventually(t, "the late node is ready", func() bool { return f.isReady(late) })
	f.store.SetDown(true)
	for i, n := range f.nodes {
		f.lookups(n, fmt.Sprintf("during%d-", i), 10)
		if code, _ := f.status(n, "POST", "/text/x", fmt.Sprintf("stream%d", i), textHeader(7)); code != http.StatusServiceUnavailable {
			t.Errorf("stream through %s during the evacuation of all engines: status %d", n.name, code)
		}
	}
	f.store.SetDown(false)
	if got := evacuated.Pressure.Arrivals() - before + head.Pressure.Arrivals() - headBefore; got > 0 {
		t.Errorf("%d requests reached the evacuated zone", got)
	}
	if other.Pressure.Arrivals() == otherBefore {
		t.Error("no request reached the other zone")
	}

	f.store.Delete("op", "evacuate/a")
	for i, n := range f.nodes {
		n.awaitLine(t, "evacuation of a zone ended")
		testkit.Eventually(t, "the zone serves again", func() bool {
			code, _ := f.status(n, "POST", "/text/x", fmt.Sprintf("after%d", i), textHeader(7))
			return code == http.StatusOK
		})
	}
}
