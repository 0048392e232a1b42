// Package platform is an in-memory stand-in for the platform's service: the
// transactional table, the object store and the list of VMs, which lags. Tests and the
// demo use it. Faults can be injected while it runs.
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

// Default rate limits, in rows written and reads per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Options configures a stand-in platform. Zero values select the defaults.
type Options struct {
	VMs             []fleet.Record  `yaml:"-"`
	ListLag         config.Duration `yaml:"list_lag"`
	WritesPerSecond float64         `yaml:"writes_per_second"` // in rows; default DefaultWritesPerSecond
	ReadsPerSecond  float64         `yaml:"reads_per_second"`  // default DefaultReadsPerSecond
	NoLimits        bool            `yaml:"no_limits"`
	Clock           clock.Clock     `yaml:"-"` // default clock.Boot
}

// Stats counts the requests to the platform.
type Stats struct {
	Reads       uint64 `json:"reads"`        // reads of rows, row lists, VM lists and objects
	Lists       uint64 `json:"lists"`        // reads of row lists
	ListedRows  uint64 `json:"listed_rows"`  // rows returned by lists
	Writes      uint64 `json:"writes"`       // transactions and object writes
	WrittenRows uint64 `json:"written_rows"` // rows written by committed transactions
	Conflicts   uint64 `json:"conflicts"`    // transactions whose checks failed
	Replays     uint64 `json:"replays"`      // transactions answered with the result of an earlier attempt
	Limited     uint64 `json:"limited"`      // requests refused by the rate limits
}

// Platform is the stand-in platform. It is an http.Handler and, for use within the
// process, implements the interfaces of the client. It is safe for concurrent use.
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
	p.updateVMs(func(vms map[fleet.VM]fleet.Record) { vms[r.VM] = withDefaultState(r) })
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(vm fleet.VM) {
	p.updateVMs(func(vms map[fleet.VM]fleet.Record) { delete(vms, vm) })
}

// SetVMState changes the state of a VM; it has no effect if the VM is not listed.
func (p *Platform) SetVMState(vm fleet.VM, s fleet.State) {
	p.updateVMs(func(vms map[fleet.VM]fleet.Record) {
		r, ok := vms[vm]
		if ok {
			r.State = s
			vms[vm] = r
		}
	})
}

func (p *Platform) updateVMs(f func(map[fleet.VM]fleet.Record)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.update(p.clock.Now(), f)
}

// Faults returns the faults with their remaining counts.
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

// Restore replaces the store by the copy that Save kept. It fails if there is none.
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

// requestEffect is how the faults and rate limits affect one request.
type requestEffect int

const (
	effectNone        requestEffect = iota
	effectClosed                    // not applied; the connection is closed
	effectUnavailable               // not applied; status 503
	effectLimited                   // not applied; status 429
	effectLoseAnswer                // applied; the connection is closed without an answer
)

// requestCost is the cost of one request for the rate limits.
type requestCost struct {
	write bool
	rows  int // rows written; 0 counts as 1
}

// applyFaults delays a request by Faults.Slow and returns how the faults and rate limits
// affect it.
func (p *Platform) applyFaults(ctx context.Context, a requestCost) requestEffect {
	p.mu.Lock()
	slow := p.faults.delay()
	p.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return effectClosed
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.Down == DownClose:
		return effectClosed
	case p.faults.Down == DownUnavailable:
		return effectUnavailable
	case !p.faults.NoLimits && !p.allowRate(a):
		p.stats.Limited++
		return effectLimited
	case a.write && fault.ConsumeCount(&p.faults.DropBefore):
		return effectClosed
	case a.write && fault.ConsumeCount(&p.faults.LoseAnswers):
		return effectLoseAnswer
	default:
		return effectNone
	}
}

// allowRate charges a request to its rate limit, each row of a transaction as one
// write, and reports whether it is within the limit.
func (p *Platform) allowRate(a requestCost) bool {
	now := time.Unix(0, int64(p.clock.Now()))
	if !a.write {
		return p.reads.AllowN(now, 1)
	}
	n := min(max(a.rows, 1), p.writes.Burst())
	return p.writes.AllowN(now, n)
}

// effectError returns the error of a request that was made within the process instead
// of over HTTP.
func effectError(f requestEffect) error {
	switch f {
	case effectLimited:
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrRateLimited)
	case effectClosed, effectUnavailable:
		return platform.ErrUnavailable
	case effectLoseAnswer:
		return platform.ErrAmbiguous
	default:
		return nil
	}
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := effectError(p.applyFaults(ctx, requestCost{})); err != nil {
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
	if err := effectError(p.applyFaults(ctx, requestCost{})); err != nil {
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

// Commit implements platform.Table. For a lost answer it returns ErrAmbiguous, as a
// client does that could not read the result back.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	a := requestCost{write: true, rows: len(txn.Writes)}
	f := p.applyFaults(ctx, a)
	if f != effectNone && f != effectLoseAnswer {
		return platform.Result{}, effectError(f)
	}
	res := p.commit(txn)
	return res, effectError(f)
}

func (p *Platform) commit(txn platform.Txn) platform.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	keepsAttempt := txn.Attempt != "" && !p.faults.ForgetAttempts
	if res, ok := p.store.attemptResult(txn.Attempt); ok && keepsAttempt {
		p.stats.Replays++
		return res
	}
	res := p.store.commit(txn)
	if res.Committed {
		p.stats.WrittenRows += uint64(len(res.Rows))
	} else {
		p.stats.Conflicts++
	}
	if keepsAttempt {
		p.store.recordAttempt(txn.Attempt, res)
	}
	return res
}

// PutObject implements platform.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	a := requestCost{write: true}
	f := p.applyFaults(ctx, a)
	if f == effectNone || f == effectLoseAnswer {
		p.putObject(name, data)
	}
	return effectError(f)
}

func (p *Platform) putObject(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	p.store.objects[name] = slices.Clone(data)
}

// GetObject implements platform.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := effectError(p.applyFaults(ctx, requestCost{})); err != nil {
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
	if err := effectError(p.applyFaults(ctx, requestCost{})); err != nil {
		return nil, err
	}
	return p.listVMs(), nil
}

func (p *Platform) listVMs() []fleet.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.vms.listAt(p.clock.Now(), p.faults.listLag())
}
