package formation

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// A member restarts under its name between two reports: its entry never disappears and it
// always responds, but its group is stalled without it. The group must re-form as after a
// death; the new incarnation is free and empty.
func TestRestartedMemberIsLost(t *testing.T) {
	for _, rank := range []int{0, 1, 3} {
		is := is.New(t)
		w := startedZone()
		head := w.serving("big")[0]
		old := head.members[rank]
		w.restart(w.engineAt(old))
		w.run(3 * time.Second)
		is.Equal(len(w.serving("big")), 2)
		for _, g := range w.ledger.Groups {
			is.True(!slices.Contains(g.Members, old)) // the claim ends with the incarnation
		}
		is.Equal(w.violation, "")
	}
}

// A head restarts while no node plans for the zone. The orders that made it lead its
// group are executed again, late, and the new incarnation, whose order count happens to
// match, leads the group again. The next owner considers the previous incarnation ended: if
// it let the members join another group at once, they would be in two serving groups.
func TestRestartedHeadMayLeadItsFormerGroup(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	join := Order{Op: Join, To: head.endpointID(), Group: head.group, Epoch: head.epoch, Model: "big", Members: head.members}
	w.restart(head)
	w.execute(join)
	w.advance(20 * time.Second)
	w.execute(Order{Op: Open, To: join.To, Group: join.Group, Epoch: join.Epoch})
	w.advance(time.Second)
	is.Equal(len(w.serving("big")), 2)
	w.run(5 * time.Second)
	is.Equal(w.violation, "")
	is.Equal(len(w.serving("big")), 2)
}

// An engine restarts at its address under another ID, and both entries exist for a while.
// Both count as free and become members of one group; the new process answers probes of
// the old ID too and reports that it is ready, at its own rank. The group lacks a member
// and must not open.
func TestOneProcessIsNotTwoMembers(t *testing.T) {
	is := is.New(t)
	w := newSimZone()
	w.loadsAreFree = true
	w.add("d0", 4)
	for len(w.ledger.Groups) == 0 {
		w.plan()
		w.advance(100 * time.Millisecond)
	}
	g := w.ledger.Groups[0]
	formerID, currentID := g.Members[3], g.Members[1]
	for range 100 {
		w.recordReports()
		for _, e := range w.sorted() {
			w.report(e)
		}
		f := *w.engineStates[currentID]
		f.ID = formerID
		w.engineStates[formerID] = &f
		for _, o := range Plan(w.input(), w.mem).Orders {
			is.True(o.Op != Open)
			if o.To != formerID { // a process with another ID refuses its orders
				w.execute(o)
			}
		}
		w.advance(100 * time.Millisecond)
	}
	is.Equal(w.engines[currentID].state, roster.Ready)
}

// failingEngines fails every call with err.
type failingEngines struct{ err error }

func (r failingEngines) Report(context.Context, string, roster.ID) (Report, error) {
	return Report{}, r.err
}
func (r failingEngines) Order(context.Context, string, Order) (OrderResult, error) {
	return Lost, r.err
}

func probeOnceWithError(err error) *EngineState {
	now := clock.Instant(time.Hour)
	f := &EngineState{ID: roster.NewID("e", 5), ReportedAt: now, Report: Report{Model: "m"}}
	c := &Controller{
		Engines: failingEngines{err}, Clock: clock.NewManual(now), Log: slog.New(slog.DiscardHandler),
		Catalog:      func() *catalog.Catalog { return nil },
		engineStates: map[roster.ID]*EngineState{f.ID: f}, probes: map[roster.ID]*probe{f.ID: {}}, wake: make(chan struct{}, 1),
	}
	c.runProbe(context.Background(), f.ID, "10.0.0.1:1", now, time.Second)
	return f
}

// A report from a later incarnation, received before the list shows it, ends the probed
// incarnation. A delayed report from an earlier one has no effect: neither its state nor
// a failure is recorded.
func TestReportsOfOtherIncarnations(t *testing.T) {
	is := is.New(t)
	is.True(probeOnceWithError(ErrRestarted).Ended)
	earlier := probeOnceWithError(ErrEarlierIncarnation)
	is.True(!earlier.Ended)
	is.Equal(earlier.Failures, 0)
	is.Equal(earlier.Report.Model, "m")
}

// The list shows a later incarnation before the engine is probed again.
func TestListingEndsPreviousIncarnation(t *testing.T) {
	is := is.New(t)
	first, second := roster.NewID("e", 5), roster.NewID("e", 6)
	f := &EngineState{ID: first}
	r := roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{{ID: second, Service: "s", Zone: "z", Addr: "10.0.0.1:1"}}}, 1, 0)
	cat, err := catalog.New(catalog.Document{Services: []catalog.Service{{Name: "s", Engine: testEngine()}}})
	is.NoErr(err)
	c := &Controller{
		Zone: "z", Catalog: func() *catalog.Catalog { return cat }, Roster: func() *roster.Roster { return r },
		engineStates: map[roster.ID]*EngineState{first: f}, probes: map[roster.ID]*probe{first: {}},
	}
	c.syncRoster()
	is.True(f.Ended)
	is.True(!f.Listed)
	is.True(c.engineStates[second] != nil && !c.engineStates[second].Ended)
}
