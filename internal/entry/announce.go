package entry

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/feed"
	table "chervilloom/internal/platform"
)

// Limits and intervals of the writes of node rows.
const (
	// announceInterval is the least interval between two writes of other nodes' rows.
	announceInterval = 200 * time.Millisecond
	// maxRowsPerWrite is the maximum number of rows in one transaction.
	maxRowsPerWrite = 100
	// announceDelay is how long a starting node waits for a duty holder to write its row.
	announceDelay = 3 * time.Second
	// announceCheckInterval is the interval at which it checks whether the row exists.
	announceCheckInterval = 100 * time.Millisecond
)

// rowAnnouncer writes the rows of nodes that poll this node and have none yet, many in one
// transaction: a fleet that starts would otherwise make one call for each node.
type rowAnnouncer struct {
	cache *leaseCache
	log   *slog.Logger
	wake  chan struct{} // rows were queued

	mu      sync.Mutex
	pending map[string][]byte // value by node
}

// recordPoll queues the polling node's row.
func (a *rowAnnouncer) recordPoll(q feed.PollRequest) {
	if len(q.Row) == 0 || q.Node == "" || bytes.Equal(a.cache.cachedRow(nodePrefix+q.Node).Value, q.Row) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[string][]byte{}
	}
	a.pending[q.Node] = q.Row
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run writes queued rows until ctx ends.
func (a *rowAnnouncer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		if !clock.Sleep(ctx, announceInterval) { // further rows arrive meanwhile
			return nil
		}
		a.flush(ctx)
	}
}

// flush writes the queued rows. A row that isn't written is queued again by its node's next poll.
func (a *rowAnnouncer) flush(ctx context.Context) {
	a.mu.Lock()
	pending := a.pending
	a.pending = nil
	a.mu.Unlock()
	var writes []table.Write
	for node, value := range pending {
		writes = append(writes, table.Write{Table: table.TableLeases, Key: nodePrefix + node, Value: value})
	}
	for part := range slices.Chunk(writes, maxRowsPerWrite) {
		wctx, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := a.cache.Commit(wctx, table.Txn{Attempt: uuid.NewString(), Writes: part})
		cancel()
		if err != nil {
			a.log.Info("rows of other nodes not written; they are sent again", "rows", len(part), "err", err)
		}
	}
}

// ownRow returns this node's row if a duty holder is to write it: the row is missing or outdated,
// and this node isn't leaving.
func (n *Node) ownRow() []byte {
	row := n.address().encode()
	if n.leaving.Load() || n.hasOwnRow() {
		return nil
	}
	return row
}

// hasOwnRow reports whether this node's row is known and up to date.
func (n *Node) hasOwnRow() bool {
	return bytes.Equal(n.leaseCache.cachedRow(nodePrefix+n.Settings.VM).Value, n.address().encode())
}

// expectsRowFromHolder reports whether this node leaves the write of its row to a duty holder.
func (n *Node) expectsRowFromHolder() bool {
	return n.storeGate.age() < announceDelay && n.mayDeferLeaseRead() && (n.isSeeking() || n.follower.isFollowing())
}

// readAfterAnnounce reads the rows of the nodes that were announced before this one, unless they come
// from another node: only rows with its own tell this node how many share the limits of the fleet.
func (n *Node) readAfterAnnounce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := n.leaseCache.reread(ctx, table.TableLeases); err != nil {
		n.Log.Info("rows not read after the write of the node's row; the next read is due soon", "err", err)
	}
}

// runAnnounce makes sure that this node's row exists, and deletes it when ctx ends.
func (n *Node) runAnnounce(ctx context.Context) error {
	const retryInterval = 500 * time.Millisecond
	c, vm := n.leaseCache, n.Settings.VM
	var failures backoff
	for !n.hasOwnRow() {
		pause := announceCheckInterval
		if !n.expectsRowFromHolder() {
			wctx, cancel := context.WithTimeout(ctx, announceTimeout)
			err := c.announce(wctx, vm, n.address())
			cancel()
			if err == nil {
				n.readAfterAnnounce(ctx)
				break
			}
			pause = failures.recordFailure(retryInterval, n.Clock.Now())
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
	n.rowWritten.Store(true)
	<-ctx.Done()
	wctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	if err := c.withdraw(wctx, vm); err != nil {
		n.Log.Info("node row not deleted; other nodes keep sending messages to this address", "err", err)
	}
	return nil
}
