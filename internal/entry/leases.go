package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
)

// leaseStore is the part of the platform's table that leases need.
type leaseStore interface {
	Get(ctx context.Context, table, key string) (table.Row, error)
	List(ctx context.Context, table, prefix string) ([]table.Row, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
	// Era is the newest era of the table that an answer showed.
	Era() uint64
}

// leaseCache reads the lease rows of all zones in one call and answers the
// managers from it. Each of them looking for itself would cost as many calls as
// there are zones. A row that is read late only delays a takeover: the write
// that takes a lease is conditional on the row's version.
type leaseCache struct {
	Table leaseStore
	clock clock.Clock
	idle  func() bool // another node keeps the rows up to date
	// taken is told of the rows with each reading.
	taken func([]table.Row)

	reading sync.Mutex // held while the rows are read
	backoff backoff
	failed  error         // of the newest read
	again   clock.Instant // no read before that after one that failed

	mu   sync.Mutex    // guards what follows; never held over a call
	read clock.Instant // when the rows were asked for; 0: they must be read
	era  uint64        // of the rows
	rows map[string]table.Row
	dir  *directory // what the rows say; nil: they have changed since
}

// directory is what the rows say of nodes and duties. It is asked for several times a
// request and made anew only when rows change.
type directory struct {
	owners map[string]string   // VM that holds a duty
	addrs  map[string]string   // of a VM
	zones  map[string][]string // VMs of an availability zone
	cores  map[string]float64  // of a VM; 0: it doesn't tell
	// largest is the size of a zone's largest VM, in cores.
	largest map[string]float64
}

func (c *leaseCache) directory() *directory {
	if c.dir != nil {
		return c.dir
	}
	d := &directory{owners: map[string]string{}, addrs: map[string]string{}, zones: map[string][]string{}, cores: map[string]float64{}, largest: map[string]float64{}}
	for key, r := range c.rows {
		if vm, ok := strings.CutPrefix(key, nodePrefix); ok {
			at := nodeAddrOf(r.Value)
			d.addrs[vm], d.cores[vm] = at.addr, at.cores
			d.largest[at.zone] = max(d.largest[at.zone], at.cores)
			d.zones[at.zone] = append(d.zones[at.zone], vm)
			continue
		}
		if strings.HasPrefix(key, quarantinePrefix) {
			continue
		}
		var row lease.Row
		if json.Unmarshal(r.Value, &row) == nil && !row.Released { // the lease's manager logs one that can't be read
			d.owners[key] = string(row.Owner.VM)
		}
	}
	c.dir = d
	return d
}

// leaseCacheFor is how long the rows that were read serve the managers: less
// than leasePoll, so that each round of looks makes one call.
const leaseCacheFor = leasePoll - 200*time.Millisecond

// Get returns a lease row.
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

// refresh reads the rows if they are old and no other node tells them. The store may
// not answer for long; whoever asks for an address meanwhile, each request among them,
// must not wait for it.
func (c *leaseCache) refresh(ctx context.Context, tab string) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	idle := c.idle()
	c.mu.Lock()
	now := c.clock.Now()
	if c.failed != nil && now.Before(c.again) {
		c.mu.Unlock()
		return c.failed
	}
	// Rows of before the table came back from an older copy say nothing.
	due := !idle && (c.read == 0 || now.Sub(c.read) > leaseCacheFor) || c.era < c.Table.Era()
	c.mu.Unlock()
	if !due {
		return nil
	}
	era := c.Table.Era() // of an empty answer, or an earlier one: what is checked in that isn't written
	rows, err := c.Table.List(ctx, tab, "")
	c.failed = err
	if err != nil {
		// The managers of all zones ask; one call tells all of them.
		c.again = c.clock.Now().Add(c.backoff.failed(leaseCacheFor))
		return err
	}
	c.backoff.succeeded()
	switch {
	case len(rows) > 0:
		era = rows[0].Era
	case era == 0:
		era = c.Table.Era() // the first answer of all told it
	}
	c.mu.Lock()
	c.read = now
	c.set(rows, era)
	c.mu.Unlock()
	c.taken(rows) // which may ask for addresses
	return nil
}

func (c *leaseCache) set(rows []table.Row, era uint64) {
	c.dir, c.era = nil, era
	c.rows = make(map[string]table.Row, len(rows))
	for _, r := range rows {
		c.rows[r.Key] = r
	}
}

// take takes up rows that another node has read.
func (c *leaseCache) take(rows []table.Row, era uint64) {
	c.mu.Lock()
	if era < c.era {
		c.mu.Unlock()
		return
	}
	c.set(rows, era)
	c.mu.Unlock()
	c.taken(rows)
}

// row returns a row as it is known; its version is 0 if there is none.
func (c *leaseCache) row(key string) table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.rows[key]; ok {
		return r
	}
	return table.Row{Table: table.TableLeases, Key: key, Era: c.era}
}

// all returns the rows as they are known.
func (c *leaseCache) all() []table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]table.Row, 0, len(c.rows))
	for _, r := range c.rows {
		out = append(out, r)
	}
	return out
}

// Commit writes lease rows, and shows the others what it wrote.
func (c *leaseCache) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	res, err := c.Table.Commit(ctx, txn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || !res.Committed {
		c.read = 0 // the rows are not what they seemed
		return res, err
	}
	if c.rows == nil {
		c.rows = map[string]table.Row{}
	}
	c.dir = nil
	for _, r := range res.Rows {
		if len(r.Value) == 0 {
			delete(c.rows, r.Key) // it was deleted
			continue
		}
		c.rows[r.Key] = r
	}
	return res, nil
}

// owner returns the VM that holds a duty as far as known; empty: none.
func (c *leaseCache) owner(duty string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory().owners[duty]
}

// addr returns where a node can be reached; empty: unknown.
func (c *leaseCache) addr(vm string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory().addrs[vm]
}

// nodePrefix begins the keys of the rows that name the nodes. They stand among
// the leases, so that one call reads both.
const nodePrefix = "node/"

// nodeAddr is where a node can be reached, its availability zone, and its part of a
// core (0: untold).
type nodeAddr struct {
	addr, zone string
	cores      float64
}

func (a nodeAddr) value() []byte {
	return []byte(a.addr + " " + a.zone + " " + strconv.FormatFloat(a.cores, 'f', -1, 64))
}

func nodeAddrOf(value []byte) nodeAddr {
	addr, rest, _ := strings.Cut(string(value), " ")
	zone, size, _ := strings.Cut(rest, " ")
	cores, err := strconv.ParseFloat(size, 64)
	if err != nil {
		cores = 0 // a node that doesn't tell
	}
	return nodeAddr{addr, zone, cores}
}

// announce writes where the node can be reached.
func (c *leaseCache) announce(ctx context.Context, vm string, at nodeAddr) error {
	_, err := c.Commit(ctx, table.Txn{
		Attempt: uuid.NewString(),
		Writes:  []table.Write{{Table: table.TableLeases, Key: nodePrefix + vm, Value: at.value()}},
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

// largest returns the size of the zone's largest node, in cores.
func (c *leaseCache) largest(zone string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory().largest[zone]
}

// known reports whether the rows were ever read or told.
func (c *leaseCache) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows != nil
}

// zonePeers returns the addresses of the zone's nodes other than vm.
func (c *leaseCache) zonePeers(vm, zone string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.directory()
	var out []string
	for _, name := range d.zones[zone] {
		if name != vm {
			out = append(out, d.addrs[name])
		}
	}
	return out
}

// nodesBeside returns the nodes of a zone and those of the others. The node self, of selfZone,
// is among them also while its row isn't known yet.
func (c *leaseCache) nodesBeside(zone, self, selfZone string) (near, far []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.directory()
	for z, vms := range d.zones {
		if z == zone {
			near = append(near, vms...)
			continue
		}
		far = append(far, vms...)
	}
	if _, known := d.addrs[self]; known {
		return near, far
	}
	if zone == selfZone {
		return append(near, self), far
	}
	return near, append(far, self)
}

// zoneNodes returns how many nodes of a zone have announced themselves.
func (c *leaseCache) zoneNodes(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.directory().zones[zone])
}

// nodes returns how many nodes have announced themselves.
func (c *leaseCache) nodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.directory().addrs)
}

// runAnnounce writes the node's row once, tells that it did, and deletes the row when ctx
// ends.
func (c *leaseCache) runAnnounce(ctx context.Context, vm string, at nodeAddr, written func(), log *slog.Logger) error {
	const again = 500 * time.Millisecond
	for {
		wctx, cancel := context.WithTimeout(ctx, announceLimit)
		err := c.announce(wctx, vm, at)
		cancel()
		if err == nil {
			written()
			break
		}
		if !clock.Sleep(ctx, again) {
			return nil
		}
	}
	<-ctx.Done()
	wctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceLimit)
	defer cancel()
	if err := c.withdraw(wctx, vm); err != nil {
		log.Info("node's row stays; others send it news in vain", "err", err)
	}
	return nil
}
