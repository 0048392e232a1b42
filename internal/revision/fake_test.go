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
// restored to an older state.
type table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	down bool
	// beforeCommit runs before each transaction, outside the lock.
	beforeCommit func()
	// loseAnswers is how many of the next committed transactions are answered with
	// ErrAmbiguous.
	loseAnswers int
	// downAfterLoss sets down when an answer is lost.
	downAfterLoss bool
	// downAfter is the number of further requests after which the table goes
	// down; 0: never.
	downAfter int
	// delayWrites is how many of the next transactions have no effect and are
	// answered with ErrAmbiguous; they stay in flight and may be delivered
	// later.
	delayWrites int
	inFlight    []platform.Txn
	// deliverAfter is the number of further reads after which the transactions in
	// flight are applied; 0: never.
	deliverAfter int
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) Get(ctx context.Context, name, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.countRequest(ctx) {
		return platform.Row{}, platform.ErrUnavailable
	}
	row := t.rows[name+"/"+key]
	if t.deliverAfter > 0 {
		if t.deliverAfter--; t.deliverAfter == 0 {
			t.deliverLocked()
		}
	}
	return row, nil
}

// countRequest counts a request and reports whether it fails.
func (t *table) countRequest(ctx context.Context) bool {
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
	if hook := t.takeHook(); hook != nil {
		hook()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.countRequest(ctx) {
		return platform.Result{}, platform.ErrUnavailable
	}
	if t.delayWrites > 0 {
		t.delayWrites--
		t.inFlight = append(t.inFlight, txn)
		return platform.Result{}, platform.ErrAmbiguous
	}
	res := t.apply(txn)
	if res.Committed && t.loseAnswers > 0 {
		t.loseAnswers--
		t.down = t.downAfterLoss
		return platform.Result{}, platform.ErrAmbiguous
	}
	return res, nil
}

func (t *table) takeHook() func() {
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

// deliver applies the transactions in flight and returns how many committed.
func (t *table) deliver() (committed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deliverLocked()
}

func (t *table) deliverLocked() (committed int) {
	for _, txn := range t.inFlight {
		if t.apply(txn).Committed {
			committed++
		}
	}
	t.inFlight = nil
	return committed
}

func (t *table) update(change func()) {
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
	t.update(func() { t.rows = maps.Clone(rows) })
}

// mesh delivers messages between keepers, except to and from VMs that are cut
// off.
type mesh struct {
	mu            sync.Mutex
	keepers       map[fleet.VM]*revision.Keeper
	cutOff        map[fleet.VM]bool
	lastBroadcast map[fleet.VM]uint64 // revision number last broadcast by each VM, whether or not any peer received it
}

func newMesh() *mesh {
	return &mesh{keepers: map[fleet.VM]*revision.Keeper{}, cutOff: map[fleet.VM]bool{}, lastBroadcast: map[fleet.VM]uint64{}}
}

var errCutOff = errors.New("cut off")

func (m *mesh) reachableKeeper(from, to fleet.VM) *revision.Keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cutOff[from] || m.cutOff[to] {
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

func (m *mesh) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// port is one node's connection to the mesh; it implements revision.Peers.
type port struct {
	mesh *mesh
	self fleet.VM
}

func (p port) Broadcast(topic string, payload []byte) {
	if topic != revision.TopicAnnounce {
		panic("unknown topic " + topic)
	}
	for _, vm := range p.mesh.others(p.self) {
		if k := p.mesh.reachableKeeper(p.self, vm); k != nil {
			k.HandleAnnounce(fleet.Node{VM: p.self}, payload)
		}
	}
	var a revision.Announcement
	if err := cbor.Unmarshal(payload, &a); err != nil {
		panic(err)
	}
	p.mesh.update(func() { p.mesh.lastBroadcast[p.self] = a.Stamp.Number })
}

func (p port) Call(ctx context.Context, to fleet.VM, method string, payload []byte) ([]byte, error) {
	k := p.mesh.reachableKeeper(p.self, to)
	if k == nil {
		return nil, errCutOff
	}
	switch method {
	case revision.MethodFetch:
		return k.HandleFetch(ctx, fleet.Node{VM: p.self}, payload)
	case revision.MethodHighest:
		return k.HandleHighest(ctx, fleet.Node{VM: p.self}, payload)
	}
	panic("unknown method " + method)
}
