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

type fixedView struct{ snap *view.Snapshot }

func (v fixedView) Snapshot() *view.Snapshot { return v.snap }

// testSnapshot returns the snapshot of a single node in zone "a" with one group of
// the given number of slots.
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

// recordedAnswer records the end of an answer.
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

// endpoint is the last handler of the path. It blocks each request until release is
// closed.
type endpoint struct {
	arrivals chan string
	release  chan struct{}
}

func newEndpoint() *endpoint {
	return &endpoint{arrivals: make(chan string, 100), release: make(chan struct{})}
}

func (e *endpoint) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	e.arrivals <- req.ID
	<-e.release
	_ = w.Start(answer.Head{Status: 200})
	w.Finish(answer.End{Complete: true})
}

type rig struct {
	path     filter.Handler
	endpoint *endpoint
	recorder *explain.Store
	clock    *clock.Manual
	stop     func() // ends Run and waits for it
}

func startRig(t *testing.T, s *view.Snapshot) *rig {
	t.Helper()
	return startRigWithView(t, fixedView{s})
}

func startRigWithView(t *testing.T, src view.Source) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{endpoint: newEndpoint(), recorder: explain.NewStore("entry-1", 100, 10), clock: clock.NewManual(1e9)}
	a := New(Options{
		View: src, Clock: r.clock, Log: slog.New(slog.DiscardHandler),
		Registerer: prometheus.NewRegistry(), Recorder: r.recorder,
	})
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	r.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(r.stop)
	r.path = filter.Chain(r.endpoint, a.Filter())
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

// All slots of the model engines are in use and more model calls are queued. A
// lookup must proceed immediately, because it has its own lane.
func TestLookupDoesNotWaitForModelCalls(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	first := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.endpoint.arrivals, "m1")
	second := r.send(t.Context(), modelRequest("m2"))
	r.waitFor(t, "m2", "queue")

	lookup := r.send(t.Context(), lookupRequest("l1"))
	is.Equal(<-r.endpoint.arrivals, "l1")

	close(r.endpoint.release)
	for _, a := range []*recordedAnswer{first, second, lookup} {
		<-a.done
		is.True(a.end.Complete)
	}
}

// waitFor blocks until the decision about the request is recorded.
func (r *rig) waitFor(t *testing.T, id, decision string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, s := range r.recorder.Steps(id) {
			if s.Decision == decision {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("request %s was not decided %q", id, decision)
}

// A caller disconnects while its request is queued. The request must leave the
// queue with outcome "not run", and the slot must go to the next one.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	first := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.endpoint.arrivals, "m1")
	ctx, leave := context.WithCancel(t.Context())
	second := r.send(ctx, modelRequest("m2"))
	r.waitFor(t, "m2", "queue")
	third := r.send(t.Context(), modelRequest("m3"))
	r.waitFor(t, "m3", "queue")

	leave()
	<-second.done
	is.Equal(second.end.Error.Kind, outcome.CallerGone)
	is.Equal(second.end.Error.Outcome, outcome.NotRun)

	close(r.endpoint.release)
	<-first.done
	<-third.done
	is.True(third.end.Complete)
	is.Equal(<-r.endpoint.arrivals, "m3")
}

// Every group of a model is lost for longer than capacityGrace. The caller must get
// "no capacity" with outcome "not run" and a retry delay.
func TestLostGroupsRefuseWithNoCapacity(t *testing.T) {
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

// An organisation that uses its share of the slots must have further lookups
// refused, so that the other slots are left to other organisations.
func TestLookupsOfOneOrganisationLeaveSlots(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	held := 0
	var refused *recordedAnswer
	for range 8 {
		w := r.send(t.Context(), lookupRequest("l"))
		select {
		case <-r.endpoint.arrivals:
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
	is.Equal(<-r.endpoint.arrivals, "o")
	close(r.endpoint.release)
	<-w.done
	is.True(w.end.Complete)
	is.True(held < 8)
}

// changingView is a view whose snapshot can be replaced.
type changingView struct{ now atomic.Pointer[view.Snapshot] }

func (v *changingView) Snapshot() *view.Snapshot { return v.now.Load() }

// A lost group comes back, and a call arrives before the next periodic update of
// the limits. It must be admitted: the limits also follow the serving groups,
// not only the clock, which is stopped here.
func TestRecoveredGroupIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	gone := testSnapshot(1)
	gone.Groups[0].Whole = false
	src := &changingView{}
	src.now.Store(gone)
	r := startRigWithView(t, src)
	close(r.endpoint.release)
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
