package once

import (
	"bytes"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
)

// KeyStateHeader tells whether the answer is of this try or of an earlier one.
// In a request, KeyStateFirst is the caller's word that no other try with this
// key or ticket was sent, nor will be before this one is answered.
const KeyStateHeader = "Chervilloom-Key-State"

// The values of KeyStateHeader.
const (
	KeyStateFirst  = "first"
	KeyStateRepeat = "repeat"
)

// TicketHeader carries a ticket in a request and echoes it in the answer.
const TicketHeader = "Chervilloom-Ticket"

// frameOverhead is counted for each kept frame besides its data.
const frameOverhead = 64

// recorder passes an answer on and keeps a copy up to a bound. It goes on
// taking the answer when the caller has left: the repeat that follows a lost
// answer is given this one instead of a second run.
type recorder struct {
	w      answer.Writer
	ticket string
	limit  int
	onEnd  func(o outcome.Outcome, kept *keptAnswer, size int, failure *outcome.Error)
	cancel func() // stops the run; called when nobody can use its answer

	kept     keptAnswer
	size     int
	over     bool
	gone     bool
	started  bool
	finished bool
}

// Start implements answer.Writer.
func (r *recorder) Start(h answer.Head) error {
	r.started = true
	r.kept.Head = h
	r.kept.Head.Header = h.Header.Clone()
	r.gone = r.w.Start(marked(h, KeyStateFirst, r.ticket)) != nil
	r.stopUseless()
	return nil
}

// Frame implements answer.Writer.
func (r *recorder) Frame(f answer.Frame) error {
	r.keep(f)
	if !r.gone {
		r.gone = r.w.Frame(f) != nil
	}
	r.stopUseless()
	return nil
}

// Finish implements answer.Writer. The memory learns the end before the caller
// does: a repeat sent on receipt of the answer must not be told "in progress".
func (r *recorder) Finish(e answer.End) {
	if r.finished {
		return
	}
	r.finished = true
	if !e.Whole {
		e.Error = r.failure(e.Error)
	}
	r.kept.End = e
	r.onEnd(r.outcome(e))
	r.w.Finish(e)
}

// failure returns the error as far as it can be believed.
func (r *recorder) failure(e *outcome.Error) *outcome.Error {
	switch {
	case e == nil:
		return outcome.Of(errNoReason)
	case r.started && e.Outcome == outcome.NotRun:
		// An answer that began is no proof that nothing ran.
		c := *e
		c.Outcome = outcome.Unknown
		return &c
	}
	return e
}

func (r *recorder) outcome(e answer.End) (outcome.Outcome, *keptAnswer, int, *outcome.Error) {
	switch {
	case e.Whole && r.over:
		return outcome.Ran, nil, 0, nil
	case e.Whole:
		return outcome.Ran, &r.kept, r.size, nil
	}
	return e.Error.Outcome, nil, 0, e.Error
}

func (r *recorder) keep(f answer.Frame) {
	r.size += len(f.Data) + len(f.ID) + frameOverhead
	if r.over || r.size > r.limit {
		r.over = true
		r.kept.Frames = nil
		return
	}
	f.Data = bytes.Clone(f.Data)
	r.kept.Frames = append(r.kept.Frames, f)
}

// stopUseless ends a stream that has no reader and is too long to be kept. A
// plain call goes on: whether it ended well is worth knowing by itself.
func (r *recorder) stopUseless() {
	if r.gone && r.over && r.kept.Head.Stream {
		r.cancel()
	}
}

// marked returns the head with the key's state and the ticket.
func marked(h answer.Head, state, ticket string) answer.Head {
	h.Header = h.Header.Clone()
	if h.Header == nil {
		h.Header = make(map[string][]string, 2)
	}
	h.Header.Del(refusalHeader)
	h.Header.Set(KeyStateHeader, state)
	if ticket != "" {
		h.Header.Set(TicketHeader, ticket)
	}
	return h
}

// replay gives a kept answer again.
func replay(w answer.Writer, a *keptAnswer, ticket string) {
	if err := w.Start(marked(a.Head, KeyStateRepeat, ticket)); err != nil {
		w.Finish(a.End)
		return
	}
	for _, f := range a.Frames {
		if w.Frame(f) != nil {
			break
		}
	}
	w.Finish(a.End)
}
