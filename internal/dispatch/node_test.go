package dispatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/view"
)

// twoZones returns the rig of a node without endpoints in its zone, and the rig of the
// zone that has them, to which peers relay.
func twoZones(t *testing.T, peers fakePeers) (near, far *rig) {
	far = newRig(t, nil)
	near = newRig(t, func(o *Options) { o.Peers = peers })
	far.addEngine(standin.Options{TokensPerSecond: 2000})
	near.change(func(s *view.Snapshot) {
		s.Zone = otherZone
		s.Groups = far.Snapshot().Groups
		for _, i := range slices.Sorted(maps.Keys(peers)) {
			s.Nodes = append(s.Nodes, view.Node{Node: fleet.Node{VM: i}, Zone: testZone, State: view.NodeAlive})
		}
	})
	return near, far
}

// cuttingPeer relays to the dispatcher of far and ends the response as cut after the
// given number of events, like a broken link.
func cuttingPeer(far func() *rig, events int) func(context.Context, *request.Request, answer.Writer) *outcome.Error {
	return func(_ context.Context, req *request.Request, w answer.Writer) *outcome.Error {
		c := newCollector()
		c.failFrom = events
		// The far node fails with the link, so its stream is not cancelled.
		dead := New(far().d.opt)
		defer dead.Close()
		dead.Serve(context.Background(), req, c)
		if c.started == 0 {
			return c.end.Error
		}
		if !c.end.Complete {
			c.end.Error = outcome.New(outcome.AnswerCut, outcome.Unknown, "the link broke", "look it up")
		}
		c.replay(w)
		return nil
	}
}

// The node of another availability zone that forwards a stream fails at various events.
// The stream must continue through another node of that zone, from a single run, without
// a lost or duplicate token.
func TestStreamContinuesAfterForwardingNodeFails(t *testing.T) {
	for _, at := range []int{1, 5, 20, 21} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			is := is.New(t)
			var far *rig
			reach := func() *rig { return far }
			peers := fakePeers{"a": cuttingPeer(reach, at), "b": cuttingPeer(reach, 0), "c": cuttingPeer(reach, 0)}
			near, f := twoZones(t, peers)
			far = f
			q := near.chat("q", 20, true)
			c := near.serve(context.Background(), q)
			checkWholeAnswer(t, q, c)
			is.Equal(far.engines[0].Executions("q"), 1)
		})
	}
}

// A node of another availability zone refuses a request, which did not run: the next node
// must be tried.
func TestRefusalOfANodeIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	var far *rig
	refuse := func(context.Context, *request.Request, answer.Writer) *outcome.Error {
		return outcome.New(outcome.ShuttingDown, outcome.NotRun, "no new work", "try again")
	}
	peers := fakePeers{"a": refuse, "b": cuttingPeer(func() *rig { return far }, 0)}
	near, f := twoZones(t, peers)
	far = f
	q := near.chat("q", 20, true)
	checkWholeAnswer(t, q, near.serve(context.Background(), q))
	is.Equal(near.router.begun, 2)
}

// Another node marks a response as complete, but one of its events did not arrive: the
// response must end as cut.
func TestMissingEventFromANodeIsDetected(t *testing.T) {
	is := is.New(t)
	peers := fakePeers{"a": func(_ context.Context, _ *request.Request, w answer.Writer) *outcome.Error {
		w.Start(answer.Head{Status: 200, Stream: true})
		w.Frame(answer.Frame{Offset: 0, Data: []byte("{}")})
		w.Frame(answer.Frame{Offset: 2, Data: []byte("{}")})
		w.Finish(answer.End{Complete: true, Frames: 2})
		return nil
	}}
	near, _ := twoZones(t, peers)
	c := near.serve(context.Background(), near.chat("q", 20, true))
	is.True(!c.end.Complete)
	is.Equal(c.end.Error.Kind, outcome.AnswerCut)
	is.Equal(len(c.frames), 1)
}

// The link breaks after a non-idempotent request was forwarded. It may have run there, so
// it must not be retried.
func TestBrokenLinkOfNonIdempotentRequestIsUnknown(t *testing.T) {
	is := is.New(t)
	asked := 0
	lost := func(context.Context, *request.Request, answer.Writer) *outcome.Error {
		asked++
		return outcome.New(outcome.EndpointFailed, outcome.Unknown, "the link broke", "look it up")
	}
	near, _ := twoZones(t, fakePeers{"a": lost, "b": lost})
	c := near.serve(context.Background(), near.receipt("q"))
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
	is.Equal(asked, 1)
}

// Another node repeats an event after reconnecting to the engine. The caller must receive
// it once.
func TestRepeatedEventFromANodeIsDropped(t *testing.T) {
	is := is.New(t)
	peers := fakePeers{"a": func(_ context.Context, _ *request.Request, w answer.Writer) *outcome.Error {
		w.Start(answer.Head{Status: 200, Stream: true})
		for _, offset := range []uint64{0, 1, 1, 0, 2} {
			w.Frame(answer.Frame{Offset: offset, Data: []byte("{}")})
		}
		w.Finish(answer.End{Complete: true, Frames: 5})
		return nil
	}}
	near, _ := twoZones(t, peers)
	c := near.serve(context.Background(), near.chat("q", 20, true))
	is.True(c.end.Complete)
	is.Equal(len(c.frames), 3)
	is.Equal(c.end.Frames, uint64(3))
}

// The link to another node breaks within a non-streaming response of an idempotent
// request. If nothing was sent to the caller yet, the next node must give the complete
// response.
func TestCutAnswerOfANodeIsRetriedElsewhere(t *testing.T) {
	for _, size := range []int{10, 3000} { // below and above AnswerBufferBytes
		is := is.New(t)
		cut := func(_ context.Context, _ *request.Request, w answer.Writer) *outcome.Error {
			w.Start(answer.Head{Status: 200})
			w.Frame(answer.Frame{Data: make([]byte, size)})
			w.Finish(answer.End{Frames: 1, Error: outcome.New(outcome.AnswerCut, outcome.Unknown, "the link broke", "look it up")})
			return nil
		}
		whole := func(_ context.Context, _ *request.Request, w answer.Writer) *outcome.Error {
			w.Start(answer.Head{Status: 200})
			w.Frame(answer.Frame{Data: []byte("an")})
			w.Frame(answer.Frame{Data: []byte("swer")})
			w.Finish(answer.End{Complete: true, Frames: 2})
			return nil
		}
		near, _ := twoZones(t, fakePeers{"a": cut, "b": whole})
		near.d.opt.AnswerBufferBytes = 1000
		c := near.serve(context.Background(), near.chat("q", 20, false))
		is.Equal(c.end.Complete, size == 10)
		if c.end.Complete {
			is.Equal(c.body(), "answer")
		} else {
			is.Equal(c.end.Error.Kind, outcome.AnswerCut)
		}
	}
}
