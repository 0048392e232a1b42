package feed

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// rosterOf returns a roster of endpoints; states maps their ids to their groups.
func rosterOf(states map[string]string) *roster.Roster {
	var list []roster.Endpoint
	for id, group := range states {
		list = append(list, roster.Endpoint{ID: roster.ID(id), Service: "s", Member: roster.Membership{Group: group}})
	}
	return roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, 1, 0)
}

// rowsOf returns a row for each state, with a version that depends on the state.
func rowsOf(states map[string]string) []table.Row {
	var rows []table.Row
	for id, group := range states {
		rows = append(rows, table.Row{Key: id, Version: uint64(group[len(group)-1])})
	}
	return rows
}

// versionedKeys returns the sorted keys of the rows with their versions.
func versionedKeys(rows []table.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, fmt.Sprintf("%s@%d", r.Key, r.Version))
	}
	slices.Sort(out)
	return out
}

// formatEndpoints returns the ids of the endpoints with their groups, sorted by id.
func formatEndpoints(list []roster.Endpoint) string {
	slices.SortFunc(list, func(a, b roster.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "%s=%s ", e.ID, e.Member.Group)
	}
	return b.String()
}

// Guards against changes that are lost or duplicated on their way to a polling node: after
// each response it has the responding node's state, for any changes between two polls and
// any number of missed polls.
func TestCopyMatchesJournalAfterEachResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &Journal{Incarnation: "a"}
		var known Replica
		states := map[string]string{}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				id := fmt.Sprintf("e%d", rapid.IntRange(0, 8).Draw(t, "id"))
				if rapid.Bool().Draw(t, "gone") {
					delete(states, id)
					continue
				}
				states[id] = fmt.Sprintf("g%d", rapid.IntRange(0, 3).Draw(t, "group"))
			}
			j.Update(rosterOf(states), rowsOf(states))
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			s := j.Since(known.Have())
			known.Apply(&s)
			if got, want := versionedKeys(known.Rows.List), versionedKeys(rowsOf(states)); !slices.Equal(got, want) {
				t.Fatalf("rows %v, want %v", got, want)
			}
			var want []roster.Endpoint
			rosterOf(states).ForEach(func(e *roster.Endpoint) { want = append(want, *e) })
			if formatEndpoints(known.Endpoints.List) != formatEndpoints(want) {
				t.Fatalf("known %s, want %s", formatEndpoints(known.Endpoints.List), formatEndpoints(want))
			}
		}
	})
}

// Guards against change numbers of an earlier incarnation that are compared with those of
// the current one: after a restart of the responding node its numbers start again, so it
// sends the complete state.
func TestNewIncarnationSendsCompleteState(t *testing.T) {
	is := is.New(t)
	j := &Journal{Incarnation: "b"}
	states := map[string]string{"e1": "g"}
	j.Update(rosterOf(states), rowsOf(states))
	s := j.Since(Have{Incarnation: "a", Endpoints: 40, Rows: 40})
	is.True(s.Endpoints.Full)
	is.Equal(len(s.Endpoints.Changed), 1)
	is.True(s.Rows.Full)
	is.Equal(len(s.Rows.Changed), 1)
}

// startServer starts a node that responds to polls if serving is true, and returns a client and
// the node's address.
func startServer(t *testing.T, c *clock.Manual, serving bool) (*Client, string) {
	t.Helper()
	cat, err := catalog.New(catalog.Document{Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	asked := c.Now()
	h := httptest.NewServer(&Server{
		Source: Source{
			Catalog: func() *catalog.Catalog { return cat }, ConfirmedAt: func() clock.Instant { return asked },
			Roster: func() *roster.Roster {
				return roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{{ID: "e"}}}, asked, 0)
			},
			Rows: func() []table.Row { return []table.Row{{Key: "zone", Version: 3}} },
			Era:  func() uint64 { return 2 },
		},
		Journal: &Journal{Incarnation: "a"}, Clock: c, Log: slog.New(slog.DiscardHandler), Serving: func() bool { return serving },
	})
	t.Cleanup(h.Close)
	return NewClient(), strings.TrimPrefix(h.URL, "http://")
}

// Guards against state that appears newer than it is: its age counts from the read of the
// store, not from the response two seconds later, or a revoked API key would be accepted for
// too long.
func TestResponseContainsAges(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	client, addr := startServer(t, c, true)
	c.Advance(2 * time.Second)
	s, ages, err := client.Poll(context.Background(), addr, PollRequest{})
	is.NoErr(err)
	is.Equal(ages, Ages{Config: 2 * time.Second, Roster: 2 * time.Second})
	is.Equal(s.Document.Version, uint64(7))
	is.Equal(s.Rows.Changed[0].Version, uint64(3))
	var known Replica
	known.Apply(s)
	have := known.Have()
	have.Config = 7
	c.Advance(time.Second)
	for range 2 { // the second response is cached, but its age is not
		again, ages, err := client.Poll(context.Background(), addr, PollRequest{Have: have})
		is.NoErr(err)
		is.Equal(ages.Config, 3*time.Second)
		is.Equal(again.Document, nil)
		is.Equal(len(again.Endpoints.Changed)+len(again.Rows.Changed), 0)
	}
}

// Guards against responses from a node that polls another one: its state is older by one
// hop, and two nodes that poll each other would keep stale state forever.
func TestFollowerRefusesPolls(t *testing.T) {
	is := is.New(t)
	client, addr := startServer(t, clock.NewManual(1), false)
	_, _, err := client.Poll(context.Background(), addr, PollRequest{})
	is.True(err != nil)
}

// Guards against complete responses for a node that polls two holders of other zones' duties
// in turn, because its own zone has none. Each response contains the changes since the last
// poll of that holder; complete ones would be megabytes per second in a large fleet.
func TestAlternatingSourcesSendOnlyChanges(t *testing.T) {
	is := is.New(t)
	a, b := &Journal{Incarnation: "a"}, &Journal{Incarnation: "b"}
	var fromA, fromB Replica
	states := map[string]string{"e1": "g1", "e2": "g2"}
	for round := range 4 {
		states["e1"] = fmt.Sprintf("g%d", round)
		for journal, known := range map[*Journal]*Replica{a: &fromA, b: &fromB} {
			journal.Update(rosterOf(states), rowsOf(states))
			s := journal.Since(known.Have())
			known.Apply(&s)
			is.Equal(s.Endpoints.Full, round == 0)
			is.True(round == 0 || len(s.Endpoints.Changed) == 1)
			is.Equal(len(known.Endpoints.List), 2)
		}
	}
}

// rosterOfGroups returns a roster of groups of twelve engines.
func rosterOfGroups(groups int) *roster.Roster {
	var list []roster.Endpoint
	for i := range groups * 12 {
		m := roster.Membership{Group: fmt.Sprint("zone-a-", i/12+1<<40), Epoch: uint64(i/12 + 1<<40), Rank: i % 12, State: roster.Ready}
		if m.Rank == 0 {
			m.State = roster.Open
		}
		list = append(list, roster.Endpoint{
			ID: roster.NewID(fmt.Sprintf("i-%010x", uint32(i)*2654435761), uint64(1796276857479+i)), Service: "pool",
			Addr: fmt.Sprintf("10.%d.%d.%d:7000", i%3, i/250, i%250), Zone: "a", Slots: 48, Domain: fmt.Sprint("d", i/27),
			Staged: []string{"model-one"}, Model: "model-one", Member: m,
		})
	}
	return roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, 1, 0)
}

// Guards against complete responses that contain endpoints which accept no requests. A
// restarted node, and every node after the duty has moved to another holder, requests the
// complete state. With 3,000 engines, of which one in twelve accepts requests, the responses
// for 100 nodes exceeded what a 200 Mbit/s link carries within the poll timeout, so all
// nodes read the platform's list themselves.
func TestCompleteResponseContainsOnlyEndpointsThatTakeRequests(t *testing.T) {
	is := is.New(t)
	const link, nodes = 200e6 / 8 * 0.4, 100 // link capacity in bytes within 400 ms
	r := rosterOfGroups(250)
	s := &Server{Journal: &Journal{Incarnation: "a"}, Source: Source{
		Catalog: func() *catalog.Catalog { return nil }, ConfirmedAt: func() clock.Instant { return 1 },
		Roster: func() *roster.Roster { return r }, Rows: func() []table.Row { return nil }, Era: func() uint64 { return 0 },
	}}
	body, _, err := s.response(Have{}, 2)
	is.NoErr(err)
	state, _ := BuildResponse(s.Source, s.Journal, Have{}, 2)
	is.Equal(len(state.Endpoints.Changed), 250)
	is.True(len(body)*nodes < link/2)
	t.Log(len(body), "bytes")
}
