package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/request"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

// own fails the test unless c holds the whole answer to q, each token once.
func own(t *testing.T, q *request.Request, c *collector) {
	t.Helper()
	want := standin.ExpectedTokens(q.Body)
	if !c.end.Whole {
		t.Fatalf("%s: not whole: %v", q.ID, c.end.Error)
	}
	if got := c.tokens(t); !slices.Equal(got, want) {
		t.Fatalf("%s: got %q, want %q", q.ID, got, want)
	}
	if n := uint64(len(c.frames)); c.end.Frames != n {
		t.Fatalf("%s: the end counts %d events of %d", q.ID, c.end.Frames, n)
	}
}

// Hundreds of scorers stream at once from two groups. Connections break after
// a few tokens, by a reset or by a clean end, again and again. Each stream is
// resumed at its engine, and each scorer gets every token of the own answer
// once, from a single run.
func TestConcurrentStreamsSurviveBrokenConnections(t *testing.T) {
	for _, clean := range []bool{false, true} {
		t.Run(fmt.Sprintf("clean=%v", clean), func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			const streams, tokens = 300, 40
			for range 2 {
				e := r.addEngine(standin.Options{TokensPerSecond: 4000})
				e.SetFaults(standin.Faults{CutStreams: streams, CutAfter: 3, CleanEOF: clean})
			}
			reqs := make([]*request.Request, streams)
			got := make([]*collector, streams)
			var wg sync.WaitGroup
			for i := range streams {
				reqs[i] = r.chat(fmt.Sprintf("q%d", i), tokens, true)
				wg.Go(func() { got[i] = r.serve(context.Background(), reqs[i]) })
			}
			wg.Wait()
			for i, q := range reqs {
				own(t, q, got[i])
				is.Equal(r.engines[0].Executions(q.ID)+r.engines[1].Executions(q.ID), 1)
			}
		})
	}
}

// A scorer's phone loses its connection in the middle of a summary and asks
// another node for the rest with the last event's id. That node knows nothing
// but the id and its own view. The two parts joined are the whole answer.
func TestCallerResumesAtAnotherNode(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	e := r.addEngine(standin.Options{TokensPerSecond: 500})
	q := r.chat("a", 50, true)
	for _, at := range []int{1, 7, 50, 51} {
		q.ID = fmt.Sprintf("a%d", at)
		first := newCollector()
		first.refuse = at
		// The first node dies before it can cancel: nobody runs its ring.
		dead := New(r.d.opt)
		dead.Serve(context.Background(), q, first)
		is.Equal(first.end.Error.Kind, outcome.CallerGone)
		dead.Close()

		other := newRig(t, nil)
		other.snap = r.Snapshot()
		again := r.chat("b", 50, true)
		again.ResumeID = first.frames[at-1].ID
		rest := other.serve(context.Background(), again)
		is.True(rest.end.Whole)
		first.frames = append(first.frames, rest.frames...)
		first.end = answer.End{Whole: true, Frames: uint64(len(first.frames))}
		own(t, q, first)
		is.Equal(e.Executions(q.ID), 1)
	}
}

// A caller sends the event id of another organisation's stream. It must learn
// nothing of that answer.
func TestResumeOfAnotherOrganisationIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addEngine(standin.Options{})
	c := r.serve(context.Background(), r.chat("a", 5, true))
	id, err := relay.ParseEventID(c.frames[1].ID)
	is.NoErr(err)
	thief := r.chat("b", 5, true)
	thief.Organisation = "lapwise"
	thief.ResumeID = id.String()
	is.Equal(r.serve(context.Background(), thief).end.Error.Kind, outcome.BadRequest)
	// Nor does a stream id with the thief's own tag name that stream.
	nonce, _, _ := strings.Cut(id.Stream, "-")
	_, tag, _ := strings.Cut(relay.NewStreamID("lapwise", "n1"), "-")
	id.Stream = nonce + "-" + tag
	thief.ResumeID = id.String()
	got := r.serve(context.Background(), thief)
	is.True(!got.end.Whole)
	is.Equal(len(got.frames), 0)
}

// A driver closes the browser in the middle of a stream. Nobody waits for the
// rest, so the engine is told to stop.
func TestCallerLeavingCancelsAtTheEngine(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.ResumeGrace = time.Millisecond })
	cancelled := r.countCancels(r.addEngine(standin.Options{TokensPerSecond: 200}))
	ctx, cancel := context.WithCancel(context.Background())
	c := newCollector()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.d.Serve(ctx, r.chat("a", 5000, true), c)
	}()
	testkit.Eventually(t, "events come", func() bool { return c.count() > 2 })
	cancel()
	<-done
	is.Equal(c.end.Error.Kind, outcome.CallerGone)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
	testkit.Eventually(t, "the engine is told", func() bool { return cancelled.Load() == 1 })
}

// countCancels counts the cancels that reach the engine of the first group.
func (r *rig) countCancels(e *standin.Engine) *atomic.Int64 {
	n := new(atomic.Int64)
	r.front(0, func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodDelete {
			n.Add(1)
		}
		e.ServeHTTP(w, q)
	})
	return n
}

// A driver's phone changes its network in the middle of a stream and comes
// back within the grace, through another node. That node passes the request to
// the one that keeps the stream, which would else cancel it: the driver has
// the whole answer from one run, and the engine was told nothing.
func TestCallerComesBackThroughAnotherNode(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.ResumeGrace = time.Hour })
	cancelled := r.countCancels(r.addEngine(standin.Options{TokensPerSecond: 500}))
	first := newCollector()
	first.refuse = 7
	q := r.chat("a", 50, true)
	r.d.Serve(context.Background(), q, first)
	is.Equal(first.end.Error.Kind, outcome.CallerGone)
	is.Equal(len(r.d.linger.due), 1)

	passed := 0
	peers := fakePeers{"n1": func(ctx context.Context, req *request.Request, w answer.Writer) *outcome.Error {
		passed++
		c := newCollector()
		r.d.Serve(ctx, req, c)
		if c.started == 0 {
			return c.end.Error
		}
		c.replay(w)
		return nil
	}}
	other := newRig(t, func(o *Options) { o.Peers = peers })
	other.change(func(s *view.Snapshot) {
		s.Self.VM = "n2"
		s.Groups = r.Snapshot().Groups
		s.Nodes = []view.Node{{Node: fleet.Node{VM: "n1"}, Zone: testZone, State: view.NodeAlive}}
	})
	again := other.chat("b", 50, true)
	again.ResumeID = first.frames[6].ID
	rest := other.serve(context.Background(), again)
	is.True(rest.end.Whole)
	first.frames = append(first.frames, rest.frames...)
	first.end = answer.End{Whole: true, Frames: uint64(len(first.frames))}
	own(t, q, first)
	is.Equal(passed, 1)
	is.Equal(len(r.d.linger.due), 0)
	is.Equal(cancelled.Load(), int64(0))

	// The keeper died a moment ago and membership still believes in it: it gives
	// no sign of life, and the other node asks the engine itself.
	other.d.opt.Answers = func(context.Context, fleet.VM) bool { return false }
	is.True(other.serve(context.Background(), again).end.Whole)
	is.Equal(passed, 1)
	other.d.opt.Answers = nil

	// The keeper is dead: the other node asks the engine itself.
	other.change(func(s *view.Snapshot) { s.Nodes[0].State = view.NodeDead })
	is.True(other.serve(context.Background(), again).end.Whole)
	is.Equal(passed, 1)
}

// front puts a handler between the dispatcher and the leader of group i.
func (r *rig) front(i int, h http.HandlerFunc) {
	srv := httptest.NewServer(h)
	r.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	r.change(func(s *view.Snapshot) {
		g := &s.Groups[i]
		g.Members = slices.Clone(g.Members)
		g.Members[0].Addr = srv.Listener.Addr().String()
	})
}

// A group's engine restarts as if nothing had happened and is put into another
// generation, while this node still believes in the old one. The request must
// not be answered by it: it is refused "not run" and goes to another group.
func TestRestartedEngineIsNotAsked(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	restarted := r.addEngine(standin.Options{})
	r.addEngine(standin.Options{})
	restarted.Restart()
	q := r.chat("a", 8, true)
	c := r.serve(context.Background(), q)
	own(t, q, c)
	is.Equal(c.head.Group, fleet.GroupID("g2"))
	is.Equal(restarted.Executions("a"), 0)
}

// An engine does not check the generation it is called with and answers for
// the one it is in. Its answer comes from a replica that nobody has seen
// whole, so that none of it may reach the caller.
func TestAnswerOfAnotherGenerationIsRefused(t *testing.T) {
	for name, change := range map[string]func(http.Header){
		"generation":    func(h http.Header) { h.Set(engine.HeaderGeneration, "g1/2") },
		"group":         func(h http.Header) { h.Set(engine.HeaderGeneration, "g9/1") },
		"boot":          func(h http.Header) { h.Set(engine.HeaderBoot, "another") },
		"no generation": func(h http.Header) { h.Del(engine.HeaderGeneration) },
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s stream=%v", name, stream), func(t *testing.T) {
				is := is.New(t)
				r := newRig(t, nil)
				e := r.addEngine(standin.Options{})
				r.front(0, func(w http.ResponseWriter, q *http.Request) {
					e.ServeHTTP(&headerChanger{ResponseWriter: w, change: change}, q)
				})
				c := r.serve(context.Background(), r.chat("a", 8, stream))
				is.Equal(c.started, 0)
				is.Equal(len(c.frames), 0)
				is.Equal(c.end.Error.Kind, outcome.EndpointFailed)
				is.Equal(c.end.Error.Outcome, outcome.Unknown)
			})
		}
	}
}

// headerChanger changes an answer's headers as they go out.
type headerChanger struct {
	http.ResponseWriter
	change func(http.Header)
	sent   bool
}

func (h *headerChanger) WriteHeader(status int) {
	h.change(h.Header())
	h.sent = true
	h.ResponseWriter.WriteHeader(status)
}

func (h *headerChanger) Write(b []byte) (int, error) {
	if !h.sent {
		h.WriteHeader(http.StatusOK)
	}
	return h.ResponseWriter.Write(b)
}

func (h *headerChanger) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// The engine restarts in the middle of a stream: what it would say now is not
// the rest of this answer. The caller has a part and is told that it is cut.
func TestRestartWithinAStreamIsToldAsCut(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	e := r.addEngine(standin.Options{TokensPerSecond: 300})
	r.addEngine(standin.Options{})
	c := newCollector()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.d.Serve(context.Background(), r.chat("a", 5000, true), c)
	}()
	testkit.Eventually(t, "events come", func() bool { return c.count() > 2 })
	e.Restart()
	<-done
	is.Equal(c.finished, 1)
	is.Equal(c.end.Error.Kind, outcome.AnswerCut)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
}

// The first group's engine fails before any event; the request is idempotent
// and the caller has seen nothing, so that another group answers it.
func TestModelCallIsTriedElsewhere(t *testing.T) {
	for name, st := range map[string]fault.Stages{
		"headers read":   {DropBeforeBody: fault.Always},
		"ran, no answer": {DropAfterRun: fault.Always},
		"refused":        {RefuseNotRun: fault.Always},
		"failed":         {FailAfterRun: fault.Always},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s stream=%v", name, stream), func(t *testing.T) {
				is := is.New(t)
				r := newRig(t, nil)
				r.addEngine(standin.Options{}).SetFaults(standin.Faults{Stages: st})
				r.addEngine(standin.Options{})
				q := r.chat("a", 8, stream)
				c := r.serve(context.Background(), q)
				is.True(c.end.Whole)
				is.Equal(r.engines[1].Executions("a"), 1)
			})
		}
	}
}

// A protest ruling is marked as not repeatable. The engine takes it and breaks
// without an answer: it must not be asked anywhere else.
func TestMarkedModelCallRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addEngine(standin.Options{}).SetFaults(standin.Faults{Stages: fault.Stages{DropAfterRun: fault.Always}})
	r.addEngine(standin.Options{})
	q := r.chat("a", 8, false)
	q.Idempotent = false
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
	is.Equal(r.engines[0].Executions("a")+r.engines[1].Executions("a"), 1)
}

// A completion that is not streamed is cut half-way, by a reset or by chunks
// that end properly. The caller must not get the half.
func TestCutCompletionIsNotPassedOn(t *testing.T) {
	for name, st := range map[string]fault.Stages{
		"reset": {CutAnswer: fault.Always}, "clean end": {CutAnswerClean: fault.Always},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			r.addEngine(standin.Options{}).SetFaults(standin.Faults{Stages: st})
			c := r.serve(context.Background(), r.chat("a", 200, false))
			is.Equal(c.started, 0)
			is.Equal(c.end.Error.Kind, outcome.AnswerCut)
		})
	}
}

// A member has not been seen lately: the group gets no request, even though
// its engine would answer.
func TestStaleGroupIsNotAsked(t *testing.T) {
	for name, change := range map[string]func(*view.Group){
		"a member missing": func(g *view.Group) { g.Whole = false },
		"not seen lately":  func(g *view.Group) { g.FreshUntil = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			e := r.addEngine(standin.Options{})
			r.change(func(s *view.Snapshot) { change(&s.Groups[0]) })
			c := r.serve(context.Background(), r.chat("a", 8, true))
			is.Equal(c.end.Error.Outcome, outcome.NotRun)
			is.Equal(e.Executions("a"), 0)
		})
	}
}
