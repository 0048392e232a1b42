// Package roster keeps a node's list of the endpoints of all services, as read from the
// platform. A Roster is an immutable snapshot; Merge builds the next one from a newer list.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// GroupState is the state of an endpoint's membership in a group.
type GroupState string

// The states of a membership. Only the head, rank 0, is ever Open or Closing.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// Membership is an endpoint's membership in a group.
type Membership struct {
	Group string     `json:"group,omitempty"` // empty: in no group
	Epoch uint64     `json:"epoch,omitempty"`
	Rank  int        `json:"rank,omitempty"`
	State GroupState `json:"state,omitempty"`
}

// Endpoint is one endpoint as the platform lists it.
type Endpoint struct {
	ID       ID         `json:"id"`
	Service  string     `json:"service"`
	Addr     string     `json:"addr"` // ip:port
	Zone     string     `json:"zone"`
	Slots    int        `json:"slots"`
	Draining bool       `json:"draining,omitempty"`
	Cold     bool       `json:"cold,omitempty"`     // it accepts only the service's rate for cold endpoints
	Sequence uint64     `json:"sequence,omitempty"` // number of writes of its entry by one incarnation
	Domain   string     `json:"domain,omitempty"`   // fabric domain; engines only
	Staged   []string   `json:"staged,omitempty"`   // models whose weights are stored on the host; engines only
	Model    string     `json:"model,omitempty"`    // model of the newest group; engines only
	Member   Membership `json:"member,omitzero"`
	// Instants of this VM's clock, not valid on another VM.
	MissingSince clock.Instant `json:"-"` // when it was first missing from the list; 0: listed
	HintedAt     clock.Instant `json:"-"` // when a hint set Model and Member; 0: they are from the list
}

// Usable reports whether new work may be sent to the endpoint.
func (e *Endpoint) Usable() bool { return !e.Draining }

// TakesRequests reports whether requests are sent to the endpoint itself: it is a plain one,
// or the head of a group that accepts requests.
func (e *Endpoint) TakesRequests() bool { return e.Domain == "" || e.IsServingHead() }

// IsServingHead reports whether the endpoint is the head of a group that accepts requests.
func (e *Endpoint) IsServingHead() bool { return e.Member.Rank == 0 && e.Member.State == Open }

// Listing is the result of one read of the platform's list.
type Listing struct {
	Endpoints []Endpoint
	Rejected  []Rejected
	Era       uint64 // era of the platform's table; a restore from an older copy starts a new one
	// Partial reports whether another node sent the listing, which then has only the
	// endpoints for which TakesRequests is true.
	Partial bool
	// Relayed reports whether another node read the list, and Age is the time since that read
	// started.
	Relayed bool
	Age     time.Duration
}

// Roster is a snapshot of the endpoints.
type Roster struct {
	RequestedAt  clock.Instant // when the list was requested; the list is at least as new
	Era          uint64        // era of the platform's table
	Partial      bool          // only endpoints for which TakesRequests is true
	relayed      bool          // another node read the list
	restoredAt   clock.Instant // when a list of this era was first requested; 0: no earlier era was known
	byID         []*Endpoint   // sorted by ID
	byService    map[string][]*Endpoint
	incarnations map[string]incarnation // latest listed incarnation, by endpoint name
	departures   map[ID]departure
}

// incarnation is an incarnation of an endpoint and when it was last listed.
type incarnation struct {
	id       ID
	listedAt clock.Instant
}

// Empty returns a roster without endpoints.
func Empty() *Roster { return &Roster{} }

// Get returns the endpoint of that id, or nil.
func (r *Roster) Get(id ID) *Endpoint {
	if i, found := find(r.byID, id); found {
		return r.byID[i]
	}
	return nil
}

func find(sorted []*Endpoint, id ID) (int, bool) {
	return slices.BinarySearchFunc(sorted, id, func(e *Endpoint, id ID) int { return cmp.Compare(e.ID, id) })
}

// Service returns the endpoints of a service. The caller must not modify the slice.
func (r *Roster) Service(name string) []*Endpoint { return r.byService[name] }

// ForEach calls f for every endpoint, in the order of their ids.
func (r *Roster) ForEach(f func(*Endpoint)) {
	for _, e := range r.byID {
		f(e)
	}
}

// IsLoaded reports whether a list has been read.
func (r *Roster) IsLoaded() bool { return r.RequestedAt != 0 }

// staleIncarnationGrace is how long an entry of an earlier incarnation is ignored after the later
// one was listed: an entry from before the restart may reappear after an outage of the platform,
// and live endpoints rewrite theirs every 1.2 s. An earlier incarnation that is still listed
// after that is the live one, and the later entry was not written by its endpoint.
const staleIncarnationGrace = 5 * time.Second

// recordIncarnation records an incarnation from a list that was requested at asked. It reports
// whether the entry is valid: one of an earlier incarnation than the known one is not.
func (r *Roster) recordIncarnation(old *Roster, id ID, asked clock.Instant) bool {
	name := id.Name()
	if known, ok := old.incarnations[name]; ok && id.Before(known.id) && asked.Sub(known.listedAt) < staleIncarnationGrace {
		if _, ok := r.incarnations[name]; !ok {
			r.incarnations[name] = known
		}
		return false
	}
	r.incarnations[name] = incarnation{id, asked}
	return true
}

// OutageGrace is how long a missing endpoint is kept after an outage of the platform. Entries
// expire during an outage, and live endpoints rewrite them within 2 s of its end; without
// the grace all endpoints would be dropped at once after each outage.
const OutageGrace = 2 * time.Second

// Merge returns the roster after a list that was requested at asked. recovered is when this
// node last reconnected to the platform (0: it never lost the connection). A missing endpoint
// is dropped, except within OutageGrace after recovered or after a restore of the table, when
// it is kept unchanged. A list of an earlier era than the known one is ignored.
func Merge(old *Roster, l Listing, asked, recovered clock.Instant) *Roster {
	if l.Era < old.Era {
		return old
	}
	listed := l.Endpoints
	next := &Roster{
		RequestedAt:  asked,
		Era:          l.Era,
		Partial:      l.Partial,
		relayed:      l.Relayed || l.Partial,
		restoredAt:   old.restoredAt,
		byID:         make([]*Endpoint, 0, len(listed)),
		incarnations: make(map[string]incarnation, len(listed)),
	}
	if l.Era > old.Era && old.IsLoaded() {
		next.restoredAt = asked
	}
	if !next.relayed { // otherwise the sending node applies the grace
		recovered = max(recovered, next.restoredAt)
	}
	for i := range listed {
		e := &listed[i]
		if !next.recordIncarnation(old, e.ID, asked) {
			continue
		}
		departed := old.departures[e.ID]
		if departed.missingSince != 0 && !departed.wasDraining && next.isStale(e, departed.sequence) {
			continue
		}
		// Draining is final for an incarnation. An older entry that is rewritten after
		// an outage must not send new work to a draining endpoint.
		e.Draining = e.Draining || departed.wasDraining
		if prev := old.Get(e.ID); prev != nil {
			e.Draining = e.Draining || prev.Draining
			if e.Sequence != prev.Sequence && next.isStale(e, prev.Sequence) {
				e.Model, e.Member, e.Staged, e.Sequence = prev.Model, prev.Member, prev.Staged, prev.Sequence
			}
			if prev.HintedAt.After(asked) {
				e.Model, e.Member, e.HintedAt = prev.Model, prev.Member, prev.HintedAt
			}
		}
		next.byID = append(next.byID, e)
	}
	if recovered != 0 && asked.Sub(recovered) < OutageGrace {
		old.ForEach(func(e *Endpoint) {
			if _, listed := next.incarnations[e.ID.Name()]; listed {
				return
			}
			kept := *e
			if kept.MissingSince == 0 {
				kept.MissingSince = asked
			}
			next.byID = append(next.byID, &kept)
		})
	}
	next.keepHintedHeads(old)
	next.buildIndex()
	next.recordDepartures(old)
	return next
}

// keepHintedHeads keeps the heads for which a hint arrived after a partial list was requested:
// the list lacks heads that started to serve since then.
func (r *Roster) keepHintedHeads(old *Roster) {
	if !r.Partial {
		return
	}
	for _, e := range old.byID {
		if _, listed := r.incarnations[e.ID.Name()]; !listed && e.HintedAt.After(r.RequestedAt) && e.IsServingHead() {
			r.byID = append(r.byID, e)
		}
	}
}

// buildIndex sorts the endpoints and builds the index by service.
func (r *Roster) buildIndex() {
	slices.SortFunc(r.byID, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	r.byService = map[string][]*Endpoint{}
	for _, e := range r.byID {
		r.byService[e.Service] = append(r.byService[e.Service], e)
	}
}

// withEndpoint returns a copy of the roster in which e replaces the endpoint of the same id or is
// added.
func (r *Roster) withEndpoint(e *Endpoint) *Roster {
	next := *r
	next.byID = withReplaced(r.byID, e)
	next.byService = maps.Clone(r.byService)
	if next.byService == nil {
		next.byService = map[string][]*Endpoint{}
	}
	next.byService[e.Service] = withReplaced(r.byService[e.Service], e)
	return &next
}

// withReplaced returns a copy of the sorted list in which e replaces the endpoint of the same id
// or is inserted.
func withReplaced(sorted []*Endpoint, e *Endpoint) []*Endpoint {
	i, found := find(sorted, e.ID)
	if !found {
		return slices.Insert(slices.Clip(sorted), i, e)
	}
	out := slices.Clone(sorted)
	out[i] = e
	return out
}

// withoutEndpoint returns a copy of the roster without an endpoint.
func (r *Roster) withoutEndpoint(e *Endpoint) *Roster {
	next := *r
	isRemoved := func(x *Endpoint) bool { return x.ID == e.ID }
	next.byID = slices.DeleteFunc(slices.Clone(r.byID), isRemoved)
	next.byService = maps.Clone(r.byService)
	next.byService[e.Service] = slices.DeleteFunc(slices.Clone(r.byService[e.Service]), isRemoved)
	return &next
}

// Hint is the new state of an endpoint, sent by the node that changed it before the
// platform's list shows the change.
type Hint struct {
	ID     ID         `json:"id"`
	Model  string     `json:"model"`
	Member Membership `json:"member"`
	// Entry is the endpoint as listed, for nodes with a partial roster, which may not have
	// it yet; nil if it accepts no requests.
	Entry *Endpoint `json:"entry,omitempty"`
}

// WithHint returns the roster after a hint that was received at now. The hint is valid until a
// list that was requested later. A hint about an endpoint that is not listed, or about an
// older group than the listed one, is ignored, except that a partial roster adds a head that
// starts to accept requests.
func (r *Roster) WithHint(h Hint, now clock.Instant) *Roster {
	e := r.Get(h.ID)
	if e == nil && r.Partial && h.Member.State == Open {
		e = h.Entry
	}
	if e == nil || h.Member.Epoch < e.Member.Epoch || r.hasLaterIncarnation(h.ID) {
		return r
	}
	changed := *e
	changed.Model, changed.Member, changed.HintedAt = h.Model, h.Member, now
	changed.Draining = changed.Draining || r.departures[h.ID].wasDraining
	return r.withEndpoint(&changed)
}

// hasLaterIncarnation reports whether a later incarnation of the endpoint is known.
func (r *Roster) hasLaterIncarnation(id ID) bool {
	known, ok := r.incarnations[id.Name()]
	return ok && id.Before(known.id)
}

// WithDepartures returns the roster after a message that endpoints are draining (leaving) or no
// longer listed (gone). It makes new work stop within the time that the platform allows. A
// complete roster ignores gone and drops an endpoint when the next list lacks it.
func (r *Roster) WithDepartures(leaving, gone []ID) *Roster {
	for _, id := range leaving {
		if e := r.Get(id); e != nil && e.Usable() {
			changed := *e
			changed.Draining = true
			r = r.withEndpoint(&changed)
		}
	}
	for _, id := range gone {
		if e := r.Get(id); e != nil && r.Partial {
			r = r.withoutEndpoint(e)
		}
	}
	return r
}
