package formation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// largeEngine has models of 32 and 8 members, for domains of 73 engines.
func largeEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 22, FormTime: 300 * time.Millisecond, LoadsPerSecond: 91, LoadsAtOnce: 136, Keeps: 1,
		Models: []catalog.Model{
			{Name: "big", Size: 32, Pace: 1, Share: 0.5, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 8, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// A node's streams at a head of 32 members pause, and one of the members misses a probe
// with the short timeout. The group is complete and must stay: dissolved, its 32 engines
// would serve nobody for a second, and their streams would overload other groups.
func TestOneMissedReportDoesNotCloseLargeGroup(t *testing.T) {
	is := is.New(t)
	w := newSimZone()
	w.engine, w.loadsAreFree = largeEngine(), true
	w.add("d0", 73)
	w.run(10 * time.Second)
	w.loadsAreFree = false
	before := len(w.serving("big")) + len(w.serving("small"))
	is.True(before > 0)
	for _, head := range append(w.serving("big"), w.serving("small")...) {
		late := w.engineStates[head.members[len(head.members)-1]]
		w.plan()
		w.engineStates[head.id].Stalled = true
		late.Failures, late.FailingSince, late.LastMissedAt = 1, w.now, w.now
		out := Plan(w.input(), w.mem)
		is.Equal(len(out.Lost), 0)
		// A second miss while others responded: the member is lost.
		late.Failures = largeGroupMisses
		out = Plan(w.input(), w.mem)
		is.Equal(len(out.Lost), 1)
		late.Failures = 0
		w.engineStates[head.id].Stalled = false
		clear(w.mem.closing)
	}
}

// In a group of four, one miss is enough if another member has responded since.
func TestOneMissedReportClosesSmallGroup(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	w.plan()
	w.engineStates[head.id].Stalled = true
	f := w.engineStates[head.members[1]]
	f.Failures, f.FailingSince, f.LastMissedAt = 1, w.now, w.now
	is.Equal(len(Plan(w.input(), w.mem).Lost), 1)
}

// All members miss their probes: the probing node itself is delayed.
func TestMissesByAllMembersDoNotCloseGroup(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	w.plan()
	w.engineStates[head.id].Stalled = true
	for _, m := range head.members {
		f := w.engineStates[m]
		f.Failures, f.FailingSince, f.LastMissedAt = largeGroupMisses, w.now, w.now
	}
	is.Equal(len(Plan(w.input(), w.mem).Lost), 0)
}

// One of many nodes is itself delayed and reports a stall: nothing is probed. A second
// report within the window triggers a probe, as does a single report for a head with few
// streams; a report after the window starts a new count.
func TestStallReportQuorum(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var d stallReports
	is.True(!d.add(now, manyStreams))
	is.True(d.add(now.Add(stallReportWindow), manyStreams))
	is.True(!d.add(now.Add(3*stallReportWindow), manyStreams))
	is.True(d.add(now.Add(9*stallReportWindow), manyStreams-1))
}

// A probe with the short timeout fails: the engine is probed again at once, together with
// another member, whose response shows that this node is not delayed.
func TestFailedProbeIsRepeatedWithControlMember(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	member := roster.Membership{Group: "g", Epoch: 1, State: roster.Ready}
	f := &EngineState{ID: "b", Report: Report{Member: member}, ReportedAt: now}
	far := now.Add(time.Minute)
	c := &Controller{
		Clock:        clock.NewManual(now),
		engineStates: map[roster.ID]*EngineState{"a": {ID: "a", ReportedAt: now}, "b": f},
		probes:       map[roster.ID]*probe{"a": {next: far}, "b": {next: far, shortTimeoutUntil: now.Add(suspicionDuration)}},
		ledger:       Ledger{Groups: []Group{{Name: "g", Epoch: 1, Members: []roster.ID{"a", "b"}}}},
	}
	c.recordProbeFailure(f, c.probes["b"], now, now, ErrOtherProcess)
	is.Equal(c.probes["a"].next, now)
	is.Equal(c.probes["b"].next, now)
}

// The owner has no processor time for half a second, and the timeouts of all its probes
// fire late together. Up to three such misses say nothing about the engines; a
// permanently delayed node must still detect losses. A miss whose timeout fired on time
// counts at once.
func TestLateTimeoutIsInconclusive(t *testing.T) {
	is := is.New(t)
	var p probe
	is.True(!p.isInconclusive(2 * time.Millisecond))
	for range maxInconclusiveMisses {
		is.True(p.isInconclusive(500 * time.Millisecond))
	}
	is.True(!p.isInconclusive(500 * time.Millisecond))
	is.True(p.isInconclusive(500 * time.Millisecond))
}
