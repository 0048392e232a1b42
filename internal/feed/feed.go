// Package feed hands the platform's state on between nodes. The node that holds
// a zone's duty reads configuration, endpoints and leases from the store; the
// zone's other nodes ask it. Each node reading for itself costs four calls a
// second and node, and the store's rates and price don't grow with the nodes.
//
// A node asks and is answered with the age of each part, so that what it knows
// is never taken for newer than it is: it counts from before it asked.
package feed

import (
	"slices"
	"sync"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// Have is what the asking node knows already.
type Have struct {
	Config uint64 `json:"config"` // version of its configuration
	Life   string `json:"life"`   // of the answering node's journal
	Seq    uint64 `json:"seq"`    // of the endpoints, in that life
}

// State is an answer.
type State struct {
	ConfigAge time.Duration     `json:"config_age"` // since the read that confirmed it began
	Document  *catalog.Document `json:"document"`   // nil: the asker has the newest
	RosterAge time.Duration     `json:"roster_age"` // since the read of the list began
	Life      string            `json:"life"`
	Seq       uint64            `json:"seq"`
	Full      bool              `json:"full"` // Changed holds all endpoints
	Changed   []roster.Endpoint `json:"changed"`
	Removed   []roster.ID       `json:"removed"`
	Rows      []table.Row       `json:"rows"` // leases and addresses of nodes
}

// Source is what the answering node knows.
type Source struct {
	Catalog   func() *catalog.Catalog
	Confirmed func() clock.Instant // start of the read that confirmed the catalog
	Roster    func() *roster.Roster
	Rows      func() []table.Row
}

// Journal numbers the changes of the endpoints, so that an answer holds only
// what the asker lacks. A list of 600 endpoints takes 120 KB; what changes in a
// second takes one or two.
type Journal struct {
	Life string // drawn anew by each process

	mu      sync.Mutex
	seq     uint64
	oldest  uint64 // removals up to here are forgotten
	current map[roster.ID]entry
	removed []removal
}

type entry struct {
	endpoint roster.Endpoint
	seq      uint64
}

type removal struct {
	id  roster.ID
	seq uint64
}

// keptRemovals is how many removals are remembered; an asker that lacks older
// ones gets all endpoints.
const keptRemovals = 256

// Take notes the newest roster.
func (j *Journal) Take(r *roster.Roster) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.current == nil {
		j.current = map[roster.ID]entry{}
	}
	next := j.seq + 1
	r.All(func(e *roster.Endpoint) {
		old, ok := j.current[e.ID]
		if ok && same(&old.endpoint, e) {
			return
		}
		j.current[e.ID] = entry{*e, next}
		j.seq = next
	})
	for id := range j.current {
		if r.Get(id) == nil {
			delete(j.current, id)
			j.removed = append(j.removed, removal{id, next})
			j.seq = next
		}
	}
	if n := len(j.removed) - keptRemovals; n > 0 {
		j.oldest = j.removed[n-1].seq
		j.removed = slices.Clone(j.removed[n:])
	}
}

// same reports whether two entries tell an asker the same.
func same(a, b *roster.Endpoint) bool {
	return a.Addr == b.Addr && a.Draining == b.Draining && a.Domain == b.Domain && a.Model == b.Model &&
		a.Member == b.Member && slices.Equal(a.Staged, b.Staged)
}

// Since adds to s what has changed since have.
func (j *Journal) Since(have Have, s *State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.Life, s.Seq = j.Life, j.seq
	s.Full = have.Life != j.Life || have.Seq < j.oldest
	for _, e := range j.current {
		if s.Full || e.seq > have.Seq {
			s.Changed = append(s.Changed, e.endpoint)
		}
	}
	if s.Full {
		return
	}
	for _, r := range j.removed {
		if r.seq > have.Seq {
			s.Removed = append(s.Removed, r.id)
		}
	}
}

// Answer makes the answer to have at now.
func Answer(src Source, j *Journal, have Have, now clock.Instant) State {
	s := State{Rows: src.Rows()}
	r := src.Roster()
	s.RosterAge = now.Sub(r.Asked)
	j.Take(r)
	j.Since(have, &s)
	s.ConfigAge = now.Sub(src.Confirmed())
	if c := src.Catalog(); c != nil && c.Version > have.Config {
		s.Document = &c.Document
	}
	return s
}

// Apply returns the endpoints after an answer.
func (s *State) Apply(old []roster.Endpoint) []roster.Endpoint {
	if s.Full {
		return s.Changed
	}
	out := make([]roster.Endpoint, 0, len(old)+len(s.Changed))
	replaced := map[roster.ID]bool{}
	for i := range s.Changed {
		replaced[s.Changed[i].ID] = true
	}
	for _, id := range s.Removed {
		replaced[id] = true
	}
	for i := range old {
		if !replaced[old[i].ID] {
			out = append(out, old[i])
		}
	}
	return append(out, s.Changed...)
}
