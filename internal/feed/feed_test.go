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

func rosterOf(states map[string]string) *roster.Roster {
	var list []roster.Endpoint
	for id, group := range states {
		list = append(list, roster.Endpoint{ID: roster.ID(id), Service: "s", Member: roster.Membership{Group: group}})
	}
	return roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, 1, 0)
}

// rowsOf returns a row for each state whose version changes with it.
func rowsOf(states map[string]string) []table.Row {
	var rows []table.Row
	for id, group := range states {
		rows = append(rows, table.Row{Key: id, Version: uint64(group[len(group)-1])})
	}
	return rows
}

func keys(rows []table.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, fmt.Sprintf("%s@%d", r.Key, r.Version))
	}
	slices.Sort(out)
	return out
}

func sortedText(list []roster.Endpoint) string {
	slices.SortFunc(list, func(a, b roster.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "%s=%s ", e.ID, e.Member.Group)
	}
	return b.String()
}

// Whatever changes between two questions, and however many an asker misses, it
// knows what the answering node knows after each answer.
func TestAskerKnowsWhatTheJournalKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &Journal{Life: "a"}
		var known Copy
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
			j.Take(rosterOf(states), rowsOf(states))
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			s := j.Since(known.Have())
			known.Apply(&s)
			if got, want := keys(known.Rows.List), keys(rowsOf(states)); !slices.Equal(got, want) {
				t.Fatalf("rows %v, want %v", got, want)
			}
			var want []roster.Endpoint
			rosterOf(states).All(func(e *roster.Endpoint) { want = append(want, *e) })
			if sortedText(known.Endpoints.List) != sortedText(want) {
				t.Fatalf("known %s, want %s", sortedText(known.Endpoints.List), sortedText(want))
			}
		}
	})
}

// The answering node was restarted: its numbers begin anew and mean nothing to
// an asker of its former life, which gets everything.
func TestNewLifeTellsEverything(t *testing.T) {
	is := is.New(t)
	j := &Journal{Life: "b"}
	states := map[string]string{"e1": "g"}
	j.Take(rosterOf(states), rowsOf(states))
	s := j.Since(Have{Life: "a", Endpoints: 40, Rows: 40})
	is.True(s.Endpoints.Full)
	is.Equal(len(s.Endpoints.Changed), 1)
	is.True(s.Rows.Full)
	is.Equal(len(s.Rows.Changed), 1)
}

func server(t *testing.T, c *clock.Manual, serving bool) (*Client, string) {
	t.Helper()
	cat, err := catalog.New(catalog.Document{Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	asked := c.Now()
	h := httptest.NewServer(&Server{
		Source: Source{
			Catalog: func() *catalog.Catalog { return cat }, Confirmed: func() clock.Instant { return asked },
			Roster: func() *roster.Roster {
				return roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{{ID: "e"}}}, asked, 0)
			},
			Rows: func() []table.Row { return []table.Row{{Key: "zone", Version: 3}} },
			Era:  func() uint64 { return 2 },
		},
		Journal: &Journal{Life: "a"}, Clock: c, Log: slog.New(slog.DiscardHandler), Serving: func() bool { return serving },
	})
	t.Cleanup(h.Close)
	return NewClient(), strings.TrimPrefix(h.URL, "http://")
}

// The answer tells how old each part is. A key that was taken away counts from
// the read that showed it, not from the answer that came two seconds later.
func TestAnswerTellsItsAge(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	client, addr := server(t, c, true)
	c.Advance(2 * time.Second)
	s, ages, err := client.Ask(context.Background(), addr, Question{})
	is.NoErr(err)
	is.Equal(ages, Ages{Config: 2 * time.Second, Roster: 2 * time.Second})
	is.Equal(s.Document.Version, uint64(7))
	is.Equal(s.Rows.Changed[0].Version, uint64(3))
	var known Copy
	known.Apply(s)
	have := known.Have()
	have.Config = 7
	c.Advance(time.Second)
	for range 2 { // the second answer is one that is kept; its age is not
		again, ages, err := client.Ask(context.Background(), addr, Question{Have: have})
		is.NoErr(err)
		is.Equal(ages.Config, 3*time.Second)
		is.Equal(again.Document, nil)
		is.Equal(len(again.Endpoints.Changed)+len(again.Rows.Changed), 0)
	}
}

// A node that itself asks another one doesn't answer: what it knows is older by
// a hop, and two that ask each other would keep each other's past alive.
func TestFollowerDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	client, addr := server(t, clock.NewManual(1), false)
	_, _, err := client.Ask(context.Background(), addr, Question{})
	is.True(err != nil)
}

// A node without its zone's holder asks two other holders in turn. Each answer
// brings what changed since that node was asked last; everything each time would
// be megabytes a second in a large fleet.
func TestChangingTheSourceBringsChangesOnly(t *testing.T) {
	is := is.New(t)
	a, b := &Journal{Life: "a"}, &Journal{Life: "b"}
	var fromA, fromB Copy
	states := map[string]string{"e1": "g1", "e2": "g2"}
	for round := range 4 {
		states["e1"] = fmt.Sprintf("g%d", round)
		for journal, known := range map[*Journal]*Copy{a: &fromA, b: &fromB} {
			journal.Take(rosterOf(states), rowsOf(states))
			s := journal.Since(known.Have())
			known.Apply(&s)
			is.Equal(s.Endpoints.Full, round == 0)
			is.True(round == 0 || len(s.Endpoints.Changed) == 1)
			is.Equal(len(known.Endpoints.List), 2)
		}
	}
}

// zoneOf makes a roster of groups of twelve engines.
func zoneOf(groups int) *roster.Roster {
	var list []roster.Endpoint
	for i := range groups * 12 {
		m := roster.Membership{Group: fmt.Sprint("zone-a-", i/12+1<<40), Epoch: uint64(i/12 + 1<<40), Rank: i % 12, State: roster.Ready}
		if m.Rank == 0 {
			m.State = roster.Open
		}
		list = append(list, roster.Endpoint{
			ID: roster.Life(fmt.Sprintf("i-%010x", uint32(i)*2654435761), uint64(1796276857479+i)), Service: "pool",
			Addr: fmt.Sprintf("10.%d.%d.%d:7000", i%3, i/250, i%250), Zone: "a", Slots: 48, Domain: fmt.Sprint("d", i/27),
			Staged: []string{"model-one"}, Model: "model-one", Member: m,
		})
	}
	return roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, 1, 0)
}

// A node that has just started, and all others after the duty has changed hands, asks for
// everything. Told of 3,000 engines, of which one in twelve takes requests, 100 nodes need
// more than a link of 200 Mbit/s carries within the limit of an answer: none of them
// follows, and all of them read the platform's list themselves.
func TestWholeAnswerHoldsOnlyWhatTakesRequests(t *testing.T) {
	is := is.New(t)
	const link, nodes = 200e6 / 8 * 0.4, 100 // bytes that the link carries within 400 ms
	r := zoneOf(250)
	s := &Server{Journal: &Journal{Life: "a"}, Source: Source{
		Catalog: func() *catalog.Catalog { return nil }, Confirmed: func() clock.Instant { return 1 },
		Roster: func() *roster.Roster { return r }, Rows: func() []table.Row { return nil }, Era: func() uint64 { return 0 },
	}}
	body, _, err := s.answer(Have{}, 2)
	is.NoErr(err)
	state, _ := Answer(s.Source, s.Journal, Have{}, 2)
	is.Equal(len(state.Endpoints.Changed), 250)
	is.True(len(body)*nodes < link/2)
	t.Log(len(body), "bytes")
}
