package once

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/platform"
)

// SweepSubject names the duty of deleting expired rows.
const SweepSubject = "once/sweep"

// sweepRow is written by every transaction that deletes rows. Without it, a
// deletion that was given up on could land late: after another deletion and a
// new claim the row may stand at the same version again, and the claim of a
// running call would vanish. The version of sweepRow never stands still.
const sweepRow = "sweep"

// sweepPrefixes is into how many parts an organisation's keys are listed.
const sweepPrefixes = 256

// sweepCursor walks the parts of all organisations' keys, one each round.
type sweepCursor struct{ next int }

func (k *Keeper) sweepLoop(ctx context.Context) {
	clock.Every(ctx, k.opt.SweepEvery, func() { k.sweepOnce(ctx) })
}

func (k *Keeper) sweepOnce(ctx context.Context) {
	for i, id := range k.mem.sweep(k.opt.Clock.Now()) {
		if i == k.opt.Write.Queue/2 {
			break // the rest comes with the next round
		}
		k.writeOutcome(id)
	}
	if !k.opt.Owns(SweepSubject) {
		return
	}
	if err := k.sweepTable(ctx); err != nil {
		k.opt.Log.Warn("expired keys stay in the table until the next round", "err", err)
	}
}

// sweepTable deletes expired rows of one part of the keys.
func (k *Keeper) sweepTable(ctx context.Context) error {
	prefix, ok := k.nextPart()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.opt.Write.Timeout)
	defer cancel()
	mark, err := k.opt.Table.Get(ctx, platform.TableKeys, sweepRow)
	if err != nil {
		return fmt.Errorf("once: reading the sweep row: %w", err)
	}
	rows, err := k.opt.Table.List(ctx, platform.TableKeys, prefix)
	if err != nil {
		return fmt.Errorf("once: listing keys: %w", err)
	}
	txn := k.deletion(mark, rows)
	if len(txn.Writes) == 1 {
		return nil
	}
	res, err := k.opt.Table.Commit(ctx, txn)
	if err != nil {
		return fmt.Errorf("once: deleting expired keys: %w", err)
	}
	if res.Committed {
		k.meters.swept.Add(float64(len(txn.Writes) - 1))
	}
	return nil
}

func (k *Keeper) nextPart() (prefix string, ok bool) {
	doc := k.opt.View.Snapshot().Config
	if doc == nil || len(doc.Organisations) == 0 {
		return "", false
	}
	n := k.sweep.next % (len(doc.Organisations) * sweepPrefixes)
	k.sweep.next = n + 1
	org := doc.Organisations[n/sweepPrefixes].Name
	return fmt.Sprintf("%s/%02x", org, n%sweepPrefixes), true
}

func (k *Keeper) deletion(mark platform.Row, rows []platform.Row) platform.Txn {
	txn := platform.Txn{Attempt: uuid.NewString()}
	txn.Checks = append(txn.Checks, platform.Check{Table: platform.TableKeys, Key: sweepRow, Version: mark.Version})
	txn.Writes = append(txn.Writes, platform.Write{Table: platform.TableKeys, Key: sweepRow})
	for _, row := range rows {
		if len(txn.Writes) > k.opt.SweepBatch {
			break
		}
		r, err := decodeRow(row.Value)
		if err != nil || !r.expired(k.opt.WallNow(), 2*k.opt.Skew) {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Table: platform.TableKeys, Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Table: platform.TableKeys, Key: row.Key, Delete: true})
	}
	return txn
}
