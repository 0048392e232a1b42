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
	r := Merge(Empty(), full, at(0), 0)
	back := at(10 * time.Second)
	r = Merge(r, []Endpoint{{ID: "a", Service: "s"}}, back.Add(time.Second), back)
	is.Equal(ids(r, "s"), 2)
	r = Merge(r, []Endpoint{{ID: "a", Service: "s"}}, back.Add(LapseGrace), back)
	is.Equal(ids(r, "s"), 1)
}

// Without an outage an endpoint that is missing has left: some never say that
// they are leaving.
func TestMissingEndpointIsGone(t *testing.T) {
	is := is.New(t)
	r := Merge(Empty(), []Endpoint{{ID: "a", Service: "s"}}, at(0), 0)
	r = Merge(r, nil, at(time.Second), 0)
	is.Equal(ids(r, "s"), 0)
}

// An endpoint said that it leaves; after an outage an older entry of it says
// that it is ready. It gets no new work.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	r := Merge(Empty(), []Endpoint{{ID: "a", Service: "s", Draining: true}}, at(0), 0)
	r = Merge(r, []Endpoint{{ID: "a", Service: "s"}}, at(time.Second), 0)
	is.True(!r.Get("a").Usable())
}

// A node tells that a head is open. The list that was asked for before that
// still says that it is ready and must not undo it; a later one does.
func TestHintStandsUntilANewerList(t *testing.T) {
	is := is.New(t)
	ready := Endpoint{ID: "a", Service: "s", Member: Membership{Group: "g", Epoch: 3, State: Ready}}
	r := Merge(Empty(), []Endpoint{ready}, at(0), 0)
	open := Hint{ID: "a", Model: "m", Member: Membership{Group: "g", Epoch: 3, State: Open}}
	r = r.With(open, at(200*time.Millisecond))
	is.True(r.Get("a").Leads())
	r = Merge(r, []Endpoint{ready}, at(100*time.Millisecond), 0)
	is.True(r.Get("a").Leads())
	r = Merge(r, []Endpoint{ready}, at(300*time.Millisecond), 0)
	is.True(!r.Get("a").Leads())
}

// A hint about an older group comes late: the endpoint is in a newer one.
func TestLateHintChangesNothing(t *testing.T) {
	is := is.New(t)
	newer := Endpoint{ID: "a", Service: "s", Member: Membership{Group: "h", Epoch: 4, State: Open}}
	r := Merge(Empty(), []Endpoint{newer}, at(0), 0)
	r = r.With(Hint{ID: "a", Member: Membership{Group: "g", Epoch: 3, State: Closing}}, at(time.Second))
	is.True(r.Get("a").Leads())
	is.Equal(r.With(Hint{ID: "unknown"}, at(time.Second)), r)
}
