package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	table "chervilloom/internal/platform"
)

// eraTracker detects when the platform's table has been restored from an older copy: later
// writes are lost, and row versions are issued again. The store returns its era with each
// answer; a node that does not read the store learns the era from the node that it follows.
type eraTracker struct {
	log *slog.Logger
	// onRestore is called once for each new era after the first one known.
	onRestore func()
	restores  prometheus.Counter

	mu  sync.Mutex
	era uint64 // newest era; 0: none known
}

// observe records the era of an answer; 0 means that the answer contained none.
func (e *eraTracker) observe(era uint64) {
	e.mu.Lock()
	before := e.era
	e.era = max(before, era)
	e.mu.Unlock()
	if before == 0 || era <= before {
		return
	}
	e.restores.Inc()
	e.log.Warn("platform table restored from an older copy; lost rows are rewritten", "era_before", before, "era", era)
	e.onRestore()
}

// newest returns the newest known era.
func (e *eraTracker) newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

func newEraTracker(n *Node) *eraTracker {
	e := &eraTracker{
		log: n.Log, onRestore: n.handleTableRestore,
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_store_restores_total",
			Help: "Times that the platform's table was seen to have come back from an older copy.",
		}),
	}
	n.Registry.MustRegister(e.restores)
	return e
}

// tableEra returns the newest era of the table that this node knows from its own reads or
// from another node.
func (n *Node) tableEra() uint64 {
	n.eras.observe(n.Store.Era())
	return n.eras.newest()
}

// handleTableRestore triggers the rewrite of quarantine rows and a new read of the endpoints.
// Leases and claims are rewritten by their holders, see lease.Manager and
// formation.Controller.
func (n *Node) handleTableRestore() {
	n.quarantineGuard.TableRestored()
	n.refreshSoon()
}

// rewriteMissingRow rewrites this node's row if the restored table lacks it. Without the row
// other nodes would send it no messages and would undercount the nodes by one.
func (n *Node) rewriteMissingRow() {
	n.tableEra()
	if n.leaving.Load() || !n.rowWritten.Load() || !n.leaseCache.isMissing(nodePrefix+n.Settings.VM, n.eras.newest()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := n.leaseCache.announce(ctx, n.Settings.VM, n.address()); err != nil {
		n.Log.Info("node row not rewritten; retrying", "err", err)
		return
	}
	n.Log.Info("node row rewritten after a table restore", "era", n.eras.newest())
}

// isMissing reports whether the rows of the given era are known and the key is not among them.
func (c *leaseCache) isMissing(key string, era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.rows[key]
	return era != 0 && c.era == era && c.rows != nil && !ok
}

// askDutyHolders asks all duty holders concurrently for their configuration. A table that was
// just restored from an older copy returns an older document to a starting node, with keys
// that have been revoked since.
func (n *Node) askDutyHolders(ctx context.Context) {
	if n.Store.Era() == 0 || n.Settings.Bootstrap {
		return
	}
	if err := n.leaseCache.refresh(ctx, table.TableLeases); err != nil {
		n.Log.Info("duty holders unknown; using the store's configuration without asking other nodes", "err", err)
		return
	}
	var asking sync.WaitGroup
	for _, addr := range n.feedSources() {
		asking.Go(func() { n.follower.fetchConfig(ctx, addr) })
	}
	asking.Wait()
}

const announceTimeout = time.Second // for a write of the node's row
