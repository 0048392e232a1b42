package once

import (
	"bytes"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
)

// KeyStateHeader reports whether the answer is from this try or a replay of an
// earlier one. In a request, KeyStateFirst is the caller's assertion that no
// other try with this key or ticket was sent, nor will be before this one is
// answered.
const KeyStateHeader = "Chervilloom-Key-State"

// The values of KeyStateHeader.
const (
	KeyStateFirst  = "first"
	KeyStateRepeat = "repeat"
)

// TicketHeader contains the ticket of a request and is echoed in the answer.
const TicketHeader = "Chervilloom-Ticket"

// frameOverheadBytes is the number of bytes counted per stored frame in addition to
// its data.
const frameOverheadBytes = 64

// recorder forwards an answer and stores a copy of up to limit bytes. It continues
// to record after the caller has disconnected, so that a repeat after a lost
// answer gets this one instead of a second run.
type recorder struct {
	w      answer.Writer
	ticket string
	limit  int
	onEnd  func(o outcome.Outcome, kept *keptAnswer, size int, failure *outcome.Error)
	cancel func() // cancels the run; called when its answer is of no use any more

	kept       keptAnswer
	size       int
	overLimit  bool
	callerGone bool
	started    bool
	finished   bool
}

// Start implements answer.Writer.
func (r *recorder) Start(h answer.Head) error {
	r.started = true
	r.kept.Head = h
	r.kept.Head.Header = h.Header.Clone()
	r.callerGone = r.w.Start(withKeyState(h, KeyStateFirst, r.ticket)) != nil
	r.cancelIfUseless()
	return nil
}

// Frame implements answer.Writer.
func (r *recorder) Frame(f answer.Frame) error {
	r.store(f)
	if !r.callerGone {
		r.callerGone = r.w.Frame(f) != nil
	}
	r.cancelIfUseless()
	return nil
}

// Finish implements answer.Writer. It updates the memory before it finishes the
// caller's answer: a repeat sent on receipt of the answer must not be refused as
// "in progress".
func (r *recorder) Finish(e answer.End) {
	if r.finished {
		return
	}
	r.finished = true
	if !e.Complete {
		e.Error = r.failure(e.Error)
	}
	r.kept.End = e
	r.onEnd(r.outcome(e))
	r.w.Finish(e)
}

// failure returns the error to report. If an answer had started, "not-run" is
// replaced by "unknown".
func (r *recorder) failure(e *outcome.Error) *outcome.Error {
	switch {
	case e == nil:
		return outcome.FromError(errNoReason)
	case r.started && e.Outcome == outcome.NotRun:
		// If an answer has started, the call may have run.
		c := *e
		c.Outcome = outcome.Unknown
		return &c
	}
	return e
}

func (r *recorder) outcome(e answer.End) (outcome.Outcome, *keptAnswer, int, *outcome.Error) {
	switch {
	case e.Complete && r.overLimit:
		return outcome.Ran, nil, 0, nil
	case e.Complete:
		return outcome.Ran, &r.kept, r.size, nil
	}
	return e.Error.Outcome, nil, 0, e.Error
}

func (r *recorder) store(f answer.Frame) {
	r.size += len(f.Data) + len(f.ID) + frameOverheadBytes
	if r.overLimit || r.size > r.limit {
		r.overLimit = true
		r.kept.Frames = nil
		return
	}
	f.Data = bytes.Clone(f.Data)
	r.kept.Frames = append(r.kept.Frames, f)
}

// cancelIfUseless cancels a stream whose caller has disconnected and which is too long
// to be stored. Other calls continue, because their outcome alone is useful.
func (r *recorder) cancelIfUseless() {
	if r.callerGone && r.overLimit && r.kept.Head.Stream {
		r.cancel()
	}
}

// withKeyState returns the head with the KeyStateHeader and the TicketHeader set.
func withKeyState(h answer.Head, state, ticket string) answer.Head {
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

// replay writes a stored answer to w.
func replay(w answer.Writer, kept *keptAnswer, ticket string) {
	if err := w.Start(withKeyState(kept.Head, KeyStateRepeat, ticket)); err != nil {
		w.Finish(kept.End)
		return
	}
	for _, f := range kept.Frames {
		if w.Frame(f) != nil {
			break
		}
	}
	w.Finish(kept.End)
}
