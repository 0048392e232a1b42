package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/service"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testZone  = fleet.AvailabilityZone("baneshwor")
	otherZone = fleet.AvailabilityZone("lalitpur")
	forever   = clock.Instant(1 << 62)
)

// waitTimeout bounds waits for expected events; no test result depends on its value.
const waitTimeout = testkit.WaitTimeout

// rig is a dispatcher in front of stand-in endpoints.
type rig struct {
	t       *testing.T
	d       *Dispatcher
	clock   clock.Boot
	router  *listRouter
	retry   *countingRetry
	mu      sync.Mutex
	snap    *view.Snapshot
	engines []*standin.Engine
	vms     []*service.Service
}

func newRig(t *testing.T, change func(*Options)) *rig {
	t.Helper()
	r := &rig{t: t, retry: &countingRetry{allow: true}, snap: &view.Snapshot{Zone: testZone, Self: fleet.Node{VM: "n1"}}}
	r.router = &listRouter{}
	opt := Options{View: r, Clock: r.clock, Router: r.router, Retry: r.retry}
	if change != nil {
		change(&opt)
	}
	r.d = New(opt)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		r.d.Close()
	})
	return r
}

// Snapshot implements view.Source.
func (r *rig) Snapshot() *view.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snap
}

// change publishes a modified copy of the snapshot.
func (r *rig) change(f func(*view.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.snap
	next.Groups = append([]view.Group(nil), r.snap.Groups...)
	next.VMs = append([]view.VM(nil), r.snap.VMs...)
	next.Nodes = append([]view.Node(nil), r.snap.Nodes...)
	f(&next)
	r.snap = &next
}

// addEngine starts an engine that forms a group of its own.
func (r *rig) addEngine(opt standin.Options) *standin.Engine {
	r.t.Helper()
	n := len(r.engines) + 1
	opt.VM = fleet.VM(fmt.Sprintf("e%d", n))
	opt.LoadTime = standin.NoDelay
	if opt.TokensPerSecond == 0 {
		opt.TokensPerSecond = 1e6
	}
	if opt.Slots == 0 {
		opt.Slots = 1024
	}
	e := standin.New(opt)
	srv := httptest.NewServer(e)
	r.t.Cleanup(func() {
		e.SetFaults(standin.Faults{}) // a stalled endpoint would not close
		srv.CloseClientConnections()
		e.Close()
		srv.Close()
	})
	r.engines = append(r.engines, e)
	addr := srv.Listener.Addr().String()
	g := view.Group{Group: fleet.Group{
		ID: fleet.GroupID(fmt.Sprintf("g%d", n)), Generation: 1, Phase: fleet.PhaseServing, Zone: testZone,
		Model: "renewals", Version: "v1",
		Members: []fleet.Member{{VM: opt.VM, Boot: e.State().Boot, Addr: addr, Fence: 1}},
	}, Whole: true, FreshUntil: forever}
	r.join(e, &g)
	r.change(func(s *view.Snapshot) { s.Groups = append(s.Groups, g) })
	return e
}

func (r *rig) join(e *standin.Engine, g *view.Group) {
	r.t.Helper()
	_, ok := e.Order(engine.Order{
		Verb: engine.VerbJoin, Fence: 1, Boot: e.State().Boot, Group: g.ID, Generation: g.Generation,
		Model: g.Model, Version: g.Version, Peers: []string{g.Members[0].Addr},
	})
	if !ok {
		r.t.Fatal("the engine refused to join")
	}
}

// addService starts an endpoint of the plain service "counter".
func (r *rig) addService() *service.Service {
	r.t.Helper()
	vm := fleet.VM(fmt.Sprintf("s%d", len(r.vms)+1))
	s := service.New(service.Options{VM: vm})
	srv := httptest.NewServer(s)
	r.t.Cleanup(func() {
		s.SetFaults(service.Faults{}) // a stalled endpoint would not close
		srv.CloseClientConnections()
		srv.Close()
	})
	r.vms = append(r.vms, s)
	rec := s.Record(srv.Listener.Addr().String())
	r.change(func(sn *view.Snapshot) { sn.VMs = append(sn.VMs, view.VM{Record: rec}) })
	return s
}

// addUnreachable adds an endpoint of the service that refuses connections.
func (r *rig) addUnreachable() {
	srv := httptest.NewServer(nil)
	addr := srv.Listener.Addr().String()
	srv.Close()
	rec := fleet.Record{VM: "dead", Addr: addr, Service: service.DefaultName}
	r.change(func(sn *view.Snapshot) { sn.VMs = append(sn.VMs, view.VM{Record: rec}) })
}

// listRouter picks the first untried destination in the snapshot's order, and counts
// tries.
type listRouter struct {
	mu      sync.Mutex
	begun   int
	results []route.Result
}

func (l *listRouter) Pick(req *request.Request, snap *view.Snapshot, _ clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	was := func(match func(route.TriedDestination) bool) bool {
		for _, t := range tried {
			if match(t) {
				return true
			}
		}
		return false
	}
	for i := range snap.Groups {
		g := &snap.Groups[i]
		if req.Class == request.ClassModel && g.Zone == snap.Zone && !was(func(t route.TriedDestination) bool { return t.Group == g.ID || t.VM != "" && t.VM == g.Members[0].VM }) {
			return route.Choice{Kind: route.ToGroup, Group: g}, nil
		}
	}
	for i := range snap.VMs {
		v := &snap.VMs[i]
		if req.Class != request.ClassModel && !was(func(t route.TriedDestination) bool { return t.VM == v.Record.VM }) {
			return route.Choice{Kind: route.ToEndpoint, VM: v}, nil
		}
	}
	for _, n := range snap.Nodes {
		if req.Hops == 0 && !was(func(t route.TriedDestination) bool { return t.Node == n.VM }) {
			return route.Choice{Kind: route.ToNode, Node: n.VM}, nil
		}
	}
	return route.Choice{}, outcome.New(outcome.NoCapacity, outcome.NotRun, "nothing is left to try", "come back later").WithRetryAfter(time.Second)
}

func (l *listRouter) Begin(route.Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun++
}

func (l *listRouter) End(_ route.Choice, res route.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, res)
}

// countingRetry allows all retries or none, and counts the requests for one.
type countingRetry struct {
	mu    sync.Mutex
	allow bool
	asked int
}

func (c *countingRetry) CountFirst(request.Class) {}

func (c *countingRetry) Allow(request.Class) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if !c.allow {
		return false, 3 * time.Second
	}
	return true, 0
}

// collector is an answer.Writer that stores the response.
type collector struct {
	mu       sync.Mutex
	head     answer.Head
	frames   []answer.Frame
	end      answer.End
	started  int
	finished int
	failFrom int // Frame fails from this frame on; 0: never
	done     chan struct{}
}

func newCollector() *collector { return &collector{done: make(chan struct{})} }

func (c *collector) Start(h answer.Head) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	c.head = h
	return nil
}

func (c *collector) Frame(f answer.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames = append(c.frames, f)
	if c.failFrom > 0 && len(c.frames) >= c.failFrom {
		return fmt.Errorf("the caller's connection is gone")
	}
	return nil
}

func (c *collector) Finish(e answer.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
	c.end = e
	if c.finished == 1 {
		close(c.done)
	}
}

// replay writes the response to another writer.
func (c *collector) replay(w answer.Writer) {
	w.Start(c.head)
	for _, f := range c.frames {
		w.Frame(f)
	}
	c.end.Frames = uint64(len(c.frames))
	w.Finish(c.end)
}

func (c *collector) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.frames)
}

func (c *collector) body() string {
	var b strings.Builder
	for _, f := range c.frames {
		b.Write(f.Data)
	}
	return b.String()
}

// tokens returns the text of each token event.
func (c *collector) tokens(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, f := range c.frames {
		var chunk engine.ChatChunk
		if err := json.Unmarshal(f.Data, &chunk); err != nil {
			t.Fatal(err)
		}
		if chunk.Choices[0].FinishReason == nil {
			out = append(out, chunk.Choices[0].Delta.Content)
		}
	}
	return out
}

// serve sends the request and returns when it has finished.
func (r *rig) serve(ctx context.Context, req *request.Request) *collector {
	c := newCollector()
	r.d.Serve(ctx, req, c)
	return c
}

func (r *rig) deadline() clock.Instant { return r.clock.Now().Add(waitTimeout) }

func (r *rig) receipt(id string) *request.Request {
	return &request.Request{
		ID: id, Class: request.ClassCall, Service: service.DefaultName, Method: "POST", Path: "/receipts",
		Body: []byte(`{"fee":` + strings.Repeat("1", 64) + `}`), Deadline: r.deadline(),
	}
}

func (r *rig) lookup(id string) *request.Request {
	return &request.Request{
		ID: id, Class: request.ClassLookup, Service: service.DefaultName, Method: "GET", Path: "/licences/7",
		Idempotent: true, Deadline: r.deadline(),
	}
}

func chatBody(prompt string, tokens int, stream bool) []byte {
	b, err := json.Marshal(engine.ChatRequest{
		Model: "renewals", Messages: []engine.Message{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: stream,
	})
	if err != nil {
		panic(err)
	}
	return b
}

func (r *rig) chat(id string, tokens int, stream bool) *request.Request {
	return &request.Request{
		ID: id, Organisation: "sagarmatha", Class: request.ClassModel, Idempotent: true, Method: "POST",
		Path: "/v1/chat/completions", Body: chatBody("prompt of "+id, tokens, stream), Stream: stream,
		Target: fleet.Target{Model: "renewals"}, Deadline: r.deadline(),
	}
}
