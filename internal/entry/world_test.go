package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/feed"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// worldStore is a store that counts calls and bytes. It has the endpoints of all zones.
type worldStore struct {
	mu        sync.Mutex
	ver       uint64
	rows      map[string]table.Row // of the table of leases
	deleted   map[string]table.Row
	doc       *catalog.Document
	evacuated map[string]bool // by zone; false: taken back
	endpoints []roster.Endpoint
	calls     map[string]int // by kind
	bytes     int
	started   time.Time
	down      bool
}

// Sizes of the platform's responses.
const (
	rowsPerPage       = 500
	bytesPerRow       = 160
	bytesPerEndpoint  = 480
	bytesPerDocument  = 40_000
	bytesPerEmptyCall = 200
)

var errStoreDown = errors.New("store is down")

// call counts a call of a kind that returns bytes, in pages. It takes no virtual time: callers
// that wait for a mutex would stop the bubble's clock.
func (s *worldStore) call(kind string, pages, bytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.calls[kind]++ // the first page fails
		s.bytes += bytesPerEmptyCall
		return errStoreDown
	}
	s.calls[kind] += max(1, pages)
	s.bytes += bytesPerEmptyCall*max(1, pages) + bytes
	return nil
}

func pages(rows int) int { return (rows + rowsPerPage - 1) / rowsPerPage }

func (s *worldStore) Configuration(context.Context) (catalog.Change, error) {
	err := s.call("config", 1, bytesPerDocument)
	s.mu.Lock()
	defer s.mu.Unlock()
	return catalog.Change{
		Document: s.doc, Cursor: catalog.Cursor{Version: s.ver},
		Evacuations: catalog.EvacuationChange{Complete: true, Zones: maps.Clone(s.evacuated)},
	}, err
}

// evacuate begins or ends the evacuation of a zone.
func (s *worldStore) evacuate(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[zone] = evacuated
}

func (s *worldStore) AwaitConfiguration(ctx context.Context, after catalog.Cursor, wait time.Duration) (catalog.Change, error) {
	clock.Sleep(ctx, wait)
	err := s.call("config", 1, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	return catalog.Change{Cursor: after, Evacuations: catalog.EvacuationChange{Zones: maps.Clone(s.evacuated)}}, err
}

func (s *worldStore) Endpoints(context.Context) (roster.Listing, error) {
	err := s.call("endpoints", pages(len(s.endpoints)), len(s.endpoints)*bytesPerEndpoint)
	return roster.Listing{Endpoints: slices.Clone(s.endpoints)}, err
}

func (s *worldStore) Era() uint64 { return 0 }

func (s *worldStore) now() int64 { return time.Since(s.started).Milliseconds() + 1 }

func (s *worldStore) Get(_ context.Context, tab, key string) (table.Row, error) {
	err := s.call("row", 1, bytesPerRow)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	if !ok {
		r = table.Row{Table: tab, Key: key}
	}
	r.ClockMs = s.now()
	return r, err
}

func (s *worldStore) ReadAll(context.Context, string) ([]table.Row, table.Cursor, error) {
	s.mu.Lock()
	rows := len(s.rows)
	s.mu.Unlock()
	err := s.call("all rows", pages(rows), rows*bytesPerRow)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rows)), table.Cursor{Version: s.ver}, err
}

func (s *worldStore) Changes(_ context.Context, _ string, after table.Cursor) (table.Changes, error) {
	s.mu.Lock()
	out := table.Changes{Cursor: table.Cursor{Version: s.ver}}
	for _, r := range s.rows {
		if r.Version > after.Version {
			r.ClockMs = s.now()
			out.Rows = append(out.Rows, r)
		}
	}
	for _, r := range s.deleted {
		if r.Version > after.Version {
			out.Deleted = append(out.Deleted, r)
		}
	}
	s.mu.Unlock()
	return out, s.call("changed rows", 1, len(out.Rows)*bytesPerRow)
}

func (s *worldStore) Commit(_ context.Context, txn table.Txn) (table.Result, error) {
	if err := s.call("write", 1, 0); err != nil {
		return table.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Checks {
		if r := s.rows[c.Key]; r.Version != c.Version {
			return table.Result{Rows: []table.Row{r}, ClockMs: s.now()}, nil
		}
	}
	s.ver++
	res := table.Result{Committed: true, ClockMs: s.now()}
	for _, w := range txn.Writes {
		row := table.Row{Table: w.Table, Key: w.Key, Version: s.ver, Value: w.Value, Attempt: txn.Attempt}
		if w.Delete {
			delete(s.rows, w.Key)
			s.deleted[w.Key] = row
			continue
		}
		delete(s.deleted, w.Key)
		s.rows[w.Key] = row
		res.Rows = append(res.Rows, row)
	}
	return res, nil
}

// count returns the calls since the last count, by kind, and their bytes.
func (s *worldStore) count() (calls map[string]int, total, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, bytes = s.calls, s.bytes
	s.calls, s.bytes = map[string]int{}, 0
	for _, n := range calls {
		total += n
	}
	return calls, total, bytes
}

// world is a fleet of nodes with a store, in virtual time. Nodes poll each other by function
// calls and exchange no messages.
type world struct {
	store   *worldStore
	clock   bubbleClock
	zones   []string
	perZone int
	large   int // nodes of each zone that are large

	mu    sync.Mutex
	nodes map[string]*worldNode // by address
	cuts  map[string]time.Time  // when the cut of a zone from the store and from other zones ends
}

type worldNode struct {
	*Node
	feed *feed.Server
	stop context.CancelFunc
	done sync.WaitGroup
	// isIsolated is set while the node reaches nothing and isn't reached.
	isIsolated bool
	// hasLostStore is set while the node can't reach the store.
	hasLostStore bool
	// sendsInWorld is set once the node's messages reach the other nodes of the world.
	sendsInWorld bool
}

// largeNodes is the usual number of large nodes in each zone; the others are small.
const largeNodes = 2

// newWorld returns a world with endpoints but without running nodes. It must be called in a
// synctest bubble.
func newWorld(zones, perZone, endpoints int) *world {
	w := &world{
		store: &worldStore{
			rows: map[string]table.Row{}, deleted: map[string]table.Row{}, calls: map[string]int{}, started: time.Now(),
			doc: &catalog.Document{Version: 1}, evacuated: map[string]bool{},
		},
		clock: bubbleClock{time.Now()}, perZone: perZone, large: largeNodes, nodes: map[string]*worldNode{}, cuts: map[string]time.Time{},
	}
	for z := range zones {
		w.zones = append(w.zones, fmt.Sprintf("z%d", z))
	}
	for i := range endpoints {
		w.store.endpoints = append(w.store.endpoints, roster.Endpoint{
			ID: roster.NewID(fmt.Sprintf("e%d", i), 1), Service: "s", Domain: "d", Zone: w.zones[i%zones], Slots: 8,
			Member: roster.Membership{Group: fmt.Sprint("g", i/32), Epoch: 1, Rank: i % 32, State: roster.Open},
		})
	}
	return w
}

// startAll starts all nodes at the same moment.
func (w *world) startAll(bootstrap bool) {
	for _, zone := range w.zones {
		for i := range w.perZone {
			w.start(zone, i, bootstrap)
		}
	}
}

// startVM starts another process on a VM.
func (w *world) startVM(vm string) {
	zone, number, _ := strings.Cut(vm, "-")
	i, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	w.start(zone, i, false)
}

func (w *world) start(zone string, i int, bootstrap bool) {
	cores := 0.2
	if i < w.large {
		cores = 0.8
	}
	vm := fmt.Sprintf("%s-%d", zone, i)
	x := &worldNode{}
	n := New(Options{
		Settings: &Settings{
			VM: vm, Zone: zone, Zones: w.zones, Cores: cores, PeerAddr: vm, Bootstrap: bootstrap, RevokeAfter: 5 * time.Second,
			MaxConfigDelay: 5 * time.Second, StrictRevocation: true, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		},
		Store: nodeStore{w.store, func() bool { return !w.reachesStore(x) }}, Clock: w.clock, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
	n.follower.client = nodeFeeds{w, x}
	ctx, stop := context.WithCancel(context.Background())
	x.Node, x.feed, x.stop = n, n.newFeedServer(), stop
	w.mu.Lock()
	w.nodes[vm] = x
	w.mu.Unlock()
	run := func(f func(context.Context) error) { x.done.Go(func() { _ = f(ctx) }) }
	run(n.config.run)
	run(n.roster.run)
	run(n.follower.run)
	run(n.announcer.run)
	run(func(ctx context.Context) error { _ = n.runAnnounce(ctx); return nil })
	for _, m := range n.leases {
		run(m.Run)
	}
}

// killAll ends all nodes without a trace in the store.
func (w *world) killAll() {
	w.killNodes(slices.Collect(maps.Keys(w.nodes)))
	w.store.count()
}

// killNodes ends nodes without a trace in the store.
func (w *world) killNodes(vms []string) {
	for _, vm := range vms {
		w.setIsolated(vm, true)
	}
	w.stopNodes(vms)
}

func (w *world) stopAll() { w.stopNodes(slices.Collect(maps.Keys(w.nodes))) }

// stopNodes shuts nodes down.
func (w *world) stopNodes(vms []string) {
	for _, vm := range vms {
		w.nodes[vm].stop()
	}
	for _, vm := range vms {
		w.nodes[vm].done.Wait()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range vms {
		delete(w.nodes, vm)
	}
}

// setIsolated cuts a node off from everything, or ends that.
func (w *world) setIsolated(vm string, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[vm].isIsolated = isolated
}

// cutZone cuts a zone off from the store and from the other zones.
func (w *world) cutZone(zone string, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[zone] = until
}

func (w *world) endCuts(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.cuts, func(_ string, until time.Time) bool { return now.After(until) })
}

func (w *world) isCut(zone string) bool { return !w.cuts[zone].IsZero() }

func (w *world) reachesStore(x *worldNode) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !x.isIsolated && !x.hasLostStore && !w.isCut(x.Settings.Zone)
}

// reaches reports whether a node reaches another one; w.mu must be held.
func (w *world) reaches(x, y *worldNode) bool {
	if x.isIsolated || y.isIsolated {
		return false
	}
	return x.Settings.Zone == y.Settings.Zone || !w.isCut(x.Settings.Zone) && !w.isCut(y.Settings.Zone)
}

// nodeStore is the store as seen by a node that may be cut off from it.
type nodeStore struct {
	*worldStore
	isCut func() bool
}

// callUncut makes a call unless the node is cut off.
func callUncut[T any](s nodeStore, call func() (T, error)) (T, error) {
	if s.isCut() {
		var none T
		return none, errStoreDown
	}
	return call()
}

func (s nodeStore) Configuration(ctx context.Context) (catalog.Change, error) {
	return callUncut(s, func() (catalog.Change, error) { return s.worldStore.Configuration(ctx) })
}

func (s nodeStore) AwaitConfiguration(ctx context.Context, after catalog.Cursor, wait time.Duration) (catalog.Change, error) {
	return callUncut(s, func() (catalog.Change, error) { return s.worldStore.AwaitConfiguration(ctx, after, wait) })
}

func (s nodeStore) Endpoints(ctx context.Context) (roster.Listing, error) {
	return callUncut(s, func() (roster.Listing, error) { return s.worldStore.Endpoints(ctx) })
}

func (s nodeStore) Get(ctx context.Context, tab, key string) (table.Row, error) {
	return callUncut(s, func() (table.Row, error) { return s.worldStore.Get(ctx, tab, key) })
}

func (s nodeStore) ReadAll(ctx context.Context, tab string) ([]table.Row, table.Cursor, error) {
	if s.isCut() {
		return nil, table.Cursor{}, errStoreDown
	}
	return s.worldStore.ReadAll(ctx, tab)
}

func (s nodeStore) Changes(ctx context.Context, tab string, after table.Cursor) (table.Changes, error) {
	return callUncut(s, func() (table.Changes, error) { return s.worldStore.Changes(ctx, tab, after) })
}

func (s nodeStore) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	return callUncut(s, func() (table.Result, error) { return s.worldStore.Commit(ctx, txn) })
}

// nodeFeeds polls other nodes as one node can reach them.
type nodeFeeds struct {
	w    *world
	self *worldNode
}

var errNoFeed = errors.New("no feed at this address")

// pollLatency is the time of one poll.
const pollLatency = 3 * time.Millisecond

// Poll answers a poll as the node at addr does.
func (f nodeFeeds) Poll(ctx context.Context, addr string, q feed.PollRequest) (*feed.State, feed.Ages, error) {
	time.Sleep(pollLatency)
	w := f.w
	w.mu.Lock()
	x := w.nodes[addr]
	if x != nil && !w.reaches(f.self, x) {
		x = nil
	}
	w.mu.Unlock()
	if x == nil || ctx.Err() != nil {
		return nil, feed.Ages{}, errNoFeed
	}
	if !x.feed.Serving() || q.Complete && !x.feed.ReadsAllEndpoints() {
		return nil, feed.Ages{}, feed.ErrNotReading
	}
	x.feed.OnPoll(q)
	s, ages := feed.BuildResponse(x.feed.Source, x.feed.Journal, q.Have, w.clock.Now())
	return &s, ages, nil
}

// ready returns the number of nodes that know the configuration and the endpoints.
func (w *world) ready() (n int) {
	for _, x := range w.nodes {
		if x.acceptsKeys() && x.roster.current.Load().IsLoaded() {
			n++
		}
	}
	return n
}

// runWorld runs f with a world of five zones in virtual time.
func runWorld(t *testing.T, perZone, endpoints int, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newWorld(5, perZone, endpoints)
		f(w)
		w.stopAll()
	})
}

// Bounds of the calls and bytes at the store.
const (
	maxCallsPerStart = 1.5
	maxBytesPerStart = 30_000
	// maxFixedCalls are the calls of a start that don't grow with the nodes.
	maxFixedCalls = 200
	// maxCallsPerSecond are the calls of duty holders without those for the endpoint list.
	maxCallsPerSecond = 30
	maxBytesPerCall   = 1000                   // for those calls
	maxReturnTime     = 500 * time.Millisecond // until nine of ten nodes are ready after a loss of power
)

// Guards against calls and bytes at the store that grow with the square of the nodes when all of
// them start, for the first time or after a loss of power, and against reads that grow with the
// number of zones times that of all endpoints afterwards.
func TestCallsOfStartingFleet(t *testing.T) {
	for _, perZone := range []int{40, 200, 400} {
		nodes, endpoints := 5*perZone, 16*perZone
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			runWorld(t, perZone, endpoints, func(w *world) {
				w.startAll(true)
				time.Sleep(5 * time.Second)
				w.checkStart(t, "first start", nodes, endpoints, 5*time.Second)
				const watched = 3 * time.Second
				time.Sleep(watched)
				calls, total, read := w.store.count()
				listCalls := float64(pages(endpoints)) * (watched.Seconds() + 1)
				if limit := maxCallsPerSecond*watched.Seconds() + listCalls; float64(total) > limit {
					t.Errorf("%d calls in %v, %v allowed: %v", total, watched, limit, calls)
				}
				lists := (watched.Seconds() + 1) * float64(endpoints*bytesPerEndpoint)
				if limit := lists + watched.Seconds()*maxCallsPerSecond*maxBytesPerCall; float64(read) > limit {
					t.Errorf("%d bytes read in %v, %v allowed", read, watched, limit)
				}
				w.killAll()
				time.Sleep(500 * time.Millisecond)
				w.startAll(false)
				time.Sleep(maxReturnTime)
				if ready := w.ready(); ready < nodes*9/10 {
					t.Errorf("%d of %d nodes are ready %v after the return of power", ready, nodes, maxReturnTime)
				}
				time.Sleep(5*time.Second - maxReturnTime)
				w.checkStart(t, "return of power", nodes, endpoints, 5*time.Second)
			})
		})
	}
}

// Guards against a read of all rows by each node of a zone whose duty holder comes after the lookup of
// the others, as after a lost election.
func TestCallsOfStartingFleetWithLateHolders(t *testing.T) {
	const (
		perZone  = 40
		late     = 650 * time.Millisecond
		lateZone = 3 // the first zone whose large nodes start late
	)
	runWorld(t, perZone, 16*perZone, func(w *world) {
		start := func(isLate bool) {
			for z, zone := range w.zones {
				for i := range perZone {
					if isLate == (z >= lateZone && i < w.large) {
						w.start(zone, i, true)
					}
				}
			}
		}
		start(false)
		time.Sleep(late)
		start(true)
		time.Sleep(5*time.Second - late)
		w.checkStart(t, "first start", 5*perZone, 16*perZone, 5*time.Second)
	})
}

// checkStart checks that all nodes are ready, and the calls since the last count.
func (w *world) checkStart(t *testing.T, name string, nodes, endpoints int, took time.Duration) {
	t.Helper()
	calls, total, read := w.store.count()
	t.Logf("%s: %d calls %v, %d bytes a node", name, total, calls, read/nodes)
	steady := maxCallsPerSecond*took.Seconds() + float64(pages(endpoints))*(took.Seconds()+float64(len(w.zones)))
	if limit := maxCallsPerStart*float64(nodes) + maxFixedCalls + steady; float64(total) > limit {
		t.Errorf("%s: %d calls, %v allowed: %v", name, total, limit, calls)
	}
	lists := float64(endpoints*bytesPerEndpoint) * (took.Seconds() + float64(len(w.zones)))
	if limit := maxBytesPerStart*float64(nodes) + lists; float64(read) > limit {
		t.Errorf("%s: %d bytes read, %v allowed", name, read, limit)
	}
	if ready := w.ready(); ready != nodes {
		t.Errorf("%s: %d of %d nodes are ready", name, ready, nodes)
	}
}
