// Package board sums what a zone's nodes have in flight at its heads. Each node tells
// its whole count to the node that holds the zone's duty, which tells the sums to all:
// two messages a request and node instead of one for each pair of nodes. Counts are
// absolute, so that a lost message is made good by the next one.
package board

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Count is what is in flight at one head.
type Count struct {
	ID       roster.ID `json:"i"`
	Requests int       `json:"n"`
	Unread   int       `json:"u,omitempty"` // prompt tokens that it has yet to read
}

const (
	// TellAgain is how long a node leaves its count untold while it doesn't change.
	TellAgain = time.Second
	// countFor is how long a count stands: two may be lost. The requests of a node that
	// was killed are gone by then.
	countFor = 2500 * time.Millisecond
	// readTime is how long told prompts take to be read: one pass of an engine that
	// runs, and the next one.
	readTime = 150 * time.Millisecond
)

// Board holds the counts of a zone's nodes. Its zero value is ready for use.
type Board struct {
	mu    sync.Mutex
	nodes map[string]told
}

type told struct {
	at     clock.Instant
	counts []Count
}

// Note takes up a node's count; further parts of one that didn't fit a message add to it.
func (b *Board) Note(node string, counts []Count, further bool, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = map[string]told{}
	}
	if further {
		counts = append(slices.Clone(b.nodes[node].counts), counts...)
	}
	b.nodes[node] = told{now, counts}
}

// Sums returns what all nodes have in flight at each head, by id, and whether any
// node has told within countFor.
func (b *Board) Sums(now clock.Instant) ([]Count, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := map[roster.ID]Count{}
	for node, t := range b.nodes {
		age := now.Sub(t.at)
		if age > countFor {
			delete(b.nodes, node)
			continue
		}
		left := max(0, 1-float64(age)/float64(readTime))
		for _, c := range t.counts {
			s := sums[c.ID]
			sums[c.ID] = Count{c.ID, s.Requests + c.Requests, s.Unread + int(left*float64(c.Unread))}
		}
	}
	out := make([]Count, 0, len(sums))
	for _, c := range sums {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Count) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, len(b.nodes) > 0
}

// Mean is how loaded a zone's heads of a model are together.
type Mean struct {
	Zone   string  `json:"z"`
	Model  string  `json:"m"`
	Load   float64 `json:"l"` // requests in flight as a share of the slots
	Unread float64 `json:"u"` // prompt tokens that a head has yet to read
}

// Means returns the mean loads of a zone's models, from what is in flight at the heads
// that serve there.
func Means(zone string, sums []Count, heads []*roster.Endpoint) []Mean {
	at := make(map[roster.ID]Count, len(sums))
	for _, c := range sums {
		at[c.ID] = c
	}
	type total struct{ requests, unread, slots, heads int }
	totals := map[string]total{}
	for _, e := range heads {
		t, c := totals[e.Model], at[e.ID]
		totals[e.Model] = total{t.requests + c.Requests, t.unread + c.Unread, t.slots + e.Slots, t.heads + 1}
	}
	out := make([]Mean, 0, len(totals))
	for model, t := range totals {
		if t.slots > 0 {
			out = append(out, Mean{
				zone, model, float64(t.requests) / float64(t.slots), float64(t.unread) / float64(t.heads),
			})
		}
	}
	slices.SortFunc(out, func(a, b Mean) int { return strings.Compare(a.Model, b.Model) })
	return out
}
