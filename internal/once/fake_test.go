package once

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/platform"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTable is an in-memory table with conditional commits and fault injection.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]platform.Row
	down          atomic.Bool
	refuse        atomic.Bool  // commits fail with ErrRejected, without effect
	loseResponses atomic.Int32 // number of next commits that are applied but fail with ErrAmbiguous
	failReads     atomic.Bool  // reads fail
	commits       atomic.Int64
	onCommit      func() // if not nil, called after each commit
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (f *fakeTable) Get(_ context.Context, _, key string) (platform.Row, error) {
	if f.down.Load() || f.failReads.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key], nil
}

func (f *fakeTable) List(_ context.Context, _, prefix string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	return out, nil
}

func (f *fakeTable) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	if f.down.Load() {
		return platform.Result{}, platform.ErrUnavailable
	}
	if f.refuse.Load() {
		return platform.Result{}, platform.ErrRejected
	}
	f.commits.Add(1)
	res := f.apply(txn)
	if f.onCommit != nil {
		f.onCommit()
	}
	if f.loseResponses.Add(-1) >= 0 {
		return platform.Result{}, platform.ErrAmbiguous
	}
	return res, nil
}

func (f *fakeTable) apply(txn platform.Txn) platform.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var res platform.Result
	for _, c := range txn.Checks {
		if row := f.rows[c.Key]; row.Version != c.Version {
			row.Table, row.Key = c.Table, c.Key
			res.Rows = append(res.Rows, row)
		}
	}
	if len(res.Rows) > 0 {
		return res
	}
	res.Committed = true
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		row := platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: f.rows[w.Key].Version + 1, Attempt: txn.Attempt}
		f.rows[w.Key] = row
		res.Rows = append(res.Rows, row)
	}
	return res
}

// fakeView is a view.Source with a constant snapshot.
type fakeView view.Snapshot

func (v *fakeView) Snapshot() *view.Snapshot { return (*view.Snapshot)(v) }

func testView() view.Source {
	return &fakeView{Revision: 1, Config: &config.Document{Organisations: []config.Organisation{{Name: "org"}}}}
}

// fakeNet connects the nodes of a test. A node without a path is partitioned.
type fakeNet struct {
	mu    sync.Mutex
	paths map[fleet.VM]filter.Handler
}

func (n *fakeNet) path(to, from fleet.VM) filter.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paths[from] == nil {
		return nil
	}
	return n.paths[to]
}

func (n *fakeNet) setPath(vm fleet.VM, h filter.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paths[vm] = h
}

func (n *fakeNet) Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error {
	h := n.path(to, req.ForwardedBy)
	if h == nil {
		return outcome.New(outcome.EndpointFailed, outcome.NotRun, "node not reached", "try again")
	}
	received := &receivedAnswer{}
	h.Serve(ctx, req, received)
	switch {
	case n.path(to, req.ForwardedBy) == nil:
		return outcome.New(outcome.EndpointFailed, outcome.Unknown, "the link broke", "look up")
	case !received.started:
		return received.end.Error
	}
	w.Start(received.head)
	w.Frame(answer.Frame{Data: []byte(received.body)})
	w.Finish(received.end)
	return nil
}

// receivedAnswer records an answer as received by a caller.
type receivedAnswer struct {
	head    answer.Head
	body    string
	end     answer.End
	started bool
}

func (g *receivedAnswer) Start(h answer.Head) error  { g.head, g.started = h, true; return nil }
func (g *receivedAnswer) Frame(f answer.Frame) error { g.body += string(f.Data); return nil }
func (g *receivedAnswer) Finish(e answer.End)        { g.end = e }

func (g *receivedAnswer) outcome() outcome.Outcome {
	if g.end.Complete {
		return outcome.Ran
	}
	return g.end.Error.Outcome
}

// endpoint counts the runs and answers with body.
type endpoint struct {
	runs atomic.Int64
	fail atomic.Pointer[outcome.Error]
	body string
}

func (e *endpoint) Serve(_ context.Context, _ *request.Request, w answer.Writer) {
	if err := e.fail.Load(); err != nil {
		w.Finish(answer.End{Error: err})
		return
	}
	e.runs.Add(1)
	w.Start(answer.Head{Status: 200})
	w.Frame(answer.Frame{Data: []byte(e.body)})
	w.Finish(answer.End{Complete: true, Bytes: uint64(len(e.body))})
}

// testCluster is a set of nodes that share a table and an endpoint.
type testCluster struct {
	t               testing.TB
	table           *fakeTable
	net             *fakeNet
	endpoint        *endpoint
	clock           *clock.Manual
	limits          WriteLimits
	maxEntries      int
	lastIncarnation fleet.Incarnation
}

func newTestCluster(t testing.TB) *testCluster {
	return &testCluster{
		t: t, table: newFakeTable(), net: &fakeNet{paths: map[fleet.VM]filter.Handler{}},
		endpoint: &endpoint{body: "receipt 1"}, clock: clock.NewManual(1),
		limits: WriteLimits{MinInterval: time.Microsecond, NoteDelay: time.Millisecond},
	}
}

var testSecret = []byte("a secret of the tests, long enough")

// startKeeper creates and runs a Keeper.
func startKeeper(opt Options) (k *Keeper, stop func()) {
	opt.Log, opt.Secret = slog.New(slog.DiscardHandler), testSecret
	k, err := New(opt)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	return k, func() { cancel(); <-done }
}

// start starts a new incarnation of the node on the VM.
func (b *testCluster) start(vm fleet.VM) *Keeper {
	b.lastIncarnation++
	k, stop := startKeeper(Options{
		Self: fleet.Node{VM: vm, Incarnation: b.lastIncarnation}, Table: b.table, Peers: b.net, View: testView(), Clock: b.clock,
		Write: b.limits, SweepInterval: time.Hour, MaxEntries: b.maxEntries, ClaimTimeout: 10 * time.Second,
	})
	b.t.Cleanup(stop)
	b.net.setPath(vm, k.Filter()(b.endpoint))
	return k
}

// send sends a call to the node and returns its answer.
func (b *testCluster) send(vm fleet.VM, change func(*request.Request)) *receivedAnswer {
	req := &request.Request{
		ID: "r", Organisation: "org", Class: request.ClassCall, Service: "receipts", Method: "POST",
		Path: "/receipts", Body: []byte("driver 7"),
	}
	change(req)
	g := &receivedAnswer{}
	b.net.path(vm, vm).Serve(context.Background(), req, g)
	return g
}

func withKey(key string) func(*request.Request) {
	return func(r *request.Request) { r.Key = key }
}

func withTicket(t string) func(*request.Request) {
	return func(r *request.Request) { r.Ticket = t }
}
