package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// all is a node that watches everything.
type all struct{ holds bool }

func (all) Watches(string) bool { return true }
func (all) Leads(string) bool   { return true }
func (a all) Holds() bool       { return a.holds }

var peer = fleet.Node{VM: "n2", Incarnation: 1}

// pass hands messages over, sent and received at instants of two clocks.
func pass(t testing.TB, h *Hearer, to *State, messages [][]byte, now clock.Instant) {
	t.Helper()
	for _, m := range messages {
		heard, err := h.Hear(peer, m, now)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range heard.Events {
			to.Apply(e)
		}
	}
}

func TestTellingWhatChanged(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	g := group2(from)
	records := []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}
	from.Apply(List{At: at(0), Records: records})
	to.Apply(List{At: at(0), Records: records})
	teller, hearer := NewTeller(false, at(0)), NewHearer()
	tell := func(ms int) {
		pass(t, hearer, to, teller.Next(from.Snapshot(at(ms)), all{true}, at(ms), 300*time.Millisecond), at(ms))
	}
	tell(100)
	got := to.Snapshot(at(100)).Groups
	is.Equal(len(got), 1)
	is.True(got[0].Whole)
	is.Equal(got[0].FreshUntil, at(10+1500))
	is.Equal(len(teller.Next(from.Snapshot(at(200)), all{true}, at(200), time.Second)), 0) // nothing new, not due

	for i, m := range g.Members { // the same state found again
		from.Apply(Probed{VM: m.VM, Sent: at(350 + i), Answered: true, State: inGroup(&g, &m)})
	}
	tell(400)
	is.Equal(to.Snapshot(at(400)).Groups[0].FreshUntil, at(350+1500))

	from.Apply(Probed{VM: "b", Sent: at(450), Failing: at(450), Failures: 1})
	tell(460) // told at once, not only when due
	is.Equal(to.Snapshot(at(460)).Groups[0].FreshUntil, clock.Instant(0))
	from.Apply(Probed{VM: "b", Sent: at(750), Failing: at(450), Failures: 2})
	tell(800)
	b := to.Snapshot(at(800)).VMs[1].Probe
	is.Equal(b.Failing, at(450))
	is.Equal(b.Failures, 2)

	from.Apply(answer("b", "b2", 900)) // a new life
	tell(910)
	is.True(!to.Snapshot(at(910)).Groups[0].Whole)

	next := g
	next.Generation = 5
	from.Apply(Table{At: at(950), Groups: []TableGroup{{Group: next, Version: 3}}})
	tell(960)
	is.Equal(to.Snapshot(at(960)).Groups[0].Generation, fleet.Generation(5))
}

// An endpoint that an operator drained at one node still gets work from others.
// The mark must reach the other nodes, also when the first message is lost, and
// must not be passed on from there for ever.
func TestLeavingIsTold(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	for _, s := range []*State{from, to} {
		s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
		s.Apply(answer("a", "b1", 10))
	}
	none := all{}
	teller, hearer := NewTeller(true, at(0)), NewHearer()
	from.Apply(MarkLeaving{VM: "a", Boot: "b1", Reason: "operator"})
	told := 0
	for ms := 100; ms < 3000; ms += 100 {
		messages := teller.Next(from.Snapshot(at(ms)), none, at(ms), 300*time.Millisecond)
		if told++; told > 1 { // the first is lost
			pass(t, hearer, to, messages, at(ms))
		}
	}
	is.True(only(to, 3000).Leaving)
	onward := NewTeller(true, at(0))
	is.Equal(len(onward.Next(to.Snapshot(at(3000)), none, at(3000), time.Second)), 0)
}

func TestSummariesOfOtherZones(t *testing.T) {
	is := is.New(t)
	from, to := newState(), NewState(fleet.Node{VM: "far"}, "y")
	g := group2(from)
	teller, hearer := NewTeller(true, at(0)), NewHearer()
	tell := func(ms int) {
		pass(t, hearer, to, teller.Next(from.Snapshot(at(ms)), all{}, at(ms), 500*time.Millisecond), at(ms))
	}
	tell(100)
	got := to.Snapshot(at(100)).Groups[0]
	is.True(got.Whole)
	is.Equal(got.FreshUntil, at(10+1500))
	is.Equal(len(got.Members), 1) // the leader stands for all
	from.Apply(Loaded{At: at(550), Load: fleet.Load{VM: "a", Boot: "b1", Sequence: 1, Running: 4, Waiting: 2, Slots: 8}})
	tell(600)
	got = to.Snapshot(at(600)).Groups[0]
	is.Equal(got.Load.Running, 4)
	is.Equal(got.LoadAt, at(550))
	from.Apply(MarkLeaving{VM: "b", Boot: "b1"})
	tell(650)
	got = to.Snapshot(at(650)).Groups[0]
	is.True(!got.Whole)
	is.Equal(got.Reason, "b is leaving")
	is.Equal(g.Zone, fleet.AvailabilityZone("z"))
	is.Equal(len(to.Snapshot(at(650).Add(2*remoteForget)).Groups), 0)
}

// A group seems fresh although its members were probed long ago. A digest was
// held up on its way; its ages were true when it was sent. The sender's uptime
// shows the delay, and it is added to the ages.
func TestHeldUpDigestIsOld(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	group2(from)
	for _, s := range []*State{from, to} {
		s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	}
	teller, hearer := NewTeller(false, at(0)), NewHearer()
	pass(t, hearer, to, teller.Next(from.Snapshot(at(100)), all{true}, at(100), time.Second), at(100))
	g := from.groups["z.g"].group
	for i, m := range g.Members {
		from.Apply(Probed{VM: m.VM, Sent: at(1000 + i), Answered: true, State: inGroup(&g, &m)})
	}
	late := teller.Next(from.Snapshot(at(1100)), all{true}, at(1100), time.Second)
	pass(t, hearer, to, late, at(6100))
	const drift = 5 * time.Millisecond
	is.True(!to.Snapshot(at(6100)).Groups[0].FreshUntil.After(at(1000 + 1500).Add(drift)))
	is.True(to.Snapshot(at(6100)).Groups[0].Whole)
}

// Two nodes with clocks that differ in start and rate and messages that are
// delayed, reordered or lost: the hearer never believes an endpoint to be seen
// later than the teller truly saw it, but for the shortest delay of a message so
// far, which cannot be known, and the drift that is allowed for.
func TestToldFactsAreNeverYoungerThanTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := newState(), newState()
		records := []fleet.Record{record("a", fleet.StateLive)}
		from.Apply(List{At: at(0), Records: records})
		to.Apply(List{At: at(0), Records: records})
		offset := clock.Instant(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset"))
		rate := rapid.Float64Range(0.9999, 1.0001).Draw(t, "rate")
		theirs := func(real clock.Instant) clock.Instant { return offset + clock.Instant(float64(real-t0)*rate) }
		base := time.Duration(rapid.Int64Range(0, 5).Draw(t, "shortest delay")) * time.Millisecond
		teller, hearer := NewTeller(false, theirs(t0)), NewHearer()
		type letter struct {
			arrives clock.Instant
			delay   time.Duration
			body    []byte
		}
		var post []letter
		truth := clock.Instant(0)
		shortest := time.Hour
		for ms := 0; ms < 20000; ms += 100 {
			now := at(ms)
			if rapid.IntRange(0, 2).Draw(t, "probe") == 0 {
				truth = now
				boot := fleet.BootID(fmt.Sprint("b", rapid.IntRange(1, 2).Draw(t, "boot")))
				from.Apply(Probed{VM: "a", Sent: theirs(now), Answered: true, State: fleet.EngineState{VM: "a", Boot: boot}})
			}
			for _, m := range teller.Next(from.Snapshot(theirs(now)), all{}, theirs(now), 300*time.Millisecond) {
				delay := base + time.Duration(rapid.SampledFrom([]int64{0, 0, 0, 50, 4000}).Draw(t, "delay"))*time.Millisecond
				if rapid.IntRange(0, 9).Draw(t, "lost") != 0 {
					post = append(post, letter{now.Add(delay), delay, m})
				}
			}
			slices.SortStableFunc(post, func(a, b letter) int { return int(a.arrives - b.arrives) })
			for len(post) > 0 && !post[0].arrives.After(now) {
				shortest = min(shortest, post[0].delay)
				heard, err := hearer.Hear(peer, post[0].body, post[0].arrives)
				if err != nil {
					t.Fatal(err)
				}
				before := only(to, ms).Probe.Answered
				for _, e := range heard.Events {
					to.Apply(e)
				}
				post = post[1:]
				const drift = 10 * time.Millisecond
				if got := only(to, ms).Probe.Answered; got != before && got.After(truth.Add(shortest+drift)) {
					t.Fatalf("believed seen at %v, truly at %v", got.Sub(t0), truth.Sub(t0))
				}
			}
		}
	})
}

func TestUnreadableDigestsAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHearer()
		if _, err := h.Hear(peer, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), t0); err == nil {
			t.Skip("readable by chance")
		}
	})
}

// A node that missed a change takes a group for whole. The message that told of
// a member's restart was lost; the next says only "still the same". The hash
// names another state than this node knows, so nothing is refreshed by it.
func TestSameIsBelievedOnlyOfTheKnownState(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	for _, s := range []*State{from, to} {
		s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
	}
	teller, hearer := NewTeller(false, at(0)), NewHearer()
	next := func(ms int) [][]byte {
		return teller.Next(from.Snapshot(at(ms)), all{}, at(ms), 300*time.Millisecond)
	}
	from.Apply(answer("a", "b1", 10))
	pass(t, hearer, to, next(100), at(100))
	from.Apply(answer("a", "b1", 400))
	pass(t, hearer, to, next(400), at(400))
	is.Equal(only(to, 400).Probe.Answered, at(400))
	from.Apply(answer("a", "b2", 800))
	next(800) // lost
	from.Apply(answer("a", "b2", 1200))
	pass(t, hearer, to, next(1200), at(1200))
	is.Equal(only(to, 1200).Probe.Answered, at(400))
	is.Equal(to.missed[peer.VM], at(1200)) // and the teller is asked for all
	from.Apply(answer("a", "b2", 32000))
	pass(t, hearer, to, next(32000), at(32000)) // told whole again after a while
	is.Equal(only(to, 32000).Probe.State.Boot, fleet.BootID("b2"))
	from.Apply(answer("a", "b2", 32400))
	pass(t, hearer, to, next(32400), at(32400))
	to.Apply(answer("a", "b3", 32500)) // seen by this node itself
	from.Apply(answer("a", "b2", 32800))
	pass(t, hearer, to, next(32800), at(32800))
	is.Equal(only(to, 32800).Probe.Answered, at(32500))
}

func TestMessageOfAnEarlierLifeIsNotFresh(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	from.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
	from.Apply(answer("a", "b1", 10))
	message := NewTeller(false, at(0)).Next(from.Snapshot(at(100)), all{}, at(100), time.Second)[0]
	h := NewHearer()
	hear := func(life fleet.Incarnation) {
		heard, err := h.Hear(fleet.Node{VM: "n2", Incarnation: life}, message, at(100))
		is.NoErr(err)
		for _, e := range heard.Events {
			to.Apply(e)
		}
	}
	hear(2)
	first := only(to, 100).Probe.Answered
	is.Equal(first, at(10))
	h = NewHearer()
	to = newState()
	_, err := h.Hear(fleet.Node{VM: "n2", Incarnation: 2}, encode(&digest{}), at(50))
	is.NoErr(err)
	hear(1)
	is.True(only(to, 100).Probe.Answered.Before(at(0)))
}
