package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/clock"
	"chervilloom/internal/news"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// simFleet is a simulated fleet whose nodes exchange messages by function calls.
type simFleet struct {
	clock *clock.Manual
	nodes map[string]*Node // by address
	sent  map[string]int   // messages by sender
	lost  float64          // fraction of lost messages
	mu    sync.Mutex       // guards sent and rng: endpoint checks send messages from their own goroutines
	rng   *rand.Rand
	rows  []table.Row
}

// newSimFleet returns a fleet with the given number of zones and nodes per zone; the first
// node of a zone holds its duty.
func newSimFleet(t *testing.T, zones, perZone int, lost float64) *simFleet {
	t.Helper()
	p := &simFleet{
		clock: clock.NewManual(clock.Instant(time.Hour)), nodes: map[string]*Node{}, sent: map[string]int{},
		lost: lost, rng: rand.New(rand.NewPCG(1, 2)),
	}
	var names []string
	for z := range zones {
		names = append(names, fmt.Sprintf("z%d", z))
	}
	for _, zone := range names {
		p.rows = append(p.rows, ownerRow(zone, zone+"-0"))
		for i := range perZone {
			vm := fmt.Sprintf("%s-%d", zone, i)
			at := nodeAddr{addr: vm, zone: zone, cores: 0.2}
			if i == 0 {
				at.cores = 0.8
			}
			p.rows = append(p.rows, table.Row{Table: table.TableLeases, Key: nodePrefix + vm, Version: 1, Value: at.encode()})
			n := newTestNode(&fakeStore{}, p.clock)
			n.Settings.VM, n.Settings.Zone, n.Settings.Zones, n.Settings.Cores = vm, zone, names, at.cores
			n.leaseCache.self = vm
			n.send = func(m news.Message, to ...string) { p.deliver(vm, m, to) }
			n.Registry = prometheus.NewRegistry()
			n.backpressureGuard = n.newBackpressureGuard() // built with the node's name
			p.nodes[vm] = n
		}
	}
	for _, n := range p.nodes {
		n.leaseCache.applyRows(p.rows, 0)
	}
	return p
}

func (p *simFleet) deliver(from string, m news.Message, to []string) {
	p.mu.Lock()
	p.sent[from] += len(to)
	var reached []string
	for _, addr := range to {
		if p.rng.Float64() >= p.lost {
			reached = append(reached, addr)
		}
	}
	p.mu.Unlock()
	for _, addr := range reached { // the receiver may reply immediately
		p.nodes[addr].handleMessage(m)
	}
}

// A hint reaches all 295 nodes of five zones in at most two hops. Each node sends about as
// many messages as its zone has nodes, and with 2% packet loss hardly any node misses the
// hint. Direct delivery took 294 messages from one node.
func TestHintsReachAllNodesThroughRelays(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		lost, reached  float64
	}{{5, 59, 0, 1}, {5, 59, 0.02, 0.95}, {3, 27, 0, 1}, {3, 2, 0, 1}, {4, 250, 0, 1}} {
		t.Run(fmt.Sprintf("%d zones of %d, %v lost", c.zones, c.perZone, c.lost), func(t *testing.T) {
			is := is.New(t)
			p := newSimFleet(t, c.zones, c.perZone, c.lost)
			e := roster.Endpoint{ID: "e", Service: "s", Zone: "z0", Domain: "d"}
			for _, n := range p.nodes {
				n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
			}
			const hints = 20 // averaged: two lost packets cost a zone one hint
			reached := 0.0
			for epoch := range uint64(hints) {
				member := roster.Membership{Group: "g", Epoch: epoch + 1, State: roster.Open}
				p.nodes["z0-0"].announceHint(roster.Hint{ID: "e", Model: "m", Member: member})
				for _, n := range p.nodes {
					if n.roster.current.Load().Get("e").Member.Epoch == epoch+1 {
						reached += 1.0 / hints / float64(len(p.nodes))
					}
				}
			}
			if reached < c.reached-1e-9 {
				t.Errorf("%v of the nodes reached", reached)
			}
			for _, sent := range p.sent {
				is.True(sent <= hints*(2*c.perZone+2*c.zones+maxDirectPeers*c.zones))
			}
		})
	}
}

// Each of 27 nodes has one request at the same head and does not know of the others. The
// holder's board contains their sum within two board intervals, and drops the requests when
// they or their node end.
func TestBoardSumsCountsOfAllNodes(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 2, 27, 0)
	holder := p.nodes["z0-0"]
	held := &fixedDuty{}
	holder.holdsDuty = held.holds
	e := roster.Endpoint{ID: "head", Service: "s", Zone: "z0", Domain: "d", Slots: 22}
	var ends []func()
	for _, n := range p.nodes {
		n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
		k := n.tracker.Start("head", nil)
		ends = append(ends, k.End)
	}
	advance := func() {
		for range int(2 * boardInterval / balance.SilenceCheckInterval) {
			p.clock.Advance(balance.SilenceCheckInterval)
			for _, n := range p.nodes {
				n.loads.tick()
			}
		}
	}
	held.zone = "z0"
	advance()
	for _, n := range p.nodes {
		want := 54.0
		if n.Settings.Zone != "z0" {
			want = 1 // nodes of another zone report to the board but use the loads from response headers
		}
		is.Equal(n.tracker.StateOf("head", time.Minute).Load > want-1, true)
	}
	for _, end := range ends {
		end()
	}
	advance()
	for _, n := range p.nodes {
		is.True(n.tracker.StateOf("head", time.Minute).Load < 0.5)
	}
}

type fixedDuty struct{ zone string }

func (h *fixedDuty) holds(zone string) bool { return h.zone == zone }

// A node has requests at 90 heads, more than fit one message. The board must contain all of
// them, and none twice after the next report.
func TestLongCountsSplitIntoMessages(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 1, 27, 0)
	holder, sender := p.nodes["z0-0"], p.nodes["z0-1"]
	holder.holdsDuty = (&fixedDuty{"z0"}).holds
	var list []roster.Endpoint
	for i := range 90 {
		id := roster.NewID(fmt.Sprintf("i-%010d", i), 1790000000000)
		list = append(list, roster.Endpoint{ID: id, Service: "s", Zone: "z0", Domain: "d", Slots: 22})
		sender.tracker.Start(id, nil)
	}
	sender.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, p.clock.Now(), 0))
	for range 3 {
		sender.tracker.Start(list[0].ID, nil)
		sender.loads.sendCounts()
	}
	sums, _ := holder.loads.boards["z0"].Sums(p.clock.Now())
	is.Equal(len(sums), 90)
	is.Equal(sums[0].Requests, 4)
	is.Equal(sums[89].Requests, 1)
}

// A board of many heads is split into parts that each fit a packet, also with the fields of
// contended services and a pace of many digits.
func TestBoardPartsFitMessages(t *testing.T) {
	is := is.New(t)
	for heads, c := range map[int]board.HeadLoad{
		200: {Requests: 22, Unread: 90000},
		210: {Requests: 2200, Unread: 9000000, Gap: 100000, Pace: 11.333333333333334},
	} {
		var counts []board.HeadLoad
		for i := range heads {
			c.ID = roster.NewID(fmt.Sprintf("i-%010d", i), 1790000000000)
			counts = append(counts, c)
		}
		n := 0
		for _, part := range splitParts(counts) {
			n += len(part)
			is.True(len(part) > 10)
			for _, m := range []news.Message{
				{Board: part},
				{InFlight: &news.InFlight{Node: "i-0123456789abcdef0", Zone: "us-northeast-12a", IsContinuation: true, Counts: part}},
			} {
				raw, err := json.Marshal(m)
				is.NoErr(err)
				is.True(len(raw) <= news.MaxMessageBytes)
			}
		}
		is.Equal(n, heads)
	}
}

// Guards against mean loads of many zones and models in one message that is too large, which is
// dropped: all other zones would seem idle.
func TestMeansOfManyZonesReachTheNodes(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 1, 27, 0)
	holder, other := p.nodes["z0-0"], p.nodes["z0-1"]
	holder.holdsDuty = (&fixedDuty{"z0"}).holds
	holder.loads.board("z0")
	send := holder.send
	holder.send = func(m news.Message, to ...string) {
		raw, err := json.Marshal(m)
		is.NoErr(err)
		if len(raw) <= news.MaxMessageBytes { // as news.Mesh does
			send(m, to...)
		}
	}
	var means []board.MeanLoad
	for i := range 40 {
		means = append(means, board.MeanLoad{Zone: fmt.Sprintf("us-northeast-%d", i/4), Model: fmt.Sprintf("model-%d", i%4), Load: 0.5294117647058824, Unread: 1234.5678901234567})
	}
	holder.loads.recordMeans(means, p.clock.Now())
	holder.loads.sendMeans()
	is.Equal(len(other.loads.currentMeans(p.clock.Now())), 40)
}

// The largest nodes of a zone try to acquire its duty first, then nodes of other zones
// without a duty, then those with one. Small nodes come last, and never for another zone.
// Several duties that are free at once go to several nodes. If all nodes have the same
// size, half of a zone's nodes try first.
func TestDutyRanksPreferLargerNodes(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 5, 27, 0)
	large, small := p.nodes["z0-0"], p.nodes["z0-5"]
	is.True(large.rank("z0") <= rankSecond)
	is.Equal(small.rank("z0"), rankSmall)
	is.Equal(small.rank("z1"), rankNever)
	ranks := map[int]bool{}
	for _, zone := range []string{"z1", "z2", "z3", "z4"} {
		rank := large.rank(zone)
		is.True(rank >= rankOther && rank < rankHolder)
		ranks[rank] = true
	}
	is.True(len(ranks) > 1)
	large.holdsDuty = func(zone string) bool { return zone == "z0" }
	is.Equal(large.rank("z1"), rankHolder)
	is.Equal(newSimFleet(t, 2, 3, 0).nodes["z0-0"].rank("z1"), rankOther)
	alike := newSimFleet(t, 2, 3, 0)
	for _, n := range alike.nodes {
		n.Settings.Cores = 0.8
		is.True(n.rank(n.Settings.Zone) <= rankSecond)
	}
	alone := newTestNode(&fakeStore{}, p.clock) // neither other nodes nor its own size are known
	is.True(alone.rank("a") <= rankSecond)
	alone.Settings.Cores = 0.2
	is.Equal(alone.rank("a"), rankSmall)
	alone.Settings.Cores = 0.8
	is.Equal(alone.rank("a"), rankFirst)
}

// When all nodes start at once, only those that may hold a duty read the store. A node that
// restarts in a large fleet asks the holder. In a small fleet, after a second without an
// answer, or as the previous holder, it reads the store itself.
func TestStartingNodesDoNotReadStore(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 2, 27, 0)
	small, large := p.nodes["z0-5"], p.nodes["z0-0"]
	is.True(small.isSeeking())
	is.True(!large.isSeeking())
	p.clock.Advance(seekDuration)
	is.True(!small.isSeeking())
	few := newSimFleet(t, 2, 3, 0).nodes["z0-1"]
	is.True(!few.isSeeking())
	few.Settings.Bootstrap = true
	is.True(few.isSeeking())
	unread := newTestNode(&fakeStore{}, p.clock)
	is.True(unread.isSeeking())
}

// Guards against requests that block on a hanging store: address lookups must return the
// cached data immediately.
func TestAddressLookupsDoNotWaitForStore(t *testing.T) {
	is := is.New(t)
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	hanging := &hangingStore{asked: make(chan struct{}), release: make(chan struct{})}
	n.leaseCache.Table = hanging
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "x"), addrRow("x", "10.0.0.1:1")}, 0)
	done := make(chan error, 1)
	go func() {
		_, err := n.leaseCache.Get(context.Background(), table.TableLeases, "a")
		done <- err
	}()
	<-hanging.asked
	is.Equal(n.leaseCache.addr(n.leaseCache.owner("a")), "10.0.0.1:1")
	close(hanging.release)
	is.NoErr(<-done)
}

type hangingStore struct {
	fakeStore
	asked, release chan struct{}
}

func (h *hangingStore) ReadAll(context.Context, string) ([]table.Row, table.Cursor, error) {
	close(h.asked)
	<-h.release
	return nil, table.Cursor{}, nil
}
