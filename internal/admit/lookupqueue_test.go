package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// lookupsDriver drives a Lookups whose service has a few slots at this node.
type lookupsDriver struct {
	*Lookups
	now  clock.Instant
	next Handle
}

const lookupSlotsHere = 4

func newLookups(orgs ...fleet.Organisation) *lookupsDriver {
	p := &Plan{Services: []Pool{{Name: "fees", ShareSlots: lookupSlotsHere, TotalSlots: lookupSlotsHere}}}
	for _, o := range orgs {
		p.Organisations = append(p.Organisations, Organisation{Name: o, Weight: 1})
	}
	l := &lookupsDriver{Lookups: NewLookups(), now: simStart}
	l.step(&Event{Kind: Replan, Plan: p})
	return l
}

func (l *lookupsDriver) step(ev *Event) []Decision { return l.Step(l.now, ev, nil) }

func (l *lookupsDriver) arrive(o fleet.Organisation) Decision {
	h := l.next
	l.next++
	return l.step(&Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: o, Service: "fees"}})[0]
}

func (l *lookupsDriver) finish(h Handle) []Decision {
	return l.step(&Event{Kind: Finish, Handle: h, Completion: Completion{Total: time.Millisecond, Answered: true}})
}

// Guards against calls that are refused with a retry delay of a second although
// slots become free within milliseconds.
func TestLookupWaitsForASlot(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere {
		is.Equal(l.arrive("north").Verdict, Admit)
	}
	is.Equal(l.arrive("north").Verdict, Queue)
	l.now = l.now.Add(maxLookupWait / 2)
	is.Equal(len(l.step(&Event{Kind: Tick})), 0)
	got := l.finish(0)
	is.Equal(len(got), 1)
	is.Equal(got[0].Verdict, Admit)
	is.Equal(got[0].Handle, Handle(lookupSlotsHere))
	is.Equal(l.Waiting(), 0)
}

// Guards against calls that stay queued although no slot becomes free, and
// against a call that is refused after a pause of the node although a slot is
// free by then.
func TestLookupWaitIsLimited(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere + 1 {
		l.arrive("north")
	}
	l.now = l.now.Add(maxLookupWait)
	got := l.step(&Event{Kind: Tick})
	is.Equal(got[0].Verdict, Refuse)
	is.Equal(got[0].Reason, ReasonSaturated)

	is.Equal(l.arrive("north").Verdict, Queue)
	l.now = l.now.Add(10 * maxLookupWait)
	is.Equal(l.finish(0)[0].Verdict, Admit)
}

// Guards against a call that is queued although the service is too slow to free a
// slot in time.
func TestLookupIsRefusedAtOnceIfServiceIsSlow(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere {
		l.arrive("north")
	}
	l.step(&Event{Kind: Finish, Handle: 0, Completion: Completion{Total: 10 * time.Second, Answered: true}})
	l.arrive("north")
	d := l.arrive("north")
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Kind, outcome.Overloaded)
}

// Guards against an organisation that fills the queue and leaves no places to
// others.
func TestLookupQueueLeavesPlacesToOthers(t *testing.T) {
	is := is.New(t)
	l := newLookups("north", "south")
	for range lookupSlotsHere / 2 {
		l.arrive("south")
		l.arrive("north")
	}
	held := 0
	for range 10 * lookupSlotsHere {
		if l.arrive("north").Verdict == Queue {
			held++
		}
	}
	is.True(held <= lookupSlotsHere/2)
	is.Equal(l.arrive("south").Verdict, Queue)
}

// Guards against a call that stays queued after its caller has left.
func TestCancelledLookupLeavesQueue(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere + 1 {
		l.arrive("north")
	}
	got := l.step(&Event{Kind: Withdraw, Handle: lookupSlotsHere})
	is.Equal(got[0].Verdict, Withdrawn)
	is.Equal(len(l.finish(0)), 0)
}

// Guards against arrivals that are refused for lack of slots after a pause of the
// node, although events that free slots are already in the channel.
func TestEventsAreProcessedBeforeArrivals(t *testing.T) {
	is := is.New(t)
	core := &recorder{}
	l := newLane("lookup", core, clock.NewManual(simStart))
	first := &call{handle: l.allocHandle(&call{})}
	l.calls[first.handle] = first
	l.events <- message{event: Event{Kind: Finish}, call: first}
	l.drainEvents()
	l.step(&message{event: Event{Kind: Arrive}, call: &call{handle: noHandle, decisions: make(chan Decision, 2)}})
	is.Equal(core.kinds, []EventKind{Finish, Arrive})
	is.Equal(len(l.events), 0)
}

// recorder is a core that admits everything and records the kinds of events.
type recorder struct{ kinds []EventKind }

func (r *recorder) Step(_ clock.Instant, ev *Event, out []Decision) []Decision {
	r.kinds = append(r.kinds, ev.Kind)
	if ev.Kind == Arrive {
		out = append(out, Decision{Handle: ev.Handle, Verdict: Admit})
	}
	return out
}

func (r *recorder) Waiting() int { return 0 }
