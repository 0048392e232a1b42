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
	// ringSize is how many arrivals may wait for a lane's goroutine. A decision
	// takes about a microsecond, so a full ring means that the node's
	// processors are used up: the arrival is refused at once, "not run".
	ringSize = 4096
	// endsSize is how many other events may wait. When it is full the sender
	// waits for room: a lost Finish would hold a slot for ever. The lane's
	// goroutine never waits for a sender, so there is no circle.
	endsSize = 1024
)

// core is the pure part of a lane.
type core interface {
	Step(now clock.Instant, ev *Event, out []Decision) []Decision
	Waiting() int
}

// message carries an event to the lane's goroutine.
type message struct {
	event Event
	call  *call         // nil: Tick and Replan
	done  chan struct{} // closed when the event was taken; may be nil
}

// call is the lane's side of one request.
type call struct {
	handle  Handle // none until it has arrived
	left    bool   // withdrawn before it arrived
	decided chan Decision
	// handle and left belong to the lane's goroutine.
}

// lane owns a core and feeds it from a ring. Its goroutine is the only one that
// touches the core.
type lane struct {
	name    string
	core    core
	clock   clock.Clock
	ring    *ring.Queue[message] // arrivals
	ends    chan message         // all other events
	stopped chan struct{}
	calls   []*call  // by handle
	free    []Handle // handles not in use
	out     []Decision
	held    atomic.Int64 // handles in use
	waiting atomic.Int64 // requests that wait
}

func newLane(name string, c core, clk clock.Clock) *lane {
	return &lane{
		name: name, core: c, clock: clk,
		ring:    ring.NewQueue[message](ringSize),
		ends:    make(chan message, endsSize),
		stopped: make(chan struct{}),
	}
}

// run decides until ctx ends. Requests that wait then are refused.
func (l *lane) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.ring.C():
			l.takeEnds()
			l.step(&m)
		case m := <-l.ends:
			l.step(&m)
		case <-tick.C:
			l.takeEnds()
			l.step(&message{event: Event{Kind: Tick}})
		}
	}
}

// takeEnds takes the ends that are at hand. After a node stood still both rings are full:
// arrivals that were judged first would be refused for slots that are free.
func (l *lane) takeEnds() {
	for range len(l.ends) {
		m := <-l.ends
		l.step(&m)
	}
}

func (l *lane) step(m *message) {
	if m.done != nil {
		defer close(m.done)
	}
	if m.call != nil && !l.enter(m) {
		return
	}
	l.out = l.core.Step(l.clock.Now(), &m.event, l.out[:0])
	for i := range l.out {
		l.deliver(&l.out[i])
	}
	if m.event.Kind == Finish {
		l.put(m.call.handle)
	}
	l.held.Store(int64(len(l.calls) - len(l.free)))
	l.waiting.Store(int64(l.core.Waiting()))
}

// enter sets the event's handle. It reports false when there is nothing to
// decide.
func (l *lane) enter(m *message) bool {
	c := m.call
	switch {
	case m.event.Kind == Arrive && c.left:
		c.decided <- Decision{Verdict: Withdrawn, Reason: ReasonCallerGone}
		return false
	case m.event.Kind == Arrive:
		c.handle = l.take(c)
	case c.handle == none:
		// Withdraw came by the other ring and overtook Arrive. Lost here, the
		// request would wait in the queue for a caller who has left.
		c.left = true
		return false
	case l.calls[c.handle] != c:
		return false // its final decision was on the way already; the handle may be another's by now
	}
	m.event.Handle = c.handle
	return true
}

// deliver tells the request what was decided. A call's channel holds the two
// decisions that a request gets at most before it leaves the lane, so this
// never blocks.
func (l *lane) deliver(d *Decision) {
	l.calls[d.Handle].decided <- *d
	if d.Verdict == Refuse || d.Verdict == Withdrawn {
		l.put(d.Handle)
	}
}

func (l *lane) take(c *call) Handle {
	if n := len(l.free); n > 0 {
		h := l.free[n-1]
		l.free = l.free[:n-1]
		l.calls[h] = c
		return h
	}
	l.calls = append(l.calls, c)
	return Handle(len(l.calls) - 1)
}

func (l *lane) put(h Handle) {
	l.calls[h] = nil
	l.free = append(l.free, h)
}

// ask puts a request to the lane and returns the final decision about it. When
// ctx ends the request is withdrawn; it may have been admitted just before.
func (l *lane) ask(ctx context.Context, a *Arrival, onQueue func(Decision)) (*call, Decision) {
	c := &call{handle: none, decided: make(chan Decision, 2)}
	if !l.ring.Offer(message{event: Event{Kind: Arrive, Arrival: *a}, call: c}) {
		return c, Decision{Verdict: Refuse, Kind: outcome.Overloaded, Reason: ReasonLaneFull, RetryAfter: time.Second}
	}
	done := ctx.Done()
	for {
		select {
		case d := <-c.decided:
			if d.Verdict != Queue {
				return c, d
			}
			onQueue(d)
		case <-done:
			done = nil // the lane answers with Withdrawn, or has admitted it
			l.tell(message{event: Event{Kind: Withdraw}, call: c})
		case <-l.stopped:
			return c, Decision{Verdict: Refuse, Kind: outcome.ShuttingDown, Reason: ReasonShuttingDown, RetryAfter: time.Second}
		}
	}
}

// tell puts an event that must not be lost.
func (l *lane) tell(m message) {
	select {
	case l.ends <- m:
	case <-l.stopped:
	}
}

// tellAndWait puts an event and returns when the lane has taken it.
func (l *lane) tellAndWait(m message) {
	m.done = make(chan struct{})
	l.tell(m)
	select {
	case <-m.done:
	case <-l.stopped:
	}
}
