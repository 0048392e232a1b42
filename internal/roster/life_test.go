package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLives(t *testing.T) {
	is := is.New(t)
	first, second := Life("i-1", 1790000000000), Life("i-1", 1790000000001)
	is.True(first != second)
	is.True(first.Before(second))
	is.True(!second.Before(first))
	is.True(!first.Before(Life("i-2", 1790000000001)))
	is.Equal(second.Name(), "i-1")
	is.Equal(second.Born(), uint64(1790000000001))
	is.Equal(Life("i-1", 0), ID("i-1")) // one that doesn't tell
	is.True(Life("i-1", 0).Before(first))
	is.True(!ValidName(string(first)))
}

func lives(r *Roster) []ID {
	var out []ID
	r.All(func(e *Endpoint) { out = append(out, e.ID) })
	return out
}

// An endpoint starts again under its id while its entry stands all the time. What
// was known of the former life, that it leaves and what a node told of it, doesn't
// hold for the new one; the grace after an outage keeps no two lives.
func TestRestartIsAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	old := Endpoint{ID: Life("a", 5), Service: "s", Draining: true}
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{old}}, at(0), 0)
	r = r.With(Hint{ID: old.ID, Model: "m", Member: Membership{Group: "g", State: Open}}, at(time.Second))
	back := at(time.Second)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: Life("a", 6), Service: "s"}}}, back, back)
	is.Equal(lives(r), []ID{Life("a", 6)})
	is.True(r.Get(Life("a", 6)).Usable())
	is.True(!r.Get(Life("a", 6)).Leads())
	is.Equal(r.With(Hint{ID: old.ID, Member: Membership{State: Open}}, back), r) // news of the former life
}

// The store was away; an entry of before the restart comes back after one of the
// new life. It names nobody, nor does one by another writer without a start. What is
// still listed seconds later is the live one: the later start was not its own.
func TestEntryOfAnEarlierLifeNamesNobody(t *testing.T) {
	for _, earlier := range []ID{Life("a", 5), Life("a", 0)} {
		is := is.New(t)
		r := Merge(Empty(), Listing{Endpoints: []Endpoint{{ID: Life("a", 6), Service: "s"}}}, at(0), 0)
		stale := []Endpoint{{ID: earlier, Service: "s"}}
		r = Merge(r, Listing{Endpoints: stale}, at(time.Second), 0)
		is.Equal(len(lives(r)), 0)
		r = Merge(r, Listing{Endpoints: stale}, at(2*time.Second), 0)
		is.Equal(len(lives(r)), 0)
		r = Merge(r, Listing{Endpoints: stale}, at(lifeMemory), 0)
		is.Equal(lives(r), []ID{earlier})
	}
}
