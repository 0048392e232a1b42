package dispatch

import (
	"context"
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/view"
)

// serveResume continues a stream after the connection between the caller and its node
// broke. The event ID contains everything needed.
func (d *Dispatcher) serveResume(ctx context.Context, s *session) *outcome.Error {
	id, err := relay.ParseEventID(s.req.ResumeID)
	if err != nil || !relay.OwnsStream(s.req.Organisation, id.Stream) {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the event id names no stream of this organisation",
			"send the id of the last event received, unchanged").WithCause(err)
	}
	s.nextOffset, s.lastEventID = id.Offset+1, s.req.ResumeID
	snap := d.opt.View.Snapshot()
	g := findGroup(snap, id)
	if g == nil {
		return answerCutError("the group that answered is gone or has changed; the rest of the answer is lost", nil)
	}
	origin := relay.RequestingNode(id.Stream)
	if done, err := d.resumeAtOrigin(ctx, s, snap, origin); done {
		return err
	}
	if g.Zone == snap.Zone {
		return d.resumeInZone(ctx, s, g)
	}
	if s.req.Hops > 0 || d.opt.Peers == nil {
		return answerCutError("the group that answered is in another availability zone", nil)
	}
	return d.resumeElsewhere(ctx, s, origin, answerCutError("no node of the endpoint's availability zone can be reached", nil))
}

// resumeAtOrigin forwards the request to the node that started the stream: that node may
// still keep the stream, and would cancel it while another node reads it. It reports
// false if that node is this one or cannot serve the request.
func (d *Dispatcher) resumeAtOrigin(ctx context.Context, s *session, snap *view.Snapshot, origin fleet.VM) (done bool, err *outcome.Error) {
	if s.req.Hops > 0 || d.opt.Peers == nil || origin == snap.Self.VM || !isAlive(snap, origin) {
		return false, nil
	}
	if !d.nodeResponds(ctx, origin) {
		return false, nil
	}
	err = d.resumeAtNode(ctx, s, origin)
	if err == nil || ctx.Err() != nil || s.started {
		return true, err
	}
	return false, nil
}

// nodeCheckTimeout bounds the liveness check of the node that may keep a stream.
// Membership lists a dead node as alive for some seconds, and connecting to it takes as
// long to fail. The caller's stream would stall meanwhile, although this node can
// continue it.
const nodeCheckTimeout = 500 * time.Millisecond

func (d *Dispatcher) nodeResponds(ctx context.Context, vm fleet.VM) bool {
	if d.opt.NodeResponds == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, nodeCheckTimeout)
	defer cancel()
	return d.opt.NodeResponds(ctx, vm)
}

func isAlive(snap *view.Snapshot, id fleet.VM) bool {
	for i := range snap.Nodes {
		if snap.Nodes[i].VM == id {
			return snap.Nodes[i].State == view.NodeAlive
		}
	}
	return false
}

// resumeInZone resumes a stream of an engine in this availability zone, at the event
// after the session's last.
func (d *Dispatcher) resumeInZone(ctx context.Context, s *session, g *view.Group) *outcome.Error {
	id, err := relay.ParseEventID(s.lastEventID)
	if err != nil {
		return badRequestError(err)
	}
	guarded, unwatch := d.lossGuard.watch(ctx, s, g)
	defer unwatch()
	f := &streamRelay{d: d, s: s, g: g, t: &try{}, st: relay.NewStream(id.StreamRef, s.nextOffset), endpoint: d.newMemberRun(s.req, leader(g))}
	d.detached.remove(f.abandonedStream())
	resp, cut := f.resume(ctx, guarded, nil)
	if cut != nil {
		return cut
	}
	f.head = answer.Head{
		Status: resp.StatusCode, Header: incomingHeaders(resp), Stream: true,
		Endpoint: id.VM, Group: id.Group, Generation: id.Generation,
	}
	return f.run(ctx, guarded, resp)
}
