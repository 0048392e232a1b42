package dispatch

import (
	"context"
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// sendNode passes the request to a node of another availability zone. That
// node checks the group's members itself: it stands next to them.
func (d *Dispatcher) sendNode(ctx context.Context, s *session, to fleet.VM, t *try) *outcome.Error {
	if d.opt.Peers == nil {
		return outcome.New(outcome.NoCapacity, outcome.NotRun, "no other node can be reached", "send the request again").After(time.Second)
	}
	w := &peerWriter{s: s, t: t, d: d}
	if err := d.opt.Peers.Relay(ctx, to, d.passedOn(s.req), w); err != nil {
		if ctx.Err() != nil {
			return d.stopped(ctx, err.Outcome).WithCause(err)
		}
		t.blamed = err.Kind == outcome.EndpointFailed
		return err
	}
	err := w.ended()
	if err != nil && err.Kind == outcome.AnswerCut && s.lastID != "" && s.req.Stream {
		return d.resumeElsewhere(ctx, s, to, err)
	}
	return err
}

func (d *Dispatcher) passedOn(req *request.Request) *request.Request {
	c := *req
	c.Stage = request.StageDispatch
	c.Hops++
	c.From = d.opt.View.Snapshot().Self.VM
	return &c
}

// peerWriter takes an answer from another node. It does not finish the
// caller's answer: what the other node could not finish may go on elsewhere.
// An answer that is not a stream is held back up to the bound, as one of an
// endpoint is, so that a link that dies within it leaves the caller with nothing.
type peerWriter struct {
	d     *Dispatcher
	s     *session
	t     *try
	held  *reply // nil: the answer is passed on as it comes
	end   *answer.End
	count uint64
	err   *outcome.Error // the caller took no more, or a piece was missing
}

// Start opens the caller's answer, or goes on with it.
func (p *peerWriter) Start(h answer.Head) error {
	p.t.first(p.d.opt.Clock.Now())
	if !h.Stream && mediaType(h.Header) != eventStream {
		p.held = &reply{head: h}
		return nil
	}
	return p.keep(p.s.start(h))
}

// Frame passes on a piece, or holds it back.
func (p *peerWriter) Frame(f answer.Frame) error {
	p.count++
	if p.held == nil {
		p.t.tokens++
		return p.keep(p.s.frame(f))
	}
	p.held.held = append(p.held.held, f.Data...)
	if len(p.held.held) <= p.d.opt.AnswerBuffer {
		return nil
	}
	return p.keep(p.release())
}

// release passes on what was held back, and what follows as it comes.
func (p *peerWriter) release() *outcome.Error {
	r := p.held
	p.held = nil
	if r == nil {
		return nil
	}
	if err := p.s.start(r.head); err != nil || len(r.held) == 0 {
		return err
	}
	return p.s.frame(answer.Frame{Offset: p.s.bytes, Data: r.held})
}

func (p *peerWriter) keep(err *outcome.Error) error {
	if err == nil {
		return nil
	}
	p.err = err
	return err
}

// Finish keeps the end.
func (p *peerWriter) Finish(e answer.End) { p.end = &e }

// ended tells how the other node's answer ended.
func (p *peerWriter) ended() *outcome.Error {
	switch {
	case p.err != nil:
		return p.err
	case p.end == nil:
		return answerCut("the other node's answer has no end", nil)
	case p.end.Whole && p.end.Frames == p.count:
		return p.release()
	case p.end.Error != nil:
		return p.end.Error
	}
	return answerCut("a part of the other node's answer is missing", nil)
}

// resumeElsewhere goes on with a stream through other nodes of the endpoint's
// availability zone.
func (d *Dispatcher) resumeElsewhere(ctx context.Context, s *session, lost fleet.VM, cause *outcome.Error) *outcome.Error {
	id, err := relay.ParseEventID(s.lastID)
	if err != nil {
		return cause
	}
	snap := d.opt.View.Snapshot()
	g := groupOf(snap, id)
	if g == nil {
		return cause
	}
	for _, n := range snap.Nodes {
		if n.Zone != g.Zone || n.State != view.NodeAlive || n.VM == lost {
			continue
		}
		err := d.resumeAt(ctx, s, n.VM)
		if err == nil || ctx.Err() != nil || s.gone {
			return err
		}
		cause = worseCut(cause, err)
	}
	return cause
}

func (d *Dispatcher) resumeAt(ctx context.Context, s *session, n fleet.VM) *outcome.Error {
	req := d.passedOn(s.req)
	req.ResumeID = s.lastID
	w := &peerWriter{s: s, t: &try{}, d: d}
	if err := d.opt.Peers.Relay(ctx, n, req, w); err != nil {
		return err
	}
	return w.ended()
}

// worseCut keeps the first cut unless the newer error says more.
func worseCut(first, newer *outcome.Error) *outcome.Error {
	if newer.Kind == outcome.AnswerCut {
		return newer
	}
	return first
}

func groupOf(snap *view.Snapshot, id relay.EventID) *view.Group {
	for i := range snap.Groups {
		g := &snap.Groups[i]
		if g.ID == id.Group && g.Generation == id.Generation && leader(g).VM == id.VM {
			return g
		}
	}
	return nil
}
