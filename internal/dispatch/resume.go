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

// serveResume goes on with a stream that broke between the caller and the
// node it came through. The event id holds all that is needed.
func (d *Dispatcher) serveResume(ctx context.Context, s *session) *outcome.Error {
	id, err := relay.ParseEventID(s.req.ResumeID)
	if err != nil || !relay.Owns(s.req.Organisation, id.Stream) {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the event id names no stream of this organisation",
			"send the id of the last event received, unchanged").WithCause(err)
	}
	s.next, s.lastID = id.Offset+1, s.req.ResumeID
	snap := d.opt.View.Snapshot()
	g := groupOf(snap, id)
	if g == nil {
		return answerCut("the group that answered is gone or has changed; the rest of the answer is lost", nil)
	}
	keeper := relay.NodeOf(id.Stream)
	if done, err := d.resumeAtKeeper(ctx, s, snap, keeper); done {
		return err
	}
	if g.Zone == snap.Zone {
		return d.resumeHere(ctx, s, g)
	}
	if s.req.Hops > 0 || d.opt.Peers == nil {
		return answerCut("the group that answered is in another availability zone", nil)
	}
	return d.resumeElsewhere(ctx, s, keeper, answerCut("no node of the endpoint's availability zone can be reached", nil))
}

// resumeAtKeeper passes the request to the node that asked for the stream: it
// may still keep it, and would cancel it behind another node's back. It reports
// false when that node is this one or cannot take the request.
func (d *Dispatcher) resumeAtKeeper(ctx context.Context, s *session, snap *view.Snapshot, keeper fleet.VM) (done bool, err *outcome.Error) {
	if s.req.Hops > 0 || d.opt.Peers == nil || keeper == snap.Self.VM || !alive(snap, keeper) {
		return false, nil
	}
	if !d.answers(ctx, keeper) {
		return false, nil
	}
	err = d.resumeAt(ctx, s, keeper)
	if err == nil || ctx.Err() != nil || s.begun {
		return true, err
	}
	return false, nil
}

// keeperAnswer bounds the wait for a sign of life of the node that may keep a
// stream. Membership believes in a dead node for some seconds, and a new link to
// it is given up only after as long: the caller's stream would stand still
// meanwhile, although this node can go on with it.
const keeperAnswer = 500 * time.Millisecond

func (d *Dispatcher) answers(ctx context.Context, vm fleet.VM) bool {
	if d.opt.Answers == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, keeperAnswer)
	defer cancel()
	return d.opt.Answers(ctx, vm)
}

func alive(snap *view.Snapshot, id fleet.VM) bool {
	for i := range snap.Nodes {
		if snap.Nodes[i].VM == id {
			return snap.Nodes[i].State == view.NodeAlive
		}
	}
	return false
}

// resumeHere goes on with a stream of an engine of this availability zone, at
// the event after the session's last.
func (d *Dispatcher) resumeHere(ctx context.Context, s *session, g *view.Group) *outcome.Error {
	id, err := relay.ParseEventID(s.lastID)
	if err != nil {
		return badCall(err)
	}
	guarded, unwatch := d.guard.watch(ctx, s, g)
	defer unwatch()
	f := &following{d: d, s: s, g: g, t: &try{}, st: relay.NewStream(id.StreamRef, s.next), at: d.runAtMember(s.req, leader(g))}
	d.linger.resume(f.abandoned())
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
