package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
)

// bubbleClock reads the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

// Now returns the time since the bubble's start plus an hour.
func (c bubbleClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(c.start)) }

// simulateOutage simulates, in virtual time, nodes that follow no other node while the
// store fails. It returns the number of calls during the outage and the time from recovery
// to the first call.
func simulateOutage(t *testing.T, zones, perZone int, down time.Duration) (calls int, first time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := &fakeStore{down: true}
		now := bubbleClock{time.Now()}
		p := newSimFleet(t, zones, perZone, 0)
		var running sync.WaitGroup
		for _, n := range p.nodes {
			n.Clock = now
			n.Store, n.leaseCache.Table = store, store
			n.config.source, n.config.clock, n.roster.source, n.roster.clock, n.leaseCache.clock = store, n.Clock, store, n.Clock, n.Clock
			n.follower.clock = n.Clock
			n.config.apply(&catalog.Document{Version: 1})
			n.holdsDuty = func(zone string) bool { return n.Settings.VM == zone+"-0" }
			running.Go(func() { _ = n.config.run(ctx) })
			running.Go(func() { _ = n.roster.run(ctx) })
			running.Go(func() { // the lease managers of all zones
				for ctx.Err() == nil {
					for range n.Settings.Zones {
						_, _ = n.leaseCache.Get(ctx, table.TableLeases, "z0")
					}
					clock.Sleep(ctx, leasePollInterval)
				}
			})
		}
		time.Sleep(down)
		store.mu.Lock()
		calls, store.calls = store.calls, 0
		store.mu.Unlock()
		for first < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
			first += 10 * time.Millisecond
			store.mu.Lock()
			again := store.calls
			store.mu.Unlock()
			if again > 0 {
				break
			}
		}
		cancel()
		running.Wait()
	})
	return calls, first
}

// Guards against thousands of calls to a failed store: during an outage of 8 s each of 75
// nodes asked it for configuration, endpoints and the leases of each zone. Only a few nodes
// of each zone keep the usual rate and detect the recovery within half a second; the number
// of calls grows less than the number of nodes.
func TestFewNodesCallFailingStore(t *testing.T) {
	const down = 8 * time.Second
	for _, c := range []struct{ zones, perZone, most int }{{3, 2, 400}, {3, 25, 1500}, {5, 59, 6000}} {
		t.Run(fmt.Sprintf("%d zones of %d", c.zones, c.perZone), func(t *testing.T) {
			is := is.New(t)
			calls, first := simulateOutage(t, c.zones, c.perZone, down)
			t.Logf("%d calls in %v, the first %v after the return", calls, down, first)
			is.True(calls <= c.most)
			is.True(first <= 500*time.Millisecond)
		})
	}
}
