package once

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/platform"
)

// SweepSubject is the subject of the duty to delete expired rows.
const SweepSubject = "once/sweep"

// sweepRow is written by every transaction that deletes rows, so that its version
// increases each time. Without it, a deletion that timed out could be applied
// late: after another deletion and a new claim, the row may have the same version
// again, and the claim of a running call would be deleted.
const sweepRow = "sweep"

// sweepPrefixes is the number of key prefixes per organisation; each sweep lists
// the rows of one prefix.
const sweepPrefixes = 256

// sweepPosition iterates over the key prefixes of all organisations, one per sweep.
type sweepPosition struct{ next int }

func (k *Keeper) sweepLoop(ctx context.Context) {
	clock.Every(ctx, k.opt.SweepInterval, func() { k.sweepOnce(ctx) })
}

func (k *Keeper) sweepOnce(ctx context.Context) {
	for i, id := range k.mem.sweep(k.opt.Clock.Now()) {
		if i == k.opt.Write.QueueCapacity/2 {
			break // the rest follows in the next sweep
		}
		k.writeOutcome(id)
	}
	if !k.opt.OwnsDuty(SweepSubject) {
		return
	}
	if err := k.sweepTable(ctx); err != nil {
		k.opt.Log.Warn("cannot delete expired keys; retrying in the next sweep", "err", err)
	}
}

// sweepTable deletes the expired rows of one key prefix.
func (k *Keeper) sweepTable(ctx context.Context) error {
	prefix, ok := k.nextPrefix()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.opt.Write.Timeout)
	defer cancel()
	sweepState, err := k.opt.Table.Get(ctx, platform.TableKeys, sweepRow)
	if err != nil {
		return fmt.Errorf("once: cannot read the sweep row: %w", err)
	}
	rows, err := k.opt.Table.List(ctx, platform.TableKeys, prefix)
	if err != nil {
		return fmt.Errorf("once: cannot list keys: %w", err)
	}
	txn := k.newDeletion(sweepState, rows)
	if len(txn.Writes) == 1 {
		return nil
	}
	res, err := k.opt.Table.Commit(ctx, txn)
	if err != nil {
		return fmt.Errorf("once: cannot delete expired keys: %w", err)
	}
	if res.Committed {
		k.metrics.swept.Add(float64(len(txn.Writes) - 1))
	}
	return nil
}

func (k *Keeper) nextPrefix() (prefix string, ok bool) {
	doc := k.opt.View.Snapshot().Config
	if doc == nil || len(doc.Organisations) == 0 {
		return "", false
	}
	n := k.sweepPos.next % (len(doc.Organisations) * sweepPrefixes)
	k.sweepPos.next = n + 1
	org := doc.Organisations[n/sweepPrefixes].Name
	return fmt.Sprintf("%s/%02x", org, n%sweepPrefixes), true
}

func (k *Keeper) newDeletion(sweepState platform.Row, rows []platform.Row) platform.Txn {
	txn := platform.Txn{Attempt: uuid.NewString()}
	txn.Checks = append(txn.Checks, platform.Check{Table: platform.TableKeys, Key: sweepRow, Version: sweepState.Version})
	txn.Writes = append(txn.Writes, platform.Write{Table: platform.TableKeys, Key: sweepRow})
	for _, row := range rows {
		if len(txn.Writes) > k.opt.SweepBatchRows {
			break
		}
		r, err := decodeRow(row.Value)
		if err != nil || !r.isExpired(k.opt.WallNow(), 2*k.opt.MaxClockSkew) {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Table: platform.TableKeys, Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Table: platform.TableKeys, Key: row.Key, Delete: true})
	}
	return txn
}
