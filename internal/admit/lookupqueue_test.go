package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// lookups is a lane whose service has a few slots for this node.
type lookups struct {
	*Lookups
	now  clock.Instant
	next Handle
}

const lookupSlotsHere = 4

func newLookups(orgs ...fleet.Organisation) *lookups {
	p := &Plan{Services: []Pool{{Name: "fees", Share: lookupSlotsHere, Total: lookupSlotsHere}}}
	for _, o := range orgs {
		p.Organisations = append(p.Organisations, Organisation{Name: o, Weight: 1})
	}
	l := &lookups{Lookups: NewLookups(), now: simStart}
	l.step(&Event{Kind: Replan, Plan: p})
	return l
}

func (l *lookups) step(ev *Event) []Decision { return l.Step(l.now, ev, nil) }

func (l *lookups) arrive(o fleet.Organisation) Decision {
	h := l.next
	l.next++
	return l.step(&Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: o, Service: "fees"}})[0]
}

func (l *lookups) finish(h Handle) []Decision {
	return l.step(&Event{Kind: Finish, Handle: h, Completion: Completion{Total: time.Millisecond, Answered: true}})
}

// Guards against calls that are refused for a second although slots free within
// milliseconds.
func TestLookupWaitsForASlot(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere {
		is.Equal(l.arrive("north").Verdict, Admit)
	}
	is.Equal(l.arrive("north").Verdict, Queue)
	l.now = l.now.Add(lookupWait / 2)
	is.Equal(len(l.step(&Event{Kind: Tick})), 0)
	got := l.finish(0)
	is.Equal(len(got), 1)
	is.Equal(got[0].Verdict, Admit)
	is.Equal(got[0].Handle, Handle(lookupSlotsHere))
	is.Equal(l.Waiting(), 0)
}

// Guards against calls that wait where no slot becomes free, and against one that is refused
// after the node stood still although a slot is free by then.
func TestLookupWaitEnds(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere + 1 {
		l.arrive("north")
	}
	l.now = l.now.Add(lookupWait)
	got := l.step(&Event{Kind: Tick})
	is.Equal(got[0].Verdict, Refuse)
	is.Equal(got[0].Reason, ReasonSaturated)

	is.Equal(l.arrive("north").Verdict, Queue)
	l.now = l.now.Add(10 * lookupWait)
	is.Equal(l.finish(0)[0].Verdict, Admit)
}

// Guards against a call that is held although the service is too slow for it to get a slot
// in time.
func TestLookupIsRefusedAtOnceWhereTheServiceIsSlow(t *testing.T) {
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

// Guards against an organisation that fills the queue and leaves nothing to the others.
func TestLookupQueueLeavesRoomToOthers(t *testing.T) {
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

// Guards against a call that keeps its place after its caller has left.
func TestLookupLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	l := newLookups("north")
	for range lookupSlotsHere + 1 {
		l.arrive("north")
	}
	got := l.step(&Event{Kind: Withdraw, Handle: lookupSlotsHere})
	is.Equal(got[0].Verdict, Withdrawn)
	is.Equal(len(l.finish(0)), 0)
}

// Guards against arrivals that are refused for want of slots whose ends are at hand, after
// the node stood still.
func TestEndsAreTakenBeforeArrivals(t *testing.T) {
	is := is.New(t)
	core := &recorder{}
	l := newLane("lookup", core, clock.NewManual(simStart))
	first := &call{handle: l.take(&call{})}
	l.calls[first.handle] = first
	l.ends <- message{event: Event{Kind: Finish}, call: first}
	l.takeEnds()
	l.step(&message{event: Event{Kind: Arrive}, call: &call{handle: none, decided: make(chan Decision, 2)}})
	is.Equal(core.kinds, []EventKind{Finish, Arrive})
	is.Equal(len(l.ends), 0)
}

// recorder is a core that admits everything and notes what came.
type recorder struct{ kinds []EventKind }

func (r *recorder) Step(_ clock.Instant, ev *Event, out []Decision) []Decision {
	r.kinds = append(r.kinds, ev.Kind)
	if ev.Kind == Arrive {
		out = append(out, Decision{Handle: ev.Handle, Verdict: Admit})
	}
	return out
}

func (r *recorder) Waiting() int { return 0 }
