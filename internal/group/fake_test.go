package group

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// fakeTable is an in-memory transactional table.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	down    bool
	commits int
	// loseNextReply makes the next commit take effect but return ErrAmbiguous.
	loseNextReply bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (t *fakeTable) row(table, key string) platform.Row {
	if r, ok := t.rows[table+"/"+key]; ok {
		return r
	}
	return platform.Row{Table: table, Key: key}
}

func (t *fakeTable) Get(_ context.Context, table, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.row(table, key), nil
}

func (t *fakeTable) List(_ context.Context, table, prefix string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Row
	for _, r := range t.rows {
		if r.Table == table && strings.HasPrefix(r.Key, prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) (platform.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Result{}, platform.ErrUnavailable
	}
	var failed []platform.Row
	for _, c := range txn.Checks {
		if r := t.row(c.Table, c.Key); r.Version != c.Version {
			failed = append(failed, r)
		}
	}
	if len(failed) > 0 {
		return platform.Result{Rows: failed}, nil
	}
	t.commits++
	var written []platform.Row
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Table+"/"+w.Key)
			continue
		}
		r := platform.Row{Table: w.Table, Key: w.Key, Version: t.row(w.Table, w.Key).Version + 1, Value: w.Value, Attempt: txn.Attempt}
		t.rows[w.Table+"/"+w.Key] = r
		written = append(written, r)
	}
	if t.loseNextReply {
		t.loseNextReply = false
		return platform.Result{}, platform.ErrAmbiguous
	}
	return platform.Result{Committed: true, Rows: written}, nil
}

// fakeEngine is one engine VM. It is loaded after loadTicks ticks.
type fakeEngine struct {
	state       fleet.EngineState
	checksFence bool // refuses orders with an old fence
	dead        bool
	ticksLeft   float64 // ticks until loaded
	running     int
	loadSeq     uint64
}

// fakeEngines implements the engine client for a set of engines by address.
type fakeEngines struct {
	mu        sync.Mutex
	byAddr    map[string]*fakeEngine
	loadTicks int
	// storeRate, if not 0, is the number of load ticks that the weight store
	// serves in one tick, summed over all engines.
	storeRate float64
}

var errNoAnswer = errors.New("no answer")

func (f *fakeEngines) lookup(addr string) (*fakeEngine, error) {
	e := f.byAddr[addr]
	if e == nil || e.dead {
		return nil, errNoAnswer
	}
	return e, nil
}

func (f *fakeEngines) State(_ context.Context, addr string) (fleet.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.lookup(addr)
	if err != nil {
		return fleet.EngineState{}, err
	}
	if f.storeRate == 0 {
		e.tick(1)
	}
	return e.state, nil
}

func (f *fakeEngines) LoadReport(_ context.Context, addr string) (fleet.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.lookup(addr)
	if err != nil {
		return fleet.Load{}, err
	}
	e.loadSeq++
	return fleet.Load{VM: e.state.VM, Boot: e.state.Boot, Sequence: e.loadSeq, Running: e.running, Slots: 8}, nil
}

func (f *fakeEngines) CacheEvents(context.Context, string, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (f *fakeEngines) Order(_ context.Context, addr string, o engine.Order) (engine.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.lookup(addr)
	if err != nil {
		return engine.OrderResult{}, err
	}
	return e.order(o, float64(f.loadTicks)), nil
}

func (e *fakeEngine) tick(n float64) {
	if e.ticksLeft > 0 {
		e.ticksLeft -= min(n, e.ticksLeft)
		e.state.Loaded = e.ticksLeft == 0
	}
}

// tickStore divides one tick of the weight store among the loading engines.
func (f *fakeEngines) tickStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	loading := 0
	for _, e := range f.byAddr {
		if e.ticksLeft > 0 {
			loading++
		}
	}
	for _, e := range f.byAddr {
		e.tick(min(1, f.storeRate/float64(max(loading, 1))))
	}
}

func (e *fakeEngine) order(o engine.Order, loadTicks float64) engine.OrderResult {
	st := &e.state
	if o.Boot != st.Boot || e.checksFence && o.Fence < st.Fence {
		return engine.OrderResult{State: *st}
	}
	if e.checksFence {
		st.Fence = o.Fence
	}
	if o.Verb == engine.VerbLeave {
		*st = fleet.EngineState{VM: st.VM, Boot: st.Boot, Fence: st.Fence, Leaving: st.Leaving}
		e.ticksLeft = 0
		return engine.OrderResult{Accepted: true, State: *st}
	}
	if !st.Loaded || st.Model != o.Model || st.Version != o.Version {
		if st.Model != o.Model || st.Version != o.Version || e.ticksLeft == 0 {
			e.ticksLeft = loadTicks
		}
		st.Loaded = e.ticksLeft == 0
	}
	st.Group, st.Generation, st.Rank = o.Group, o.Generation, o.Rank
	st.Model, st.Version, st.Adapters = o.Model, o.Version, o.Adapters
	return engine.OrderResult{Accepted: true, State: *st}
}

// reboot restarts the engine with a new boot id at the same address.
func (e *fakeEngine) reboot(boot fleet.BootID) {
	*e = fakeEngine{state: fleet.EngineState{VM: e.state.VM, Boot: boot}, checksFence: e.checksFence, loadSeq: 0}
}

// newFleet returns engines in domains of the given sizes, and the platform's
// records of them.
func newFleet(zone fleet.AvailabilityZone, sizes ...int) (*fakeEngines, []fleet.Record) {
	f := &fakeEngines{byAddr: map[string]*fakeEngine{}}
	var list []fleet.Record
	for d, n := range sizes {
		for i := range n {
			vm := fleet.VM(fmt.Sprintf("%s-d%d-%02d", zone, d, i))
			addr := string(vm) + ":1"
			f.byAddr[addr] = &fakeEngine{state: fleet.EngineState{VM: vm, Boot: fleet.BootID("boot1-" + string(vm))}, checksFence: true}
			list = append(list, fleet.Record{
				VM: vm, Kind: fleet.KindEngine, Addr: addr, Zone: zone,
				Domain: fleet.FabricDomain(fmt.Sprintf("%s-d%d", zone, d)), Accelerators: 8, State: fleet.StateLive,
			})
		}
	}
	return f, list
}
