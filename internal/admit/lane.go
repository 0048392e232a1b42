package admit

import (
	"context"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
	"chervilloom/internal/ring"
)

const (
	// ringSize is the capacity for arrivals that wait for the lane's goroutine. A
	// decision takes about a microsecond, so a full ring means that the node's
	// CPUs are saturated. The arrival is then refused at once, "not run".
	ringSize = 4096
	// eventsSize is the capacity for all other events. Senders block when it is
	// full, because a lost Finish would occupy a slot forever. This cannot
	// deadlock: the lane's goroutine never waits for a sender.
	eventsSize = 1024
)

// core is the pure state machine of a lane.
type core interface {
	Step(now clock.Instant, ev *Event, out []Decision) []Decision
	Waiting() int
}

// message carries an event to the lane's goroutine.
type message struct {
	event     Event
	call      *call         // nil for Tick and Replan
	processed chan struct{} // closed when the event was processed; may be nil
}

// call is the lane's record of one request. handle and withdrawn are accessed only
// by the lane's goroutine.
type call struct {
	handle    Handle // noHandle until the request has arrived
	withdrawn bool   // withdrawn before it arrived
	decisions chan Decision
}

// lane feeds a core with events from a ring and a channel. Only its goroutine
// accesses the core.
type lane struct {
	name         string
	core         core
	clock        clock.Clock
	ring         *ring.Queue[message] // arrivals
	events       chan message         // all other events
	stopped      chan struct{}
	calls        []*call  // by handle
	freeHandles  []Handle // unused handles
	out          []Decision
	handlesInUse atomic.Int64
	waiting      atomic.Int64 // queued requests
}

func newLane(name string, c core, clk clock.Clock) *lane {
	return &lane{
		name: name, core: c, clock: clk,
		ring:    ring.NewQueue[message](ringSize),
		events:  make(chan message, eventsSize),
		stopped: make(chan struct{}),
	}
}

// run processes events until ctx ends. Requests still queued then are refused.
func (l *lane) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.ring.C():
			l.drainEvents()
			l.step(&m)
		case m := <-l.events:
			l.step(&m)
		case <-tick.C:
			l.drainEvents()
			l.step(&message{event: Event{Kind: Tick}})
		}
	}
}

// drainEvents processes the other events that are already in the channel. After a
// pause of the node both queues are full, and arrivals decided first would be
// refused although slots are free.
func (l *lane) drainEvents() {
	for range len(l.events) {
		m := <-l.events
		l.step(&m)
	}
}

func (l *lane) step(m *message) {
	if m.processed != nil {
		defer close(m.processed)
	}
	if m.call != nil && !l.enter(m) {
		return
	}
	l.out = l.core.Step(l.clock.Now(), &m.event, l.out[:0])
	for i := range l.out {
		l.deliver(&l.out[i])
	}
	if m.event.Kind == Finish {
		l.freeHandle(m.call.handle)
	}
	l.handlesInUse.Store(int64(len(l.calls) - len(l.freeHandles)))
	l.waiting.Store(int64(l.core.Waiting()))
}

// enter sets the event's handle. It returns false if the event needs no decision.
func (l *lane) enter(m *message) bool {
	c := m.call
	switch {
	case m.event.Kind == Arrive && c.withdrawn:
		c.decisions <- Decision{Verdict: Withdrawn, Reason: ReasonCallerGone}
		return false
	case m.event.Kind == Arrive:
		c.handle = l.allocHandle(c)
	case c.handle == noHandle:
		// Withdraw overtook Arrive through the other queue. If it were dropped,
		// the request would stay queued after its caller has left.
		c.withdrawn = true
		return false
	case l.calls[c.handle] != c:
		return false // already decided; the handle may have been reused
	}
	m.event.Handle = c.handle
	return true
}

// deliver sends the decision to the request. It never blocks: a request gets at
// most two decisions before it leaves the lane, and its channel has room for both.
func (l *lane) deliver(d *Decision) {
	l.calls[d.Handle].decisions <- *d
	if d.Verdict == Refuse || d.Verdict == Withdrawn {
		l.freeHandle(d.Handle)
	}
}

func (l *lane) allocHandle(c *call) Handle {
	if n := len(l.freeHandles); n > 0 {
		h := l.freeHandles[n-1]
		l.freeHandles = l.freeHandles[:n-1]
		l.calls[h] = c
		return h
	}
	l.calls = append(l.calls, c)
	return Handle(len(l.calls) - 1)
}

func (l *lane) freeHandle(h Handle) {
	l.calls[h] = nil
	l.freeHandles = append(l.freeHandles, h)
}

// decide submits a request to the lane and returns the final decision. When ctx
// ends the request is withdrawn, but it may have been admitted just before.
func (l *lane) decide(ctx context.Context, a *Arrival, onQueue func(Decision)) (*call, Decision) {
	c := &call{handle: noHandle, decisions: make(chan Decision, 2)}
	if !l.ring.Offer(message{event: Event{Kind: Arrive, Arrival: *a}, call: c}) {
		return c, Decision{Verdict: Refuse, Kind: outcome.Overloaded, Reason: ReasonLaneFull, RetryAfter: time.Second}
	}
	done := ctx.Done()
	for {
		select {
		case d := <-c.decisions:
			if d.Verdict != Queue {
				return c, d
			}
			onQueue(d)
		case <-done:
			done = nil // the lane replies with Withdrawn, or has already admitted it
			l.send(message{event: Event{Kind: Withdraw}, call: c})
		case <-l.stopped:
			return c, Decision{Verdict: Refuse, Kind: outcome.ShuttingDown, Reason: ReasonShuttingDown, RetryAfter: time.Second}
		}
	}
}

// send sends an event to the lane and blocks while the channel is full.
func (l *lane) send(m message) {
	select {
	case l.events <- m:
	case <-l.stopped:
	}
}

// sendAndWait sends an event and returns when the lane has processed it.
func (l *lane) sendAndWait(m message) {
	m.processed = make(chan struct{})
	l.send(m)
	select {
	case <-m.processed:
	case <-l.stopped:
	}
}
