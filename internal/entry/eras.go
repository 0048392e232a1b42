package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	table "chervilloom/internal/platform"
)

// eras notes when the platform's table comes back from an older copy: what was written
// there since is gone, and versions are given out again. Each answer of the table tells
// its era; a node that asks another one is told by that one.
type eras struct {
	log *slog.Logger
	// restored is called once for each new era after the first one known.
	restored func()
	restores prometheus.Counter

	mu  sync.Mutex
	era uint64 // the newest one; 0: none is known
}

// note takes up the era of an answer; 0: it told none.
func (e *eras) note(era uint64) {
	e.mu.Lock()
	before := e.era
	e.era = max(before, era)
	e.mu.Unlock()
	if before == 0 || era <= before {
		return
	}
	e.restores.Inc()
	e.log.Warn("the platform's table came back from an older copy; what was written since is put back", "era_before", before, "era", era)
	e.restored()
}

// newest returns the newest era that is known.
func (e *eras) newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

func newEras(n *Node) *eras {
	e := &eras{
		log: n.Log, restored: n.tableRestored,
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_store_restores_total",
			Help: "Times that the platform's table was seen to have come back from an older copy.",
		}),
	}
	n.Registry.MustRegister(e.restores)
	return e
}

// tableEra returns the newest era of the table that this node knows of, by its own reads
// or by another node's.
func (n *Node) tableEra() uint64 {
	n.eras.note(n.Store.Era())
	return n.eras.newest()
}

// tableRestored has what this node knows and the table has lost put back: leases and claims
// by their holders, see lease.Manager and formation.Controller.
func (n *Node) tableRestored() {
	n.quarantine.Restored()
	n.lookSoon()
}

// keepAnnounced writes this node's row again if the table came back without it. Others
// would send it no news, and count one node too few.
func (n *Node) keepAnnounced() {
	n.tableEra()
	if n.leaving.Load() || !n.announced.Load() || !n.leaseRows.lacks(nodePrefix+n.Settings.VM, n.eras.newest()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceLimit)
	defer cancel()
	if err := n.leaseRows.announce(ctx, n.Settings.VM, n.address()); err != nil {
		n.Log.Info("node's row not put back; it is tried again", "err", err)
		return
	}
	n.Log.Info("node's row put back", "era", n.eras.newest())
}

// lacks reports whether the rows of that era are known and have none of that key.
func (c *leaseCache) lacks(key string, era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.rows[key]
	return era != 0 && c.era == era && c.rows != nil && !ok
}

// askOthers asks the nodes that hold duties, all at once, which configuration they have in
// force. A table that has just come back from an older copy shows a node that starts an
// older document, with keys that were taken away since.
func (n *Node) askOthers(ctx context.Context) {
	if n.Store.Era() == 0 || n.Settings.Bootstrap {
		return
	}
	if err := n.leaseRows.refresh(ctx, table.TableLeases); err != nil {
		n.Log.Info("holders of duties are not known; the store's configuration is believed", "err", err)
		return
	}
	var asking sync.WaitGroup
	for _, addr := range n.feeders() {
		asking.Go(func() { n.follower.hearVersion(ctx, addr) })
	}
	asking.Wait()
}

const announceLimit = time.Second // for a write of the node's row
