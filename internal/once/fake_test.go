package once

import (
	"context"
	"io"
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

// fakeTable is a conditional table with faults.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	latency time.Duration
	down    atomic.Bool
	lose    atomic.Int32 // how many of the next commits take effect and lose their answer
	blind   atomic.Bool  // reads fail
	commits atomic.Int64
	writes  atomic.Int64
	hold    chan struct{} // not nil: commits wait until it is closed
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (f *fakeTable) Get(_ context.Context, _, key string) (platform.Row, error) {
	if f.down.Load() || f.blind.Load() {
		return platform.Row{}, platform.ErrDown
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
	if f.hold != nil {
		<-f.hold
	}
	if f.latency > 0 {
		time.Sleep(f.latency)
	}
	if f.down.Load() {
		return platform.Result{}, platform.ErrDown
	}
	f.commits.Add(1)
	res := f.apply(txn)
	if f.lose.Add(-1) >= 0 {
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
		f.writes.Add(1)
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

// fakeView is a view of three nodes.
type fakeView struct{ snap atomic.Pointer[view.Snapshot] }

func (v *fakeView) Snapshot() *view.Snapshot { return v.snap.Load() }

// fakeNet joins the nodes of a test.
type fakeNet struct {
	mu    sync.Mutex
	paths map[fleet.VM]filter.Handler
}

func (n *fakeNet) Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error {
	n.mu.Lock()
	h := n.paths[to]
	n.mu.Unlock()
	if h == nil {
		return outcome.New(outcome.EndpointFailed, outcome.NotRun, "node not reached", "try again")
	}
	held := &got{}
	h.Serve(ctx, req, held)
	if !held.began {
		return held.end.Error
	}
	w.Start(held.head)
	w.Frame(answer.Frame{Data: []byte(held.body)})
	w.Finish(held.end)
	return nil
}

// got is an answer as a caller sees it.
type got struct {
	head  answer.Head
	body  string
	end   answer.End
	began bool
}

func (g *got) Start(h answer.Head) error  { g.head, g.began = h, true; return nil }
func (g *got) Frame(f answer.Frame) error { g.body += string(f.Data); return nil }
func (g *got) Finish(e answer.End)        { g.end = e }

func (g *got) outcome() outcome.Outcome {
	if g.end.Whole {
		return outcome.Ran
	}
	return g.end.Error.Outcome
}

// endpoint counts runs and answers with its body.
type endpoint struct {
	runs atomic.Int64
	fail atomic.Pointer[outcome.Error]
	hold chan struct{} // not nil: runs wait until it is closed
	body string
}

func (e *endpoint) Serve(_ context.Context, _ *request.Request, w answer.Writer) {
	if err := e.fail.Load(); err != nil {
		w.Finish(answer.End{Error: err})
		return
	}
	e.runs.Add(1)
	if e.hold != nil {
		<-e.hold
	}
	w.Start(answer.Head{Status: 200})
	w.Frame(answer.Frame{Data: []byte(e.body)})
	w.Finish(answer.End{Whole: true, Bytes: uint64(len(e.body))})
}

// bench is three nodes that share a table and an endpoint.
type bench struct {
	t        testing.TB
	table    *fakeTable
	net      *fakeNet
	endpoint *endpoint
	clock    *clock.Manual
	view     *fakeView
	keepers  map[fleet.VM]*Keeper
	limits   WriteLimits
	maxSlots int
	sequence fleet.Incarnation
}

func newBench(t testing.TB) *bench {
	b := &bench{
		t: t, table: newFakeTable(), net: &fakeNet{paths: map[fleet.VM]filter.Handler{}},
		endpoint: &endpoint{body: "receipt 1"}, clock: clock.NewManual(1), view: &fakeView{},
		keepers: map[fleet.VM]*Keeper{}, limits: WriteLimits{Gap: time.Microsecond, NoteDelay: time.Millisecond},
	}
	b.view.snap.Store(&view.Snapshot{Revision: 1, Config: &config.Document{Organisations: []config.Organisation{{Name: "org"}}}})
	return b
}

var testSecret = []byte("a secret of the tests, long enough")

// start starts a new life of the node on the VM.
func (b *bench) start(vm fleet.VM) *Keeper {
	b.sequence++
	k, err := New(Options{
		Self: fleet.Node{VM: vm, Incarnation: b.sequence}, Table: b.table, Peers: b.net, View: b.view, Clock: b.clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Secret: testSecret,
		Write: b.limits, SweepEvery: time.Hour, MaxEntries: b.maxSlots, ClaimWait: 10 * time.Second,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	b.t.Cleanup(func() { cancel(); <-done })
	b.keepers[vm] = k
	b.net.mu.Lock()
	b.net.paths[vm] = k.Filter()(b.endpoint)
	b.net.mu.Unlock()
	return k
}

// crash takes the node away.
func (b *bench) crash(vm fleet.VM) {
	b.net.mu.Lock()
	delete(b.net.paths, vm)
	b.net.mu.Unlock()
}

// send sends a call to the node.
func (b *bench) send(vm fleet.VM, change func(*request.Request)) *got {
	req := &request.Request{
		ID: "r", Organisation: "org", Class: request.ClassCall, Service: "receipts", Method: "POST",
		Path: "/receipts", Body: []byte("driver 7"),
	}
	change(req)
	b.net.mu.Lock()
	h := b.net.paths[vm]
	b.net.mu.Unlock()
	g := &got{}
	h.Serve(context.Background(), req, g)
	return g
}

func withKey(key string) func(*request.Request) {
	return func(r *request.Request) { r.Key = key }
}

func withTicket(t string) func(*request.Request) {
	return func(r *request.Request) { r.Ticket = t }
}
