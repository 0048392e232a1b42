// Package feed distributes the platform's state among nodes. The node with a zone's duty
// reads configuration, endpoints and leases from the store; the other nodes of the zone
// poll it. If each node read for itself, this would cost four calls per second and node,
// while the store's rate limits and budget do not grow with the number of nodes.
//
// A response contains the age of each part, measured from the start of the read of the
// store; the poller subtracts it from the time of its request. State is thus never taken
// for newer than it is.
package feed

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// Have is the state that the polling node already has.
type Have struct {
	Config      uint64 `json:"config"`    // version of its configuration
	Incarnation string `json:"life"`      // incarnation of the responding node's journal
	Endpoints   uint64 `json:"endpoints"` // number of the newest change of endpoints in that incarnation
	Rows        uint64 `json:"rows"`      // number of the newest change of rows in that incarnation
	// Complete requests all endpoints and no rows. Otherwise the response has the endpoints that
	// accept requests.
	Complete bool `json:"complete,omitempty"`
}

// PollRequest is a poll of a node: the state that it has, and its recent demand.
type PollRequest struct {
	Have
	Node   string                 `json:"node"` // polling node
	Zone   string                 `json:"zone"` // zone of the polling node
	Demand []demand.ServiceDemand `json:"demand,omitempty"`
	// Row is the value of the polling node's own row, which the responding node is to write; empty:
	// the row exists.
	Row []byte `json:"row,omitempty"`
}

// Ages are the ages of the parts of a response.
type Ages struct {
	Config time.Duration // since the start of the read that confirmed the configuration
	Roster time.Duration // since the start of the read of the list of endpoints
}

// State is a response without its ages. It is identical for all nodes that have the same
// state.
type State struct {
	Document    *catalog.Document        `json:"document,omitempty"` // nil: the polling node has the newest
	Incarnation string                   `json:"life"`               // incarnation of the responding node's journal
	Era         uint64                   `json:"era,omitempty"`      // era of the platform's table
	Config      uint64                   `json:"config"`             // version of the responding node's configuration
	Endpoints   changes[roster.Endpoint] `json:"endpoints"`
	Rows        changes[table.Row]       `json:"rows"`      // leases and addresses of nodes
	Evacuated   []string                 `json:"evacuated"` // all evacuated zones; nil: the responding node doesn't report them
}

// Source provides the state of the responding node.
type Source struct {
	Catalog     func() *catalog.Catalog
	ConfirmedAt func() clock.Instant // start of the read that confirmed the catalog
	Roster      func() *roster.Roster
	Rows        func() []table.Row
	Era         func() uint64   // era of the platform's table
	Evacuated   func() []string // evacuated zones, sorted, never nil
}

// Journal numbers the changes of endpoints and rows, so that a response contains only those
// that the polling node lacks. Complete lists for every node each second took 192 KB/s per
// node with 100 nodes and 1,000 endpoints.
type Journal struct {
	Incarnation string // incarnation of the journal, random for each process

	mu         sync.Mutex
	lastRoster *roster.Roster // the roster from which endpoints was last updated
	endpoints  changeLog[roster.Endpoint]
	rows       changeLog[table.Row]

	lastCompleteRoster *roster.Roster // the roster from which all was last updated
	all                changeLog[roster.Endpoint]
}

// updateAll records all endpoints and returns the number of their newest change.
func (j *Journal) updateAll(r *roster.Roster) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r != j.lastCompleteRoster {
		all := map[string]roster.Endpoint{}
		r.ForEach(func(e *roster.Endpoint) { all[string(e.ID)] = *e })
		j.all.update(all, isSameEntry)
		j.lastCompleteRoster = r
	}
	return j.all.seq
}

// Update records the newest endpoints and rows, and returns the numbers of their newest changes.
func (j *Journal) Update(r *roster.Roster, rows []table.Row) (endpoints, leases uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r != j.lastRoster {
		// A polling node only sends requests and does not plan groups, so it needs
		// just the head of each group.
		endpoints := map[string]roster.Endpoint{}
		r.ForEach(func(e *roster.Endpoint) {
			if e.TakesRequests() {
				endpoints[string(e.ID)] = *e
			}
		})
		j.endpoints.update(endpoints, isSameEntry)
		j.lastRoster = r
	}
	byKey := make(map[string]table.Row, len(rows))
	for _, row := range rows {
		row.Attempt = "" // needed only by the row's writer
		byKey[row.Key] = row
	}
	j.rows.update(byKey, table.Row.SameVersion)
	return j.endpoints.seq, j.rows.seq
}

// isSameEntry reports whether two entries are equal for a polling node.
func isSameEntry(a, b roster.Endpoint) bool {
	return a.Addr == b.Addr && a.Draining == b.Draining && a.Cold == b.Cold && a.Domain == b.Domain && a.Model == b.Model &&
		a.Member == b.Member && slices.Equal(a.Staged, b.Staged)
}

// Since returns the changes since have, or everything if have is of another incarnation.
func (j *Journal) Since(have Have) State {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := have.Incarnation == j.Incarnation
	if have.Complete {
		return State{Incarnation: j.Incarnation, Endpoints: j.all.since(have.Endpoints, known)}
	}
	return State{
		Incarnation: j.Incarnation,
		Endpoints:   j.endpoints.since(have.Endpoints, known),
		Rows:        j.rows.since(have.Rows, known),
	}
}

// BuildResponse returns the response to a node that has have, at now.
func BuildResponse(src Source, j *Journal, have Have, now clock.Instant) (State, Ages) {
	current, ages := takeSnapshot(src, j, have.Complete, now)
	return current.stateSince(j, have), ages
}

// snapshot identifies the state of a node at some moment.
type snapshot struct {
	catalog         *catalog.Catalog // nil: not known yet
	era             uint64
	endpoints, rows uint64 // numbers of the journal's newest changes
	evacuated       string // names of the evacuated zones, separated by zoneSeparator
}

// zoneSeparator can't be part of a zone's name.
const zoneSeparator = "\n"

// takeSnapshot updates the journal from the source and returns the current state and its ages.
func takeSnapshot(src Source, j *Journal, complete bool, now clock.Instant) (snapshot, Ages) {
	r := src.Roster()
	ages := Ages{Config: now.Sub(src.ConfirmedAt()), Roster: now.Sub(r.RequestedAt)}
	k := snapshot{catalog: src.Catalog(), era: src.Era()}
	if complete {
		k.endpoints = j.updateAll(r)
	} else {
		k.endpoints, k.rows = j.Update(r, src.Rows())
	}
	if src.Evacuated != nil {
		k.evacuated = strings.Join(src.Evacuated(), zoneSeparator)
	}
	return k, ages
}

// stateSince returns the part of the state that a node with have lacks.
func (k snapshot) stateSince(j *Journal, have Have) State {
	s := j.Since(have)
	s.Era = k.era
	s.Evacuated = []string{}
	if k.evacuated != "" {
		s.Evacuated = strings.Split(k.evacuated, zoneSeparator)
	}
	if k.catalog != nil {
		s.Config = k.catalog.Version
		if k.catalog.Version > have.Config {
			s.Document = &k.catalog.Document
		}
	}
	return s
}

// Replica is a polling node's copy of the state of one responding node. There is one for each
// responding node: change numbers are valid for one journal only, and with a single copy a
// node that alternates between two would get the complete state each time.
type Replica struct {
	Incarnation string
	Endpoints   Table[roster.Endpoint]
	Rows        Table[table.Row]
}

// Have returns the state to send with the next poll, without the configuration's version.
func (c *Replica) Have() Have {
	return Have{Incarnation: c.Incarnation, Endpoints: c.Endpoints.seq, Rows: c.Rows.seq}
}

// Apply updates the copy from a response.
func (c *Replica) Apply(s *State) {
	c.Incarnation = s.Incarnation
	c.Endpoints.apply(s.Endpoints, func(e roster.Endpoint) string { return string(e.ID) })
	c.Rows.apply(s.Rows, func(r table.Row) string { return r.Key })
}
