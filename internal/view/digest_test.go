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

// watchAll implements Duties for a node that watches every subject.
type watchAll struct{ holdsLease bool }

func (watchAll) Watches(string) bool        { return true }
func (watchAll) IsFirstWatcher(string) bool { return true }
func (a watchAll) HoldsLease() bool         { return a.holdsLease }

var peer = fleet.Node{VM: "n2", Incarnation: 1}

// deliver decodes the messages at now and applies their events to a state.
func deliver(t testing.TB, h *DigestReader, to *State, messages [][]byte, now clock.Instant) {
	t.Helper()
	for _, m := range messages {
		received, err := h.Read(peer, m, now)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range received.Events {
			to.Apply(e)
		}
	}
}

func TestDigestSendsChanges(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	g := applyGroupOfTwo(from)
	records := []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}
	from.Apply(List{At: at(0), Records: records})
	to.Apply(List{At: at(0), Records: records})
	producer, reader := NewDigestProducer(false, at(0)), NewDigestReader()
	send := func(ms int) {
		deliver(t, reader, to, producer.Next(from.Snapshot(at(ms)), watchAll{true}, at(ms), 300*time.Millisecond), at(ms))
	}
	send(100)
	got := to.Snapshot(at(100)).Groups
	is.Equal(len(got), 1)
	is.True(got[0].Whole)
	is.Equal(got[0].FreshUntil, at(10+1500))
	is.Equal(len(producer.Next(from.Snapshot(at(200)), watchAll{true}, at(200), time.Second)), 0) // no change, and no regular digest due

	for i, m := range g.Members { // an unchanged state, probed again
		from.Apply(Probed{VM: m.VM, Sent: at(350 + i), Answered: true, State: inGroup(&g, &m)})
	}
	send(400)
	is.Equal(to.Snapshot(at(400)).Groups[0].FreshUntil, at(350+1500))

	from.Apply(Probed{VM: "b", Sent: at(450), FailingSince: at(450), Failures: 1})
	send(460) // sent at once, before the next regular digest
	is.Equal(to.Snapshot(at(460)).Groups[0].FreshUntil, clock.Instant(0))
	from.Apply(Probed{VM: "b", Sent: at(750), FailingSince: at(450), Failures: 2})
	send(800)
	b := to.Snapshot(at(800)).VMs[1].Probe
	is.Equal(b.FailingSince, at(450))
	is.Equal(b.Failures, 2)

	from.Apply(probeAnswer("b", "b2", 900)) // restarted
	send(910)
	is.True(!to.Snapshot(at(910)).Groups[0].Whole)

	next := g
	next.Generation = 5
	from.Apply(Table{At: at(950), Groups: []TableGroup{{Group: next, Version: 3}}})
	send(960)
	is.Equal(to.Snapshot(at(960)).Groups[0].Generation, fleet.Generation(5))
}

// Guards against endpoints that an operator drains at one node and that still
// get requests from others. The mark must reach the other nodes even if the
// first message is lost, and they must not forward it endlessly.
func TestLeavingMarkReachesPeers(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	for _, s := range []*State{from, to} {
		s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
		s.Apply(probeAnswer("a", "b1", 10))
	}
	none := watchAll{}
	producer, reader := NewDigestProducer(true, at(0)), NewDigestReader()
	from.Apply(MarkLeaving{VM: "a", Boot: "b1", Reason: "operator"})
	round := 0
	for ms := 100; ms < 3000; ms += 100 {
		messages := producer.Next(from.Snapshot(at(ms)), none, at(ms), 300*time.Millisecond)
		if round++; round > 1 { // the first message is lost
			deliver(t, reader, to, messages, at(ms))
		}
	}
	is.True(firstVM(to, 3000).Leaving)
	forwarding := NewDigestProducer(true, at(0))
	is.Equal(len(forwarding.Next(to.Snapshot(at(3000)), none, at(3000), time.Second)), 0)
}

func TestSummariesOfOtherZones(t *testing.T) {
	is := is.New(t)
	from, to := newState(), NewState(fleet.Node{VM: "far"}, "y")
	g := applyGroupOfTwo(from)
	producer, reader := NewDigestProducer(true, at(0)), NewDigestReader()
	send := func(ms int) {
		deliver(t, reader, to, producer.Next(from.Snapshot(at(ms)), watchAll{}, at(ms), 500*time.Millisecond), at(ms))
	}
	send(100)
	got := to.Snapshot(at(100)).Groups[0]
	is.True(got.Whole)
	is.Equal(got.FreshUntil, at(10+1500))
	is.Equal(len(got.Members), 1) // only the leader is sent
	from.Apply(LoadReported{At: at(550), Load: fleet.Load{VM: "a", Boot: "b1", Sequence: 1, Running: 4, Waiting: 2, Slots: 8}})
	send(600)
	got = to.Snapshot(at(600)).Groups[0]
	is.Equal(got.Load.Running, 4)
	is.Equal(got.LoadAt, at(550))
	from.Apply(MarkLeaving{VM: "b", Boot: "b1"})
	send(650)
	got = to.Snapshot(at(650)).Groups[0]
	is.True(!got.Whole)
	is.Equal(got.Reason, "b is leaving")
	is.Equal(g.Zone, fleet.AvailabilityZone("z"))
	is.Equal(len(to.Snapshot(at(650).Add(2*remoteGroupTTL)).Groups), 0)
}

// Guards against groups that look fresh although their members were probed long
// ago, because a digest was delayed: its ages were true when it was sent. The
// sender's uptime shows the delay, which is added to the ages.
func TestDelayedDigestAgesItsContents(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	applyGroupOfTwo(from)
	for _, s := range []*State{from, to} {
		s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	}
	producer, reader := NewDigestProducer(false, at(0)), NewDigestReader()
	deliver(t, reader, to, producer.Next(from.Snapshot(at(100)), watchAll{true}, at(100), time.Second), at(100))
	g := from.groups["z.g"].group
	for i, m := range g.Members {
		from.Apply(Probed{VM: m.VM, Sent: at(1000 + i), Answered: true, State: inGroup(&g, &m)})
	}
	late := producer.Next(from.Snapshot(at(1100)), watchAll{true}, at(1100), time.Second)
	deliver(t, reader, to, late, at(6100))
	const drift = 5 * time.Millisecond
	is.True(!to.Snapshot(at(6100)).Groups[0].FreshUntil.After(at(1000 + 1500).Add(drift)))
	is.True(to.Snapshot(at(6100)).Groups[0].Whole)
}

// Two nodes have clocks that differ in start and rate, and messages are
// delayed, reordered or lost. The receiver must never record a probe time later
// than the sender's, except by the shortest message delay so far, which cannot
// be known, and the drift allowance.
func TestReceivedProbesAreNeverNewerThanSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := newState(), newState()
		records := []fleet.Record{record("a", fleet.StateLive)}
		from.Apply(List{At: at(0), Records: records})
		to.Apply(List{At: at(0), Records: records})
		offset := clock.Instant(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset"))
		rate := rapid.Float64Range(0.9999, 1.0001).Draw(t, "rate")
		senderTime := func(real clock.Instant) clock.Instant { return offset + clock.Instant(float64(real-t0)*rate) }
		base := time.Duration(rapid.Int64Range(0, 5).Draw(t, "shortest delay")) * time.Millisecond
		producer, reader := NewDigestProducer(false, senderTime(t0)), NewDigestReader()
		type delivery struct {
			arrives clock.Instant
			delay   time.Duration
			body    []byte
		}
		var inFlight []delivery
		newestProbe := clock.Instant(0)
		shortest := time.Hour
		for ms := 0; ms < 20000; ms += 100 {
			now := at(ms)
			if rapid.IntRange(0, 2).Draw(t, "probe") == 0 {
				newestProbe = now
				boot := fleet.BootID(fmt.Sprint("b", rapid.IntRange(1, 2).Draw(t, "boot")))
				from.Apply(Probed{VM: "a", Sent: senderTime(now), Answered: true, State: fleet.EngineState{VM: "a", Boot: boot}})
			}
			for _, m := range producer.Next(from.Snapshot(senderTime(now)), watchAll{}, senderTime(now), 300*time.Millisecond) {
				delay := base + time.Duration(rapid.SampledFrom([]int64{0, 0, 0, 50, 4000}).Draw(t, "delay"))*time.Millisecond
				if rapid.IntRange(0, 9).Draw(t, "lost") != 0 {
					inFlight = append(inFlight, delivery{now.Add(delay), delay, m})
				}
			}
			slices.SortStableFunc(inFlight, func(a, b delivery) int { return int(a.arrives - b.arrives) })
			for len(inFlight) > 0 && !inFlight[0].arrives.After(now) {
				shortest = min(shortest, inFlight[0].delay)
				received, err := reader.Read(peer, inFlight[0].body, inFlight[0].arrives)
				if err != nil {
					t.Fatal(err)
				}
				before := firstVM(to, ms).Probe.AnsweredAt
				for _, e := range received.Events {
					to.Apply(e)
				}
				inFlight = inFlight[1:]
				const drift = 10 * time.Millisecond
				if got := firstVM(to, ms).Probe.AnsweredAt; got != before && got.After(newestProbe.Add(shortest+drift)) {
					t.Fatalf("recorded probe time %v, newest probe sent at %v", got.Sub(t0), newestProbe.Sub(t0))
				}
			}
		}
	})
}

func TestUnreadableDigestsAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewDigestReader()
		if _, err := h.Read(peer, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), t0); err == nil {
			t.Skip("random bytes that decode as a digest")
		}
	})
}

// Guards against a node that missed a change and still considers the group
// whole. The message that reported a member's restart was lost, and the next
// one only says that the state is unchanged. Its hash refers to a state that
// this node does not know, so it must refresh nothing.
func TestUnchangedProbeRequiresKnownState(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	for _, s := range []*State{from, to} {
		s.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
	}
	producer, reader := NewDigestProducer(false, at(0)), NewDigestReader()
	next := func(ms int) [][]byte {
		return producer.Next(from.Snapshot(at(ms)), watchAll{}, at(ms), 300*time.Millisecond)
	}
	from.Apply(probeAnswer("a", "b1", 10))
	deliver(t, reader, to, next(100), at(100))
	from.Apply(probeAnswer("a", "b1", 400))
	deliver(t, reader, to, next(400), at(400))
	is.Equal(firstVM(to, 400).Probe.AnsweredAt, at(400))
	from.Apply(probeAnswer("a", "b2", 800))
	next(800) // lost
	from.Apply(probeAnswer("a", "b2", 1200))
	deliver(t, reader, to, next(1200), at(1200))
	is.Equal(firstVM(to, 1200).Probe.AnsweredAt, at(400))
	is.Equal(to.resyncPeers[peer.VM], at(1200)) // the sender's full state is requested
	from.Apply(probeAnswer("a", "b2", 32000))
	deliver(t, reader, to, next(32000), at(32000)) // sent in full after refreshInterval
	is.Equal(firstVM(to, 32000).Probe.State.Boot, fleet.BootID("b2"))
	from.Apply(probeAnswer("a", "b2", 32400))
	deliver(t, reader, to, next(32400), at(32400))
	to.Apply(probeAnswer("a", "b3", 32500)) // probed by this node itself
	from.Apply(probeAnswer("a", "b2", 32800))
	deliver(t, reader, to, next(32800), at(32800))
	is.Equal(firstVM(to, 32800).Probe.AnsweredAt, at(32500))
}

func TestDigestOfEarlierIncarnationIsStale(t *testing.T) {
	is := is.New(t)
	from, to := newState(), newState()
	from.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
	from.Apply(probeAnswer("a", "b1", 10))
	message := NewDigestProducer(false, at(0)).Next(from.Snapshot(at(100)), watchAll{}, at(100), time.Second)[0]
	h := NewDigestReader()
	read := func(incarnation fleet.Incarnation) {
		received, err := h.Read(fleet.Node{VM: "n2", Incarnation: incarnation}, message, at(100))
		is.NoErr(err)
		for _, e := range received.Events {
			to.Apply(e)
		}
	}
	read(2)
	first := firstVM(to, 100).Probe.AnsweredAt
	is.Equal(first, at(10))
	h = NewDigestReader()
	to = newState()
	_, err := h.Read(fleet.Node{VM: "n2", Incarnation: 2}, encode(&digest{}), at(50))
	is.NoErr(err)
	read(1)
	is.True(firstVM(to, 100).Probe.AnsweredAt.Before(at(0)))
}
