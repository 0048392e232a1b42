package entry

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/formation"
	"chervilloom/internal/news"
	"chervilloom/internal/roster"
)

const (
	// maxDirectPeers is the largest number of other nodes in a zone to which each request is
	// reported directly; up to here that takes fewer messages than a board.
	maxDirectPeers = 4
	// boardInterval is the least interval between two boards of a zone; with a check every 30
	// ms they are 60 ms apart. Counts that are older let requests meet full heads.
	boardInterval = 3 * balance.SilenceCheckInterval
	// meanInterval is the interval at which zones' mean loads are sent.
	meanInterval = 10 * boardInterval
	// fullBoardInterval is the interval between two boards with all heads; those in between
	// contain the changed counts only.
	fullBoardInterval = 500 * time.Millisecond
	// meanTTL is how long a mean load is valid.
	meanTTL = 2 * time.Second
)

// loadExchange exchanges the nodes' counts of requests in flight at the heads of each zone.
type loadExchange struct {
	node *Node

	// Used by tick's goroutine only.
	lastBoards, lastMeans clock.Instant
	lastChanges           uint64
	lastSent              map[string]clock.Instant // by zone: when a count was sent last
	lastSentEmpty         map[string]bool          // by zone: the last count sent was empty
	seeded                map[string]seededHeads   // by small zone whose duty this node holds

	// tenureReports returns the reports of a zone's heads that were read when this node acquired
	// the zone's duty; replaced by tests.
	tenureReports func(zone string) []formation.HeadReport

	mu        sync.Mutex
	boards    map[string]*board.Board // by zone, for the duties that this node holds
	published map[string]publishedBoard
	means     map[meanKey]meanLoad
}

type meanKey struct{ zone, model string }

// meanLoad is a zone's mean load for a model, with the time at which it was received.
type meanLoad struct {
	board.MeanLoad
	at clock.Instant
}

// publishedBoard is a zone's board as published last; fullAt is when all of its counts were
// published.
type publishedBoard struct {
	fullAt clock.Instant
	counts []board.HeadLoad
}

func newLoadExchange(n *Node) *loadExchange {
	return &loadExchange{
		tenureReports: n.tenureReports, seeded: map[string]seededHeads{},
		node: n, lastSent: map[string]clock.Instant{}, lastSentEmpty: map[string]bool{},
		boards: map[string]*board.Board{}, published: map[string]publishedBoard{}, means: map[meanKey]meanLoad{},
	}
}

// tick runs after each check of the tracker, so that it needs no timer of its own.
func (l *loadExchange) tick() {
	now := l.node.Clock.Now()
	l.sendCounts()
	if now.Sub(l.lastBoards) >= boardInterval {
		l.lastBoards = now
		l.publishBoards()
	}
	if now.Sub(l.lastMeans) >= meanInterval {
		l.lastMeans = now
		l.sendMeans()
	}
}

// usesBoard reports whether a zone has so many nodes that its loads are exchanged through a
// board.
func (n *Node) usesBoard(zone string) bool {
	return n.leaseCache.zoneNodeCount(zone) > maxDirectPeers+1
}

// sampleSize returns the number of heads to compare for a request; 0 means all, used where
// each request is reported to all peers.
func (n *Node) sampleSize() int {
	if n.usesBoard(n.Settings.Zone) {
		return engineSampleSize
	}
	return 0
}

// sendCounts sends this node's counts to the holder of each zone's duty if they have
// changed, or at the latest after board.ResendInterval.
func (l *loadExchange) sendCounts() {
	n := l.node
	now := n.Clock.Now()
	changes := n.tracker.Changes()
	changed := changes != l.lastChanges
	if !changed && now.Sub(l.lastSent[n.Settings.Zone]) < board.ResendInterval {
		return
	}
	l.lastChanges = changes
	counts := map[string][]board.HeadLoad{}
	r := n.roster.current.Load()
	for _, c := range n.tracker.ReportInFlight() {
		if e := r.Get(c.ID); e != nil && e.Domain != "" {
			if !n.isContended(e.Service) {
				c.Gap = 0
			}
			counts[e.Zone] = append(counts[e.Zone], c)
		}
	}
	for _, zone := range n.Settings.Zones {
		own := counts[zone]
		if len(own) == 0 && l.lastSentEmpty[zone] || !n.usesBoard(zone) {
			continue
		}
		l.lastSent[zone], l.lastSentEmpty[zone] = now, len(own) == 0
		l.sendZoneCounts(zone, own, now)
	}
	l.lastSent[n.Settings.Zone] = now
}

// sendZoneCounts sends the counts of one zone to its duty holder, in several messages if
// needed.
func (l *loadExchange) sendZoneCounts(zone string, counts []board.HeadLoad, now clock.Instant) {
	n := l.node
	owner := n.leaseCache.owner(zone)
	addr := n.leaseCache.addr(owner)
	for i, part := range splitParts(counts) {
		m := news.InFlight{Node: n.Settings.VM, Zone: zone, IsContinuation: i > 0, Counts: part}
		switch {
		case owner == n.Settings.VM:
			l.recordCounts(&m, now)
		case addr != "":
			n.send(news.Message{InFlight: &m}, addr)
		}
	}
}

// recordCounts records a node's counts for a zone whose duty this node holds.
func (l *loadExchange) recordCounts(m *news.InFlight, now clock.Instant) {
	if !l.node.holdsDuty(m.Zone) {
		return
	}
	l.board(m.Zone).Update(m.Node, m.Counts, m.IsContinuation, now)
}

// publishBoards publishes the sums to the nodes of each zone whose duty this node holds.
func (l *loadExchange) publishBoards() {
	n := l.node
	now := n.Clock.Now()
	l.seedBoards()
	paces := map[string]map[roster.ID]float64{} // read without l.mu: a controller that plans may delay it
	for _, zone := range l.heldZones() {
		paces[zone] = n.slowestPaces(zone)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for zone, b := range l.boards {
		if !n.holdsDuty(zone) {
			delete(l.boards, zone)
			delete(l.published, zone)
			continue
		}
		sums, known := b.Sums(now)
		if !known {
			continue
		}
		sums = addPaces(sums, paces[zone])
		last := l.published[zone]
		next := publishedBoard{last.fullAt, sums}
		out := changedCounts(last.counts, sums)
		if now.Sub(last.fullAt) >= fullBoardInterval {
			next.fullAt, out = now, withEmptied(last.counts, sums)
		}
		l.published[zone] = next
		if len(out) > 0 {
			l.publishBoard(zone, out)
		}
	}
}

// publishBoard sends a board to the zone's nodes, in several messages if needed, and
// applies it here.
func (l *loadExchange) publishBoard(zone string, counts []board.HeadLoad) {
	n := l.node
	for _, c := range counts {
		n.tracker.ApplyBoard(c)
	}
	peers := n.leaseCache.zonePeers(n.Settings.VM, zone)
	for _, part := range splitParts(counts) {
		n.send(news.Message{Board: part}, peers...)
	}
}

// sendMeans sends the mean loads of the zones whose duty this node holds to the holders of
// other zones, and all known mean loads to the zone's nodes. A node knows another zone's
// heads only from its own few requests; without the means they would seem idle, and it
// would send requests there while its own zone has more free slots.
func (l *loadExchange) sendMeans() {
	n := l.node
	now := n.Clock.Now()
	for _, zone := range l.heldZones() {
		l.mu.Lock()
		sums, _ := l.boards[zone].Sums(now)
		l.mu.Unlock()
		own := board.MeanLoads(zone, sums, n.headsOf(zone))
		l.recordMeans(own, now)
		for _, other := range n.Settings.Zones {
			owner := n.leaseCache.owner(other)
			if addr := n.leaseCache.addr(owner); other != zone && owner != n.Settings.VM && addr != "" {
				n.sendMeans(own, addr)
			}
		}
		n.sendMeans(l.currentMeans(now), n.leaseCache.zonePeers(n.Settings.VM, zone)...)
	}
}

// sendMeans sends mean loads, in several messages if needed.
func (n *Node) sendMeans(means []board.MeanLoad, peers ...string) {
	for _, part := range splitParts(means) {
		n.send(news.Message{Means: part}, peers...)
	}
}

// heldZones returns the zones with a board whose duty this node holds.
func (l *loadExchange) heldZones() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for zone := range l.boards {
		if l.node.holdsDuty(zone) {
			out = append(out, zone)
		}
	}
	return out
}

// headsOf returns the heads in a zone that accept requests.
func (n *Node) headsOf(zone string) []*roster.Endpoint {
	var out []*roster.Endpoint
	n.roster.current.Load().ForEach(func(e *roster.Endpoint) {
		if e.Zone == zone && e.IsServingHead() && e.Usable() {
			out = append(out, e)
		}
	})
	return out
}

func (l *loadExchange) recordMeans(means []board.MeanLoad, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range means {
		l.means[meanKey{m.Zone, m.Model}] = meanLoad{m, now}
	}
}

func (l *loadExchange) currentMeans(now clock.Instant) []board.MeanLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []board.MeanLoad
	for k, m := range l.means {
		if now.Sub(m.at) > meanTTL {
			delete(l.means, k)
			continue
		}
		out = append(out, m.MeanLoad)
	}
	return out
}

// meanOf returns the mean load of a zone's heads for a model; the zero value means unknown.
func (l *loadExchange) meanOf(zone, model string) board.MeanLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.means[meanKey{zone, model}]
	if !ok || l.node.Clock.Now().Sub(m.at) > meanTTL {
		return board.MeanLoad{}
	}
	return m.MeanLoad
}

// meanAt returns the mean load of a zone's heads for a model and its age; known is false
// without a valid one.
func (l *loadExchange) meanAt(zone, model string, now clock.Instant) (load board.MeanLoad, age time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.means[meanKey{zone, model}]
	age = now.Sub(m.at)
	return m.MeanLoad, age, ok && age <= meanTTL
}

// freeGroupsElsewhere returns the number of groups, by model, that stand free in zones other
// than the given one: the free share of their heads, discounted by the age of the mean load.
// Each of these zones may also be used by the others, so the zone counts its share only.
// The result is nil for a service that is not contended.
func (n *Node) freeGroupsElsewhere(zone string, s *catalog.Service) map[string]float64 {
	others := len(n.Settings.Zones) - 1
	if others < 1 || !n.isContended(s.Name) {
		return nil
	}
	heads := map[meanKey]int{}
	n.roster.current.Load().ForEach(func(e *roster.Endpoint) {
		if e.Zone != zone && e.Service == s.Name && e.IsServingHead() && e.Usable() && !n.evacuations.contains(e.Zone) {
			heads[meanKey{e.Zone, e.Model}]++
		}
	})
	now := n.Clock.Now()
	out := map[string]float64{}
	for k, count := range heads {
		m, age, known := n.loads.meanAt(k.zone, k.model, now)
		if known {
			fresh := 1 - age.Seconds()/meanTTL.Seconds()
			out[k.model] += float64(count) * max(0, 1-m.Load) * fresh / float64(others)
		}
	}
	return out
}

// slowestPaces returns the pace of the slowest member of each slow group in a zone, by head, for the
// contended services; only the holder of the zone's duty knows them.
func (n *Node) slowestPaces(zone string) map[roster.ID]float64 {
	if c := n.contendedController(zone); c != nil {
		return c.SlowestPaces(n.isContended)
	}
	return nil
}

// contendedController returns the controller of a zone, nil if no service is contended.
func (n *Node) contendedController(zone string) *formation.Controller {
	cat := n.config.current.Load()
	if cat == nil || !slices.ContainsFunc(cat.Services, func(s catalog.Service) bool { return n.isContended(s.Name) }) {
		return nil
	}
	for _, c := range n.controllers {
		if c.Zone == zone {
			return c
		}
	}
	return nil
}

// addPaces adds paces to the counts, which it may change, and entries for heads without requests.
func addPaces(counts []board.HeadLoad, paces map[roster.ID]float64) []board.HeadLoad {
	for i := range counts {
		counts[i].Pace = paces[counts[i].ID]
		delete(paces, counts[i].ID)
	}
	for id, pace := range paces {
		counts = append(counts, board.HeadLoad{ID: id, Pace: pace})
	}
	return counts
}

// withEmptied returns the counts in now, and zero counts for heads that had requests or a pace in
// before only.
func withEmptied(before, now []board.HeadLoad) []board.HeadLoad {
	have := map[roster.ID]bool{}
	for _, c := range now {
		have[c.ID] = true
	}
	out := now
	for _, c := range before {
		if !have[c.ID] && (c.Requests > 0 || c.Pace > 1) {
			out = append(out, board.HeadLoad{ID: c.ID})
		}
	}
	return out
}

// changedCounts returns the counts that differ from those of the board before.
func changedCounts(before, now []board.HeadLoad) []board.HeadLoad {
	was := make(map[roster.ID]board.HeadLoad, len(before))
	for _, c := range before {
		was[c.ID] = c
	}
	var out []board.HeadLoad
	for _, c := range withEmptied(before, now) {
		if was[c.ID] != c {
			out = append(out, c)
		}
	}
	return out
}

// splitParts splits counts or mean loads into parts that each fit one message; without any it
// returns one empty part.
func splitParts[T any](items []T) [][]T {
	const limit = news.MaxMessageBytes - 100 // the rest is for the message's other fields
	var out [][]T
	var part []T
	size := 0
	for _, item := range items {
		raw, err := json.Marshal(item)
		if err != nil {
			continue // unreachable: strings and finite numbers can always be encoded
		}
		if size+len(raw)+1 > limit {
			out, part, size = append(out, part), nil, 0
		}
		part, size = append(part, item), size+len(raw)+1
	}
	if len(part) > 0 || len(out) == 0 {
		out = append(out, part)
	}
	return out
}
