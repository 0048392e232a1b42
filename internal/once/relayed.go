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

// Peers relays requests to other nodes. Relay returns an error, without having
// used w, if no answer started, and nil if one started and w.Finish was called.
type Peers interface {
	Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error
}

// refusalHeader marks an answer that contains a refusal by the holder, sent to the
// node that forwarded the try. Only such a refusal is authoritative for the call.
// An error generated locally by the link, or by a filter before the holder's
// memory, refers to this try only: its "not-run" would be wrong if an earlier try
// has run.
const refusalHeader = "Chervilloom-Key-Refusal"

// refusal is the encoding of an outcome.Error between two nodes.
type refusal struct {
	Kind       outcome.Kind    `cbor:"1,keyasint"`
	Outcome    outcome.Outcome `cbor:"2,keyasint"`
	Message    string          `cbor:"3,keyasint"`
	Remedy     string          `cbor:"4,keyasint"`
	RetryAfter time.Duration   `cbor:"5,keyasint,omitempty"`
}

// refusalEncoder is the answer.Writer on the holder: it encodes a refusal as an answer.
type refusalEncoder struct {
	answer.Writer
	started bool
}

// Start implements answer.Writer.
func (s *refusalEncoder) Start(h answer.Head) error {
	s.started = true
	return s.Writer.Start(h)
}

// Finish implements answer.Writer.
func (s *refusalEncoder) Finish(e answer.End) {
	if s.started || e.Complete || e.Error == nil {
		s.Writer.Finish(e)
		return
	}
	b, err := cbor.Marshal(refusal{e.Error.Kind, e.Error.Outcome, e.Error.Message, e.Error.Remedy, e.Error.RetryAfter})
	if err != nil { // unreachable: the fields are strings and a number
		panic(err)
	}
	// Errors are ignored: if the forwarding node is gone, Finish must still be called.
	s.Writer.Start(answer.Head{Status: e.Error.Kind.Status(), Header: http.Header{refusalHeader: {"1"}}})
	s.Writer.Frame(answer.Frame{Data: b})
	s.Writer.Finish(answer.End{Complete: true, Frames: 1, Bytes: uint64(len(b)), Hash: xxhash.Sum64(b)})
}

// refusalDecoder is the answer.Writer on the forwarding node: it decodes refusals.
type refusalDecoder struct {
	w       answer.Writer
	refused bool
	body    bytes.Buffer
	end     answer.End
}

// Start implements answer.Writer.
func (u *refusalDecoder) Start(h answer.Head) error {
	if h.Header.Get(refusalHeader) != "" {
		u.refused = true
		return nil
	}
	return u.w.Start(h)
}

// Frame implements answer.Writer.
func (u *refusalDecoder) Frame(f answer.Frame) error {
	if u.refused {
		u.body.Write(f.Data)
		return nil
	}
	return u.w.Frame(f)
}

// Finish implements answer.Writer.
func (u *refusalDecoder) Finish(e answer.End) { u.end = e }

// refusal returns the holder's refusal, or nil if no complete one was received.
func (u *refusalDecoder) refusal() *outcome.Error {
	var r refusal
	if !u.refused || !u.end.Complete || cbor.Unmarshal(u.body.Bytes(), &r) != nil {
		return nil
	}
	return outcome.New(r.Kind, r.Outcome, r.Message, r.Remedy).WithRetryAfter(r.RetryAfter)
}

// forward forwards the try to the node that holds the state of the call.
func (t *try) forward(ctx context.Context, act Action) {
	if e := t.holderLostError(act.Holder); e != nil {
		t.refuse(ranIfRecorded(t.notRunIfFirst(e), act.Ran))
		return
	}
	forwarded := *t.req
	forwarded.Stage = request.StageKey
	forwarded.Hops++
	forwarded.ForwardedBy = t.k.opt.Self.VM
	u := &refusalDecoder{w: t.w}
	err := t.k.opt.Peers.Relay(ctx, act.Holder.VM, &forwarded, u)
	switch holderRefusal := u.refusal(); {
	case holderRefusal != nil:
		t.refuse(holderRefusal)
	case err != nil || u.refused:
		t.refuse(ranIfRecorded(t.noAnswerError(err), act.Ran))
	default:
		t.w.Finish(u.end)
	}
}

// noAnswerError returns the error to report when the holder did not answer. Even if
// this try was not sent, an earlier one may have run.
func (t *try) noAnswerError(err *outcome.Error) *outcome.Error {
	switch {
	case err == nil:
		return holderUnreachable()
	case err.Outcome == outcome.NotRun:
		return t.notRunIfFirst(holderUnreachable().WithCause(err))
	}
	return holderUnreachable().WithCause(err)
}

// notRunIfFirst returns e with outcome "not-run" if the caller asserts that this try is
// the first one with its ticket; use it only if the try was not sent. It doesn't
// apply to keys: a forwarded key has a row, so there was an earlier try, whatever
// the caller asserts.
func (t *try) notRunIfFirst(e *outcome.Error) *outcome.Error {
	if t.mechanism != mechanismTicket || !isFirstTry(t.req) {
		return e
	}
	c := *e
	c.Outcome = outcome.NotRun
	c.Remedy = "ask for a new ticket and send the call with it"
	return &c
}

// ranIfRecorded returns e, or an error with outcome "ran" if the row says that the call ran.
func ranIfRecorded(e *outcome.Error, ran bool) *outcome.Error {
	if ran {
		return answerNotStored().WithCause(e)
	}
	return e
}

// holderLostError returns an error if the try cannot be forwarded to the holder, or nil.
func (t *try) holderLostError(to fleet.Node) *outcome.Error {
	if t.req.Stage == request.StageKey {
		// Another node forwarded the try to this incarnation as the holder;
		// forwarding it again could loop.
		return holderLost()
	}
	if to.VM == t.k.opt.Self.VM {
		return holderLost() // another incarnation of this node
	}
	n := findNode(t.k.opt.View.Snapshot(), to.VM)
	switch {
	case n == nil:
		return nil // not in the view; try to reach it
	case n.Incarnation > to.Incarnation, n.Node == to && n.State == view.NodeLeft:
		return holderLost()
	case n.State == view.NodeDead:
		return holderUnreachable()
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
