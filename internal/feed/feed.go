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
	"chervilloom/internal/demand"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// Have is what the asking node knows already.
type Have struct {
	Config    uint64 `json:"config"`    // version of its configuration
	Life      string `json:"life"`      // of the answering node's journal
	Endpoints uint64 `json:"endpoints"` // number of the newest change of endpoints, in that life
	Rows      uint64 `json:"rows"`      // number of the newest change of rows, in that life
}

// Question is what an asker sends: what it has, and what it has seen since.
type Question struct {
	Have
	Node   string        `json:"node"` // that asks
	Zone   string        `json:"zone"` // of that node
	Demand []demand.Told `json:"demand,omitempty"`
}

// Ages say how old the parts of an answer are.
type Ages struct {
	Config time.Duration // since the read that confirmed the configuration began
	Roster time.Duration // since the read of the list of endpoints began
}

// State is an answer without its ages. It is the same for all who know the same.
type State struct {
	Document  *catalog.Document        `json:"document,omitempty"` // nil: the asker has the newest
	Life      string                   `json:"life"`
	Era       uint64                   `json:"era,omitempty"` // of the platform's table
	Config    uint64                   `json:"config"`        // version of the answering node's configuration
	Endpoints changes[roster.Endpoint] `json:"endpoints"`
	Rows      changes[table.Row]       `json:"rows"` // leases and addresses of nodes
}

// Source is what the answering node knows.
type Source struct {
	Catalog   func() *catalog.Catalog
	Confirmed func() clock.Instant // start of the read that confirmed the catalog
	Roster    func() *roster.Roster
	Rows      func() []table.Row
	Era       func() uint64 // of the platform's table
}

// Journal numbers the changes of endpoints and rows, so that an answer holds only
// what the asker lacks: the whole list, asked for by every node each second, took
// 192 KB a second and node at 100 nodes with 1,000 endpoints.
type Journal struct {
	Life string // drawn anew by each process

	mu        sync.Mutex
	taken     *roster.Roster // the one that endpoints holds
	endpoints record[roster.Endpoint]
	rows      record[table.Row]
}

// Take notes the newest endpoints and rows, and returns the numbers of their newest changes.
func (j *Journal) Take(r *roster.Roster, rows []table.Row) (endpoints, leases uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r != j.taken {
		// An asker sends requests and plans nothing: of a group it needs the head.
		endpoints := map[string]roster.Endpoint{}
		r.All(func(e *roster.Endpoint) {
			if e.TakesRequests() {
				endpoints[string(e.ID)] = *e
			}
		})
		j.endpoints.take(endpoints, same)
		j.taken = r
	}
	byKey := make(map[string]table.Row, len(rows))
	for _, row := range rows {
		row.Attempt = "" // of use to its writer alone
		byKey[row.Key] = row
	}
	j.rows.take(byKey, table.Row.Same)
	return j.endpoints.seq, j.rows.seq
}

// same reports whether two entries tell an asker the same.
func same(a, b roster.Endpoint) bool {
	return a.Addr == b.Addr && a.Draining == b.Draining && a.Domain == b.Domain && a.Model == b.Model &&
		a.Member == b.Member && slices.Equal(a.Staged, b.Staged)
}

// Since returns what has changed since have.
func (j *Journal) Since(have Have) State {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := have.Life == j.Life
	return State{
		Life:      j.Life,
		Endpoints: j.endpoints.since(have.Endpoints, known),
		Rows:      j.rows.since(have.Rows, known),
	}
}

// Answer makes the answer to have at now.
func Answer(src Source, j *Journal, have Have, now clock.Instant) (State, Ages) {
	known, ages := look(src, j, now)
	return known.since(j, have), ages
}

// knowledge is what a node can tell at some moment.
type knowledge struct {
	catalog         *catalog.Catalog // nil: none is known
	era             uint64
	endpoints, rows uint64 // numbers of the journal's newest changes
}

// look has the journal note what the node knows.
func look(src Source, j *Journal, now clock.Instant) (knowledge, Ages) {
	r := src.Roster()
	ages := Ages{Config: now.Sub(src.Confirmed()), Roster: now.Sub(r.Asked)}
	k := knowledge{catalog: src.Catalog(), era: src.Era()}
	k.endpoints, k.rows = j.Take(r, src.Rows())
	return k, ages
}

// since returns what an asker lacks that has have.
func (k knowledge) since(j *Journal, have Have) State {
	s := j.Since(have)
	s.Era = k.era
	if k.catalog != nil {
		s.Config = k.catalog.Version
		if k.catalog.Version > have.Config {
			s.Document = &k.catalog.Document
		}
	}
	return s
}

// Copy is what an asker knows from one answering node. Each node that is asked
// has its own: numbers of one journal mean nothing in another, and an asker that
// goes to and fro between two would get everything from both each time.
type Copy struct {
	Life      string
	Endpoints Table[roster.Endpoint]
	Rows      Table[table.Row]
}

// Have returns what to ask with, beside the configuration's version.
func (c *Copy) Have() Have {
	return Have{Life: c.Life, Endpoints: c.Endpoints.seq, Rows: c.Rows.seq}
}

// Apply takes up an answer.
func (c *Copy) Apply(s *State) {
	c.Life = s.Life
	c.Endpoints.apply(s.Endpoints, func(e roster.Endpoint) string { return string(e.ID) })
	c.Rows.apply(s.Rows, func(r table.Row) string { return r.Key })
}
