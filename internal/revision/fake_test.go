package revision_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/revision"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// table is an in-memory platform table that can lose answers, be down and be
// put back to an older state.
type table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	down bool
	// beforeCommit runs before each transaction, outside the lock.
	beforeCommit func()
	// lose makes the next transactions that commit answer ErrAmbiguous.
	lose int
	// downAfterLoss takes the table down with a lost answer.
	downAfterLoss bool
	// downAfter takes the table down after that many more requests; 0: not.
	downAfter int
	// drop makes the next transactions have no effect and answer ErrAmbiguous;
	// they stay in flight and may be delivered later.
	drop     int
	inFlight []platform.Txn
	// landAfter lets them land after that many more reads; 0: not.
	landAfter int
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) Get(ctx context.Context, name, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count(ctx) {
		return platform.Row{}, platform.ErrDown
	}
	row := t.rows[name+"/"+key]
	if t.landAfter > 0 {
		if t.landAfter--; t.landAfter == 0 {
			t.land()
		}
	}
	return row, nil
}

// count counts a request and reports whether it fails.
func (t *table) count(ctx context.Context) bool {
	failed := t.down || ctx.Err() != nil
	if t.downAfter > 0 {
		t.downAfter--
		t.down = t.down || t.downAfter == 0
	}
	return failed
}

func (t *table) List(_ context.Context, name, prefix string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for _, k := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(k, name+"/"+prefix) {
			out = append(out, t.rows[k])
		}
	}
	return out, nil
}

func (t *table) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	if hook := t.hook(); hook != nil {
		hook()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count(ctx) {
		return platform.Result{}, platform.ErrDown
	}
	if t.drop > 0 {
		t.drop--
		t.inFlight = append(t.inFlight, txn)
		return platform.Result{}, platform.ErrAmbiguous
	}
	res := t.apply(txn)
	if res.Committed && t.lose > 0 {
		t.lose--
		t.down = t.downAfterLoss
		return platform.Result{}, platform.ErrAmbiguous
	}
	return res, nil
}

func (t *table) hook() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	hook := t.beforeCommit
	t.beforeCommit = nil
	return hook
}

func (t *table) apply(txn platform.Txn) platform.Result {
	for _, c := range txn.Checks {
		if t.rows[c.Table+"/"+c.Key].Version != c.Version {
			return platform.Result{}
		}
	}
	for _, w := range txn.Writes {
		key := w.Table + "/" + w.Key
		if w.Delete {
			delete(t.rows, key)
			continue
		}
		t.rows[key] = platform.Row{Table: w.Table, Key: w.Key, Version: t.rows[key].Version + 1, Value: w.Value, Attempt: txn.Attempt}
	}
	return platform.Result{Committed: true}
}

// deliver lets the writes that were in flight reach the table.
func (t *table) deliver() (committed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.land()
}

func (t *table) land() (committed int) {
	for _, txn := range t.inFlight {
		if t.apply(txn).Committed {
			committed++
		}
	}
	t.inFlight = nil
	return committed
}

func (t *table) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *table) backup() map[string]platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.rows)
}

func (t *table) restore(rows map[string]platform.Row) {
	t.set(func() { t.rows = maps.Clone(rows) })
}

// mesh carries messages among keepers, except between VMs that are cut off.
type mesh struct {
	mu      sync.Mutex
	keepers map[fleet.VM]*revision.Keeper
	cut     map[fleet.VM]bool
	told    map[fleet.VM]uint64 // number that each VM last broadcast, whoever heard it
}

func newMesh() *mesh {
	return &mesh{keepers: map[fleet.VM]*revision.Keeper{}, cut: map[fleet.VM]bool{}, told: map[fleet.VM]uint64{}}
}

var errCut = errors.New("cut off")

func (m *mesh) reach(from, to fleet.VM) *revision.Keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut[from] || m.cut[to] {
		return nil
	}
	return m.keepers[to]
}

func (m *mesh) others(self fleet.VM) []fleet.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.Sorted(maps.Keys(m.keepers))
	return slices.DeleteFunc(all, func(vm fleet.VM) bool { return vm == self })
}

func (m *mesh) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// port is one node's side of the mesh.
type port struct {
	mesh *mesh
	self fleet.VM
}

func (p port) Broadcast(topic string, payload []byte) {
	if topic != revision.TopicAnnounce {
		panic("unknown topic " + topic)
	}
	for _, vm := range p.mesh.others(p.self) {
		if k := p.mesh.reach(p.self, vm); k != nil {
			k.HandleAnnounce(fleet.Node{VM: p.self}, payload)
		}
	}
	var a revision.Announcement
	if err := cbor.Unmarshal(payload, &a); err != nil {
		panic(err)
	}
	p.mesh.set(func() { p.mesh.told[p.self] = a.Stamp.Number })
}

func (p port) Call(ctx context.Context, to fleet.VM, method string, payload []byte) ([]byte, error) {
	k := p.mesh.reach(p.self, to)
	if k == nil {
		return nil, errCut
	}
	switch method {
	case revision.MethodFetch:
		return k.HandleFetch(ctx, fleet.Node{VM: p.self}, payload)
	case revision.MethodHighest:
		return k.HandleHighest(ctx, fleet.Node{VM: p.self}, payload)
	}
	panic("unknown method " + method)
}
