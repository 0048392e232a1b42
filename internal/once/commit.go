package once

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"chervilloom/internal/platform"
)

// commit writes the batch. The writes whose condition fails are taken out and
// the others go on in another transaction: a conditional transaction that was
// refused has changed nothing. Each round takes out one write at least.
func (w *writer) commit(ctx context.Context, batch []write) {
	batch, again := splitTwice(batch)
	for len(batch) > 0 {
		batch = w.commitOnce(ctx, batch)
	}
	if len(again) > 0 {
		w.commit(ctx, again)
	}
}

// splitTwice takes second writes of the same row out of the batch.
func splitTwice(batch []write) (once, again []write) {
	seen := make(map[string]struct{}, len(batch))
	once = batch[:0:0]
	for _, op := range batch {
		if _, twice := seen[op.key]; twice {
			again = append(again, op)
			continue
		}
		seen[op.key] = struct{}{}
		once = append(once, op)
	}
	return once, again
}

func (w *writer) commitOnce(ctx context.Context, batch []write) (rest []write) {
	txn := transaction(batch)
	res, err := w.send(ctx, txn)
	w.meters.transactions.WithLabelValues(resultLabel(res, err)).Inc()
	switch {
	case err == nil && res.Committed:
		w.answered()
		landed(batch, res.Rows)
		return nil
	case err == nil:
		w.answered()
		return refused(batch, res.Rows)
	case errors.Is(err, platform.ErrDown), errors.Is(err, platform.ErrRefused):
		w.unreachable(err)
		endAll(batch, writeFailed)
		return nil
	}
	w.unreachable(err)
	w.readBack(ctx, txn, batch)
	return nil
}

func (w *writer) send(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.limits.Timeout)
	defer cancel()
	return w.table.Commit(ctx, txn)
}

// readBack looks for the transaction's attempt in one of its rows: all of them
// landed or none. A row without it proves nothing, for the write may land yet.
func (w *writer) readBack(ctx context.Context, txn platform.Txn, batch []write) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	row, err := w.table.Get(ctx, platform.TableKeys, batch[0].key)
	if err == nil && row.Attempt == txn.Attempt {
		w.answered()
		landed(batch, nil)
		return
	}
	endAll(batch, writeUnclear)
}

func transaction(batch []write) platform.Txn {
	txn := platform.Txn{
		Attempt: uuid.NewString(),
		Checks:  make([]platform.Check, len(batch)),
		Writes:  make([]platform.Write, len(batch)),
	}
	for i, op := range batch {
		txn.Checks[i] = platform.Check{Table: platform.TableKeys, Key: op.key, Version: op.version}
		txn.Writes[i] = platform.Write{Table: platform.TableKeys, Key: op.key, Value: op.value}
	}
	return txn
}

func landed(batch []write, rows []platform.Row) {
	at := rowsByKey(rows)
	for _, op := range batch {
		row, ok := at[op.key]
		if !ok {
			row = platform.Row{Table: platform.TableKeys, Key: op.key, Version: op.version + 1, Value: op.value}
		}
		op.done(writeLanded, row)
	}
}

// refused ends the writes whose condition failed and returns the others.
func refused(batch []write, rows []platform.Row) (rest []write) {
	at := rowsByKey(rows)
	for _, op := range batch {
		row, failed := at[op.key]
		if !failed {
			rest = append(rest, op)
			continue
		}
		op.done(writeRefused, row)
	}
	if len(rest) == len(batch) {
		// The platform refused without naming a row: going on would not end.
		endAll(batch, writeFailed)
		return nil
	}
	return rest
}

func rowsByKey(rows []platform.Row) map[string]platform.Row {
	at := make(map[string]platform.Row, len(rows))
	for _, r := range rows {
		at[r.Key] = r
	}
	return at
}

func endAll(batch []write, end writeEnd) {
	for _, op := range batch {
		op.done(end, platform.Row{})
	}
}
