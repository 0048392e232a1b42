package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// storeGate spaces the calls of a process that the store has not answered yet. Such a process knows
// no other node, so each would ask for all it needs as if it were alone: after a loss of all nodes,
// 71 of them made 500 calls a second at a store that refused them. Until the first failure all
// calls pass. From then on one call at a time passes, of whichever kind, at growing intervals. The
// first answer opens the gate for good; later failures are handled by the callers' backoffs.
type storeGate struct {
	Store
	clock   clock.Clock
	log     *slog.Logger
	maxWait time.Duration // longest interval between two calls

	startedAt clock.Instant
	answered  atomic.Bool
	deferred  prometheus.Counter

	mu         sync.Mutex
	failures   int
	isProbing  bool          // a call that passed after the first failure is under way
	nextAt     clock.Instant // earliest time of the next call
	answeredAt clock.Instant // when the first answer came after a failure; 0: none failed
}

const (
	// firstGateWait is the interval after the first failure; it doubles with each further one.
	firstGateWait = 500 * time.Millisecond
	// maxGateWait and maxGateWaitSmall are the longest intervals of large and of small nodes. The
	// large ones of a zone are few. They hold the duties, so that small nodes find them soon after
	// the store's return.
	maxGateWait      = time.Second
	maxGateWaitSmall = maxBackoff
)

// errStoreSilent means that a call was not made.
var errStoreSilent = fmt.Errorf("%w: it has not answered this process yet; the call waits for the next one that is due", table.ErrUnavailable)

// newStoreGate returns the gate of a process that starts now.
func newStoreGate(o Options) *storeGate {
	g := &storeGate{
		Store: o.Store, clock: o.Clock, log: o.Log, maxWait: maxGateWait, startedAt: o.Clock.Now(),
		deferred: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_store_calls_deferred_total",
			Help: "Calls that a process did not make because the store had not answered it yet.",
		}),
	}
	if o.Settings.Cores > 0 && rankWithoutPeers(o.Settings.Cores) == rankSmall {
		g.maxWait = maxGateWaitSmall
	}
	o.Registry.MustRegister(g.deferred)
	return g
}

// age returns how long the process has been able to read the store: since its start, or since the
// first answer if a call failed before. It is 0 while the store doesn't answer.
func (g *storeGate) age() time.Duration {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.failures == 0:
		return now.Sub(g.startedAt)
	case g.answeredAt == 0:
		return 0
	}
	return now.Sub(g.answeredAt)
}

// isClosed reports whether calls are deferred now.
func (g *storeGate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failures > 0 && g.answeredAt == 0
}

// begin reports whether a call may be made now, and whether it is the only one.
func (g *storeGate) begin() (probe bool, err error) {
	if g.answered.Load() {
		return false, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures == 0 {
		return false, nil
	}
	if g.isProbing || g.clock.Now().Before(g.nextAt) {
		g.deferred.Inc()
		return false, errStoreSilent
	}
	g.isProbing = true
	return true, nil
}

// end records the result of a call.
func (g *storeGate) end(probe bool, err error) {
	if g.answered.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.isProbing = false
	}
	switch {
	case isStoreAnswer(err):
		g.open()
	case probe || g.failures == 0: // otherwise the call began before the first failure
		g.recordFailure(err)
	}
}

// open lets all calls pass; g.mu must be held.
func (g *storeGate) open() {
	if g.answered.Swap(true) || g.failures == 0 {
		return
	}
	g.answeredAt = g.clock.Now()
	g.log.Info("the store answers", "failures", g.failures, "ms", g.answeredAt.Sub(g.startedAt).Milliseconds())
}

// recordFailure sets the time of the next call; g.mu must be held.
func (g *storeGate) recordFailure(err error) {
	g.failures++
	if g.failures == 1 {
		g.log.Warn("the store does not answer; one call at a time until it does", "err", err, "max_wait_ms", g.maxWait.Milliseconds())
	}
	wait := min(g.maxWait, firstGateWait<<min(g.failures-1, 8))
	g.nextAt = g.clock.Now().Add(wait/2 + rand.N(wait/2)) // nodes that start together spread out
}

// isStoreAnswer reports whether a call that ended with err was answered by the store.
func isStoreAnswer(err error) bool {
	var invalid *catalog.InvalidDocumentError
	return err == nil || errors.Is(err, catalog.ErrHistoryGone) || errors.Is(err, table.ErrRestored) || errors.As(err, &invalid)
}

// passGate makes a call if the gate lets it pass.
func passGate[T any](g *storeGate, call func() (T, error)) (T, error) {
	probe, err := g.begin()
	if err != nil {
		var none T
		return none, err
	}
	v, err := call()
	g.end(probe, err)
	return v, err
}

// Configuration implements Store.
func (g *storeGate) Configuration(ctx context.Context) (catalog.Change, error) {
	return passGate(g, func() (catalog.Change, error) { return g.Store.Configuration(ctx) })
}

// AwaitConfiguration implements Store.
func (g *storeGate) AwaitConfiguration(ctx context.Context, cursor catalog.Cursor, wait time.Duration) (catalog.Change, error) {
	return passGate(g, func() (catalog.Change, error) { return g.Store.AwaitConfiguration(ctx, cursor, wait) })
}

// Endpoints implements Store.
func (g *storeGate) Endpoints(ctx context.Context) (roster.Listing, error) {
	return passGate(g, func() (roster.Listing, error) { return g.Store.Endpoints(ctx) })
}

// Get implements Store.
func (g *storeGate) Get(ctx context.Context, tab, key string) (table.Row, error) {
	return passGate(g, func() (table.Row, error) { return g.Store.Get(ctx, tab, key) })
}

// ReadAll implements Store.
func (g *storeGate) ReadAll(ctx context.Context, tab string) ([]table.Row, table.Cursor, error) {
	type listing struct {
		rows   []table.Row
		cursor table.Cursor
	}
	all, err := passGate(g, func() (listing, error) {
		rows, cursor, err := g.Store.ReadAll(ctx, tab)
		return listing{rows, cursor}, err
	})
	return all.rows, all.cursor, err
}

// Changes implements Store.
func (g *storeGate) Changes(ctx context.Context, tab string, after table.Cursor) (table.Changes, error) {
	return passGate(g, func() (table.Changes, error) { return g.Store.Changes(ctx, tab, after) })
}

// Commit implements Store.
func (g *storeGate) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	return passGate(g, func() (table.Result, error) { return g.Store.Commit(ctx, txn) })
}
