package once

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// Peers passes requests to other nodes. Relay returns an error, with w
// untouched, when no answer began, and nil when one began and w.Finish was
// called.
type Peers interface {
	Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error
}

// refusalHeader marks an answer that carries a refusal of the holder to the
// node that passed the try on. Only a refusal that comes this way is the
// holder's word on the call. One that the link made up on this side, or a
// filter before the holder's memory, tells of this try alone: "not-run" in it
// would be false when an earlier try has run.
const refusalHeader = "Chervilloom-Key-Refusal"

// refusal is an outcome.Error between two nodes.
type refusal struct {
	Kind       outcome.Kind    `cbor:"1,keyasint"`
	Outcome    outcome.Outcome `cbor:"2,keyasint"`
	Message    string          `cbor:"3,keyasint"`
	Remedy     string          `cbor:"4,keyasint"`
	RetryAfter time.Duration   `cbor:"5,keyasint,omitempty"`
}

// sealing is the holder's side: it writes a refusal as an answer.
type sealing struct {
	answer.Writer
	started bool
}

// Start implements answer.Writer.
func (s *sealing) Start(h answer.Head) error {
	s.started = true
	return s.Writer.Start(h)
}

// Finish implements answer.Writer.
func (s *sealing) Finish(e answer.End) {
	if s.started || e.Whole || e.Error == nil {
		s.Writer.Finish(e)
		return
	}
	b, err := cbor.Marshal(refusal{e.Error.Kind, e.Error.Outcome, e.Error.Message, e.Error.Remedy, e.Error.RetryAfter})
	if err != nil { // strings and a number
		panic(err)
	}
	// A node that left hears nothing; Finish is called all the same.
	s.Writer.Start(answer.Head{Status: e.Error.Kind.Status(), Header: http.Header{refusalHeader: {"1"}}})
	s.Writer.Frame(answer.Frame{Data: b})
	s.Writer.Finish(answer.End{Whole: true, Frames: 1, Bytes: uint64(len(b)), Hash: xxhash.Sum64(b)})
}

// unsealing is the side that passed the try on: it reads refusals back.
type unsealing struct {
	w       answer.Writer
	refused bool
	body    bytes.Buffer
	end     answer.End
}

// Start implements answer.Writer.
func (u *unsealing) Start(h answer.Head) error {
	if h.Header.Get(refusalHeader) != "" {
		u.refused = true
		return nil
	}
	return u.w.Start(h)
}

// Frame implements answer.Writer.
func (u *unsealing) Frame(f answer.Frame) error {
	if u.refused {
		u.body.Write(f.Data)
		return nil
	}
	return u.w.Frame(f)
}

// Finish implements answer.Writer.
func (u *unsealing) Finish(e answer.End) { u.end = e }

// refusal returns the holder's refusal, or nil when it gave none that is whole.
func (u *unsealing) refusal() *outcome.Error {
	var r refusal
	if !u.refused || !u.end.Whole || cbor.Unmarshal(u.body.Bytes(), &r) != nil {
		return nil
	}
	return outcome.New(r.Kind, r.Outcome, r.Message, r.Remedy).After(r.RetryAfter)
}

// relay passes the try to the life that holds the call's state.
func (t *try) relay(ctx context.Context, act Action) {
	if e := t.lost(act.Holder); e != nil {
		t.refuse(known(t.asVouched(e), act.Ran))
		return
	}
	passed := *t.req
	passed.Stage = request.StageKey
	passed.Hops++
	passed.From = t.k.opt.Self.VM
	u := &unsealing{w: t.w}
	err := t.k.opt.Peers.Relay(ctx, act.Holder.VM, &passed, u)
	switch told := u.refusal(); {
	case told != nil:
		t.refuse(told)
	case err != nil || u.refused:
		t.refuse(known(t.notAnswered(err), act.Ran))
	default:
		t.w.Finish(u.end)
	}
}

// notAnswered is what is true when the holder did not answer: that this try did
// not leave does not tell that an earlier one did not run.
func (t *try) notAnswered(err *outcome.Error) *outcome.Error {
	switch {
	case err == nil:
		return holderAway()
	case err.Outcome == outcome.NotRun:
		return t.asVouched(holderAway().WithCause(err))
	}
	return holderAway().WithCause(err)
}

// asVouched returns e as "not-run" when this try did not leave and the caller
// vouches that it is the first with its ticket. A key that is passed on has a
// row, so it has been tried before, whatever the caller says.
func (t *try) asVouched(e *outcome.Error) *outcome.Error {
	if t.mechanism != byTicket || !firstTry(t.req) {
		return e
	}
	c := *e
	c.Outcome = outcome.NotRun
	c.Remedy = "ask for a new ticket and send the call with it"
	return &c
}

// known returns e, or that the call ran when the row told so.
func known(e *outcome.Error, ran bool) *outcome.Error {
	if ran {
		return answerGone().WithCause(e)
	}
	return e
}

// lost returns why the holder cannot be asked, or nil.
func (t *try) lost(to fleet.Node) *outcome.Error {
	if t.req.Stage == request.StageKey {
		// Another node believed this life to be the holder: passing it on again
		// could go in circles.
		return holderLost()
	}
	if to.VM == t.k.opt.Self.VM {
		return holderLost() // another life of this node
	}
	n := findNode(t.k.opt.View.Snapshot(), to.VM)
	switch {
	case n == nil:
		return nil // not seen yet, or no longer: asking tells
	case n.Incarnation > to.Incarnation, n.Node == to && n.State == view.NodeLeft:
		return holderLost()
	case n.State == view.NodeDead:
		return holderAway()
	}
	return nil
}

func findNode(s *view.Snapshot, vm fleet.VM) *view.Node {
	for i := range s.Nodes {
		if s.Nodes[i].VM == vm {
			return &s.Nodes[i]
		}
	}
	return nil
}
