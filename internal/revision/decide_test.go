package revision_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/revision"
)

// record returns a usable revision. Revisions with different content differ in
// their hash.
func record(number uint64, time int64, content int, base *revision.Record) revision.Held {
	r := &revision.Record{Document: document(content), Author: "asha"}
	r.Stamp = revision.Stamp{Number: number, Time: time, Hash: config.Hash(r.Document)}
	if base != nil {
		r.Base, r.BaseHash = base.Stamp.Number, base.Stamp.Hash
	}
	return held(r)
}

// after returns the state after the events and the actions of the last one.
func after(events ...revision.Event) (revision.State, []revision.Action) {
	var s revision.State
	var actions []revision.Action
	for _, e := range events {
		s, actions = revision.Decide(s, e)
	}
	return s, actions
}

func TestStampsAreOrderedByNumberThenTimeThenHash(t *testing.T) {
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
	one := record(1, 10, 1, nil)
	two := record(2, 20, 2, one.Record)
	twoLater := record(2, 21, 3, one.Record)
	threeOnTwo := record(3, 30, 4, two.Record)
	threeOnOne := record(3, 31, 5, one.Record)
	unusable := revision.Held{Record: two.Record}
	got := func(h revision.Held) revision.Event { return revision.Got{Held: h} }
	for _, c := range []struct {
		name   string
		events []revision.Event
		force  revision.Stamp
		want   []revision.Action
	}{
		{"nothing is in force before joining", []revision.Event{got(one)}, revision.Stamp{}, []revision.Action{revision.Announce{Stamp: one.Stamp}}},
		{"joining puts the highest in force", []revision.Event{got(one), got(two), revision.Joined{}}, two.Stamp, []revision.Action{revision.Install{Held: two}}},
		{"a higher stamp heard is fetched from its holder",
			[]revision.Event{revision.Joined{}, got(one), revision.Heard{From: "b", Stamp: two.Stamp}}, one.Stamp,
			[]revision.Action{revision.FetchPeer{From: "b", Stamp: two.Stamp}}},
		{"a lower stamp heard is nothing", []revision.Event{revision.Joined{}, got(two), revision.Heard{From: "b", Stamp: one.Stamp}}, two.Stamp, nil},
		{"a higher head is read", []revision.Event{revision.Joined{}, got(one), revision.HeadRead{Stamp: two.Stamp}}, one.Stamp,
			[]revision.Action{revision.FetchTable{Stamp: two.Stamp}}},
		{"a lower head is healed", []revision.Event{revision.Joined{}, got(two), revision.HeadRead{Stamp: one.Stamp}}, two.Stamp,
			[]revision.Action{revision.HealTable{}}},
		{"an older revision that comes late stays out of force", []revision.Event{revision.Joined{}, got(two), got(one)}, two.Stamp, nil},
		{"a revision that cannot be used leaves the old one in force",
			[]revision.Event{revision.Joined{}, got(one), got(unusable)}, one.Stamp,
			[]revision.Action{revision.Refuse{Stamp: two.Stamp}, revision.Announce{Stamp: two.Stamp}}},
		{"of two with one number the later wins and the clash is told",
			[]revision.Event{revision.Joined{}, got(two), got(twoLater)}, twoLater.Stamp,
			[]revision.Action{revision.Report{Winner: twoLater.Stamp, Loser: two.Stamp}, revision.Announce{Stamp: twoLater.Stamp}, revision.Install{Held: twoLater}}},
		{"of two with one number the earlier loses and the clash is told",
			[]revision.Event{revision.Joined{}, got(twoLater), got(two)}, twoLater.Stamp,
			[]revision.Action{revision.Report{Winner: twoLater.Stamp, Loser: two.Stamp}}},
		{"a revision based on other content of the number below tells the clash",
			[]revision.Event{revision.Joined{}, got(twoLater), got(threeOnTwo)}, threeOnTwo.Stamp,
			[]revision.Action{revision.Report{Winner: threeOnTwo.Stamp, Loser: twoLater.Stamp}, revision.Announce{Stamp: threeOnTwo.Stamp}, revision.Install{Held: threeOnTwo}}},
		{"a revision that passed over another tells the clash",
			[]revision.Event{revision.Joined{}, got(two), got(threeOnOne)}, threeOnOne.Stamp,
			[]revision.Action{revision.Report{Winner: threeOnOne.Stamp, Loser: two.Stamp}, revision.Announce{Stamp: threeOnOne.Stamp}, revision.Install{Held: threeOnOne}}},
		{"a line of revisions in the wrong order is no clash",
			[]revision.Event{revision.Joined{}, got(threeOnTwo), got(one), got(two)}, threeOnTwo.Stamp, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, actions := after(c.events...)
			is.Equal(actions, c.want)
			var force revision.Stamp
			if s.InForce.Record != nil {
				force = s.InForce.Stamp
			}
			is.Equal(force, c.force)
		})
	}
}

func TestMemoryKeepsTheHighest(t *testing.T) {
	is := is.New(t)
	var s revision.State
	for n := range uint64(3 * revision.MemorySize) {
		s, _ = revision.Decide(s, revision.Got{Held: record(n+1, 1, int(n+1), nil)})
	}
	is.Equal(len(s.Memory), revision.MemorySize)
	is.Equal(s.Memory[0].Stamp.Number, uint64(2*revision.MemorySize+1))
	is.Equal(s.Highest().Number, uint64(3*revision.MemorySize))
}

// A revision is kept whatever its program, so that the node can hand it to
// others and write it into a table that lost it.
func TestAnUnusableRevisionIsStillHandedOn(t *testing.T) {
	is := is.New(t)
	two := record(2, 20, 2, nil)
	s, _ := after(revision.Joined{}, revision.Got{Held: revision.Held{Record: two.Record}})
	is.Equal(s.Find(two.Stamp), two.Record)
	is.Equal(s.Records(), []*revision.Record{two.Record})
	is.True(s.InForce.Record == nil)
}

func BenchmarkDecideHeard(b *testing.B) {
	s, _ := after(revision.Joined{}, revision.Got{Held: record(1, 10, 1, nil)}, revision.Got{Held: record(2, 20, 2, nil)})
	e := revision.Heard{From: "b", Stamp: s.Highest()}
	b.ReportAllocs()
	for b.Loop() {
		if _, actions := revision.Decide(s, e); actions != nil {
			b.Fatal("the stamp is known")
		}
	}
}

func BenchmarkDecideGot(b *testing.B) {
	var s revision.State
	for n := range uint64(revision.MemorySize) {
		s, _ = revision.Decide(s, revision.Got{Held: record(n+1, 1, int(n+1), nil)})
	}
	s, _ = revision.Decide(s, revision.Joined{})
	next := revision.Got{Held: record(revision.MemorySize+1, 1, 99, nil)}
	b.ReportAllocs()
	for b.Loop() {
		if _, actions := revision.Decide(s, next); len(actions) != 2 {
			b.Fatal("not announced and installed")
		}
	}
}
