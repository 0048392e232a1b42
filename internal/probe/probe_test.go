package probe

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoints is a fake client with one state per address; a hanging endpoint does not
// respond until the context ends.
type endpoints struct {
	mu       sync.Mutex
	states   map[string]fleet.EngineState
	hang     map[string]bool
	requests map[string]int
	gate     chan struct{} // if set, State waits until it is closed
}

func newEndpoints() *endpoints {
	return &endpoints{states: map[string]fleet.EngineState{}, hang: map[string]bool{}, requests: map[string]int{}}
}

func (e *endpoints) State(ctx context.Context, addr string) (fleet.EngineState, error) {
	e.mu.Lock()
	st, ok := e.states[addr]
	hang, gate := e.hang[addr], e.gate
	e.requests[addr]++
	e.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return st, ctx.Err()
		}
	}
	if hang {
		<-ctx.Done()
		return st, ctx.Err()
	}
	if !ok {
		return st, errors.New("connection refused")
	}
	return st, nil
}

func (e *endpoints) LoadReport(_ context.Context, addr string) (fleet.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fleet.Load{Boot: e.states[addr].Boot, Sequence: uint64(e.requests[addr])}, nil
}

func (e *endpoints) CacheEvents(_ context.Context, _ string, after uint64) ([]engine.CacheEvent, error) {
	return []engine.CacheEvent{{Sequence: after + 1, Prefix: after + 100}}, nil
}

// viewStub is a view.Source with a fixed snapshot and a Sink that records events.
type viewStub struct {
	snap   *view.Snapshot
	mu     sync.Mutex
	events []view.Event
}

func (w *viewStub) Snapshot() *view.Snapshot { return w.snap }

func (w *viewStub) Put(e view.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// probed returns the probe results of the VM so far.
func (w *viewStub) probed(vm fleet.VM) []view.Probed {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []view.Probed
	for _, e := range w.events {
		if p, ok := e.(view.Probed); ok && p.VM == vm {
			out = append(out, p)
		}
	}
	return out
}

func newFleet(n int) (*viewStub, *endpoints) {
	w, e := &viewStub{snap: &view.Snapshot{Self: fleet.Node{VM: "n0"}, Zone: "z"}}, newEndpoints()
	for i := range n {
		vm := fleet.VM(fmt.Sprintf("vm%03d", i))
		addr := string(vm) + ":1"
		w.snap.VMs = append(w.snap.VMs, view.VM{Record: fleet.Record{VM: vm, Kind: fleet.KindEngine, Addr: addr, Zone: "z"}})
		e.states[addr] = fleet.EngineState{VM: vm, Boot: "b1", Group: "g", Generation: 2, Rank: i, Loaded: true}
	}
	return w, e
}

func startProber(t testing.TB, w *viewStub, e *endpoints, set Settings) *Prober {
	t.Helper()
	p := New(set, e, w, w, clock.Boot{}, 1, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for !ok() {
		if ctx.Err() != nil {
			t.Fatal("timed out: " + what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func fastSettings() Settings {
	return Settings{Period: 5 * time.Millisecond, Timeout: 20 * time.Millisecond, LoadEvery: 5 * time.Millisecond}
}

func TestEveryEndpointHasTwoWatchers(t *testing.T) {
	is := is.New(t)
	nodes := []fleet.VM{"n0", "n1", "n2", "n3", "n4"}
	w, _ := newFleet(40)
	w.snap.VMs = append(w.snap.VMs,
		view.VM{Record: fleet.Record{VM: "far", Kind: fleet.KindEngine, Addr: "x:1", Zone: "y"}},
		view.VM{Record: fleet.Record{VM: "n1", Kind: fleet.KindEntry, Addr: "x:2", Zone: "z"}},
		view.VM{Record: fleet.Record{VM: "unknown", Zone: "z"}})
	count := map[fleet.VM]int{}
	for _, self := range nodes {
		w.snap.Self.VM = self
		w.snap.Nodes = nil
		for _, n := range nodes {
			if n != self {
				w.snap.Nodes = append(w.snap.Nodes, view.Node{Node: fleet.Node{VM: n}, Zone: "z", State: view.NodeAlive})
			}
		}
		w.snap.Nodes = append(w.snap.Nodes,
			view.Node{Node: fleet.Node{VM: "dead"}, Zone: "z", State: view.NodeDead},
			view.Node{Node: fleet.Node{VM: "draining"}, Zone: "z", State: view.NodeAlive, Draining: true},
			view.Node{Node: fleet.Node{VM: "other"}, Zone: "y", State: view.NodeAlive})
		for _, r := range WatchedEndpoints(w.snap, twoWatchers()) {
			count[r.VM]++
		}
	}
	is.Equal(len(count), 40)
	for _, n := range count {
		is.Equal(n, 2)
	}
}

func TestResultsAreReported(t *testing.T) {
	is := is.New(t)
	w, e := newFleet(4)
	delete(e.states, "vm001:1")                                      // refuses connections
	e.hang["vm002:1"] = true                                         // is paused
	e.states["vm003:1"] = fleet.EngineState{VM: "vm999", Boot: "b1"} // the address now belongs to another VM
	startProber(t, w, e, fastSettings())
	for _, vm := range []fleet.VM{"vm001", "vm002", "vm003"} {
		eventually(t, "three failures of "+string(vm), func() bool { return len(w.probed(vm)) >= 3 })
		p := w.probed(vm)
		is.True(!p[0].Answered)
		is.Equal(p[0].Failures, 1)
		is.Equal(p[2].Failures, 3)
		is.Equal(p[2].FailingSince, p[0].Sent)
	}
	eventually(t, "probe replies", func() bool { return len(w.probed("vm000")) >= 2 })
	is.True(w.probed("vm000")[0].Answered)
	e.mu.Lock()
	e.hang["vm002:1"] = false
	e.mu.Unlock()
	eventually(t, "the paused endpoint responds again", func() bool { p := w.probed("vm002"); return p[len(p)-1].Answered })
	eventually(t, "loads and prefixes", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		loads := slices.ContainsFunc(w.events, func(ev view.Event) bool { _, ok := ev.(view.LoadReported); return ok })
		return loads && slices.ContainsFunc(w.events, func(ev view.Event) bool { _, ok := ev.(view.CacheReported); return ok })
	})
}

func TestRemovedEndpointsAreNotProbed(t *testing.T) {
	w, e := newFleet(2)
	p := New(fastSettings(), e, w, w, clock.Boot{}, 1, prometheus.NewRegistry())
	p.refresh()
	w.snap = &view.Snapshot{Self: w.snap.Self, Zone: "z", VMs: w.snap.VMs[:1]}
	p.refresh()
	gone := 0
	for _, t := range p.schedule {
		if t.removed {
			gone++
		}
	}
	is := is.New(t)
	is.Equal(gone, 1)
	for _, t := range p.schedule {
		t.probeDue = 0
	}
	p.dispatchDue()
	is.Equal(len(p.jobs), 1)
}

func newGroup(n int) *view.Group {
	g := &view.Group{Group: fleet.Group{ID: "g", Generation: 2}}
	for i := range n {
		vm := fleet.VM(fmt.Sprintf("vm%03d", i))
		g.Members = append(g.Members, fleet.Member{VM: vm, Boot: "b1", Addr: string(vm) + ":1", Rank: i})
	}
	return g
}

// A group's probe results are stale at dispatch, so its members are probed again. A
// member that does not respond, or reports another incarnation or assignment, must keep
// the request away from the group.
func TestCheckProbesEveryMember(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*endpoints)
		ok    bool
	}{
		"all respond":                {func(*endpoints) {}, true},
		"one hangs":                  {func(e *endpoints) { e.hang["vm001:1"] = true }, false},
		"one is gone":                {func(e *endpoints) { delete(e.states, "vm002:1") }, false},
		"one restarted":              {func(e *endpoints) { st := e.states["vm002:1"]; st.Boot = "b2"; e.states["vm002:1"] = st }, false},
		"one has another generation": {func(e *endpoints) { st := e.states["vm001:1"]; st.Generation = 3; e.states["vm001:1"] = st }, false},
		"one is leaving":             {func(e *endpoints) { st := e.states["vm001:1"]; st.Leaving = true; e.states["vm001:1"] = st }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, e := newFleet(3)
			c.fault(e)
			clk := clock.NewManual(clock.Instant(time.Hour))
			p := New(fastSettings(), e, w, w, clk, 1, prometheus.NewRegistry())
			until, ok := p.Probe(context.Background(), newGroup(3))
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(until, clk.Now().Add(view.DefaultProbeFresh))
			} else {
				is.True(errors.Is(p.Check(context.Background(), &newGroup(3).Group), ErrGroupIncomplete))
			}
			for _, vm := range []fleet.VM{"vm000", "vm001", "vm002"} {
				for _, r := range w.probed(vm) {
					is.Equal(r.Failures, 0) // checks must not count as consecutive probe failures
				}
			}
		})
	}
}

// Many requests find a group stale at once. They must share one round of probes, or the
// burst would probe the members many times.
func TestConcurrentChecksShareAProbeRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, e := newFleet(2)
		e.gate = make(chan struct{})
		p := New(Settings{Timeout: time.Minute}, e, w, w, clock.Boot{}, 1, prometheus.NewRegistry())
		const callers = 20
		results := make(chan error, callers)
		gone, leave := context.WithCancel(context.Background())
		go func() { results <- p.Check(gone, &newGroup(2).Group) }()
		synctest.Wait() // the round has begun
		for range callers {
			go func() { results <- p.Check(context.Background(), &newGroup(2).Group) }()
		}
		synctest.Wait()
		leave() // the caller that began it has left; the others still get its result
		is.True(<-results != nil)
		close(e.gate)
		for range callers {
			is.NoErr(<-results)
		}
		is.Equal(e.requests["vm000:1"], 1)
		is.Equal(e.requests["vm001:1"], 1)
	})
}
