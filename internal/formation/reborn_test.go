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

// A member starts again under its name between two reports: its entry never
// disappears and it answers all the time, but its group stands still without it.
// The group is formed anew as after a death; the new life is free and empty.
func TestRestartedMemberIsLost(t *testing.T) {
	for _, rank := range []int{0, 1, 3} {
		is := is.New(t)
		w := started()
		head := w.serving("big")[0]
		old := head.members[rank]
		w.restart(w.at(old))
		w.run(3 * time.Second)
		is.Equal(len(w.serving("big")), 2)
		for _, g := range w.ledger.Groups {
			is.True(!slices.Contains(g.Members, old)) // its claim ends with its life
		}
		is.Equal(w.broken, "")
	}
}

// A head starts again while nobody plans for the zone. The orders that made it lead
// its group come once more, late, and the new life, whose count of orders is the same
// by chance, leads the group again. The next owner ends the former life: members that
// joined another group at once would be in two groups that serve.
func TestNewLifeOfAHeadMayLeadItsFormerGroup(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	join := Order{Op: Join, To: head.life(), Group: head.group, Epoch: head.epoch, Model: "big", Members: head.members}
	w.restart(head)
	w.execute(join)
	w.advance(20 * time.Second)
	w.execute(Order{Op: Open, To: join.To, Group: join.Group, Epoch: join.Epoch})
	w.advance(time.Second)
	is.Equal(len(w.serving("big")), 2)
	w.run(5 * time.Second)
	is.Equal(w.broken, "")
	is.Equal(len(w.serving("big")), 2)
}

// An engine starts again at its address under another id, and both entries stand for a
// while. Both are taken for free and become members of one group; reports to the old id
// are answered by the new process, which has joined and is ready, at its own rank. The
// group lacks a member and must not open.
func TestOneProcessIsNotTwoMembers(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.free = true
	w.add("d0", 4)
	for len(w.ledger.Groups) == 0 {
		w.plan()
		w.advance(100 * time.Millisecond)
	}
	g := w.ledger.Groups[0]
	ghost, process := g.Members[3], g.Members[1]
	for range 100 {
		for _, e := range w.sorted() {
			w.report(e)
		}
		f := *w.facts[process]
		f.ID = ghost
		w.facts[ghost] = &f
		for _, o := range Plan(w.input(), w.mem).Orders {
			is.True(o.Op != Open)
			if o.To != ghost { // its orders are refused by a process with another id
				w.execute(o)
			}
		}
		w.advance(100 * time.Millisecond)
	}
	is.Equal(w.engines[process].state, roster.Ready)
}

// reborn answers every report as one of another life than was asked.
type reborn struct{ err error }

func (r reborn) Report(context.Context, string, roster.ID) (Report, error) { return Report{}, r.err }
func (r reborn) Order(context.Context, string, Order) (Verdict, error)     { return Lost, r.err }

func probedOnce(err error) *Fact {
	now := clock.Instant(time.Hour)
	f := &Fact{ID: roster.Life("e", 5), Answered: now, Report: Report{Model: "m"}}
	c := &Controller{
		Engines: reborn{err}, Clock: clock.NewManual(now), Log: slog.New(slog.DiscardHandler),
		Catalog: func() *catalog.Catalog { return nil },
		facts:   map[roster.ID]*Fact{f.ID: f}, probes: map[roster.ID]*probe{f.ID: {}}, wake: make(chan struct{}, 1),
	}
	c.probe(context.Background(), f.ID, "10.0.0.1:1", now, time.Second)
	return f
}

// A report tells of a later start before the list does: the life that was asked is
// over. One of an earlier start, that was on its way for long, says nothing: neither
// what the engine holds nor that it fails.
func TestReportsOfOtherLives(t *testing.T) {
	is := is.New(t)
	is.True(probedOnce(ErrReborn).Gone)
	earlier := probedOnce(ErrEarlierLife)
	is.True(!earlier.Gone)
	is.Equal(earlier.Failures, 0)
	is.Equal(earlier.Report.Model, "m")
}

// The list shows a later start while no report has been asked for since.
func TestListEndsTheFormerLife(t *testing.T) {
	is := is.New(t)
	first, second := roster.Life("e", 5), roster.Life("e", 6)
	f := &Fact{ID: first}
	r := roster.Merge(roster.Empty(), roster.Listing{Endpoints: []roster.Endpoint{{ID: second, Service: "s", Zone: "z", Addr: "10.0.0.1:1"}}}, 1, 0)
	cat, err := catalog.New(catalog.Document{Services: []catalog.Service{{Name: "s", Engine: testEngine()}}})
	is.NoErr(err)
	c := &Controller{
		Zone: "z", Catalog: func() *catalog.Catalog { return cat }, Roster: func() *roster.Roster { return r },
		facts: map[roster.ID]*Fact{first: f}, probes: map[roster.ID]*probe{first: {}},
	}
	c.follow()
	is.True(f.Gone)
	is.True(!f.Listed)
	is.True(c.facts[second] != nil && !c.facts[second].Gone)
}
