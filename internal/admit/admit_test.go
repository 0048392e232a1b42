package admit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/explain"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixedView struct{ s *view.Snapshot }

func (v fixedView) Snapshot() *view.Snapshot { return v.s }

// testSnapshot is a node alone in zone "a" with one group of the given slots.
func testSnapshot(slots int) *view.Snapshot {
	return &view.Snapshot{
		Self: fleet.Node{VM: "entry-1", Incarnation: 1}, Zone: "a", Revision: 1,
		Config: &config.Document{
			Organisations: []config.Organisation{{Name: "north", Weight: 1}, {Name: "south", Weight: 1}},
			Models:        []config.Model{{Name: "m", Current: "1", Versions: []string{"1"}, Adapters: []string{"ad"}}},
			Groups:        []config.GroupSpec{{Name: "g", Model: "m", ModelVer: "1", Adapters: []string{"ad"}}},
			Services:      []config.Service{{Name: "fees"}},
		},
		VMs: []view.VM{{
			Record: fleet.Record{VM: "svc-1", Kind: fleet.KindService, Service: "fees", Zone: "a"},
			Load:   fleet.Load{Slots: 8},
		}},
		Groups: []view.Group{{
			Group: fleet.Group{ID: "g1", Zone: "a", Phase: fleet.PhaseServing, Model: "m", Version: "1", Adapters: []string{"ad"}},
			Whole: true, Load: fleet.Load{Slots: slots},
		}},
	}
}

// recordedAnswer is the end of the answer to one request.
type recordedAnswer struct {
	once sync.Once
	done chan struct{}
	end  answer.End
}

func newRecordedAnswer() *recordedAnswer           { return &recordedAnswer{done: make(chan struct{})} }
func (r *recordedAnswer) Start(answer.Head) error  { return nil }
func (r *recordedAnswer) Frame(answer.Frame) error { return nil }
func (r *recordedAnswer) Finish(e answer.End) {
	r.once.Do(func() { r.end = e; close(r.done) })
}

// endpoint is the rest of the path: it holds each request until let go.
type endpoint struct {
	came chan string
	let  chan struct{}
}

func newEndpoint() *endpoint {
	return &endpoint{came: make(chan string, 100), let: make(chan struct{})}
}

func (e *endpoint) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	e.came <- req.ID
	<-e.let
	_ = w.Start(answer.Head{Status: 200})
	w.Finish(answer.End{Whole: true})
}

type rig struct {
	path  filter.Handler
	end   *endpoint
	notes *explain.Store
	clock *clock.Manual
	stop  func() // ends Run and waits for it
}

func startRig(t *testing.T, s *view.Snapshot) *rig {
	t.Helper()
	return startRigOn(t, fixedView{s})
}

func startRigOn(t *testing.T, src view.Source) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{end: newEndpoint(), notes: explain.NewStore("entry-1", 100, 10), clock: clock.NewManual(1e9)}
	a := New(Options{
		View: src, Clock: r.clock, Log: slog.New(slog.DiscardHandler),
		Registerer: prometheus.NewRegistry(), Recorder: r.notes,
	})
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	r.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(r.stop)
	r.path = filter.Chain(r.end, a.Filter())
	return r
}

func modelRequest(id string) *request.Request {
	return &request.Request{ID: id, Organisation: "north", Class: request.ClassModel, Target: fleet.Target{Model: "m"}}
}

func lookupRequest(id string) *request.Request {
	return &request.Request{ID: id, Organisation: "north", Class: request.ClassLookup, Service: "fees"}
}

func (r *rig) send(ctx context.Context, req *request.Request) *recordedAnswer {
	w := newRecordedAnswer()
	go r.path.Serve(ctx, req, w)
	return w
}

// A clerk looks up a fee while every slot of the model engines is taken and
// more model calls wait. The lookup goes to its service at once: it has a lane
// of its own and waits behind no model call.
func TestLookupPassesWaitingModelCalls(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	first := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.end.came, "m1")
	second := r.send(t.Context(), modelRequest("m2"))
	r.waitFor(t, "m2", "queue")

	lookup := r.send(t.Context(), lookupRequest("l1"))
	is.Equal(<-r.end.came, "l1")

	close(r.end.let)
	for _, a := range []*recordedAnswer{first, second, lookup} {
		<-a.done
		is.True(a.end.Whole)
	}
}

// waitFor returns when the decision about the request was noted.
func (r *rig) waitFor(t *testing.T, id, decision string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, s := range r.notes.Steps(id) {
			if s.Decision == decision {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("request %s was not decided %q", id, decision)
}

// A clerk closes the window while the request waits for a slot. The request
// leaves the queue and is told as not run; the slot goes to the next in line.
func TestCallerLeavesQueue(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	first := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.end.came, "m1")
	ctx, leave := context.WithCancel(t.Context())
	second := r.send(ctx, modelRequest("m2"))
	r.waitFor(t, "m2", "queue")
	third := r.send(t.Context(), modelRequest("m3"))
	r.waitFor(t, "m3", "queue")

	leave()
	<-second.done
	is.Equal(second.end.Error.Kind, outcome.CallerGone)
	is.Equal(second.end.Error.Outcome, outcome.NotRun)

	close(r.end.let)
	<-first.done
	<-third.done
	is.True(third.end.Whole)
	is.Equal(<-r.end.came, "m3")
}

// Every group of a model is gone for longer than a late probe explains. The
// caller is told at once that nothing serves the model, that the request did
// not run and when to come back.
func TestNothingServes(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(1)
	s.Groups = nil
	r := startRig(t, s)
	w := r.send(t.Context(), modelRequest("m1"))
	r.waitFor(t, "m1", "queue")
	r.clock.Advance(capacityGrace)
	<-w.done
	is.Equal(w.end.Error.Kind, outcome.NoCapacity)
	is.Equal(w.end.Error.Outcome, outcome.NotRun)
	is.True(w.end.Error.RetryAfter > 0)
}

// A lookup whose organisation holds its part of the slots is refused, not
// queued, and the slots left are for other organisations.
func TestLookupsOfOneOrganisationLeaveRoom(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	held := 0
	var refused *recordedAnswer
	for range 8 {
		w := r.send(t.Context(), lookupRequest("l"))
		select {
		case <-r.end.came:
			held++
		case <-w.done:
			refused = w
		}
	}
	is.True(refused != nil)
	is.Equal(refused.end.Error.Kind, outcome.Overloaded)
	is.Equal(refused.end.Error.Outcome, outcome.NotRun)

	other := lookupRequest("o")
	other.Organisation = "south"
	w := r.send(t.Context(), other)
	is.Equal(<-r.end.came, "o")
	close(r.end.let)
	<-w.done
	is.True(w.end.Whole)
	is.True(held < 8)
}

// changingView is a view whose snapshot can be replaced.
type changingView struct{ now atomic.Pointer[view.Snapshot] }

func (v *changingView) Snapshot() *view.Snapshot { return v.now.Load() }

// A group that was gone for long comes back, and a clerk's call arrives before
// the next regular look at the limits. It is admitted: the limits follow the
// groups that serve, not only the clock, which stands still here.
func TestAGroupThatComesBackIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	gone := testSnapshot(1)
	gone.Groups[0].Whole = false
	src := &changingView{}
	src.now.Store(gone)
	r := startRigOn(t, src)
	close(r.end.let)
	first := r.send(t.Context(), modelRequest("first"))
	r.waitFor(t, "first", "queue")
	r.clock.Advance(capacityGrace)
	<-first.done
	is.Equal(first.end.Error.Kind, outcome.NoCapacity)
	src.now.Store(testSnapshot(1))
	after := r.send(t.Context(), modelRequest("after"))
	<-after.done
	is.Equal(after.end.Error, nil)
}
