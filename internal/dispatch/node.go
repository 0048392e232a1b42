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

// sendNode forwards the request to a node of another availability zone. That node checks
// the group's members itself, since it is in their zone.
func (d *Dispatcher) sendNode(ctx context.Context, s *session, to fleet.VM, t *try) *outcome.Error {
	if d.opt.Peers == nil {
		return outcome.New(outcome.NoCapacity, outcome.NotRun, "no other node can be reached", "send the request again").WithRetryAfter(time.Second)
	}
	w := &peerWriter{s: s, t: t, d: d}
	if err := d.opt.Peers.Relay(ctx, to, d.forwardedRequest(s.req), w); err != nil {
		if ctx.Err() != nil {
			return d.stoppedError(ctx, err.Outcome).WithCause(err)
		}
		t.endpointFailed = err.Kind == outcome.EndpointFailed
		return err
	}
	err := w.result()
	if err != nil && err.Kind == outcome.AnswerCut && s.lastEventID != "" && s.req.Stream {
		return d.resumeElsewhere(ctx, s, to, err)
	}
	return err
}

func (d *Dispatcher) forwardedRequest(req *request.Request) *request.Request {
	c := *req
	c.Stage = request.StageDispatch
	c.Hops++
	c.ForwardedBy = d.opt.View.Snapshot().Self.VM
	return &c
}

// peerWriter receives a response from another node. It does not finish the caller's
// response, because an incomplete one may be continued elsewhere. A non-streaming
// response is buffered up to AnswerBufferBytes bytes, like that of an endpoint, so that the
// caller has received nothing if the link fails within it.
type peerWriter struct {
	d          *Dispatcher
	s          *session
	t          *try
	buffered   *reply // nil: the response is forwarded as it arrives
	end        *answer.End
	frameCount uint64
	err        *outcome.Error // the caller disconnected, or a frame is missing
}

// Start starts the caller's response, or continues one that has started.
func (p *peerWriter) Start(h answer.Head) error {
	p.t.markFirstByte(p.d.opt.Clock.Now())
	if !h.Stream && mediaType(h.Header) != eventStream {
		p.buffered = &reply{head: h}
		return nil
	}
	return p.keepError(p.s.start(h))
}

// Frame forwards or buffers a frame.
func (p *peerWriter) Frame(f answer.Frame) error {
	p.frameCount++
	if p.buffered == nil {
		p.t.tokens++
		return p.keepError(p.s.frame(f))
	}
	p.buffered.data = append(p.buffered.data, f.Data...)
	if len(p.buffered.data) <= p.d.opt.AnswerBufferBytes {
		return nil
	}
	return p.keepError(p.flush())
}

// flush writes the buffered data; subsequent frames are forwarded as they arrive.
func (p *peerWriter) flush() *outcome.Error {
	r := p.buffered
	p.buffered = nil
	if r == nil {
		return nil
	}
	if err := p.s.start(r.head); err != nil || len(r.data) == 0 {
		return err
	}
	return p.s.frame(answer.Frame{Offset: p.s.bytes, Data: r.data})
}

func (p *peerWriter) keepError(err *outcome.Error) error {
	if err == nil {
		return nil
	}
	p.err = err
	return err
}

// Finish stores the end of the response.
func (p *peerWriter) Finish(e answer.End) { p.end = &e }

// result returns nil if the response was complete, and its error otherwise.
func (p *peerWriter) result() *outcome.Error {
	switch {
	case p.err != nil:
		return p.err
	case p.end == nil:
		return answerCutError("the other node's answer has no end", nil)
	case p.end.Complete && p.end.Frames == p.frameCount:
		return p.flush()
	case p.end.Error != nil:
		return p.end.Error
	}
	return answerCutError("a part of the other node's answer is missing", nil)
}

// resumeElsewhere resumes a stream through other nodes of the endpoint's availability
// zone.
func (d *Dispatcher) resumeElsewhere(ctx context.Context, s *session, lost fleet.VM, cause *outcome.Error) *outcome.Error {
	id, err := relay.ParseEventID(s.lastEventID)
	if err != nil {
		return cause
	}
	snap := d.opt.View.Snapshot()
	g := findGroup(snap, id)
	if g == nil {
		return cause
	}
	for _, n := range snap.Nodes {
		if n.Zone != g.Zone || n.State != view.NodeAlive || n.VM == lost {
			continue
		}
		err := d.resumeAtNode(ctx, s, n.VM)
		if err == nil || ctx.Err() != nil || s.callerGone {
			return err
		}
		cause = latestCut(cause, err)
	}
	return cause
}

func (d *Dispatcher) resumeAtNode(ctx context.Context, s *session, n fleet.VM) *outcome.Error {
	req := d.forwardedRequest(s.req)
	req.ResumeID = s.lastEventID
	w := &peerWriter{s: s, t: &try{}, d: d}
	if err := d.opt.Peers.Relay(ctx, n, req, w); err != nil {
		return err
	}
	return w.result()
}

// latestCut returns newer if it reports a cut response, and first otherwise.
func latestCut(first, newer *outcome.Error) *outcome.Error {
	if newer.Kind == outcome.AnswerCut {
		return newer
	}
	return first
}

func findGroup(snap *view.Snapshot, id relay.EventID) *view.Group {
	for i := range snap.Groups {
		g := &snap.Groups[i]
		if g.ID == id.Group && g.Generation == id.Generation && leader(g).VM == id.VM {
			return g
		}
	}
	return nil
}
