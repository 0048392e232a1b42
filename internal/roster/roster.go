// Package roster holds what a node knows of the endpoints of all services, as
// the platform's list tells it. A Roster is an immutable snapshot; Merge makes
// the next one from a newer list.
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

// Membership is an endpoint's place in a group.
type Membership struct {
	Group string     `json:"group,omitempty"` // empty: in no group
	Epoch uint64     `json:"epoch,omitempty"`
	Rank  int        `json:"rank,omitempty"`
	State GroupState `json:"state,omitempty"`
}

// Endpoint is one back end as the platform lists it.
type Endpoint struct {
	ID       ID         `json:"id"`
	Service  string     `json:"service"`
	Addr     string     `json:"addr"` // ip:port
	Zone     string     `json:"zone"`
	Slots    int        `json:"slots"`
	Draining bool       `json:"draining,omitempty"`
	Sequence uint64     `json:"sequence,omitempty"` // counts the writes of its entry in one life
	Domain   string     `json:"domain,omitempty"`   // fabric domain; engines only
	Staged   []string   `json:"staged,omitempty"`   // models whose weights lie on the host; engines only
	Model    string     `json:"model,omitempty"`    // model of the newest group; engines only
	Member   Membership `json:"member,omitzero"`
	// Instants of this VM's clock; they mean nothing to another one.
	Missing clock.Instant `json:"-"` // when it was first missing from the list; 0: listed
	Hinted  clock.Instant `json:"-"` // when a node told of Model and Member; 0: the list did
}

// Usable reports whether the endpoint may get new work.
func (e *Endpoint) Usable() bool { return !e.Draining }

// TakesRequests reports whether requests are sent to the endpoint itself: a plain one, or
// the head of a group that takes requests.
func (e *Endpoint) TakesRequests() bool { return e.Domain == "" || e.Leads() }

// Leads reports whether the endpoint is the head of a group that takes requests.
func (e *Endpoint) Leads() bool { return e.Member.Rank == 0 && e.Member.State == Open }

// Listing is what one read of the platform's list brought.
type Listing struct {
	Endpoints []Endpoint
	Rejected  []Rejected
	Era       uint64 // of the platform's table
	// Partial: another node told it, and only of endpoints that take requests.
	Partial bool
}

// Roster is a snapshot of the endpoints.
type Roster struct {
	Asked     clock.Instant // when the list was asked for; it is at least as new as this
	Era       uint64        // of the platform's table
	Partial   bool          // it holds only endpoints that take requests
	restored  clock.Instant // when a list of this era was first asked for; 0: no other was known before
	byID      []*Endpoint   // sorted
	byService map[string][]*Endpoint
	lives     map[string]life // by name: the latest life that a list showed
	left      map[ID]departure
}

// life is a life of an endpoint and when it was last listed.
type life struct {
	id     ID
	listed clock.Instant
}

// Empty returns a roster of no endpoints.
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

// Service returns the endpoints of a service. The caller must not change it.
func (r *Roster) Service(name string) []*Endpoint { return r.byService[name] }

// All calls f for every endpoint, in the order of their ids.
func (r *Roster) All(f func(*Endpoint)) {
	for _, e := range r.byID {
		f(e)
	}
}

// Known reports whether a list was ever read.
func (r *Roster) Known() bool { return r.Asked != 0 }

// lifeMemory is how long an entry of an earlier life is left out after the later
// one was listed: an entry that was written before the restart may come back after
// an outage of the platform, and live endpoints write theirs anew every 1.2 s. An
// earlier life that is still listed then is the live one, and the later entry was
// not its endpoint's own.
const lifeMemory = 5 * time.Second

// noteLife takes up that a list asked for at asked shows the life. It reports
// whether the entry counts: one of an earlier life than is known doesn't.
func (r *Roster) noteLife(old *Roster, id ID, asked clock.Instant) bool {
	name := id.Name()
	if known, ok := old.lives[name]; ok && id.Before(known.id) && asked.Sub(known.listed) < lifeMemory {
		if _, ok := r.lives[name]; !ok {
			r.lives[name] = known
		}
		return false
	}
	r.lives[name] = life{id, asked}
	return true
}

// LapseGrace is how long an endpoint that vanished around an outage of the
// platform is still taken for listed. Entries lapse while the platform is away
// and live endpoints write them anew within 2 s of its return; without the
// grace every endpoint would seem gone at once after each outage.
const LapseGrace = 2 * time.Second

// Merge returns the roster after a list that was asked for at asked.
// recovered is when this node last regained the platform (0: it never lost it).
// An endpoint that is missing is dropped, except within LapseGrace after recovered, or
// after the table came back from an older copy, when it stays as it was until the grace
// is over. A list of an earlier era than is known changes nothing.
func Merge(old *Roster, l Listing, asked, recovered clock.Instant) *Roster {
	if l.Era < old.Era {
		return old
	}
	listed := l.Endpoints
	next := &Roster{
		Asked:    asked,
		Era:      l.Era,
		Partial:  l.Partial,
		restored: old.restored,
		byID:     make([]*Endpoint, 0, len(listed)),
		lives:    make(map[string]life, len(listed)),
	}
	if l.Era > old.Era && old.Known() {
		next.restored = asked
	}
	if !l.Partial { // else the node that tells it keeps what is missing
		recovered = max(recovered, next.restored)
	}
	for i := range listed {
		e := &listed[i]
		if !next.noteLife(old, e.ID, asked) {
			continue
		}
		left := old.left[e.ID]
		if left.seen != 0 && !left.draining && next.isOlder(e, left.sequence) {
			continue
		}
		// Draining is final for one life. An older entry that is written
		// again after an outage must not bring new work to a leaving endpoint.
		e.Draining = e.Draining || left.draining
		if prev := old.Get(e.ID); prev != nil {
			e.Draining = e.Draining || prev.Draining
			if e.Sequence != prev.Sequence && next.isOlder(e, prev.Sequence) {
				e.Model, e.Member, e.Staged, e.Sequence = prev.Model, prev.Member, prev.Staged, prev.Sequence
			}
			if prev.Hinted.After(asked) {
				e.Model, e.Member, e.Hinted = prev.Model, prev.Member, prev.Hinted
			}
		}
		next.byID = append(next.byID, e)
	}
	if recovered != 0 && asked.Sub(recovered) < LapseGrace {
		old.All(func(e *Endpoint) {
			if _, listed := next.lives[e.ID.Name()]; listed {
				return
			}
			kept := *e
			if kept.Missing == 0 {
				kept.Missing = asked
			}
			next.byID = append(next.byID, &kept)
		})
	}
	next.keepHinted(old)
	next.index()
	next.remember(old)
	return next
}

// keepHinted keeps heads that a node told of after the list was asked for: a partial list
// has none that began to serve since.
func (r *Roster) keepHinted(old *Roster) {
	if !r.Partial {
		return
	}
	for _, e := range old.byID {
		if _, listed := r.lives[e.ID.Name()]; !listed && e.Hinted.After(r.Asked) && e.Leads() {
			r.byID = append(r.byID, e)
		}
	}
}

// index sorts the endpoints and gathers those of each service.
func (r *Roster) index() {
	slices.SortFunc(r.byID, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	r.byService = map[string][]*Endpoint{}
	for _, e := range r.byID {
		r.byService[e.Service] = append(r.byService[e.Service], e)
	}
}

// with returns the roster with e in place of the endpoint of its id, or beside the others.
func (r *Roster) with(e *Endpoint) *Roster {
	next := *r
	next.byID = replace(r.byID, e)
	next.byService = maps.Clone(r.byService)
	if next.byService == nil {
		next.byService = map[string][]*Endpoint{}
	}
	next.byService[e.Service] = replace(r.byService[e.Service], e)
	return &next
}

func replace(sorted []*Endpoint, e *Endpoint) []*Endpoint {
	i, found := find(sorted, e.ID)
	if !found {
		return slices.Insert(slices.Clip(sorted), i, e)
	}
	out := slices.Clone(sorted)
	out[i] = e
	return out
}

// without returns the roster without an endpoint.
func (r *Roster) without(e *Endpoint) *Roster {
	next := *r
	isOther := func(x *Endpoint) bool { return x.ID == e.ID }
	next.byID = slices.DeleteFunc(slices.Clone(r.byID), isOther)
	next.byService = maps.Clone(r.byService)
	next.byService[e.Service] = slices.DeleteFunc(slices.Clone(r.byService[e.Service]), isOther)
	return &next
}

// Hint is what a node that gives orders to an endpoint tells of it before the
// platform's list does.
type Hint struct {
	ID     ID         `json:"id"`
	Model  string     `json:"model"`
	Member Membership `json:"member"`
	// Entry is the endpoint as the list has it, for nodes that know only those that take
	// requests; nil: it takes none.
	Entry *Endpoint `json:"entry,omitempty"`
}

// With returns the roster after a hint that came at now. It stays until a list
// that was asked for later tells otherwise; a hint about an endpoint that isn't
// listed, or about an older group than the listed one, changes nothing. A partial roster
// takes a head up that begins to take requests.
func (r *Roster) With(h Hint, now clock.Instant) *Roster {
	e := r.Get(h.ID)
	if e == nil && r.Partial && h.Member.State == Open {
		e = h.Entry
	}
	if e == nil || h.Member.Epoch < e.Member.Epoch || r.outlived(h.ID) {
		return r
	}
	changed := *e
	changed.Model, changed.Member, changed.Hinted = h.Model, h.Member, now
	changed.Draining = changed.Draining || r.left[h.ID].draining
	return r.with(&changed)
}

// outlived reports whether a later life of the endpoint is known.
func (r *Roster) outlived(id ID) bool {
	known, ok := r.lives[id.Name()]
	return ok && id.Before(known.id)
}

// Leaving returns the roster after the word that endpoints leave, or are listed no more.
// New work must stop within the platform's bound. A roster of the whole list waits for the
// next list to miss an endpoint.
func (r *Roster) Leaving(leaving, gone []ID) *Roster {
	for _, id := range leaving {
		if e := r.Get(id); e != nil && e.Usable() {
			changed := *e
			changed.Draining = true
			r = r.with(&changed)
		}
	}
	for _, id := range gone {
		if e := r.Get(id); e != nil && r.Partial {
			r = r.without(e)
		}
	}
	return r
}
