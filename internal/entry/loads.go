package entry

import (
	"encoding/json"
	"sync"
	"time"

	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/clock"
	"chervilloom/internal/news"
	"chervilloom/internal/roster"
)

const (
	// directPeers is up to how many other nodes of a zone each request is told to
	// directly: with so few that takes fewer messages than a board.
	directPeers = 4
	// boardPause is the least pause between two boards of a zone; with a look each 30 ms
	// they are 60 ms apart. In the driver, at 40 ms (59 nodes, 18
	// heads, four fifths of the slots in use) 0.3 in 100 requests met a full head, none
	// was refused by its node, and prompts waited 4 ms for others; at 120 ms 1.2 in 100
	// and 7 ms. With each request told to 24 nodes, which add up what has long ended, 25
	// in 100 were refused while heads were free.
	boardPause = 3 * balance.WatchStep
	// meanPause is the pause between two tellings of zones' mean loads.
	meanPause = 10 * boardPause
	// boardWhole is the pause between two boards that tell of all heads; those between
	// tell what has changed.
	boardWhole = 500 * time.Millisecond
	// meanFor is how long a mean load is believed.
	meanFor = 2 * time.Second
)

// loads shares what nodes have in flight at the heads of each zone.
type loads struct {
	node *Node

	// Touched by run alone.
	lastShow, lastMeans clock.Instant
	changes             uint64
	told                map[string]clock.Instant // by zone: when a count was told last
	empty               map[string]bool          // by zone: the last count told was empty

	mu     sync.Mutex
	boards map[string]*board.Board // by zone; of those whose duty this node holds
	shown  map[string]shown
	means  map[meanKey]meanLoad
}

type meanKey struct{ zone, model string }

// meanLoad is a zone's mean load of a model, and when it was told.
type meanLoad struct {
	board.Mean
	at clock.Instant
}

// shown is a zone's board as it was told last, and when all of it was told.
type shown struct {
	whole  clock.Instant
	counts []board.Count
}

func newLoads(n *Node) *loads {
	return &loads{
		node: n, told: map[string]clock.Instant{}, empty: map[string]bool{},
		boards: map[string]*board.Board{}, shown: map[string]shown{}, means: map[meanKey]meanLoad{},
	}
}

// tick runs with each look of the tracker, so that it costs no wake-up of its own.
func (l *loads) tick() {
	now := l.node.Clock.Now()
	l.tell()
	if now.Sub(l.lastShow) >= boardPause {
		l.lastShow = now
		l.show()
	}
	if now.Sub(l.lastMeans) >= meanPause {
		l.lastMeans = now
		l.showMeans()
	}
}

// shares reports whether a zone's nodes are so many that its loads stand on a board.
func (n *Node) shares(zone string) bool { return n.leaseRows.zoneNodes(zone) > directPeers+1 }

// sample is how many heads are looked at for a request: all where each request is told
// at once.
func (n *Node) sample() int {
	if n.shares(n.Settings.Zone) {
		return engineSample
	}
	return 0
}

// tell tells this node's count to the holders of the zones in which it has changed, or
// was told a while ago.
func (l *loads) tell() {
	n := l.node
	now := n.Clock.Now()
	changes := n.tracker.Changes()
	changed := changes != l.changes
	if !changed && now.Sub(l.told[n.Settings.Zone]) < board.TellAgain {
		return
	}
	l.changes = changes
	counts := map[string][]board.Count{}
	r := n.roster.current.Load()
	for _, c := range n.tracker.Tell() {
		if e := r.Get(c.ID); e != nil && e.Domain != "" {
			counts[e.Zone] = append(counts[e.Zone], c)
		}
	}
	for _, zone := range n.Settings.Zones {
		own := counts[zone]
		if len(own) == 0 && l.empty[zone] || !n.shares(zone) {
			continue
		}
		l.told[zone], l.empty[zone] = now, len(own) == 0
		l.send(zone, own, now)
	}
	l.told[n.Settings.Zone] = now
}

func (l *loads) send(zone string, counts []board.Count, now clock.Instant) {
	n := l.node
	owner := n.leaseRows.owner(zone)
	addr := n.leaseRows.addr(owner)
	for i, part := range parts(counts) {
		m := news.InFlight{Node: n.Settings.VM, Zone: zone, Further: i > 0, Counts: part}
		switch {
		case owner == n.Settings.VM:
			l.note(&m, now)
		case addr != "":
			n.send(news.Message{InFlight: &m}, addr)
		}
	}
}

// note takes up a node's count of a zone whose duty this node holds.
func (l *loads) note(m *news.InFlight, now clock.Instant) {
	if !l.node.holds(m.Zone) {
		return
	}
	l.mu.Lock()
	b := l.boards[m.Zone]
	if b == nil {
		b = &board.Board{}
		l.boards[m.Zone] = b
	}
	l.mu.Unlock()
	b.Note(m.Node, m.Counts, m.Further, now)
}

// show tells the sums to the nodes of the zones whose duty this node holds.
func (l *loads) show() {
	n := l.node
	now := n.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for zone, b := range l.boards {
		if !n.holds(zone) {
			delete(l.boards, zone)
			delete(l.shown, zone)
			continue
		}
		sums, known := b.Sums(now)
		if !known {
			continue
		}
		last := l.shown[zone]
		next := shown{last.whole, sums}
		out := changed(last.counts, sums)
		if now.Sub(last.whole) >= boardWhole {
			next.whole, out = now, withEnds(last.counts, sums)
		}
		l.shown[zone] = next
		if len(out) > 0 {
			l.publish(zone, out)
		}
	}
}

// publish tells a board in as many messages as it takes, and takes it up here.
func (l *loads) publish(zone string, counts []board.Count) {
	n := l.node
	for _, c := range counts {
		n.tracker.TakeBoard(c)
	}
	peers := n.leaseRows.zonePeers(n.Settings.VM, zone)
	for _, part := range parts(counts) {
		n.send(news.Message{Board: part}, peers...)
	}
}

// showMeans tells the other zones' holders how loaded the zones are whose duty this node
// holds, and the zone's nodes what it knows of all. A node knows another zone's heads by
// its own few requests alone: to it they would seem free, and it would send there while
// its own zone has more room.
func (l *loads) showMeans() {
	n := l.node
	now := n.Clock.Now()
	for _, zone := range l.heldZones() {
		l.mu.Lock()
		sums, _ := l.boards[zone].Sums(now)
		l.mu.Unlock()
		own := board.Means(zone, sums, n.headsOf(zone))
		l.takeMeans(own, now)
		for _, other := range n.Settings.Zones {
			owner := n.leaseRows.owner(other)
			if addr := n.leaseRows.addr(owner); other != zone && owner != n.Settings.VM && addr != "" {
				n.send(news.Message{Means: own}, addr)
			}
		}
		n.send(news.Message{Means: l.knownMeans(now)}, n.leaseRows.zonePeers(n.Settings.VM, zone)...)
	}
}

// heldZones returns the zones whose boards this node keeps.
func (l *loads) heldZones() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for zone := range l.boards {
		if l.node.holds(zone) {
			out = append(out, zone)
		}
	}
	return out
}

// headsOf returns the heads in a zone that take requests.
func (n *Node) headsOf(zone string) []*roster.Endpoint {
	var out []*roster.Endpoint
	n.roster.current.Load().All(func(e *roster.Endpoint) {
		if e.Zone == zone && e.Leads() && e.Usable() {
			out = append(out, e)
		}
	})
	return out
}

func (l *loads) takeMeans(means []board.Mean, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range means {
		l.means[meanKey{m.Zone, m.Model}] = meanLoad{m, now}
	}
}

func (l *loads) knownMeans(now clock.Instant) []board.Mean {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []board.Mean
	for k, m := range l.means {
		if now.Sub(m.at) > meanFor {
			delete(l.means, k)
			continue
		}
		out = append(out, m.Mean)
	}
	return out
}

// meanOf returns how loaded a zone's heads of a model are; the zero value: not known.
func (l *loads) meanOf(zone, model string) board.Mean {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.means[meanKey{zone, model}]
	if !ok || l.node.Clock.Now().Sub(m.at) > meanFor {
		return board.Mean{}
	}
	return m.Mean
}

// withEnds adds heads at which nothing is in flight any more.
func withEnds(before, now []board.Count) []board.Count {
	have := map[roster.ID]bool{}
	for _, c := range now {
		have[c.ID] = true
	}
	out := now
	for _, c := range before {
		if !have[c.ID] && c.Requests > 0 {
			out = append(out, board.Count{ID: c.ID})
		}
	}
	return out
}

// changed returns what of a board differs from the one before.
func changed(before, now []board.Count) []board.Count {
	was := make(map[roster.ID]board.Count, len(before))
	for _, c := range before {
		was[c.ID] = c
	}
	var out []board.Count
	for _, c := range withEnds(before, now) {
		if was[c.ID] != c {
			out = append(out, c)
		}
	}
	return out
}

// parts splits counts so that each part fits a message; no counts are one empty part.
func parts(counts []board.Count) [][]board.Count {
	const room = news.MaxMessage - 100 // for the rest of the message
	var out [][]board.Count
	var part []board.Count
	size := 0
	for _, c := range counts {
		raw, err := json.Marshal(c)
		if err != nil {
			continue // a count of an id and two numbers always encodes
		}
		if size+len(raw)+1 > room {
			out, part, size = append(out, part), nil, 0
		}
		part, size = append(part, c), size+len(raw)+1
	}
	if len(part) > 0 || len(out) == 0 {
		out = append(out, part)
	}
	return out
}
