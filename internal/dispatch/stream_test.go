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

// checkWholeAnswer fails the test unless c has the complete response to q, with each
// token once.
func checkWholeAnswer(t *testing.T, q *request.Request, c *collector) {
	t.Helper()
	want := standin.ExpectedTokens(q.Body)
	if !c.end.Complete {
		t.Fatalf("%s: not whole: %v", q.ID, c.end.Error)
	}
	if got := c.tokens(t); !slices.Equal(got, want) {
		t.Fatalf("%s: got %q, want %q", q.ID, got, want)
	}
	if n := uint64(len(c.frames)); c.end.Frames != n {
		t.Fatalf("%s: the end counts %d events of %d", q.ID, c.end.Frames, n)
	}
}

// Connections of hundreds of concurrent streams from two groups break repeatedly after a
// few tokens, by a reset or by a clean end. Each stream must be resumed at its engine and
// deliver every token once, from a single run.
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
				checkWholeAnswer(t, q, got[i])
				is.Equal(r.engines[0].Executions(q.ID)+r.engines[1].Executions(q.ID), 1)
			}
		})
	}
}

// A caller loses its connection within a stream and resumes at another node with the last
// event's ID. That node has only the ID and its own view; both parts joined must be the
// complete response.
func TestCallerResumesAtAnotherNode(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	e := r.addEngine(standin.Options{TokensPerSecond: 500})
	q := r.chat("a", 50, true)
	for _, at := range []int{1, 7, 50, 51} {
		q.ID = fmt.Sprintf("a%d", at)
		first := newCollector()
		first.failFrom = at
		// The first node fails before it can cancel: its Run is not running.
		dead := New(r.d.opt)
		dead.Serve(context.Background(), q, first)
		is.Equal(first.end.Error.Kind, outcome.CallerGone)
		dead.Close()

		other := newRig(t, nil)
		other.snap = r.Snapshot()
		again := r.chat("b", 50, true)
		again.ResumeID = first.frames[at-1].ID
		rest := other.serve(context.Background(), again)
		is.True(rest.end.Complete)
		first.frames = append(first.frames, rest.frames...)
		first.end = answer.End{Complete: true, Frames: uint64(len(first.frames))}
		checkWholeAnswer(t, q, first)
		is.Equal(e.Executions(q.ID), 1)
	}
}

// An organisation sends the event ID of another organisation's stream. It must not
// receive any of that response.
func TestResumeOfAnotherOrganisationIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addEngine(standin.Options{})
	c := r.serve(context.Background(), r.chat("a", 5, true))
	id, err := relay.ParseEventID(c.frames[1].ID)
	is.NoErr(err)
	other := r.chat("b", 5, true)
	other.Organisation = "lapwise"
	other.ResumeID = id.String()
	is.Equal(r.serve(context.Background(), other).end.Error.Kind, outcome.BadRequest)
	// A stream ID with the other organisation's own tag must not match that stream
	// either.
	nonce, _, _ := strings.Cut(id.Stream, "-")
	_, tag, _ := strings.Cut(relay.NewStreamID("lapwise", "n1"), "-")
	id.Stream = nonce + "-" + tag
	other.ResumeID = id.String()
	got := r.serve(context.Background(), other)
	is.True(!got.end.Complete)
	is.Equal(len(got.frames), 0)
}

// A caller disconnects within a stream and does not return: the stream must be cancelled
// at the engine.
func TestCallerDisconnectCancelsAtTheEngine(t *testing.T) {
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
	testkit.Eventually(t, "events arrive", func() bool { return c.count() > 2 })
	cancel()
	<-done
	is.Equal(c.end.Error.Kind, outcome.CallerGone)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
	testkit.Eventually(t, "the cancel arrives", func() bool { return cancelled.Load() == 1 })
}

// countCancels counts the cancels that reach the engine of the first group.
func (r *rig) countCancels(e *standin.Engine) *atomic.Int64 {
	n := new(atomic.Int64)
	r.proxyLeader(0, func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodDelete {
			n.Add(1)
		}
		e.ServeHTTP(w, q)
	})
	return n
}

// A caller disconnects within a stream and resumes through another node within the grace
// period. That node must forward the request to the node that keeps the stream, which
// would otherwise cancel it: the response must be complete, from one run, without a
// cancel at the engine.
func TestCallerResumesThroughAnotherNode(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(o *Options) { o.ResumeGrace = time.Hour })
	cancelled := r.countCancels(r.addEngine(standin.Options{TokensPerSecond: 500}))
	first := newCollector()
	first.failFrom = 7
	q := r.chat("a", 50, true)
	r.d.Serve(context.Background(), q, first)
	is.Equal(first.end.Error.Kind, outcome.CallerGone)
	is.Equal(len(r.d.detached.keptUntil), 1)

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
	is.True(rest.end.Complete)
	first.frames = append(first.frames, rest.frames...)
	first.end = answer.End{Complete: true, Frames: uint64(len(first.frames))}
	checkWholeAnswer(t, q, first)
	is.Equal(passed, 1)
	is.Equal(len(r.d.detached.keptUntil), 0)
	is.Equal(cancelled.Load(), int64(0))

	// The origin node has just failed and is still alive in the membership: it does not
	// respond, and the other node must resume at the engine itself.
	other.d.opt.NodeResponds = func(context.Context, fleet.VM) bool { return false }
	is.True(other.serve(context.Background(), again).end.Complete)
	is.Equal(passed, 1)
	other.d.opt.NodeResponds = nil

	// The origin node is marked as dead: the other node must resume at the engine itself.
	other.change(func(s *view.Snapshot) { s.Nodes[0].State = view.NodeDead })
	is.True(other.serve(context.Background(), again).end.Complete)
	is.Equal(passed, 1)
}

// proxyLeader puts a handler between the dispatcher and the leader of group i.
func (r *rig) proxyLeader(i int, h http.HandlerFunc) {
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

// A group's engine has restarted while this node's view still contains the previous
// incarnation. The engine must not run the request: it refuses it as not run, and another
// group answers.
func TestRestartedEngineRunsNoRequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	restarted := r.addEngine(standin.Options{})
	r.addEngine(standin.Options{})
	restarted.Restart()
	q := r.chat("a", 8, true)
	c := r.serve(context.Background(), q)
	checkWholeAnswer(t, q, c)
	is.Equal(c.head.Group, fleet.GroupID("g2"))
	is.Equal(restarted.Executions("a"), 0)
}

// An engine responds for another generation than the one requested. That replica was
// never seen complete, so none of the response may reach the caller.
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
				r.proxyLeader(0, func(w http.ResponseWriter, q *http.Request) {
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

// headerChanger modifies the headers of a response when they are written.
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

// The engine restarts within a stream, and its output is no longer the rest of this
// response. The response must end as cut.
func TestRestartWithinAStreamIsReportedAsCut(t *testing.T) {
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
	testkit.Eventually(t, "events arrive", func() bool { return c.count() > 2 })
	e.Restart()
	<-done
	is.Equal(c.finished, 1)
	is.Equal(c.end.Error.Kind, outcome.AnswerCut)
	is.Equal(c.end.Error.Outcome, outcome.Ran)
}

// The first group's engine fails before any event. The request is idempotent and nothing
// was sent to the caller, so another group must answer it.
func TestModelCallIsRetriedElsewhere(t *testing.T) {
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
				is.True(c.end.Complete)
				is.Equal(r.engines[1].Executions("a"), 1)
			})
		}
	}
}

// The engine accepts a request that is marked as not repeatable and fails without a
// response: the request must not be sent to another engine.
func TestNonIdempotentModelCallRunsAtMostOnce(t *testing.T) {
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

// A non-streaming completion is cut midway, by a reset or by a proper end of the chunks.
// The caller must not receive a part of it.
func TestCutCompletionIsNotForwarded(t *testing.T) {
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

// A member is missing or its last probe reply is too old: the group must not receive a
// request, even if its engine would answer.
func TestStaleGroupGetsNoRequest(t *testing.T) {
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
