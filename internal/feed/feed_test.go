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
	return roster.Merge(roster.Empty(), list, 1, 0)
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
		var have Have
		var known []roster.Endpoint
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
			j.Take(rosterOf(states))
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			var s State
			j.Since(have, &s)
			known = s.Apply(known)
			have = Have{Life: s.Life, Seq: s.Seq}
			var want []roster.Endpoint
			rosterOf(states).All(func(e *roster.Endpoint) { want = append(want, *e) })
			if sortedText(known) != sortedText(want) {
				t.Fatalf("known %s, want %s", sortedText(known), sortedText(want))
			}
		}
	})
}

// The answering node was restarted: its numbers begin anew and mean nothing to
// an asker of its former life, which gets everything.
func TestNewLifeTellsEverything(t *testing.T) {
	is := is.New(t)
	j := &Journal{Life: "b"}
	j.Take(rosterOf(map[string]string{"e1": "g"}))
	var s State
	j.Since(Have{Life: "a", Seq: 40}, &s)
	is.True(s.Full)
	is.Equal(len(s.Changed), 1)
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
			Roster: func() *roster.Roster { return roster.Merge(roster.Empty(), []roster.Endpoint{{ID: "e"}}, asked, 0) },
			Rows:   func() []table.Row { return []table.Row{{Key: "zone", Version: 3}} },
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
	s, err := client.Ask(context.Background(), addr, Have{})
	is.NoErr(err)
	is.Equal(s.ConfigAge, 2*time.Second)
	is.Equal(s.RosterAge, 2*time.Second)
	is.Equal(s.Document.Version, uint64(7))
	is.Equal(s.Rows[0].Version, uint64(3))
	again, err := client.Ask(context.Background(), addr, Have{Config: 7, Life: s.Life, Seq: s.Seq})
	is.NoErr(err)
	is.Equal(again.Document, nil)
	is.Equal(len(again.Changed), 0)
}

// A node that itself asks another one doesn't answer: what it knows is older by
// a hop, and two that ask each other would keep each other's past alive.
func TestFollowerDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	client, addr := server(t, clock.NewManual(1), false)
	_, err := client.Ask(context.Background(), addr, Have{})
	is.True(err != nil)
}
