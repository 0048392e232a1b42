package board

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// seeds are the requests that heads had according to their own reports when the board began. The
// part of them that no node's counts explain was sent by nodes that no longer exist, or whose
// counts have not arrived yet.
type seeds struct {
	heads map[roster.ID]seed
	nodes map[string]firstCounts
}

// firstCounts are the counts that a node sent first: those requests were in flight when the
// reports were made. Later counts include requests that the reports do not.
type firstCounts struct {
	receivedAt clock.Instant
	counts     []HeadLoad
	isComplete bool // no further part may follow
}

// firstCountsTTL is how long before a report a node's first counts may have arrived to show what
// was in flight at the time of the report. Reports follow the beginning of a tenure at once, but
// later if the store is away; they include what the nodes have sent by then.
const firstCountsTTL = time.Second

type seed struct {
	requests  int
	explained int // of requests: those that nodes count
	at        clock.Instant
	decay     time.Duration
}

// Seed sets the requests that a head reported at a time. They decay over the run time of a
// request. Further seeds of the same head are ignored, because they include requests that the
// nodes count.
func (b *Board) Seed(id roster.ID, requests int, decay time.Duration, at clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seeds.heads == nil {
		b.seeds.heads = map[roster.ID]seed{}
	}
	if _, known := b.seeds.heads[id]; known {
		return
	}
	explained := 0
	for node, first := range b.seeds.nodes {
		counts := first.counts
		if at.Sub(first.receivedAt) > firstCountsTTL {
			counts = b.nodes[node].counts
		}
		for _, c := range counts {
			if c.ID == id {
				explained += c.Requests
			}
		}
	}
	b.seeds.heads[id] = seed{requests, explained, at, decay}
}

// explain records a node's counts if they are its first ones, of which further parts may follow.
func (s *seeds) explain(node string, counts []HeadLoad, further bool, now clock.Instant) {
	if s.nodes == nil {
		s.nodes = map[string]firstCounts{}
	}
	first, known := s.nodes[node]
	switch {
	case !known:
		first = firstCounts{receivedAt: now}
	case first.isComplete:
		return
	case !further:
		first.isComplete = true
		s.nodes[node] = first
		return
	}
	first.counts = append(first.counts, counts...)
	s.nodes[node] = first
	for _, c := range counts {
		if h, seeded := s.heads[c.ID]; seeded {
			h.explained += c.Requests
			s.heads[c.ID] = h
		}
	}
}

// addTo adds what remains of the seeds to the sums, and returns whether any seed has not decayed.
func (s *seeds) addTo(sums map[roster.ID]HeadLoad, now clock.Instant) (remain bool) {
	for id, h := range s.heads {
		age := now.Sub(h.at)
		if age >= h.decay {
			continue
		}
		remain = true
		left := float64(h.requests-h.explained) * (1 - max(0, float64(age))/float64(h.decay))
		if n := int(left + 0.5); n > 0 {
			c := sums[id]
			c.ID = id
			c.Requests += n
			sums[id] = c
		}
	}
	return remain
}
