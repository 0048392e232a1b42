package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/feed"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// fakeStore is an in-memory store that can be made to fail.
type fakeStore struct {
	mu    sync.Mutex
	down  bool
	doc   *catalog.Document
	rows  map[string]table.Row
	calls int
}

var errDown = errors.New("down")

func (s *fakeStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errDown
	}
	return nil
}

func (s *fakeStore) Configuration(context.Context) (catalog.Change, error) {
	return catalog.Change{Document: s.doc, Cursor: catalog.Cursor{Version: 1}}, s.call()
}

func (s *fakeStore) AwaitConfiguration(context.Context, catalog.Cursor, time.Duration) (catalog.Change, error) {
	return catalog.Change{Cursor: catalog.Cursor{Version: 1}}, s.call()
}

func (s *fakeStore) Endpoints(context.Context) (roster.Listing, error) {
	return roster.Listing{}, s.call()
}

// Era returns 0: this store has no eras.
func (s *fakeStore) Era() uint64 { return 0 }

func (s *fakeStore) Get(_ context.Context, tab, key string) (table.Row, error) {
	if err := s.call(); err != nil {
		return table.Row{}, err
	}
	return s.rows[key], nil
}

func (s *fakeStore) ReadAll(context.Context, string) ([]table.Row, table.Cursor, error) {
	if err := s.call(); err != nil {
		return nil, table.Cursor{}, err
	}
	var out []table.Row
	for _, r := range s.rows {
		out = append(out, r)
	}
	return out, table.Cursor{Era: s.Era(), Version: 1}, nil
}

func (s *fakeStore) Changes(_ context.Context, _ string, after table.Cursor) (table.Changes, error) {
	return table.Changes{Cursor: after}, s.call()
}

func (s *fakeStore) Commit(_ context.Context, txn table.Txn) (table.Result, error) {
	if err := s.call(); err != nil {
		return table.Result{}, err
	}
	return table.Result{Committed: true}, nil
}

func newTestNode(store *fakeStore, c clock.Clock) *Node {
	return New(Options{
		Settings: &Settings{
			VM: "me", Zone: "a", Zones: []string{"a", "b"}, StrictRevocation: true, RevokeAfter: 5 * time.Second,
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second,
		},
		Store: store, Clock: c, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
}

func ownerRow(zone, vm string) table.Row {
	raw, err := json.Marshal(lease.Row{Owner: fleet.Node{VM: fleet.VM(vm)}, Fence: 1})
	if err != nil {
		panic(err)
	}
	return table.Row{Table: table.TableLeases, Key: zone, Version: 1, Value: raw}
}

func addrRow(vm, addr string) table.Row {
	return table.Row{Table: table.TableLeases, Key: nodePrefix + vm, Version: 1, Value: []byte(addr)}
}

// Guards against accepting a revoked key. Keys are accepted for less than the bound after
// the start of the last read that confirmed the configuration, even if the process was
// suspended, because the clock continues then.
func TestKeysAcceptedOnlyWithinRevocationBound(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	is.True(!n.acceptsKeys()) // no configuration yet
	n.config.confirm(&catalog.Document{Version: 1}, c.Now())
	c.Advance(5*time.Second - revokeMargin - time.Millisecond)
	is.True(n.acceptsKeys())
	c.Advance(time.Millisecond)
	is.True(!n.acceptsKeys())
	n.config.confirm(nil, c.Now().Add(-time.Second)) // confirmed by a node that read a second ago
	is.True(n.acceptsKeys())
	n.config.confirm(nil, c.Now().Add(-time.Minute)) // an older answer changes nothing
	is.True(n.acceptsKeys())
}

func TestOlderAndInvalidDocumentsIgnored(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	n.config.confirm(&catalog.Document{Version: 9}, c.Now())
	n.config.confirm(&catalog.Document{Version: 4}, c.Now())
	is.Equal(n.config.version(), uint64(9))
	bad := catalog.Document{Version: 12, Routes: []catalog.Route{{Name: "r"}}} // no service
	n.config.confirm(&bad, c.Now())
	is.Equal(n.config.version(), uint64(9))
}

// The node asks the holder of its own zone's duty first, then those of other zones. Guards
// against a node that has lost the store and its own lease: its cached row still names
// itself as the holder, so it must ask the others.
func TestFeedSources(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "x"), ownerRow("b", "y"), addrRow("x", "10.0.0.1:1"), addrRow("y", "10.0.0.2:1")}, 0)
	is.Equal(n.feedSources(), []string{"10.0.0.1:1", "10.0.0.2:1"})
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "me"), ownerRow("b", "y"), addrRow("y", "10.0.0.2:1")}, 0)
	is.Equal(len(n.feedSources()), 0) // this node has just restarted, and the others poll it
	c.Advance(seekDuration)
	is.Equal(n.feedSources(), []string{"10.0.0.2:1"})
	is.Equal(n.leaseCache.nodeCount(), 1)
}

// The managers of all zones poll their leases in the same round; the store gets one call.
func TestLeaseRowsReadInOneCall(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	store := &fakeStore{rows: map[string]table.Row{"a": ownerRow("a", "x"), "b": ownerRow("b", "y")}}
	n := newTestNode(store, c)
	for _, zone := range []string{"a", "b", "a"} {
		_, err := n.leaseCache.Get(context.Background(), table.TableLeases, zone)
		is.NoErr(err)
	}
	is.Equal(store.calls, 1)
	c.Advance(leasePollInterval)
	row, err := n.leaseCache.Get(context.Background(), table.TableLeases, "b")
	is.NoErr(err)
	is.Equal(row.Version, uint64(1))
	is.Equal(store.calls, 2)
	store.down = true
	c.Advance(leasePollInterval)
	_, err = n.leaseCache.Get(context.Background(), table.TableLeases, "b")
	is.True(err != nil) // the cached rows are too old to decide on
}

// The nodes of a fleet divide the slack of the retry budget. A node that doesn't know how many
// there are uses none, and one that sees others leave keeps its share until what they have used
// is out of the window.
func TestRetryBudgetSharedByNodes(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	usesInWindow := func() int {
		b, k := n.newBudget(), 0
		b.Allow()
		c.Advance(3 * n.Settings.RetryWindow) // the bucket is full
		for range int(n.Settings.RetryWindow / (100 * time.Millisecond)) {
			for b.Allow() {
				k++
			}
			c.Advance(100 * time.Millisecond)
		}
		return k
	}
	is.Equal(usesInWindow(), 0)
	rows := func(nodes int) {
		out := []table.Row{addrRow("me", "10.0.0.1:1")}
		for i := range nodes - 1 {
			out = append(out, addrRow(string(rune('A'+i)), "10.0.0.1:1"))
		}
		n.leaseCache.applyRows(out, 0)
	}
	n.leaseCache.applyRows([]table.Row{addrRow("A", "10.0.0.1:1")}, 0) // this node isn't announced yet
	is.Equal(usesInWindow(), 0)
	rows(20)
	is.True(usesInWindow() > 0)
	is.True(usesInWindow()*20 <= 100)
	rows(6)
	is.Equal(n.budgetNodes(), 20)
	c.Advance(n.Settings.RetryWindow - time.Second)
	is.Equal(n.budgetNodes(), 20)
	c.Advance(2 * n.Settings.RetryWindow)
	is.Equal(n.budgetNodes(), 6)
	alone := usesInWindow()
	is.True(alone*6 <= 100)
	rows(80)
	is.True(usesInWindow() < alone)
}

// The list shows one endpoint as draining and lacks another. Both are reported to the other
// nodes once.
func TestLeavingEndpointsReportedOnce(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	var reported [][]roster.ID
	n.roster.onLeaving = func(leaving, gone []roster.ID) { reported = append(reported, leaving, gone) }
	n.roster.applyList(roster.Listing{Endpoints: []roster.Endpoint{{ID: "stays"}, {ID: "leaves"}, {ID: "goes"}}}, c.Now(), 0)
	after := roster.Listing{Endpoints: []roster.Endpoint{{ID: "stays"}, {ID: "leaves", Draining: true}}}
	n.roster.applyList(after, c.Now().Add(time.Second), 0)
	n.roster.applyList(after, c.Now().Add(2*time.Second), 0)
	is.Equal(reported, [][]roster.ID{{"leaves"}, {"goes"}})
}

// The holder of a zone's duty gets one in sixty of the zone's requests. It plans for the
// demand at all nodes of the zone, which their polls contain; reports from another zone
// or from itself are not counted.
func TestDutyHolderSumsZoneDemand(t *testing.T) {
	is := is.New(t)
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	reports := []demand.ServiceDemand{{Service: "s", Demand: demand.Demand{Requests: 5, Work: map[string]float64{"big": 2}}}}
	for _, q := range []feed.PollRequest{
		{Node: "n1", Zone: "a", Demand: reports}, {Node: "n2", Zone: "a", Demand: reports},
		{Node: "n3", Zone: "b", Demand: reports}, {Node: "me", Zone: "a", Demand: reports},
	} {
		n.recordPoll(q)
	}
	is.Equal(n.zoneDemand("s"), demand.Demand{Requests: 10, Work: map[string]float64{"big": 4}})
}
