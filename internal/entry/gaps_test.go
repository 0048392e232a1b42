package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/catalog"
	"chervilloom/internal/news"
	"chervilloom/internal/roster"
)

// Guards against a slow group that only nodes with streams there know about, and against gaps and
// paces in the messages of deployments without contended services.
func TestBoardsHaveGapsOfContendedServicesOnly(t *testing.T) {
	is := is.New(t)
	cat, err := catalog.New(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}}})
	is.NoErr(err)
	for _, setting := range []Contention{ContentionAuto, ContentionOn} {
		p := newSimFleet(t, 1, 27, 0)
		e := roster.Endpoint{ID: "head", Service: "s", Zone: "z0", Domain: "d", Slots: 22}
		var sent strings.Builder
		for vm, n := range p.nodes {
			n.Contention = setting
			n.config.current.Store(cat)
			n.roster.current.Store(roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{e}}, p.clock.Now(), 0))
			n.holdsDuty = (&fixedDuty{map[bool]string{true: "z0"}[vm == "z0-0"]}).holds
			send := n.send
			n.send = func(m news.Message, to ...string) {
				raw, err := json.Marshal(m)
				is.NoErr(err)
				sent.Write(raw)
				send(m, to...)
			}
		}
		ticket := p.nodes["z0-3"].tracker.Start("head", nil)
		for range 20 {
			p.clock.Advance(100 * time.Millisecond)
			ticket.RecordEvent()
			for _, n := range p.nodes {
				n.loads.tick()
			}
		}
		want := map[Contention]time.Duration{ContentionOn: 100 * time.Millisecond}[setting]
		is.Equal(p.nodes["z0-9"].tracker.StateOf("head", time.Minute).RecentGap, want)
		is.True(strings.Contains(sent.String(), `{"i":"head","n":1}`))
		is.Equal(strings.Contains(sent.String(), `"g":`), setting == ContentionOn)
		is.True(!strings.Contains(sent.String(), `"p":`))
	}
}

// Guards against slow groups without requests that no node hears of, and against a pace that
// stays after the group has recovered.
func TestBoardsHavePacesOfSlowGroups(t *testing.T) {
	is := is.New(t)
	counts := addPaces([]board.HeadLoad{{ID: "a", Requests: 2}, {ID: "b", Requests: 1}}, map[roster.ID]float64{"b": 4, "idle": 12})
	is.Equal(counts, []board.HeadLoad{{ID: "a", Requests: 2}, {ID: "b", Requests: 1, Pace: 4}, {ID: "idle", Pace: 12}})
	is.Equal(addPaces(nil, nil), nil)
	after := changedCounts(counts, []board.HeadLoad{{ID: "a", Requests: 2}, {ID: "b", Requests: 1}})
	is.Equal(after, []board.HeadLoad{{ID: "b", Requests: 1}, {ID: "idle"}})
	tracker := &balance.Tracker{Clock: newSimFleet(t, 1, 1, 0).clock}
	for _, part := range [][]board.HeadLoad{counts, after} {
		for _, c := range part {
			tracker.ApplyBoard(c)
		}
	}
	is.Equal(tracker.StateOf("idle", time.Second).Pace, 1.0)
}
