// Package discovery maintains the addresses of the other nodes. Entry VMs may
// be replaced at any time and get new addresses, so addresses come from three
// sources: the rows that nodes write to the platform's table, the platform's
// list of VMs, and the members reported by peers. The seeds in the settings are
// used only by a node that starts while the platform is down.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/peer"
	"chervilloom/internal/platform"
)

const (
	// defaultMinInterval is the interval between two reads of the table in a
	// small fleet.
	defaultMinInterval = 2 * time.Second
	// leaveTimeout is the timeout for deleting the node's own row.
	leaveTimeout = 2 * time.Second
	// maxReadsPerSecond limits the table reads of all nodes together.
	maxReadsPerSecond = 50
)

// Row is a node's entry in the table of nodes, with its VM as key.
type Row struct {
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Zone        fleet.AvailabilityZone `json:"zone"`
	Peer        string                 `json:"peer"`     // ip:port of the peer listener
	Caller      string                 `json:"caller"`   // ip:port of the caller listener
	Operator    string                 `json:"operator"` // ip:port of the operator listener
}

// Table is the subset of the platform's table operations that discovery uses.
type Table interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (platform.Result, error)
}

// Options configures a Directory.
type Options struct {
	Self  fleet.VM
	Row   Row
	Table Table
	Log   *slog.Logger
	// OnPeersChanged is called with all known peers whenever they have changed.
	OnPeersChanged func([]peer.Peer)
	// OwnsDuty reports whether this node owns the duty of the subject
	// (SweepSubject).
	OwnsDuty func(subject string) bool
	// IsAlive reports whether membership considers the VM's node alive or
	// suspect.
	IsAlive     func(fleet.VM) bool
	Clock       clock.Clock
	MinInterval time.Duration // interval between two reads of the table in a small fleet; default 2s
}

// SweepSubject is the subject of the duty of deleting the rows of departed
// nodes.
const SweepSubject = "discovery/sweep"

// Directory contains the addresses of the other nodes.
type Directory struct {
	opt Options

	mu        sync.Mutex
	rows      map[fleet.VM]Row
	listed    map[fleet.VM]fleet.Record
	lastPeers []peer.Peer

	// accessed only by Run
	registered    bool
	departedSince map[fleet.VM]clock.Instant // time since which a row's node is neither alive nor listed
}

// New returns an empty directory.
func New(opt Options) *Directory {
	if opt.MinInterval == 0 {
		opt.MinInterval = defaultMinInterval
	}
	return &Directory{opt: opt, rows: map[fleet.VM]Row{}, listed: map[fleet.VM]fleet.Record{}, departedSince: map[fleet.VM]clock.Instant{}}
}

// Run registers the node's own row and reads the others periodically until ctx
// ends, then deletes its own row.
func (d *Directory) Run(ctx context.Context) error {
	for {
		d.refresh(ctx)
		if !clock.Sleep(ctx, d.interval()) {
			break
		}
	}
	d.leave()
	return nil
}

// interval returns the time until the next read of the table. It grows with the
// number of nodes, so that all of them together stay within maxReadsPerSecond.
func (d *Directory) interval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shared := time.Duration(len(d.rows)+1) * time.Second / maxReadsPerSecond
	return max(d.opt.MinInterval, shared)
}

func (d *Directory) refresh(ctx context.Context) {
	if !d.registered {
		d.registered = d.register(ctx)
	}
	rows, err := d.opt.Table.List(ctx, platform.TableNodes, "")
	if err != nil {
		return // the known addresses are kept
	}
	known, own := parseRows(rows, d.opt.Self)
	// A restored table may have lost the row, or a late write of an earlier
	// incarnation of this VM may have replaced it.
	if own != d.opt.Row {
		d.registered = false
	}
	d.mu.Lock()
	d.rows = known
	d.mu.Unlock()
	d.notifyPeersChanged()
	if d.opt.OwnsDuty(SweepSubject) {
		d.sweep(ctx, rows)
	}
}

func parseRows(rows []platform.Row, self fleet.VM) (others map[fleet.VM]Row, own Row) {
	others = make(map[fleet.VM]Row, len(rows))
	for _, r := range rows {
		var row Row
		if json.Unmarshal(r.Value, &row) != nil {
			continue // written by a newer version of the program; the list of VMs still provides the address
		}
		if fleet.VM(r.Key) == self {
			own = row
			continue
		}
		others[fleet.VM(r.Key)] = row
	}
	return others, own
}

// UpdateListed updates the directory with the platform's list of VMs.
func (d *Directory) UpdateListed(records []fleet.Record) {
	listed := map[fleet.VM]fleet.Record{}
	for _, r := range records {
		if r.Kind == fleet.KindEntry && r.VM != d.opt.Self && r.Addr != "" {
			listed[r.VM] = r
		}
	}
	d.mu.Lock()
	d.listed = listed
	d.mu.Unlock()
	d.notifyPeersChanged()
}

// Row returns the row of the VM's node.
func (d *Directory) Row(vm fleet.VM) (Row, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[vm]
	return r, ok
}

// notifyPeersChanged calls OnPeersChanged if the peers have changed.
func (d *Directory) notifyPeersChanged() {
	d.mu.Lock()
	peers := mergePeers(d.rows, d.listed)
	changed := !slices.Equal(peers, d.lastPeers)
	d.lastPeers = peers
	d.mu.Unlock()
	if changed {
		d.opt.OnPeersChanged(peers)
	}
}

// mergePeers returns the peers in the rows and in the platform's list. A node's own row
// takes precedence over the list, which lags behind.
func mergePeers(rows map[fleet.VM]Row, listed map[fleet.VM]fleet.Record) []peer.Peer {
	var peers []peer.Peer
	for vm, r := range rows {
		peers = append(peers, peer.Peer{VM: vm, Zone: r.Zone, Addr: r.Peer})
	}
	for vm, r := range listed {
		if _, ok := rows[vm]; !ok {
			peers = append(peers, peer.Peer{VM: vm, Zone: r.Zone, Addr: r.Addr})
		}
	}
	slices.SortFunc(peers, func(a, b peer.Peer) int { return cmp.Compare(a.VM, b.VM) })
	return peers
}

// register writes the node's row and reports whether it succeeded. It
// overwrites an existing row: a VM runs only one node at a time, so the row is
// of an earlier incarnation.
func (d *Directory) register(ctx context.Context) bool {
	old, err := d.opt.Table.Get(ctx, platform.TableNodes, string(d.opt.Self))
	if err != nil {
		return false
	}
	value, err := json.Marshal(d.opt.Row)
	if err != nil { // unreachable: every field is a string or a number
		panic(err)
	}
	res, err := d.opt.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: string(d.opt.Self), Version: old.Version}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: string(d.opt.Self), Value: value}},
	})
	if err != nil {
		d.opt.Log.Warn("cannot write node address to platform table; retrying at next read", "error", err)
		return false
	}
	return res.Committed
}

// leave deletes the node's row, unless a later incarnation on this VM has
// replaced it.
func (d *Directory) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	row, err := d.opt.Table.Get(ctx, platform.TableNodes, string(d.opt.Self))
	if err != nil || row.Version == 0 {
		return
	}
	var own Row
	if json.Unmarshal(row.Value, &own) != nil || own != d.opt.Row {
		return
	}
	_, err = d.opt.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: row.Key, Version: row.Version}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: row.Key, Delete: true}},
	})
	if err != nil {
		d.opt.Log.Warn("cannot delete own node row; the remaining row is harmless", "error", err)
	}
}
