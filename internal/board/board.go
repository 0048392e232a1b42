// Package board sums the requests in flight of a zone's nodes at the zone's heads. Each
// node sends its counts to the node that holds the zone's lease, which sends the sums to
// all nodes. This takes two messages per request and node instead of one for each pair of
// nodes. Counts are absolute, so the next message makes up for a lost one.
package board

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// HeadLoad is the load in flight at one head.
type HeadLoad struct {
	ID       roster.ID `json:"i"`
	Requests int       `json:"n"`
	Unread   int       `json:"u,omitempty"` // prompt tokens not yet read by the engine
	// Gap is the time between two events of a stream in ms, and Pace the slowdown of the group's
	// slowest member; 0: unknown or not needed. Only heads of contended services have them.
	Gap  int     `json:"g,omitempty"`
	Pace float64 `json:"p,omitempty"`
}

const (
	// ResendInterval is the interval at which a node resends unchanged counts.
	ResendInterval = time.Second
	// countTTL is how long a node's counts are valid, so that two messages may be lost.
	// The requests of a killed node have ended by then.
	countTTL = 2500 * time.Millisecond
	// promptReadTime is the time after which the prompts in a count have been read: the
	// engine's current pass and the next one.
	promptReadTime = 150 * time.Millisecond
)

// Board stores the counts of a zone's nodes. Its zero value is ready for use.
type Board struct {
	mu    sync.Mutex
	nodes map[string]nodeCounts
	seeds seeds
}

type nodeCounts struct {
	receivedAt clock.Instant
	counts     []HeadLoad
}

// Update replaces a node's counts. If further is set, counts is another part of a message
// that was split, and is added.
func (b *Board) Update(node string, counts []HeadLoad, further bool, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = map[string]nodeCounts{}
	}
	b.seeds.explain(node, counts, further, now)
	if further {
		counts = append(slices.Clone(b.nodes[node].counts), counts...)
	}
	b.nodes[node] = nodeCounts{now, counts}
}

// Sums returns the load in flight of all nodes at each head, sorted by ID, and whether any node
// has sent counts within countTTL or a seed has not decayed. A head's gap is the mean of the
// nodes that measured one, weighted by their requests.
func (b *Board) Sums(now clock.Instant) ([]HeadLoad, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := map[roster.ID]HeadLoad{}
	gaps := map[roster.ID]gapSum{}
	for node, t := range b.nodes {
		age := now.Sub(t.receivedAt)
		if age > countTTL {
			delete(b.nodes, node)
			continue
		}
		left := max(0, 1-float64(age)/float64(promptReadTime))
		for _, c := range t.counts {
			s := sums[c.ID]
			sums[c.ID] = HeadLoad{ID: c.ID, Requests: s.Requests + c.Requests, Unread: s.Unread + int(left*float64(c.Unread))}
			if c.Gap > 0 && c.Requests > 0 {
				g := gaps[c.ID]
				gaps[c.ID] = gapSum{g.weighted + c.Gap*c.Requests, g.requests + c.Requests}
			}
		}
	}
	seeded := b.seeds.addTo(sums, now)
	out := make([]HeadLoad, 0, len(sums))
	for _, c := range sums {
		c.Gap = gaps[c.ID].mean()
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b HeadLoad) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, len(b.nodes) > 0 || seeded
}

// gapSum is the sum of the gaps at one head, weighted by requests.
type gapSum struct{ weighted, requests int }

func (g gapSum) mean() int {
	if g.requests == 0 {
		return 0
	}
	return g.weighted / g.requests
}

// MeanLoad is the mean load of a model's heads in a zone.
type MeanLoad struct {
	Zone   string  `json:"z"`
	Model  string  `json:"m"`
	Load   float64 `json:"l"` // requests in flight as a share of the slots
	Unread float64 `json:"u"` // prompt tokens not yet read, per head
}

// MeanLoads returns the mean load of each of a zone's models, from the load in flight at the
// heads that serve there.
func MeanLoads(zone string, sums []HeadLoad, heads []*roster.Endpoint) []MeanLoad {
	at := make(map[roster.ID]HeadLoad, len(sums))
	for _, c := range sums {
		at[c.ID] = c
	}
	type total struct{ requests, unread, slots, heads int }
	totals := map[string]total{}
	for _, e := range heads {
		t, c := totals[e.Model], at[e.ID]
		totals[e.Model] = total{t.requests + c.Requests, t.unread + c.Unread, t.slots + e.Slots, t.heads + 1}
	}
	out := make([]MeanLoad, 0, len(totals))
	for model, t := range totals {
		if t.slots > 0 {
			out = append(out, MeanLoad{
				zone, model, float64(t.requests) / float64(t.slots), float64(t.unread) / float64(t.heads),
			})
		}
	}
	slices.SortFunc(out, func(a, b MeanLoad) int { return strings.Compare(a.Model, b.Model) })
	return out
}
