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

// bubbleClock is the virtual time of a test's bubble.
type bubbleClock struct{ start time.Time }

// Now returns the time since the bubble's start, and an hour.
func (c bubbleClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(c.start)) }

// outage plays nodes that nobody keeps up to date while the store fails, in virtual time. It
// returns the calls to the store, and when the first one came after its return.
func outage(t *testing.T, zones, perZone int, down time.Duration) (calls int, first time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := &fakeStore{down: true}
		now := bubbleClock{time.Now()}
		p := newPaper(t, zones, perZone, 0)
		var running sync.WaitGroup
		for _, n := range p.nodes {
			n.Clock = now
			n.Store, n.leaseRows.Table = store, store
			n.config.source, n.config.clock, n.roster.source, n.roster.clock, n.leaseRows.clock = store, n.Clock, store, n.Clock, n.Clock
			n.follower.clock = n.Clock
			n.config.apply(&catalog.Document{Version: 1})
			n.holds = func(zone string) bool { return n.Settings.VM == zone+"-0" }
			running.Go(func() { _ = n.config.run(ctx) })
			running.Go(func() { _ = n.roster.run(ctx) })
			running.Go(func() { // the managers of all zones
				for ctx.Err() == nil {
					for range n.Settings.Zones {
						_, _ = n.leaseRows.Get(ctx, table.TableLeases, "z0")
					}
					clock.Sleep(ctx, leasePoll)
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

// The store fails for eight seconds. Each of 75 nodes asked it for configuration, endpoints
// and, for each zone, leases: thousands of calls that nobody could answer. A few nodes of each zone
// look for its return, within half a second; what the others ask grows less than with the
// nodes.
func TestFailingStoreIsAskedByFew(t *testing.T) {
	const down = 8 * time.Second
	for _, c := range []struct{ zones, perZone, most int }{{3, 2, 400}, {3, 25, 1500}, {5, 59, 6000}} {
		t.Run(fmt.Sprintf("%d zones of %d", c.zones, c.perZone), func(t *testing.T) {
			is := is.New(t)
			calls, first := outage(t, c.zones, c.perZone, down)
			t.Logf("%d calls in %v, the first %v after the return", calls, down, first)
			is.True(calls <= c.most)
			is.True(first <= 500*time.Millisecond)
		})
	}
}
