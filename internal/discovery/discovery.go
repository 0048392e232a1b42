// Package discovery learns where the other nodes are. Entry VMs are replaced at
// any time with new addresses, so addresses come from three sources: the rows
// that nodes write to the platform's table, the platform's list of VMs, and the
// members that peers tell of. The settings' seeds only serve a node that starts
// while the platform is down.
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
	// defaultLeast is the time between two looks at the table of a small fleet.
	defaultLeast = 2 * time.Second
	// leaveTime bounds the deletion of the node's own row.
	leaveTime = 2 * time.Second
	// readsPerSecond bounds the looks of all nodes together.
	readsPerSecond = 50
)

// Row is what a node writes about itself, under its VM in the table of nodes.
type Row struct {
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Zone        fleet.AvailabilityZone `json:"zone"`
	Peer        string                 `json:"peer"`     // ip:port of the peer listener
	Caller      string                 `json:"caller"`   // ip:port of the caller listener
	Operator    string                 `json:"operator"` // ip:port of the operator listener
}

// Table is the part of the platform's table that discovery needs.
type Table interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (platform.Result, error)
}

// Options are what a Directory needs.
type Options struct {
	Self  fleet.VM
	Row   Row
	Table Table
	Log   *slog.Logger
	// Found is told of all peers known after each look that changed them.
	Found func([]peer.Peer)
	// Owns reports whether this node has the duty of the subject (SweepSubject).
	Owns func(subject string) bool
	// Alive reports whether membership believes the VM's node to be alive or
	// suspect.
	Alive func(fleet.VM) bool
	Clock clock.Clock
	Least time.Duration // between two looks of a small fleet; default 2s
}

// SweepSubject names the duty of deleting the rows of nodes that are gone.
const SweepSubject = "discovery/sweep"

// Directory keeps the addresses of the other nodes.
type Directory struct {
	opt Options

	mu     sync.Mutex
	rows   map[fleet.VM]Row
	listed map[fleet.VM]fleet.Record
	told   []peer.Peer

	// touched by Run alone
	registered bool
	gone       map[fleet.VM]clock.Instant // since when a row's node is neither alive nor listed
}

// New returns a directory that knows nobody.
func New(opt Options) *Directory {
	if opt.Least == 0 {
		opt.Least = defaultLeast
	}
	return &Directory{opt: opt, rows: map[fleet.VM]Row{}, listed: map[fleet.VM]fleet.Record{}, gone: map[fleet.VM]clock.Instant{}}
}

// Run writes the node's own row and reads the others' until ctx ends, then
// deletes its own.
func (d *Directory) Run(ctx context.Context) error {
	for {
		d.look(ctx)
		if !clock.Sleep(ctx, d.interval()) {
			break
		}
	}
	d.leave()
	return nil
}

// interval grows with the number of nodes, so that all of them together stay
// within readsPerSecond.
func (d *Directory) interval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shared := time.Duration(len(d.rows)+1) * time.Second / readsPerSecond
	return max(d.opt.Least, shared)
}

func (d *Directory) look(ctx context.Context) {
	if !d.registered {
		d.registered = d.register(ctx)
	}
	rows, err := d.opt.Table.List(ctx, platform.TableNodes, "")
	if err != nil {
		return // the addresses known stay known
	}
	known, own := parse(rows, d.opt.Self)
	// A restored table may have lost the row, and a late write of an earlier
	// life of this VM may have replaced it.
	if own != d.opt.Row {
		d.registered = false
	}
	d.mu.Lock()
	d.rows = known
	d.mu.Unlock()
	d.tell()
	if d.opt.Owns(SweepSubject) {
		d.sweep(ctx, rows)
	}
}

func parse(rows []platform.Row, self fleet.VM) (others map[fleet.VM]Row, own Row) {
	others = make(map[fleet.VM]Row, len(rows))
	for _, r := range rows {
		var row Row
		if json.Unmarshal(r.Value, &row) != nil {
			continue // written by a newer program; the list of VMs still tells the address
		}
		if fleet.VM(r.Key) == self {
			own = row
			continue
		}
		others[fleet.VM(r.Key)] = row
	}
	return others, own
}

// Listed takes the platform's list of VMs.
func (d *Directory) Listed(records []fleet.Record) {
	listed := map[fleet.VM]fleet.Record{}
	for _, r := range records {
		if r.Kind == fleet.KindEntry && r.VM != d.opt.Self && r.Addr != "" {
			listed[r.VM] = r
		}
	}
	d.mu.Lock()
	d.listed = listed
	d.mu.Unlock()
	d.tell()
}

// Row returns what the node of the VM wrote about itself.
func (d *Directory) Row(vm fleet.VM) (Row, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[vm]
	return r, ok
}

// tell reports the peers when they changed. A node's own row goes before the
// platform's list, which lags.
func (d *Directory) tell() {
	d.mu.Lock()
	peers := merge(d.rows, d.listed)
	changed := !slices.Equal(peers, d.told)
	d.told = peers
	d.mu.Unlock()
	if changed {
		d.opt.Found(peers)
	}
}

func merge(rows map[fleet.VM]Row, listed map[fleet.VM]fleet.Record) []peer.Peer {
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

// register writes the node's row over whatever stands there: a VM runs one
// node at a time, and the row of an earlier life is of no use.
func (d *Directory) register(ctx context.Context) bool {
	old, err := d.opt.Table.Get(ctx, platform.TableNodes, string(d.opt.Self))
	if err != nil {
		return false
	}
	value, err := json.Marshal(d.opt.Row)
	if err != nil { // every field is a string or a number
		panic(err)
	}
	res, err := d.opt.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: string(d.opt.Self), Version: old.Version}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: string(d.opt.Self), Value: value}},
	})
	if err != nil {
		d.opt.Log.Warn("the node's address could not be written to the platform's table; it is tried again", "error", err)
		return false
	}
	return res.Committed
}

// leave deletes the node's row, unless a later life of the VM has written it.
func (d *Directory) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
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
		d.opt.Log.Warn("the node's row stays in the table; it does no harm", "error", err)
	}
}
