package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/lease"
	"chervilloom/internal/links"
	table "chervilloom/internal/platform"
)

// leaseStore is the part of the platform's store that leases need.
type leaseStore interface {
	Get(ctx context.Context, table, key string) (table.Row, error)
	// ReadAll returns all rows of a table and the cursor for Changes.
	ReadAll(ctx context.Context, table string) ([]table.Row, table.Cursor, error)
	// Changes returns the changes after a cursor; catalog.ErrHistoryGone requires ReadAll.
	Changes(ctx context.Context, table string, after table.Cursor) (table.Changes, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
	// Era returns the newest era of the table seen in any answer.
	Era() uint64
}

// leaseCache reads the lease rows of all zones in one call and serves the lease managers
// from memory; separate reads would cost one call per zone. A stale row only delays a
// takeover, because the write that acquires a lease is conditional on the row's version.
type leaseCache struct {
	Table       leaseStore
	clock       clock.Clock
	self        string      // VM of this node
	isFedByPeer func() bool // reports whether another node supplies the rows
	// defersRead reports whether another node is expected to supply the first rows; nil: no.
	defersRead func() bool
	// onRows is called with the rows after each update.
	onRows func([]table.Row)

	readMu  sync.Mutex // held during a read
	backoff backoff
	readErr error         // error of the latest read
	retryAt clock.Instant // earliest time of the next read after a failed one

	mu     sync.Mutex    // guards the fields below; never held during a call
	readAt clock.Instant // start of the latest read; 0: a read is due
	era    uint64        // era of the rows
	cursor table.Cursor  // position of the rows in the table's history; zero: another node read them
	rows   map[string]table.Row
	index  *rowIndex // index of rows; nil: outdated
	// listsSelf reports whether this node's row was among the rows when they were last read or
	// received: those of the nodes that started with it are most likely there as well.
	listsSelf bool
}

// rowIndex indexes the rows by node and duty. It is used several times per request and
// rebuilt only after a change of the rows.
type rowIndex struct {
	owners map[string]string   // duty holder's VM, by duty
	addrs  map[string]string   // address, by VM
	nodes  map[string][]string // VMs, by availability zone
	cores  map[string]float64  // size, by VM; 0: unknown
	peers  links.PeersByZone   // addresses of all nodes but one; nil: not listed yet
	// maxCores is the size of the largest VM, in cores, by zone.
	maxCores map[string]float64
}

// rowIndex returns the index of the rows; c.mu must be held.
func (c *leaseCache) rowIndex() *rowIndex {
	if c.index != nil {
		return c.index
	}
	d := &rowIndex{owners: map[string]string{}, addrs: map[string]string{}, nodes: map[string][]string{}, cores: map[string]float64{}, maxCores: map[string]float64{}}
	for key, r := range c.rows {
		if vm, ok := strings.CutPrefix(key, nodePrefix); ok {
			at := parseNodeAddr(r.Value)
			d.addrs[vm], d.cores[vm] = at.addr, at.cores
			d.maxCores[at.zone] = max(d.maxCores[at.zone], at.cores)
			d.nodes[at.zone] = append(d.nodes[at.zone], vm)
			continue
		}
		if strings.HasPrefix(key, quarantinePrefix) {
			continue
		}
		var row lease.Row
		if json.Unmarshal(r.Value, &row) == nil && !row.Released { // the lease manager logs rows that cannot be decoded
			d.owners[key] = string(row.Owner.VM)
		}
	}
	c.index = d
	return d
}

// leaseCacheTTL is how long the rows are served after a read: less than leasePollInterval,
// so that each polling round of the managers makes one call.
const leaseCacheTTL = leasePollInterval - 200*time.Millisecond

// Get returns a lease row, reading the rows first if they are outdated.
func (c *leaseCache) Get(ctx context.Context, tab, key string) (table.Row, error) {
	if err := c.refresh(ctx, tab); err != nil {
		return table.Row{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.rows[key]; ok {
		return r, nil
	}
	return table.Row{Table: tab, Key: key, Era: c.era}, nil
}

// refresh reads the rows if they are outdated and no other node supplies them. The store
// may not answer for a long time; lookups of addresses, which every request makes, must not
// wait for it.
func (c *leaseCache) refresh(ctx context.Context, tab string) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.refreshLocked(ctx, tab)
}

// reread does the same as refresh, but also reads rows that aren't outdated. A read that is under way
// may have begun before this node's latest write, and doesn't count.
func (c *leaseCache) reread(ctx context.Context, tab string) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mu.Lock()
	c.readAt = 0
	c.mu.Unlock()
	return c.refreshLocked(ctx, tab)
}

// refreshLocked is called with c.readMu held.
func (c *leaseCache) refreshLocked(ctx context.Context, tab string) error {
	if c.defersRead != nil && c.defersRead() {
		return errReadDeferred
	}
	now := c.clock.Now()
	idle := c.isFedByPeer()
	if idle {
		c.backoff.reset()
	}
	if c.readErr != nil && (now.Before(c.retryAt) || c.backoff.isLeftToPeer(now)) {
		return c.readErr
	}
	c.mu.Lock()
	// Rows from before a table restore are not valid any more.
	due := !idle && (c.readAt == 0 || now.Sub(c.readAt) > leaseCacheTTL) || c.era < c.Table.Era()
	cursor := c.cursor
	c.mu.Unlock()
	if !due {
		return nil
	}
	err := c.read(ctx, tab, cursor, now)
	c.readErr = err
	if err != nil {
		// The managers of all zones call this function: the error is returned to all of
		// them without another call.
		failedAt := c.clock.Now()
		c.retryAt = failedAt.Add(c.backoff.recordFailure(leaseCacheTTL, failedAt))
		return err
	}
	c.backoff.reset()
	return nil
}

// read reads the changes after cursor, or all rows if there is no cursor or the changes are not
// available. now is the start of the read.
func (c *leaseCache) read(ctx context.Context, tab string, cursor table.Cursor, now clock.Instant) error {
	if cursor.Version != 0 && cursor.Era == c.Table.Era() {
		changes, err := c.Table.Changes(ctx, tab, cursor)
		if err == nil {
			c.applyChanges(changes, cursor, now)
			return nil
		}
		if !errors.Is(err, catalog.ErrHistoryGone) {
			return err
		}
	}
	rows, next, err := c.Table.ReadAll(ctx, tab)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.readAt = now
	c.setRows(rows, next.Era)
	c.cursor = next
	c.mu.Unlock()
	c.onRows(rows) // not under c.mu: it may look addresses up
	return nil
}

// applyChanges applies changes after the cursor after. They are dropped if the rows were replaced
// during the read. A row that this node has written since is newer than the change.
func (c *leaseCache) applyChanges(changes table.Changes, after table.Cursor, now clock.Instant) {
	c.mu.Lock()
	if c.cursor != after {
		c.mu.Unlock()
		return
	}
	c.readAt, c.cursor = now, changes.Cursor
	changed := false
	for _, r := range changes.Rows {
		if c.rows[r.Key].Version < r.Version {
			c.rows[r.Key] = r
			changed = true
		}
	}
	for _, r := range changes.Deleted {
		if old, ok := c.rows[r.Key]; ok && old.Version < r.Version {
			delete(c.rows, r.Key)
			changed = true
		}
	}
	if changed {
		c.index = nil
	}
	c.updateListsSelf()
	c.mu.Unlock()
	if changed {
		c.onRows(c.allRows())
	}
}

// setRows replaces the rows; c.mu must be held.
func (c *leaseCache) setRows(rows []table.Row, era uint64) {
	c.index, c.era, c.cursor = nil, era, table.Cursor{}
	c.rows = make(map[string]table.Row, len(rows))
	for _, r := range rows {
		c.rows[r.Key] = r
	}
	c.updateListsSelf()
}

// updateListsSelf is called after the rows were read or received; c.mu must be held.
func (c *leaseCache) updateListsSelf() { _, c.listsSelf = c.rows[nodePrefix+c.self] }

// applyRows replaces the rows by those that another node has read, unless they are from an
// earlier era.
func (c *leaseCache) applyRows(rows []table.Row, era uint64) {
	c.mu.Lock()
	if era < c.era {
		c.mu.Unlock()
		return
	}
	c.setRows(rows, era)
	c.mu.Unlock()
	c.onRows(rows)
}

// cachedRow returns the cached row of a key, with version 0 if there is none.
func (c *leaseCache) cachedRow(key string) table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.rows[key]; ok {
		return r
	}
	return table.Row{Table: table.TableLeases, Key: key, Era: c.era}
}

// allRows returns all cached rows.
func (c *leaseCache) allRows() []table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]table.Row, 0, len(c.rows))
	for _, r := range c.rows {
		out = append(out, r)
	}
	return out
}

// Commit writes lease rows and updates the cache with the result.
func (c *leaseCache) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	res, err := c.Table.Commit(ctx, txn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || !res.Committed {
		c.readAt = 0 // the cached rows are outdated
		return res, err
	}
	if c.rows == nil {
		c.rows = map[string]table.Row{}
	}
	c.index = nil
	for _, r := range res.Rows {
		if len(r.Value) == 0 {
			delete(c.rows, r.Key) // deleted
			continue
		}
		c.rows[r.Key] = r
	}
	return res, nil
}

// owner returns the VM that holds a duty according to the cache, or "".
func (c *leaseCache) owner(duty string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rowIndex().owners[duty]
}

// addr returns the address of a node, or "" if it is unknown.
func (c *leaseCache) addr(vm string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rowIndex().addrs[vm]
}

// nodePrefix is the key prefix of the node rows. They are in the same table as the leases,
// so that one call reads both.
const nodePrefix = "node/"

// nodeAddr is the address of a node, its availability zone and its size in cores (0:
// unknown).
type nodeAddr struct {
	addr, zone string
	cores      float64
}

func (a nodeAddr) encode() []byte {
	return []byte(a.addr + " " + a.zone + " " + strconv.FormatFloat(a.cores, 'f', -1, 64))
}

func parseNodeAddr(value []byte) nodeAddr {
	addr, rest, _ := strings.Cut(string(value), " ")
	zone, size, _ := strings.Cut(rest, " ")
	cores, err := strconv.ParseFloat(size, 64)
	if err != nil {
		cores = 0 // not announced by that node
	}
	return nodeAddr{addr, zone, cores}
}

// announce writes the node's row.
func (c *leaseCache) announce(ctx context.Context, vm string, at nodeAddr) error {
	_, err := c.Commit(ctx, table.Txn{
		Attempt: uuid.NewString(),
		Writes:  []table.Write{{Table: table.TableLeases, Key: nodePrefix + vm, Value: at.encode()}},
	})
	return err
}

// withdraw deletes the node's row.
func (c *leaseCache) withdraw(ctx context.Context, vm string) error {
	_, err := c.Commit(ctx, table.Txn{
		Attempt: uuid.NewString(),
		Writes:  []table.Write{{Table: table.TableLeases, Key: nodePrefix + vm, Delete: true}},
	})
	return err
}

// maxCores returns the size of the zone's largest node, in cores.
func (c *leaseCache) maxCores(zone string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rowIndex().maxCores[zone]
}

// hasRows reports whether rows have been read or received.
func (c *leaseCache) hasRows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows != nil
}

// zonePeers returns the addresses of the zone's nodes other than vm.
func (c *leaseCache) zonePeers(vm, zone string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.rowIndex()
	var out []string
	for _, name := range d.nodes[zone] {
		if name != vm {
			out = append(out, d.addrs[name])
		}
	}
	return out
}

// peersByZone returns the addresses of the nodes other than vm, which must be the same in all
// calls. The caller must not change them.
func (c *leaseCache) peersByZone(vm string) links.PeersByZone {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.rowIndex()
	if d.peers == nil {
		d.peers = links.PeersByZone{}
		for zone, names := range d.nodes {
			for _, name := range names {
				if name != vm {
					d.peers[zone] = append(d.peers[zone], d.addrs[name])
				}
			}
		}
	}
	return d.peers
}

// listedNodesByZone returns the nodes of a zone and those of all other zones, or none if this node is
// not listed among them yet.
func (c *leaseCache) listedNodesByZone(zone string) (near, far []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listsSelf {
		return nil, nil
	}
	for z, vms := range c.rowIndex().nodes {
		if z == zone {
			near = append(near, vms...)
			continue
		}
		far = append(far, vms...)
	}
	return near, far
}

// zoneNodeCount returns the number of nodes announced in a zone.
func (c *leaseCache) zoneNodeCount(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rowIndex().nodes[zone])
}

// listedNodeCount returns the number of nodes announced in all zones, or 0 if this node is not
// listed among them yet: the rows may then be those of a fleet that has just begun to start.
func (c *leaseCache) listedNodeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listsSelf {
		return 0
	}
	return len(c.rowIndex().addrs)
}

// nodeCount returns the number of nodes announced in all zones.
func (c *leaseCache) nodeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rowIndex().addrs)
}
