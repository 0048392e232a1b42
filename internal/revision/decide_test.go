package revision_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/revision"
)

// newHeld returns a usable revision. Revisions with different content have
// different hashes.
func newHeld(number uint64, time int64, content int, base *revision.Record) revision.HeldRevision {
	r := &revision.Record{Document: document(content), Author: "asha"}
	r.Stamp = revision.Stamp{Number: number, Time: time, Hash: config.Hash(r.Document)}
	if base != nil {
		r.Base, r.BaseHash = base.Stamp.Number, base.Stamp.Hash
	}
	return newHeldRecord(r)
}

// decideAll returns the state after the events and the actions of the last one.
func decideAll(events ...revision.Event) (revision.State, []revision.Action) {
	var s revision.State
	var actions []revision.Action
	for _, e := range events {
		s, actions = revision.Decide(s, e)
	}
	return s, actions
}

func TestStampOrder(t *testing.T) {
	is := is.New(t)
	low := []revision.Stamp{{1, 9, 9}, {2, 1, 9}, {2, 2, 1}, {2, 2, 2}}
	for i, a := range low {
		for j, b := range low {
			is.Equal(a.Compare(b) < 0, i < j)
			is.Equal(a.Compare(b) == 0, i == j)
		}
	}
}

func TestDecide(t *testing.T) {
	one := newHeld(1, 10, 1, nil)
	two := newHeld(2, 20, 2, one.Record)
	twoLater := newHeld(2, 21, 3, one.Record)
	threeOnTwo := newHeld(3, 30, 4, two.Record)
	threeOnOne := newHeld(3, 31, 5, one.Record)
	unusable := revision.HeldRevision{Record: two.Record}
	got := func(h revision.HeldRevision) revision.Event { return revision.RevisionReceived{HeldRevision: h} }
	for _, c := range []struct {
		name   string
		events []revision.Event
		force  revision.Stamp
		want   []revision.Action
	}{
		{"nothing is in force before joining", []revision.Event{got(one)}, revision.Stamp{}, []revision.Action{revision.Announce{Stamp: one.Stamp}}},
		{"joining puts the highest in force", []revision.Event{got(one), got(two), revision.JoinEnded{}}, two.Stamp, []revision.Action{revision.Install{HeldRevision: two}}},
		{"a higher stamp is fetched from the peer that announced it",
			[]revision.Event{revision.JoinEnded{}, got(one), revision.StampReceived{From: "b", Stamp: two.Stamp}}, one.Stamp,
			[]revision.Action{revision.FetchPeer{From: "b", Stamp: two.Stamp}}},
		{"a lower stamp is ignored", []revision.Event{revision.JoinEnded{}, got(two), revision.StampReceived{From: "b", Stamp: one.Stamp}}, two.Stamp, nil},
		{"a revision with a higher head is read from the table", []revision.Event{revision.JoinEnded{}, got(one), revision.HeadRead{Stamp: two.Stamp}}, one.Stamp,
			[]revision.Action{revision.FetchTable{Stamp: two.Stamp}}},
		{"a table with a lower head is healed", []revision.Event{revision.JoinEnded{}, got(two), revision.HeadRead{Stamp: one.Stamp}}, two.Stamp,
			[]revision.Action{revision.HealTable{}}},
		{"an older revision that arrives late is not put in force", []revision.Event{revision.JoinEnded{}, got(two), got(one)}, two.Stamp, nil},
		{"an unusable revision leaves the old one in force",
			[]revision.Event{revision.JoinEnded{}, got(one), got(unusable)}, one.Stamp,
			[]revision.Action{revision.ReportUnusable{Stamp: two.Stamp}, revision.Announce{Stamp: two.Stamp}}},
		{"the later of two revisions with one number wins and the clash is reported",
			[]revision.Event{revision.JoinEnded{}, got(two), got(twoLater)}, twoLater.Stamp,
			[]revision.Action{revision.ReportClash{Winner: twoLater.Stamp, Loser: two.Stamp}, revision.Announce{Stamp: twoLater.Stamp}, revision.Install{HeldRevision: twoLater}}},
		{"the earlier of two revisions with one number loses and the clash is reported",
			[]revision.Event{revision.JoinEnded{}, got(twoLater), got(two)}, twoLater.Stamp,
			[]revision.Action{revision.ReportClash{Winner: twoLater.Stamp, Loser: two.Stamp}}},
		{"a revision based on different content of the previous number is reported as a clash",
			[]revision.Event{revision.JoinEnded{}, got(twoLater), got(threeOnTwo)}, threeOnTwo.Stamp,
			[]revision.Action{revision.ReportClash{Winner: threeOnTwo.Stamp, Loser: twoLater.Stamp}, revision.Announce{Stamp: threeOnTwo.Stamp}, revision.Install{HeldRevision: threeOnTwo}}},
		{"a revision that skipped another is reported as a clash",
			[]revision.Event{revision.JoinEnded{}, got(two), got(threeOnOne)}, threeOnOne.Stamp,
			[]revision.Action{revision.ReportClash{Winner: threeOnOne.Stamp, Loser: two.Stamp}, revision.Announce{Stamp: threeOnOne.Stamp}, revision.Install{HeldRevision: threeOnOne}}},
		{"a chain of revisions received out of order is not a clash",
			[]revision.Event{revision.JoinEnded{}, got(threeOnTwo), got(one), got(two)}, threeOnTwo.Stamp, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, actions := decideAll(c.events...)
			is.Equal(actions, c.want)
			var force revision.Stamp
			if s.InForce.Record != nil {
				force = s.InForce.Stamp
			}
			is.Equal(force, c.force)
		})
	}
}

func TestMemoryKeepsHighestRevisions(t *testing.T) {
	is := is.New(t)
	var s revision.State
	for n := range uint64(3 * revision.MemorySize) {
		s, _ = revision.Decide(s, revision.RevisionReceived{HeldRevision: newHeld(n+1, 1, int(n+1), nil)})
	}
	is.Equal(len(s.Memory), revision.MemorySize)
	is.Equal(s.Memory[0].Stamp.Number, uint64(2*revision.MemorySize+1))
	is.Equal(s.Highest().Number, uint64(3*revision.MemorySize))
}

// Tests that a revision which this node cannot use is kept in memory, so that
// it can be passed to other nodes and written back into a table that lost it.
func TestUnusableRevisionIsKeptForPeers(t *testing.T) {
	is := is.New(t)
	two := newHeld(2, 20, 2, nil)
	s, _ := decideAll(revision.JoinEnded{}, revision.RevisionReceived{HeldRevision: revision.HeldRevision{Record: two.Record}})
	is.Equal(s.Find(two.Stamp), two.Record)
	is.Equal(s.Records(), []*revision.Record{two.Record})
	is.True(s.InForce.Record == nil)
}

func BenchmarkDecideHeard(b *testing.B) {
	s, _ := decideAll(revision.JoinEnded{}, revision.RevisionReceived{HeldRevision: newHeld(1, 10, 1, nil)}, revision.RevisionReceived{HeldRevision: newHeld(2, 20, 2, nil)})
	e := revision.StampReceived{From: "b", Stamp: s.Highest()}
	b.ReportAllocs()
	for b.Loop() {
		if _, actions := revision.Decide(s, e); actions != nil {
			b.Fatal("want no action for a known stamp")
		}
	}
}

func BenchmarkDecideGot(b *testing.B) {
	var s revision.State
	for n := range uint64(revision.MemorySize) {
		s, _ = revision.Decide(s, revision.RevisionReceived{HeldRevision: newHeld(n+1, 1, int(n+1), nil)})
	}
	s, _ = revision.Decide(s, revision.JoinEnded{})
	next := revision.RevisionReceived{HeldRevision: newHeld(revision.MemorySize+1, 1, 99, nil)}
	b.ReportAllocs()
	for b.Loop() {
		if _, actions := revision.Decide(s, next); len(actions) != 2 {
			b.Fatal("want the actions Announce and Install")
		}
	}
}
