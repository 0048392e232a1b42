package dispatch

import (
	"context"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/view"
)

// serveResume goes on with a stream that broke between the caller and the
// node it came through. The event id holds all that is needed.
func (d *Dispatcher) serveResume(ctx context.Context, s *session) *outcome.Error {
	id, err := relay.ParseEventID(s.req.ResumeID)
	if err != nil || !relay.Owns(s.req.Organisation, id.Stream) {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the event id names no stream of this organisation",
			"send the id of the last event received, unchanged").WithCause(err)
	}
	snap := d.opt.View.Snapshot()
	g := groupOf(snap, id)
	switch {
	case g == nil:
		return answerCut("the group that answered is gone or has changed; the rest of the answer is lost", nil)
	case g.Zone == snap.Zone:
		return d.resumeHere(ctx, s, g, id)
	case s.req.Hops > 0 || d.opt.Peers == nil:
		return answerCut("the group that answered is in another availability zone", nil)
	}
	s.next, s.lastID = id.Offset+1, s.req.ResumeID
	return d.resumeElsewhere(ctx, s, fleet.VM(""), answerCut("no node of the endpoint's availability zone can be reached", nil))
}

func (d *Dispatcher) resumeHere(ctx context.Context, s *session, g *view.Group, id relay.EventID) *outcome.Error {
	s.next = id.Offset + 1
	guarded, unwatch := d.guard.watch(ctx, s, g)
	defer unwatch()
	f := &following{d: d, s: s, g: g, t: &try{}, st: relay.NewStream(id.StreamRef, s.next)}
	resp, cut := f.reopen(ctx, guarded, nil)
	if cut != nil {
		return cut
	}
	f.head = answer.Head{
		Status: resp.StatusCode, Header: incoming(resp), Stream: true,
		Endpoint: id.VM, Group: id.Group, Generation: id.Generation,
	}
	return f.run(ctx, guarded, resp)
}
