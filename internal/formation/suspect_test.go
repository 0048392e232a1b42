package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// largeEngine has a model of 32 members beside one of 8, for domains of 73.
func largeEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 22, FormTime: 300 * time.Millisecond, LoadsPerSecond: 91, LoadsAtOnce: 136, Keeps: 1,
		Models: []catalog.Model{
			{Name: "big", Size: 32, Pace: 1, Share: 0.5, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 8, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// A node's streams at a head of 32 members pause. All members are asked with a short
// limit; one answer is late. The group is whole: taken apart, its 32 engines would
// serve nobody for a second, and their streams would crowd the others.
func TestOneLateReportEndsNoGroup(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.engine, w.free = largeEngine(), true
	w.add("d0", 73)
	w.run(10 * time.Second)
	w.free = false
	before := len(w.serving("big")) + len(w.serving("small"))
	is.True(before > 0)
	for _, head := range append(w.serving("big"), w.serving("small")...) {
		late := w.facts[head.members[len(head.members)-1]]
		w.plan()
		w.facts[head.id].Suspect = true
		late.Failures, late.Failing, late.Missed = 1, w.now, w.now
		out := Plan(w.input(), w.mem)
		is.Equal(len(out.Lost), 0)
		// Missed twice, while others answered the second time: it is lost.
		late.Failures = suspectMisses
		out = Plan(w.input(), w.mem)
		is.Equal(len(out.Lost), 1)
		late.Failures = 0
		w.facts[head.id].Suspect = false
		clear(w.mem.closing)
	}
}

// In a group of four one miss is enough where another member has answered since.
func TestOneMissIsEnoughInASmallGroup(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	w.plan()
	w.facts[head.id].Suspect = true
	f := w.facts[head.members[1]]
	f.Failures, f.Failing, f.Missed = 1, w.now, w.now
	is.Equal(len(Plan(w.input(), w.mem).Lost), 1)
}

// All members miss their reports: it is the asking node that is late.
func TestOwnLatenessEndsNoGroup(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	w.plan()
	w.facts[head.id].Suspect = true
	for _, m := range head.members {
		f := w.facts[m]
		f.Failures, f.Failing, f.Missed = suspectMisses, w.now, w.now
	}
	is.Equal(len(Plan(w.input(), w.mem).Lost), 0)
}

// One of many nodes is late itself and sees a gap: nobody is asked. A second one
// within the window, or few streams, or a gap seen long after, each for itself.
func TestDoubtsOfManyNodes(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var d doubts
	is.True(!d.enough(now, manyStreams))
	is.True(d.enough(now.Add(doubtWindow), manyStreams))
	is.True(!d.enough(now.Add(3*doubtWindow), manyStreams))
	is.True(d.enough(now.Add(9*doubtWindow), manyStreams-1))
}

// A report with the short limit fails: the engine is asked once more at once, and
// with it another member, whose answer shows that this node is not late.
func TestFailedReportIsAskedAgainWithAControl(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	member := roster.Membership{Group: "g", Epoch: 1, State: roster.Ready}
	f := &Fact{ID: "b", Report: Report{Member: member}, Answered: now}
	far := now.Add(time.Minute)
	c := &Controller{
		Clock:  clock.NewManual(now),
		facts:  map[roster.ID]*Fact{"a": {ID: "a", Answered: now}, "b": f},
		probes: map[roster.ID]*probe{"a": {next: far}, "b": {next: far, brief: now.Add(briefFor)}},
		ledger: Ledger{Groups: []Group{{Name: "g", Epoch: 1, Members: []roster.ID{"a", "b"}}}},
	}
	c.probeFailed(f, c.probes["b"], now, now, ErrOtherLife)
	is.Equal(c.probes["a"].next, now)
	is.Equal(c.probes["b"].next, now)
}

// The holder has no processor time for half a second: the limits of all its reports end
// late, together. Three times that says nothing of the engines; a node that is late for
// good must see losses all the same. A limit that ended in time counts at once.
func TestOwnLatenessIsNoMiss(t *testing.T) {
	is := is.New(t)
	var p probe
	is.True(!p.inconclusive(2 * time.Millisecond))
	for range mostLate {
		is.True(p.inconclusive(500 * time.Millisecond))
	}
	is.True(!p.inconclusive(500 * time.Millisecond))
	is.True(p.inconclusive(500 * time.Millisecond))
}
