package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

const start = clock.Instant(time.Hour)

func at(d time.Duration) clock.Instant { return start.Add(d) }

func countEndpoints(r *Roster, service string) int { return len(r.Service(service)) }

// Guards against dropping all endpoints after an outage of the platform that was longer than
// the lifetime of entries: the list is nearly empty until the endpoints have rewritten their
// entries. A missing endpoint is kept for OutageGrace and dropped after it.
func TestMissingEndpointsAreKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	full := []Endpoint{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}
	r := Merge(Empty(), Listing{Endpoints: full}, at(0), 0)
	back := at(10 * time.Second)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, back.Add(time.Second), back)
	is.Equal(countEndpoints(r, "s"), 2)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, back.Add(OutageGrace), back)
	is.Equal(countEndpoints(r, "s"), 1)
}

// Guards against keeping an endpoint that is missing from a list without an outage: some
// endpoints terminate without draining first.
func TestMissingEndpointIsDroppedWithoutOutage(t *testing.T) {
	is := is.New(t)
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, at(0), 0)
	r = Merge(r, Listing{Endpoints: nil}, at(time.Second), 0)
	is.Equal(countEndpoints(r, "s"), 0)
}

// Guards against new work for a draining endpoint when an older entry of it, in which it is
// ready, reappears after an outage.
func TestDrainingIsFinal(t *testing.T) {
	is := is.New(t)
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{{ID: "a", Service: "s", Draining: true}}}, at(0), 0)
	r = Merge(r, Listing{Endpoints: []Endpoint{{ID: "a", Service: "s"}}}, at(time.Second), 0)
	is.True(!r.Get("a").Usable())
}

// Guards against a list that overwrites a newer hint: a hint opens a head, and a list that
// was requested before it still shows the head as ready. A list that was requested after the
// hint takes precedence.
func TestHintIsValidUntilNewerList(t *testing.T) {
	is := is.New(t)
	ready := Endpoint{ID: "a", Service: "s", Member: Membership{Group: "g", Epoch: 3, State: Ready}}
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{ready}}, at(0), 0)
	open := Hint{ID: "a", Model: "m", Member: Membership{Group: "g", Epoch: 3, State: Open}}
	r = r.WithHint(open, at(200*time.Millisecond))
	is.True(r.Get("a").IsServingHead())
	r = Merge(r, Listing{Endpoints: []Endpoint{ready}}, at(100*time.Millisecond), 0)
	is.True(r.Get("a").IsServingHead())
	r = Merge(r, Listing{Endpoints: []Endpoint{ready}}, at(300*time.Millisecond), 0)
	is.True(!r.Get("a").IsServingHead())
}

// Guards against a late hint about an older group that changes an endpoint in a newer one.
func TestHintAboutOlderGroupIsIgnored(t *testing.T) {
	is := is.New(t)
	newer := Endpoint{ID: "a", Service: "s", Member: Membership{Group: "h", Epoch: 4, State: Open}}
	r := Merge(Empty(), Listing{Endpoints: []Endpoint{newer}}, at(0), 0)
	r = r.WithHint(Hint{ID: "a", Member: Membership{Group: "g", Epoch: 3, State: Closing}}, at(time.Second))
	is.True(r.Get("a").IsServingHead())
	is.Equal(r.WithHint(Hint{ID: "unknown"}, at(time.Second)), r)
}

// listing returns a list with the entry of one endpoint.
func listing(era, sequence uint64, draining bool) Listing {
	e := Endpoint{ID: NewID("i", 7), Service: "s", Sequence: sequence, Draining: draining}
	return Listing{Era: era, Endpoints: []Endpoint{e}}
}

// Guards against new work for a departed or draining endpoint when the platform's table is
// restored from an older copy in which the endpoint is ready. An endpoint whose entry
// expired during a partition has rewritten it when it is listed again, and is used.
func TestRestoredEntriesDoNotReviveDepartedEndpoints(t *testing.T) {
	for _, c := range []struct {
		name     string
		last     Listing // the last list before the restore
		gone     bool    // a list without the entry followed
		restored Listing
		usable   bool
	}{
		{"gone, the copy is older", listing(1, 9, false), true, listing(2, 7, false), false},
		{"gone, the copy is equally new", listing(1, 9, false), true, listing(2, 9, false), false},
		{"gone, the entry is rewritten", listing(1, 9, false), true, listing(1, 10, false), true},
		{"draining, the copy is ready", listing(1, 9, true), false, listing(2, 7, false), false},
		{"draining and gone, the copy is ready", listing(1, 9, true), true, listing(2, 7, false), false},
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
			e := r.Get(NewID("i", 7))
			is.Equal(e != nil && e.Usable(), c.usable)
		})
	}
}

// Guards against entries of a restored copy that show a head in a group that was dissolved:
// the newer entry remains valid until the head rewrites it. The sequence of an endpoint
// without a start time may have been reset by a restart, so a lower one counts as older only
// shortly after a restore.
func TestRestoredEntriesDoNotShowDissolvedGroups(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	entry := func(id ID, sequence uint64, group string) Endpoint {
		return Endpoint{ID: id, Service: "s", Sequence: sequence, Member: Membership{Group: group, State: Open}}
	}
	r := Merge(Empty(), Listing{Era: 1, Endpoints: []Endpoint{entry("old", 9, "g2"), entry(NewID("i", 7), 9, "g2")}}, now, 0)
	same := Merge(r, Listing{Era: 1, Endpoints: []Endpoint{entry("old", 1, "g3"), entry(NewID("i", 7), 7, "g1")}}, now.Add(time.Second), 0)
	is.Equal(same.Get("old").Member.Group, "g3")
	is.Equal(same.Get(NewID("i", 7)).Member.Group, "g2")
	restored := Merge(r, Listing{Era: 2, Endpoints: []Endpoint{entry("old", 8, "g1")}}, now.Add(time.Second), 0)
	is.Equal(restored.Get("old").Member.Group, "g2")
	is.True(restored.Get(NewID("i", 7)) != nil) // missing from the copy; it may rewrite its entry within the grace
	late := Merge(restored, Listing{Era: 2, Endpoints: []Endpoint{entry("old", 10, "g4")}}, now.Add(4*time.Second), 0)
	is.Equal(late.Get("old").Member.Group, "g4")
	is.True(late.Get(NewID("i", 7)) == nil)
	is.Equal(Merge(late, Listing{Era: 1}, now.Add(5*time.Second), 0), late) // late list of an earlier era
}
