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
	// explained are the requests in the first counts of each node: those were in flight when the
	// reports were made. Later counts include requests that the reports do not.
	explained map[roster.ID]int
	nodes     map[string]isFirst // nodes that have sent counts
}

// isFirst reports whether a node has sent its first counts only, of which further parts may follow.
type isFirst bool

type seed struct {
	requests int
	at       clock.Instant
	decay    time.Duration
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
	if _, known := b.seeds.heads[id]; !known {
		b.seeds.heads[id] = seed{requests, at, decay}
	}
}

// explain records a node's counts if they are its first ones.
func (s *seeds) explain(node string, counts []HeadLoad, further bool) {
	if s.nodes == nil {
		s.nodes, s.explained = map[string]isFirst{}, map[roster.ID]int{}
	}
	first, known := s.nodes[node]
	first = isFirst(!known) || first && isFirst(further)
	s.nodes[node] = first
	if !first {
		return
	}
	for _, c := range counts {
		s.explained[c.ID] += c.Requests
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
		left := float64(h.requests-s.explained[id]) * (1 - max(0, float64(age))/float64(h.decay))
		if n := int(left + 0.5); n > 0 {
			c := sums[id]
			c.ID = id
			c.Requests += n
			sums[id] = c
		}
	}
	return remain
}
