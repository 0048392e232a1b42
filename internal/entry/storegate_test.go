package entry

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
)

// outage is how long the store of the simulated fleets fails.
const outage = 12 * time.Second

// countOutageCalls returns the calls of a fleet to a store that fails, from now on and until the
// store is back.
func (w *world) countOutageCalls(start func()) int {
	w.store.setDown(true)
	w.store.count()
	start()
	time.Sleep(outage)
	_, calls, _ := w.store.count()
	w.store.setDown(false)
	return calls
}

func (s *worldStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Guards against calls to a store that is down by all nodes of a fleet, where a few of each zone can
// tell the others, and by nodes that start again, each of which asks for all it needs as if it were
// alone: after a loss of all nodes at most twice those of nodes that live on.
func TestFleetSparesFailingStore(t *testing.T) {
	const (
		callsPerFewNode   = 8 * 12 // eight a second: configuration, endpoints, leases and their renewal
		callsPerOtherNode = 5
		// times from the store's return until nine of ten nodes are ready
		returnTime       = 2 * time.Second
		returnTimeOfLost = 6 * time.Second // after a loss of all nodes
	)
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {3, 24}, {5, 197}} {
		nodes := c.zones * c.perZone
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(c.zones, c.perZone, 16*c.perZone)
				w.startAll(true)
				time.Sleep(6 * time.Second)
				alive := w.countOutageCalls(func() {})
				few := min(nodes, c.zones*fullRateNodes)
				if bound := few*callsPerFewNode + (nodes-few)*callsPerOtherNode; alive > bound {
					t.Errorf("%d calls by nodes that live on, %d allowed", alive, bound)
				}
				w.checkReady(t, returnTime)
				time.Sleep(2 * time.Second)
				w.killAll()
				started := w.countOutageCalls(func() { w.startAll(false) })
				t.Logf("%d calls in %v by nodes that live on, %d after a loss of all", alive, outage, started)
				if started > 2*alive {
					t.Errorf("%d calls after a loss of all, %d allowed", started, 2*alive)
				}
				w.checkReady(t, returnTimeOfLost)
				w.stopAll()
			})
		})
	}
}

// checkReady checks that nine of ten nodes are ready some time after the store's return.
func (w *world) checkReady(t *testing.T, after time.Duration) {
	t.Helper()
	time.Sleep(after)
	if ready := w.ready(); ready < len(w.nodes)*9/10 {
		t.Errorf("%d of %d nodes are ready %v after the store's return", ready, len(w.nodes), after)
	}
}

// Guards against nodes that wait for a holder that has lost the store for good while others read it:
// the store was away for a moment, so that each of them has seen it fail.
func TestNodesFindReaderWhileHoldersHaveLostStore(t *testing.T) {
	const returnTime = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 24, 64)
		defer w.stopAll()
		w.startAll(true)
		time.Sleep(6 * time.Second)
		w.store.setDown(true)
		time.Sleep(4 * time.Second) // longer than a follower's state is used
		lost := 0
		for _, x := range w.nodes {
			if slices.ContainsFunc(w.zones, func(zone string) bool { return x.leaseCache.owner(zone) == x.Settings.VM }) {
				w.loseStore(x)
				lost++
			}
		}
		w.store.setDown(false)
		time.Sleep(returnTime)
		if ready := w.ready(); ready < len(w.nodes)-lost {
			t.Errorf("%d of %d nodes are ready %v after the store's return; %d holders have lost it", ready, len(w.nodes), returnTime, lost)
		}
	})
}

// loseStore cuts a node off from the store alone.
func (w *world) loseStore(x *worldNode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.hasLostStore = true
}

// A store that hasn't answered a process gets one call at a time, at growing intervals. Calls that
// began before the first failure count as one, and the first answer ends the spacing.
func TestStoreGateSpacesCallsUntilFirstAnswer(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	store := &fakeStore{down: true}
	g := newStoreGate(Options{
		Settings: &Settings{Cores: 0.2}, Store: store, Clock: c, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
	first, err := g.begin()
	is.NoErr(err)
	second, err := g.begin()
	is.NoErr(err)
	g.end(first, errDown)
	g.end(second, errDown)
	is.Equal(g.failures, 1)
	ask := func() { _, _ = g.Get(context.Background(), table.TableLeases, "z") }
	const seconds = 60
	for range 10 * seconds {
		c.Advance(100 * time.Millisecond)
		ask()
	}
	is.True(store.calls >= seconds/3)
	is.True(store.calls <= seconds)
	is.Equal(g.age(), time.Duration(0))

	store.down = false
	for range 40 {
		c.Advance(100 * time.Millisecond)
		ask()
	}
	is.True(!g.isClosed())
	is.True(g.age() > 0 && g.age() <= 4*time.Second)
	store.down = true
	before := store.calls
	for range 5 {
		ask()
	}
	is.Equal(store.calls, before+5)
}

// Probes of a store that hangs don't add up.
func TestStoreGateMakesOneCallAtATime(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	g := newStoreGate(Options{
		Settings: &Settings{}, Store: &fakeStore{}, Clock: c, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
	g.end(false, errDown)
	c.Advance(time.Minute)
	probe, err := g.begin()
	is.NoErr(err)
	is.True(probe)
	_, err = g.begin()
	is.Equal(err, errStoreSilent)
	g.end(probe, nil)
	_, err = g.begin()
	is.NoErr(err)
}
