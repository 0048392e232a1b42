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
	// tellPause is the least pause between two tellings of this node's count, a
	// multiple of the tracker's look.
	tellPause = 2 * balance.WatchStep
	// boardPause is the pause between two boards of a zone. In the driver (59 nodes, 18
	// heads, four fifths of the slots in use) 0.4 in 100 requests met a full head and
	// none was refused by its node; with each request told to 24 nodes, which add up
	// what has long ended, 25 in 100 were refused while heads were free.
	boardPause = 120 * time.Millisecond
	// boardQuiet is the pause between two boards that are the same.
	boardQuiet = 500 * time.Millisecond
)

// loads shares what nodes have in flight at the heads of each zone.
type loads struct {
	node *Node

	// Touched by run alone.
	ticks   int
	changes uint64
	told    map[string]clock.Instant // by zone: when a count was told last
	empty   map[string]bool          // by zone: the last count told was empty

	mu     sync.Mutex
	boards map[string]*board.Board // by zone; of those whose duty this node holds
	shown  map[string]shown
}

// shown is a zone's board as it was told last.
type shown struct {
	at     clock.Instant
	counts []board.Count
}

func newLoads(n *Node) *loads {
	return &loads{
		node: n, told: map[string]clock.Instant{}, empty: map[string]bool{},
		boards: map[string]*board.Board{}, shown: map[string]shown{},
	}
}

// tick runs with each look of the tracker, so that it costs no wake-up of its own.
func (l *loads) tick() {
	l.ticks++
	if l.ticks%int(tellPause/balance.WatchStep) == 0 {
		l.tell()
	}
	if l.ticks%int(boardPause/balance.WatchStep) == 0 {
		l.show()
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
	if owner == n.Settings.VM {
		l.note(zone, n.Settings.VM, counts, now)
		return
	}
	if addr := n.leaseRows.addr(owner); addr != "" {
		n.send(news.Message{InFlight: &news.InFlight{Node: n.Settings.VM, Zone: zone, Counts: counts}}, addr)
	}
}

// note takes up a node's count of a zone whose duty this node holds.
func (l *loads) note(zone, node string, counts []board.Count, now clock.Instant) {
	if !l.node.holds(zone) {
		return
	}
	l.mu.Lock()
	b := l.boards[zone]
	if b == nil {
		b = &board.Board{}
		l.boards[zone] = b
	}
	l.mu.Unlock()
	b.Note(node, counts, now)
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
		last := l.shown[zone]
		if !known || sameCounts(sums, last.counts) && now.Sub(last.at) < boardQuiet {
			continue
		}
		l.shown[zone] = shown{now, sums}
		l.publish(zone, withEnds(last.counts, sums))
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

func sameCounts(a, b []board.Count) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Requests != b[i].Requests {
			return false
		}
	}
	return true
}

// parts splits counts so that each part fits a message.
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
	if len(part) > 0 {
		out = append(out, part)
	}
	return out
}
