package admit

import (
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

// meter measures an answer on its way to the caller.
type meter struct {
	next   answer.Writer
	clock  clock.Clock
	from   clock.Instant
	stream bool
	first  time.Duration
	total  time.Duration
	tokens int
	end    answer.End
	status int
}

// Start passes the head on.
func (m *meter) Start(h answer.Head) error {
	m.status = h.Status
	m.stream = h.Stream
	return m.next.Start(h)
}

// Frame passes the frame on.
func (m *meter) Frame(f answer.Frame) error {
	if m.tokens == 0 {
		m.first = m.clock.Now().Sub(m.from)
	}
	m.tokens++
	return m.next.Frame(f)
}

// Finish passes the end on.
func (m *meter) Finish(e answer.End) {
	m.total = m.clock.Now().Sub(m.from)
	m.end = e
	m.next.Finish(e)
}

// firstServerError is the lowest status that tells nothing of the time a whole
// answer takes.
const firstServerError = 400

func (m *meter) completion() Completion {
	c := Completion{Total: m.total, Answered: m.end.Whole && m.status < firstServerError}
	if m.stream {
		c.FirstToken, c.Tokens = m.first, m.tokens
	}
	if e := m.end.Error; e != nil {
		c.Shed = e.Outcome == outcome.NotRun && (e.Kind == outcome.Overloaded || e.Kind == outcome.NoCapacity)
	}
	return c
}
