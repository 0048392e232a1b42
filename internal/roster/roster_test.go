package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

const start = clock.Instant(time.Hour)

func at(d time.Duration) clock.Instant { return start.Add(d) }

func ids(r *Roster, service string) int { return len(r.Service(service)) }

// The platform was away for longer than entries live and is back: the list is
// nearly empty until the endpoints have written themselves anew. For two seconds
// a missing endpoint stays; one that is missing then is gone.
func TestEntriesThatLapsedAreKeptForAMoment(t *testing.T) {
	is := is.New(t)
	full := []Endpoint{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}
	r := Merge(Empty(), Listing{Endpoints: full}, at(0), 0)
	back := at(10 * time.Second)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, back.Add(time.Second), back)
	is.Equal(ids(r, "s"), 2)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, back.Add(LapseGrace), back)
	is.Equal(ids(r, "s"), 1)
}

// Without an outage an endpoint that is missing has left: some never say that
// they are leaving.
func TestMissingEndpointIsGone(t *testing.T) {
	is := is.New(t)
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, at(0), 0)
	r = Merge(r, Listing{Endpoints: nil}, at(time.Second), 0)
	is.Equal(ids(r, "s"), 0)
}

// An endpoint said that it leaves; after an outage an older entry of it says
// that it is ready. It gets no new work.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{{ID: "a", Service: "s", Draining: true}}}, at(0), 0)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, at(time.Second), 0)
	is.True(!r.Get("a").Usable())
}

// A node tells that a head is open. The list that was asked for before that
// still says that it is ready and must not undo it; a later one does.
func TestHintStandsUntilANewerList(t *testing.T) {
	is := is.New(t)
	ready := Endpoint{ID: "a", Service: "s", Member: Membership{Group: "g", Epoch: 3, State: Ready}}
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{ready}}, at(0), 0)
	open := Hint{ID: "a", Model: "m", Member: Membership{Group: "g", Epoch: 3, State: Open}}
	r = r.With(open, at(200*time.Millisecond))
	is.True(r.Get("a").Leads())
	r = Merge(r, Listing{Endpoints: []Endpoint{ready}}, at(100*time.Millisecond), 0)
	is.True(r.Get("a").Leads())
	r = Merge(r, Listing{Endpoints: []Endpoint{ready}}, at(300*time.Millisecond), 0)
	is.True(!r.Get("a").Leads())
}

// A hint about an older group comes late: the endpoint is in a newer one.
func TestLateHintChangesNothing(t *testing.T) {
	is := is.New(t)
	newer := Endpoint{ID: "a", Service: "s", Member: Membership{Group: "h", Epoch: 4, State: Open}}
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{newer}}, at(0), 0)
	r = r.With(Hint{ID: "a", Member: Membership{Group: "g", Epoch: 3, State: Closing}}, at(time.Second))
	is.True(r.Get("a").Leads())
	is.Equal(r.With(Hint{ID: "unknown"}, at(time.Second)), r)
}

// listing is a list of one endpoint's entry.
func listing(era, sequence uint64, draining bool) Listing {
	e := Endpoint{ID: Life("i", 7), Service: "s", Sequence: sequence, Draining: draining}
	return Listing{Era: era, Endpoints: []Endpoint{e}}
}

// A node has seen that an endpoint is gone, or leaves. The platform's table comes back from
// a copy of before, in which the endpoint is ready: it must get no new work. One whose
// entry lapsed during a cut has written it anew when it is listed again, and is used.
func TestCopiesOfEntriesBringNoWorkToThoseThatLeft(t *testing.T) {
	for _, c := range []struct {
		name     string
		last     Listing // that the node saw before the restore
		gone     bool    // and it saw that the entry is gone
		restored Listing
		usable   bool
	}{
		{"gone, the copy is older", listing(1, 9, false), true, listing(2, 7, false), false},
		{"gone, the copy is as new", listing(1, 9, false), true, listing(2, 9, false), false},
		{"gone, it writes again", listing(1, 9, false), true, listing(1, 10, false), true},
		{"leaving, the copy is ready", listing(1, 9, true), false, listing(2, 7, false), false},
		{"leaving and gone, the copy is ready", listing(1, 9, true), true, listing(2, 7, false), false},
		{"ready, the copy is older", listing(1, 9, false), false, listing(2, 7, false), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Instant(time.Hour)
			r := Merge(Empty(), c.last, now, 0)
			if c.gone {
				r = Merge(r, Listing{Era: 1}, now.Add(time.Second), 0)
			}
			r = Merge(r, c.restored, now.Add(2*time.Second), 0)
			e := r.Get(Life("i", 7))
			is.Equal(e != nil && e.Usable(), c.usable)
		})
	}
}

// The copy shows a head as it was: in a group that has ended. What the newer entry told
// stands until the head writes again. An endpoint that tells no start may have begun to
// count anew, so only a copy that has just come back is taken for older.
func TestOlderEntriesShowNoEndedGroups(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	entry := func(id ID, sequence uint64, group string) Endpoint {
		return Endpoint{ID: id, Service: "s", Sequence: sequence, Member: Membership{Group: group, State: Open}}
	}
	r := Merge(Empty(), Listing{Era: 1, Endpoints: []Endpoint{entry("old", 9, "g2"), entry(Life("i", 7), 9, "g2")}}, now, 0)
	same := Merge(r, Listing{Era: 1, Endpoints: []Endpoint{entry("old", 1, "g3"), entry(Life("i", 7), 7, "g1")}}, now.Add(time.Second), 0)
	is.Equal(same.Get("old").Member.Group, "g3")
	is.Equal(same.Get(Life("i", 7)).Member.Group, "g2")
	restored := Merge(r, Listing{Era: 2, Endpoints: []Endpoint{entry("old", 8, "g1")}}, now.Add(time.Second), 0)
	is.Equal(restored.Get("old").Member.Group, "g2")
	is.True(restored.Get(Life("i", 7)) != nil) // the copy lacks it; it writes again within the grace
	late := Merge(restored, Listing{Era: 2, Endpoints: []Endpoint{entry("old", 10, "g4")}}, now.Add(4*time.Second), 0)
	is.Equal(late.Get("old").Member.Group, "g4")
	is.True(late.Get(Life("i", 7)) == nil)
	is.Equal(Merge(late, Listing{Era: 1}, now.Add(5*time.Second), 0), late) // it arrived late
}
