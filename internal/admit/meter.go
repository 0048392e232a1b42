package admit

import (
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// meter measures an answer on its way to the caller.
type meter struct {
	next       answer.Writer
	clock      clock.Clock
	start      clock.Instant
	stream     bool
	firstFrame time.Duration
	total      time.Duration
	tokens     int
	end        answer.End
	status     int
}

// Start records the status and forwards the head.
func (m *meter) Start(h answer.Head) error {
	m.status = h.Status
	m.stream = h.Stream
	return m.next.Start(h)
}

// Frame counts the frame and forwards it.
func (m *meter) Frame(f answer.Frame) error {
	if m.tokens == 0 {
		m.firstFrame = m.clock.Now().Sub(m.start)
	}
	m.tokens++
	return m.next.Frame(f)
}

// Finish records the total time and forwards the end.
func (m *meter) Finish(e answer.End) {
	m.total = m.clock.Now().Sub(m.start)
	m.end = e
	m.next.Finish(e)
}

// firstErrorStatus is the lowest status whose answers are no sample of the time
// that a complete answer takes.
const firstErrorStatus = 400

func (m *meter) completion() Completion {
	c := Completion{Total: m.total, Answered: m.end.Complete && m.status < firstErrorStatus}
	if m.stream {
		c.FirstToken, c.Tokens = m.firstFrame, m.tokens
	}
	if e := m.end.Error; e != nil {
		c.EndpointRefused = e.Outcome == outcome.NotRun && (e.Kind == outcome.Overloaded || e.Kind == outcome.NoCapacity)
	}
	return c
}
