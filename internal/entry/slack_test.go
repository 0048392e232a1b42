package entry

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
	"chervilloom/internal/retry"
)

var slackSeeds = flag.Uint64("slack.seeds", 3, "number of seeds that TestFleetKeepsToTheRetrySlack plays for each small fleet")

// slackPlay simulates a fleet whose nodes use all the retry slack that they believe to have, while
// processes end, start, freeze, leave and join, and zones and the store can't be reached.
type slackPlay struct {
	*world
	rng     *rand.Rand
	zones   []int // nodes of each zone
	budgets map[string]*slackNode
	repeats []clock.Instant
	down    time.Time // when the store answers again
	events  []string
}

// slackNode is a VM with the retry budget of its present process.
type slackNode struct {
	zone   string
	i      int
	budget *retry.WindowedBudget // nil: no process
	upAt   time.Time             // when its next process starts; zero: never
	wakeAt time.Time             // end of a freeze
	gone   bool                  // left for good
}

const (
	slackStep      = 50 * time.Millisecond
	longestOutage  = 12 * time.Second // longer than any lease
	longestRestart = 1500 * time.Millisecond
)

// startNode starts a process on a VM.
func (p *slackPlay) startNode(vm string, bootstrap bool) {
	v := p.budgets[vm]
	p.start(v.zone, v.i, bootstrap)
	v.budget, v.upAt, v.gone = p.nodes[vm].newBudget(), time.Time{}, false
}

func (p *slackPlay) add(zone string, i int) string {
	vm := fmt.Sprintf("%s-%d", zone, i)
	p.budgets[vm] = &slackNode{zone: zone, i: i}
	return vm
}

// vms returns the VMs for which keep is true, in random order.
func (p *slackPlay) vms(keep func(*slackNode) bool) []string {
	var out []string
	for vm, v := range p.budgets {
		if keep(v) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (v *slackNode) runs() bool { return v.budget != nil }

// some returns a random part of the VMs with a process, at least one.
func (p *slackPlay) some(most float64) []string {
	all := p.vms((*slackNode).runs)
	if len(all) == 0 {
		return nil
	}
	return all[:min(len(all), 1+int(p.rng.Float64()*most*float64(len(all))))]
}

func (p *slackPlay) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rng.Int64N(int64(most-least)))
}

// disrupt brings about one random disruption.
func (p *slackPlay) disrupt() {
	now := time.Now()
	note := func(format string, args ...any) {
		p.events = append(p.events, fmt.Sprintf("%.1fs ", now.Sub(p.store.started).Seconds())+fmt.Sprintf(format, args...))
	}
	switch p.rng.IntN(9) {
	case 0, 1, 2:
		hit := p.some(1.1)
		note("%d killed", len(hit))
		p.kill(hit)
	case 3:
		hit, length := p.some(0.7), p.duration(time.Second, longestOutage)
		note("%d frozen for %v", len(hit), length)
		for _, vm := range hit {
			p.budgets[vm].wakeAt = now.Add(length)
			p.setIsolated(vm, true)
		}
	case 4:
		zone, length := p.world.zones[p.rng.IntN(len(p.world.zones))], p.duration(time.Second, longestOutage)
		note("%s cut for %v", zone, length)
		p.cutZone(zone, now.Add(length))
	case 5:
		length := p.duration(time.Second, longestOutage)
		note("store down for %v", length)
		p.store.setDown(true)
		p.down = now.Add(length)
	case 6:
		hit := p.some(0.4)
		note("%d leave", len(hit))
		p.stopNodes(hit)
		for _, vm := range hit {
			v := p.budgets[vm]
			v.budget, v.wakeAt, v.gone = nil, time.Time{}, true
		}
	case 7:
		back := p.vms(func(v *slackNode) bool { return v.gone })
		note("%d come back", len(back))
		for _, vm := range back {
			p.startNode(vm, false)
		}
	case 8:
		zone := p.world.zones[p.rng.IntN(len(p.world.zones))]
		joins := 1 + p.rng.IntN(max(1, len(p.budgets)/4))
		note("%d join in %s", joins, zone)
		for range joins {
			p.startNode(p.add(zone, len(p.budgets)), false)
		}
	}
}

// kill ends processes without a trace in the store; others start after a while.
func (p *slackPlay) kill(vms []string) {
	p.killNodes(vms)
	restart := p.duration(200*time.Millisecond, longestRestart)
	for _, vm := range vms {
		v := p.budgets[vm]
		v.budget, v.upAt, v.wakeAt = nil, time.Now().Add(restart), time.Time{}
	}
}

// advance ends what is over and lets each node take all the repeats that it may.
func (p *slackPlay) advance() {
	now := time.Now()
	if !p.down.IsZero() && now.After(p.down) {
		p.down = time.Time{}
		p.store.setDown(false)
	}
	p.endCuts(now)
	for _, vm := range p.vms(func(v *slackNode) bool { return v.upAt != (time.Time{}) && now.After(v.upAt) }) {
		p.startNode(vm, false)
	}
	for vm, v := range p.budgets {
		if !v.wakeAt.IsZero() && now.After(v.wakeAt) {
			v.wakeAt = time.Time{}
			p.setIsolated(vm, false)
		}
		for v.runs() && v.wakeAt.IsZero() && v.budget.Allow() {
			p.repeats = append(p.repeats, p.clock.Now())
		}
	}
}

// worstWindow returns the most repeats in any window of the limit.
func (p *slackPlay) worstWindow(window time.Duration) (most int, end clock.Instant) {
	for _, at := range slices.Compact(slices.Clone(p.repeats)) {
		if k := countAfter(p.repeats, at.Add(-window)) - countAfter(p.repeats, at); k > most {
			most, end = k, at
		}
	}
	return most, end
}

// run plays a fleet from its first start on.
func (p *slackPlay) run(length time.Duration) {
	p.budgets = map[string]*slackNode{}
	for z, nodes := range p.zones {
		for i := range nodes {
			p.startNode(p.add(p.world.zones[z], i), true)
		}
	}
	const calm = 2 * time.Second
	next := time.Now().Add(p.duration(0, calm))
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(slackStep)
		if time.Now().After(next) {
			p.disrupt()
			next = time.Now().Add(p.duration(200*time.Millisecond, 4*time.Second))
		}
		p.advance()
	}
	p.stopAll()
}

// Guards against retries beyond the slack of the platform's limit by a fleet whose nodes are
// mistaken about how many there are: at a start, and while nodes are killed, frozen, leave or join
// and zones or the store can't be reached.
func TestFleetKeepsToTheRetrySlack(t *testing.T) {
	const window, slack = 10 * time.Second, 100.0
	for _, c := range []struct {
		zones  []int
		large  int // of each zone
		length time.Duration
		seeds  uint64
	}{
		{[]int{2, 2, 2}, 2, time.Minute, 10 * *slackSeeds},
		{[]int{5, 1}, 2, time.Minute, 10 * *slackSeeds},
		{[]int{24, 24, 23}, 2, 40 * time.Second, *slackSeeds},
		{[]int{24, 24, 23}, 24, 40 * time.Second, *slackSeeds},
		{[]int{197, 197, 197, 197, 197}, 2, 12 * time.Second, *slackSeeds / 3},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%v nodes, %d large, seed %d", c.zones, c.large, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := &slackPlay{world: newWorld(len(c.zones), 0, 64), rng: rand.New(rand.NewPCG(seed, 7)), zones: c.zones}
					p.large = c.large
					p.run(c.length)
					most, end := p.worstWindow(window)
					t.Logf("%d repeats, at most %d in %v", len(p.repeats), most, window)
					if float64(most) > slack {
						t.Errorf("%d repeats in the window that ends at %.1f s, %v allowed; events: %q", most, (time.Duration(end) - time.Hour).Seconds(), slack, p.events)
					}
				})
			})
		}
	}
}

// Guards against nodes that retry by the ratio alone for long after their start, because their
// share of the slack isn't known.
func TestStartingNodesSoonKnowTheirShareOfTheSlack(t *testing.T) {
	const firstStart, returnOfPower = 3 * time.Second, time.Second
	for _, c := range []struct{ zones, perZone int }{{3, 2}, {3, 24}, {5, 197}} {
		t.Run(fmt.Sprint(c.zones*c.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(c.zones, c.perZone, 64)
				defer w.stopAll()
				awaitShares := func(start string, bound time.Duration) {
					began := time.Now()
					for w.countUnknownShares() > 0 {
						if time.Since(began) > bound {
							t.Fatalf("%s: %d nodes don't know their share after %v", start, w.countUnknownShares(), bound)
						}
						time.Sleep(slackStep)
					}
					t.Logf("%s: known to all after %v", start, time.Since(began))
				}
				w.startAll(true)
				awaitShares("first start", firstStart)
				time.Sleep(5 * time.Second)
				w.killAll()
				w.startAll(false)
				awaitShares("return of power", returnOfPower)
			})
		})
	}
}

// Guards against a node that loses its own row, and with it its share of the slack, to a read that
// began before the row was written.
func TestNodeIsListedThoughItsRowWasWrittenDuringARead(t *testing.T) {
	is := is.New(t)
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	store := &slowReadStore{worldStore: newWorld(1, 0, 0).store, asked: make(chan struct{}), release: make(chan struct{})}
	n.leaseCache.Table = store
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	read := make(chan error, 1)
	go func() { read <- n.leaseCache.refresh(ctx, table.TableLeases) }()
	<-store.asked
	announced := make(chan error, 1)
	go func() { announced <- n.runAnnounce(ctx) }()
	for store.countWrites() == 0 {
		runtime.Gosched()
	}
	close(store.release)
	is.NoErr(<-read)
	for !n.rowWritten.Load() {
		runtime.Gosched()
	}
	is.Equal(n.budgetNodes(), 1)
	cancel()
	is.NoErr(<-announced)
}

// slowReadStore is a store whose first read of all rows is answered after release is closed, with the
// rows as they were when it was asked.
type slowReadStore struct {
	*worldStore
	asked, release chan struct{}
	once           sync.Once
}

func (s *slowReadStore) ReadAll(ctx context.Context, tab string) ([]table.Row, table.Cursor, error) {
	rows, cursor, err := s.worldStore.ReadAll(ctx, tab)
	s.once.Do(func() {
		close(s.asked)
		<-s.release
	})
	return rows, cursor, err
}

func (s *slowReadStore) countWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls["write"]
}

// countUnknownShares returns the number of nodes that don't know their share of the retry slack.
func (w *world) countUnknownShares() (n int) {
	for _, x := range w.nodes {
		if x.budgetNodes() == 0 {
			n++
		}
	}
	return n
}
