// Package platform is a small in-memory stand-in for the platform's service:
// the transactional table, the object store and the lagging list of VMs. Tests
// and the demo use it; its faults can be switched while it runs.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/standin/fault"
)

// Default rates of the service, in rows written and reads a second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Options describe a stand-in platform.
type Options struct {
	VMs             []fleet.Record  `yaml:"-"`
	ListLag         config.Duration `yaml:"list_lag"`
	WritesPerSecond float64         `yaml:"writes_per_second"` // rows; default 400
	ReadsPerSecond  float64         `yaml:"reads_per_second"`  // default 2000
	NoLimits        bool            `yaml:"no_limits"`
	Clock           clock.Clock     `yaml:"-"` // default clock.Boot
}

// Stats counts what was asked of the platform.
type Stats struct {
	Reads       uint64 `json:"reads"`        // gets, lists of rows, lists of VMs, objects
	Lists       uint64 `json:"lists"`        // of the reads, lists of rows
	ListedRows  uint64 `json:"listed_rows"`  // rows returned by lists
	Writes      uint64 `json:"writes"`       // transactions and objects put
	WrittenRows uint64 `json:"written_rows"` // rows that committed transactions wrote
	Conflicts   uint64 `json:"conflicts"`    // transactions whose checks failed
	Replays     uint64 `json:"replays"`      // transactions answered from their attempt
	Limited     uint64 `json:"limited"`      // requests refused for the rate
}

// Platform is the stand-in. It is an http.Handler, and implements the same
// interfaces as the client for use within a process. It is safe for concurrent
// use.
type Platform struct {
	clock  clock.Clock
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	store  *store
	saved  *store
	vms    *vmList
	faults Faults
	stats  Stats
}

var (
	_ platform.Table   = (*Platform)(nil)
	_ platform.Objects = (*Platform)(nil)
	_ platform.VMList  = (*Platform)(nil)
)

// New returns a platform with an empty table.
func New(o Options) *Platform {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	p := &Platform{
		clock:  o.Clock,
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(o.WritesPerSecond)),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(o.ReadsPerSecond)),
		store:  newStore(),
		vms:    newVMList(o.VMs),
		faults: Faults{ListLag: o.ListLag, NoLimits: o.NoLimits},
	}
	p.mux = p.routes()
	return p
}

// AddVM adds or replaces a VM of the list.
func (p *Platform) AddVM(r fleet.Record) {
	p.changeVMs(func(vms map[fleet.VM]fleet.Record) { vms[r.VM] = withState(r) })
}

// RemoveVM takes a VM off the list.
func (p *Platform) RemoveVM(vm fleet.VM) {
	p.changeVMs(func(vms map[fleet.VM]fleet.Record) { delete(vms, vm) })
}

// SetVMState changes the state of a VM that is on the list.
func (p *Platform) SetVMState(vm fleet.VM, s fleet.State) {
	p.changeVMs(func(vms map[fleet.VM]fleet.Record) {
		r, ok := vms[vm]
		if ok {
			r.State = s
			vms[vm] = r
		}
	})
}

func (p *Platform) changeVMs(f func(map[fleet.VM]fleet.Record)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.change(p.clock.Now(), f)
}

// Faults returns the faults as they stand.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Save keeps a copy of the store for Restore.
func (p *Platform) Save() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = p.store.clone()
}

// Restore rolls the store back to the copy kept by Save.
func (p *Platform) Restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved == nil {
		return errors.New("no copy of the store was kept; save one first")
	}
	p.store = p.saved.clone()
	return nil
}

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// fate is what the faults make of one request.
type fate int

const (
	fatePass       fate = iota
	fateClosed          // the connection closes; nothing is applied
	fateRefused         // 503; nothing is applied
	fateLimited         // 429; nothing is applied
	fateLoseAnswer      // applied; the connection closes without an answer
)

// access is one request's use of the service.
type access struct {
	write bool
	rows  int // rows written; 0: one
}

// enter delays a request as the faults say and decides its fate.
func (p *Platform) enter(ctx context.Context, a access) fate {
	p.mu.Lock()
	slow := p.faults.slow()
	p.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return fateClosed
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.Down == DownClose:
		return fateClosed
	case p.faults.Down == DownRefused:
		return fateRefused
	case !p.faults.NoLimits && !p.withinRate(a):
		p.stats.Limited++
		return fateLimited
	case a.write && fault.Take(&p.faults.DropBefore):
		return fateClosed
	case a.write && fault.Take(&p.faults.LoseAnswers):
		return fateLoseAnswer
	default:
		return fatePass
	}
}

// withinRate counts each row of a transaction as one write.
func (p *Platform) withinRate(a access) bool {
	now := time.Unix(0, int64(p.clock.Now()))
	if !a.write {
		return p.reads.AllowN(now, 1)
	}
	n := min(max(a.rows, 1), p.writes.Burst())
	return p.writes.AllowN(now, n)
}

// errorOf returns the error of a request made within the process.
func errorOf(f fate) error {
	switch f {
	case fateLimited:
		return fmt.Errorf("%w: %w", platform.ErrDown, platform.ErrLimited)
	case fateClosed, fateRefused:
		return platform.ErrDown
	case fateLoseAnswer:
		return platform.ErrAmbiguous
	default:
		return nil
	}
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := errorOf(p.enter(ctx, access{})); err != nil {
		return platform.Row{}, err
	}
	return p.get(table, key), nil
}

func (p *Platform) get(table, key string) platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.store.get(table, key)
}

// List implements platform.Table.
func (p *Platform) List(ctx context.Context, table, prefix string) ([]platform.Row, error) {
	if err := errorOf(p.enter(ctx, access{})); err != nil {
		return nil, err
	}
	return p.list(table, prefix), nil
}

func (p *Platform) list(table, prefix string) []platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := p.store.list(table, prefix)
	p.stats.Reads++
	p.stats.Lists++
	p.stats.ListedRows += uint64(len(rows))
	return rows
}

// Commit implements platform.Table. A lost answer is not read back here: the
// caller gets ErrAmbiguous, as from a client whose reading back failed.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	a := access{write: true, rows: len(txn.Writes)}
	f := p.enter(ctx, a)
	if f != fatePass && f != fateLoseAnswer {
		return platform.Result{}, errorOf(f)
	}
	res := p.commit(txn)
	return res, errorOf(f)
}

func (p *Platform) commit(txn platform.Txn) platform.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	remembers := txn.Attempt != "" && !p.faults.ForgetAttempts
	if res, ok := p.store.known(txn.Attempt); ok && remembers {
		p.stats.Replays++
		return res
	}
	res := p.store.commit(txn)
	if res.Committed {
		p.stats.WrittenRows += uint64(len(res.Rows))
	} else {
		p.stats.Conflicts++
	}
	if remembers {
		p.store.remember(txn.Attempt, res)
	}
	return res
}

// PutObject implements platform.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	a := access{write: true}
	f := p.enter(ctx, a)
	if f == fatePass || f == fateLoseAnswer {
		p.putObject(name, data)
	}
	return errorOf(f)
}

func (p *Platform) putObject(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	p.store.objects[name] = slices.Clone(data)
}

// GetObject implements platform.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := errorOf(p.enter(ctx, access{})); err != nil {
		return nil, err
	}
	data, ok := p.getObject(name)
	if !ok {
		return nil, fmt.Errorf("%w: %q", platform.ErrNotFound, name)
	}
	return data, nil
}

func (p *Platform) getObject(name string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	data, ok := p.store.objects[name]
	return data, ok
}

// VMs implements platform.VMList.
func (p *Platform) VMs(ctx context.Context) ([]fleet.Record, error) {
	if err := errorOf(p.enter(ctx, access{})); err != nil {
		return nil, err
	}
	return p.listVMs(), nil
}

func (p *Platform) listVMs() []fleet.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.vms.at(p.clock.Now(), p.faults.lag())
}
