package discovery

import (
	"context"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

const (
	// goneFor is how long a node must be neither alive nor listed before its
	// row is deleted. It outlasts a cut between availability zones: a node
	// beyond one looks the same, and its peers find it by its row when the cut
	// heals.
	goneFor = 30 * time.Minute
	// sweepBatch bounds the rows deleted after one look.
	sweepBatch = 16
)

// sweep deletes the rows of nodes that are gone for long. Entry VMs are replaced
// under new names, so that without it the table of nodes would grow for ever,
// and every node would go on dialling the addresses of the dead.
func (d *Directory) sweep(ctx context.Context, rows []platform.Row) {
	now := d.opt.Clock.Now()
	stale := d.stale(rows, now)
	for _, r := range stale[:min(len(stale), sweepBatch)] {
		_, err := d.opt.Table.Commit(ctx, platform.Txn{
			// A node that came back has written its row anew.
			Checks: []platform.Check{{Table: platform.TableNodes, Key: r.Key, Version: r.Version}},
			Writes: []platform.Write{{Table: platform.TableNodes, Key: r.Key, Delete: true}},
		})
		if err != nil {
			return // the next look tries again
		}
		d.opt.Log.Info("row of a node that is gone was deleted", "node", r.Key)
	}
}

// stale returns the rows whose nodes have been gone for goneFor, and remembers
// since when the others are.
func (d *Directory) stale(rows []platform.Row, now clock.Instant) []platform.Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := make(map[fleet.VM]clock.Instant)
	var out []platform.Row
	for _, r := range rows {
		vm := fleet.VM(r.Key)
		_, listed := d.listed[vm]
		if vm == d.opt.Self || listed || d.opt.Alive(vm) {
			continue
		}
		since, known := d.gone[vm]
		if !known {
			since = now
		}
		gone[vm] = since
		if now.Sub(since) >= goneFor {
			out = append(out, r)
		}
	}
	d.gone = gone
	return out
}
