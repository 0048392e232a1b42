package entry

import (
	"context"
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

// paper is a fleet whose nodes send each other messages without a network.
type paper struct {
	clock *clock.Manual
	nodes map[string]*Node // by address
	sent  map[string]int   // messages by sender
	lost  float64          // share of messages
	mu    sync.Mutex       // guards sent and rng: looks at endpoints tell from their own goroutines
	rng   *rand.Rand
	rows  []table.Row
}

// newPaper makes zones of that many nodes each; the first of a zone holds its duty.
func newPaper(t *testing.T, zones, perZone int, lost float64) *paper {
	t.Helper()
	p := &paper{
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
			p.rows = append(p.rows, table.Row{Table: table.TableLeases, Key: nodePrefix + vm, Version: 1, Value: at.value()})
			n := testNode(&fakeStore{}, p.clock)
			n.Settings.VM, n.Settings.Zone, n.Settings.Zones, n.Settings.Cores = vm, zone, names, at.cores
			n.send = func(m news.Message, to ...string) { p.deliver(vm, m, to) }
			n.Registry = prometheus.NewRegistry()
			n.pressure = n.newPressure() // by its name
			p.nodes[vm] = n
		}
	}
	for _, n := range p.nodes {
		n.leaseRows.take(p.rows, 0)
	}
	return p
}

func (p *paper) deliver(from string, m news.Message, to []string) {
	p.mu.Lock()
	p.sent[from] += len(to)
	var reached []string
	for _, addr := range to {
		if p.rng.Float64() >= p.lost {
			reached = append(reached, addr)
		}
	}
	p.mu.Unlock()
	for _, addr := range reached { // who may answer at once
		p.nodes[addr].heard(m)
	}
}

// A hint reaches every node of 295 in five zones over two hops at most, each node
// sends fewer messages than a zone has nodes and a few more, and with one packet in
// fifty lost hardly a node misses it. Sent to each of them it took 294 from one node.
func TestNewsReachAllThroughRelays(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		lost, reached  float64
	}{{5, 59, 0, 1}, {5, 59, 0.02, 0.95}, {3, 27, 0, 1}, {3, 2, 0, 1}, {4, 250, 0, 1}} {
		t.Run(fmt.Sprintf("%d zones of %d, %v lost", c.zones, c.perZone, c.lost), func(t *testing.T) {
			is := is.New(t)
			p := newPaper(t, c.zones, c.perZone, c.lost)
			e := roster.Endpoint{ID: "e", Service: "s", Zone: "z0", Domain: "d"}
			for _, n := range p.nodes {
				n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
			}
			const hints = 20 // the mean of some: two lost packets cost a zone one hint
			reached := 0.0
			for epoch := range uint64(hints) {
				member := roster.Membership{Group: "g", Epoch: epoch + 1, State: roster.Open}
				p.nodes["z0-0"].announce(roster.Hint{ID: "e", Model: "m", Member: member})
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
				is.True(sent <= hints*(2*c.perZone+2*c.zones+directPeers*c.zones))
			}
		})
	}
}

// Each of 27 nodes has one request at the same head and knows of no other. The count
// of all stands on the board within two looks of the holder; when the requests end, or
// their node does, it goes.
func TestBoardTellsWhatAllNodesHave(t *testing.T) {
	is := is.New(t)
	p := newPaper(t, 2, 27, 0)
	holder := p.nodes["z0-0"]
	held := &heldDuty{}
	holder.holds = held.holds
	e := roster.Endpoint{ID: "head", Service: "s", Zone: "z0", Domain: "d", Slots: 22}
	var ends []func()
	for _, n := range p.nodes {
		n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
		k := n.tracker.Start("head", nil)
		ends = append(ends, k.End)
	}
	look := func() {
		for range int(2 * boardPause / balance.WatchStep) {
			p.clock.Advance(balance.WatchStep)
			for _, n := range p.nodes {
				n.loads.tick()
			}
		}
	}
	held.zone = "z0"
	look()
	for _, n := range p.nodes {
		want := 54.0
		if n.Settings.Zone != "z0" {
			want = 1 // another zone's nodes tell theirs and see the answers' loads
		}
		is.Equal(n.tracker.Of("head", time.Minute).Load > want-1, true)
	}
	for _, end := range ends {
		end()
	}
	look()
	for _, n := range p.nodes {
		is.True(n.tracker.Of("head", time.Minute).Load < 0.5)
	}
}

type heldDuty struct{ zone string }

func (h *heldDuty) holds(zone string) bool { return h.zone == zone }

// A node has requests at 90 heads, more than fit a message: all of them stand on the
// board, and none twice after the next telling.
func TestLongCountsComeInParts(t *testing.T) {
	is := is.New(t)
	p := newPaper(t, 1, 27, 0)
	holder, teller := p.nodes["z0-0"], p.nodes["z0-1"]
	holder.holds = (&heldDuty{"z0"}).holds
	var list []roster.Endpoint
	for i := range 90 {
		id := roster.Life(fmt.Sprintf("i-%010d", i), 1790000000000)
		list = append(list, roster.Endpoint{ID: id, Service: "s", Zone: "z0", Domain: "d", Slots: 22})
		teller.tracker.Start(id, nil)
	}
	teller.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, p.clock.Now(), 0))
	for range 3 {
		teller.tracker.Start(list[0].ID, nil)
		teller.loads.tell()
	}
	sums, _ := holder.loads.boards["z0"].Sums(p.clock.Now())
	is.Equal(len(sums), 90)
	is.Equal(sums[0].Requests, 4)
	is.Equal(sums[89].Requests, 1)
}

// A board of many heads comes in parts that fit a packet each.
func TestBoardFitsItsMessages(t *testing.T) {
	is := is.New(t)
	var counts []board.Count
	for i := range 200 {
		counts = append(counts, board.Count{ID: roster.Life(fmt.Sprintf("i-%010d", i), 1790000000000), Requests: 22, Unread: 90000})
	}
	n := 0
	for _, part := range parts(counts) {
		n += len(part)
		is.True(len(part) > 10)
	}
	is.Equal(n, 200)
}

// The largest nodes of a zone try for its duty first, then those of other zones that
// hold none, then those that do; small ones last, and never for another zone's. Several
// duties that are free at once fall to several nodes. Where all are alike half of a
// zone's nodes try first.
func TestLargerNodesHoldDuties(t *testing.T) {
	is := is.New(t)
	p := newPaper(t, 5, 27, 0)
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
	large.holds = func(zone string) bool { return zone == "z0" }
	is.Equal(large.rank("z1"), rankHolder)
	is.Equal(newPaper(t, 2, 3, 0).nodes["z0-0"].rank("z1"), rankOther)
	alike := newPaper(t, 2, 3, 0)
	for _, n := range alike.nodes {
		n.Settings.Cores = 0.8
		is.True(n.rank(n.Settings.Zone) <= rankSecond)
	}
	alone := testNode(&fakeStore{}, p.clock) // nothing is known yet, nor its size
	is.True(alone.rank("a") <= rankSecond)
	alone.Settings.Cores = 0.2
	is.Equal(alone.rank("a"), rankSmall)
	alone.Settings.Cores = 0.8
	is.Equal(alone.rank("a"), rankFirst)
}

// All nodes start at once: only those that may hold a duty read the store. A node that
// starts again among many asks the holder; among few, or after a second without an
// answer, it reads for itself, and so does the holder of before.
func TestStartingNodesLeaveTheStoreToOthers(t *testing.T) {
	is := is.New(t)
	p := newPaper(t, 2, 27, 0)
	small, large := p.nodes["z0-5"], p.nodes["z0-0"]
	is.True(small.seeking())
	is.True(!large.seeking())
	p.clock.Advance(seekFor)
	is.True(!small.seeking())
	few := newPaper(t, 2, 3, 0).nodes["z0-1"]
	is.True(!few.seeking())
	few.Settings.Bootstrap = true
	is.True(few.seeking())
	unread := testNode(&fakeStore{}, p.clock)
	is.True(unread.seeking())
}

// The store takes a question and never answers. Requests ask for addresses of nodes all
// the time: they get what is known, at once.
func TestAddressesAreKnownWhileTheStoreHangs(t *testing.T) {
	is := is.New(t)
	n := testNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	hanging := &hangingStore{asked: make(chan struct{}), release: make(chan struct{})}
	n.leaseRows.Table = hanging
	n.leaseRows.take([]table.Row{ownerRow("a", "x"), addrRow("x", "10.0.0.1:1")}, 0)
	done := make(chan error, 1)
	go func() {
		_, err := n.leaseRows.Get(context.Background(), table.TableLeases, "a")
		done <- err
	}()
	<-hanging.asked
	is.Equal(n.leaseRows.addr(n.leaseRows.owner("a")), "10.0.0.1:1")
	close(hanging.release)
	is.NoErr(<-done)
}

type hangingStore struct {
	fakeStore
	asked, release chan struct{}
}

func (h *hangingStore) List(context.Context, string, string) ([]table.Row, error) {
	close(h.asked)
	<-h.release
	return nil, nil
}
