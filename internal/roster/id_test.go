package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIncarnations(t *testing.T) {
	is := is.New(t)
	first, second := NewID("i-1", 1790000000000), NewID("i-1", 1790000000001)
	is.True(first != second)
	is.True(first.Before(second))
	is.True(!second.Before(first))
	is.True(!first.Before(NewID("i-2", 1790000000001)))
	is.Equal(second.Name(), "i-1")
	is.Equal(second.StartMillis(), uint64(1790000000001))
	is.Equal(NewID("i-1", 0), ID("i-1")) // start time unknown
	is.True(NewID("i-1", 0).Before(first))
	is.True(!IsValidName(string(first)))
}

// endpointIDs returns the ids of all endpoints.
func endpointIDs(r *Roster) []ID {
	var out []ID
	r.ForEach(func(e *Endpoint) { out = append(out, e.ID) })
	return out
}

// Guards against state of an earlier incarnation that is applied to the next one: an
// endpoint restarts under its name while it stays listed. The new incarnation is neither
// draining nor in the group of an earlier hint, and the grace after an outage does not keep
// both incarnations.
func TestRestartedEndpointLosesEarlierState(t *testing.T) {
	is := is.New(t)
	old := Endpoint{ID: NewID("a", 5), Service: "s", Draining: true}
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{old}}, at(0), 0)
	r = r.WithHint(Hint{ID: old.ID, Model: "m", Member: Membership{Group: "g", State: Open}}, at(time.Second))
	back := at(time.Second)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: NewID("a", 6), Service: "s"}}}, back, back)
	is.Equal(endpointIDs(r), []ID{NewID("a", 6)})
	is.True(r.Get(NewID("a", 6)).Usable())
	is.True(!r.Get(NewID("a", 6)).IsServingHead())
	is.Equal(r.WithHint(Hint{ID: old.ID, Member: Membership{State: Open}}, back), r) // hint about the earlier incarnation
}

// Guards against an entry of an earlier incarnation that replaces the current one. After an
// outage of the store, an entry from before the restart, or one by another writer without a start
// time, is listed after one of the new incarnation and is ignored. If it is still listed after
// staleIncarnationGrace, it is the live one and the later start time was not its own.
func TestEntryOfEarlierIncarnationIsIgnored(t *testing.T) {
	for _, earlier := range []ID{NewID("a", 5), NewID("a", 0)} {
		is := is.New(t)
		r := Merge(Empty(), Listing{Endpoints: []Endpoint{{ID: NewID("a", 6), Service: "s"}}}, at(0), 0)
		stale := []Endpoint{{ID: earlier, Service: "s"}}
		r = Merge(r, Listing{Endpoints: stale}, at(time.Second), 0)
		is.Equal(len(endpointIDs(r)), 0)
		r = Merge(r, Listing{Endpoints: stale}, at(2*time.Second), 0)
		is.Equal(len(endpointIDs(r)), 0)
		r = Merge(r, Listing{Endpoints: stale}, at(staleIncarnationGrace), 0)
		is.Equal(endpointIDs(r), []ID{earlier})
	}
}
