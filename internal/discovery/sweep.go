package discovery

import (
	"context"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

const (
	// departedTimeout is how long a node must be neither alive nor listed
	// before its row is deleted. It is longer than a partition between
	// availability zones: nodes on the other side look departed too, and their
	// peers need the rows to find them when the partition heals.
	departedTimeout = 30 * time.Minute
	// maxSweptRows limits the rows deleted after one read.
	maxSweptRows = 16
)

// sweep deletes the rows of nodes that departed long ago. Entry VMs are
// replaced under new names, so otherwise the table of nodes would grow without
// bound and every node would keep dialling the addresses of departed ones.
func (d *Directory) sweep(ctx context.Context, rows []platform.Row) {
	now := d.opt.Clock.Now()
	stale := d.staleRows(rows, now)
	for _, r := range stale[:min(len(stale), maxSweptRows)] {
		_, err := d.opt.Table.Commit(ctx, platform.Txn{
			// The check fails if the node has returned and written its row
			// again.
			Checks: []platform.Check{{Table: platform.TableNodes, Key: r.Key, Version: r.Version}},
			Writes: []platform.Write{{Table: platform.TableNodes, Key: r.Key, Delete: true}},
		})
		if err != nil {
			return // retried after the next read
		}
		d.opt.Log.Info("deleted row of departed node", "node", r.Key)
	}
}

// staleRows returns the rows whose nodes have been departed for
// departedTimeout, and records since when the other departed nodes are.
func (d *Directory) staleRows(rows []platform.Row, now clock.Instant) []platform.Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	departedSince := make(map[fleet.VM]clock.Instant)
	var out []platform.Row
	for _, r := range rows {
		vm := fleet.VM(r.Key)
		_, listed := d.listed[vm]
		if vm == d.opt.Self || listed || d.opt.IsAlive(vm) {
			continue
		}
		since, known := d.departedSince[vm]
		if !known {
			since = now
		}
		departedSince[vm] = since
		if now.Sub(since) >= departedTimeout {
			out = append(out, r)
		}
	}
	d.departedSince = departedSince
	return out
}
