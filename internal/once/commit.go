package once

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"chervilloom/internal/platform"
)

// commit writes the batch. A conditional transaction that was refused has changed
// nothing, so the writes whose condition failed are removed and the others are
// retried in another transaction. Each round removes at least one write.
func (w *writer) commit(ctx context.Context, batch []write) {
	batch, duplicates := splitDuplicates(batch)
	for len(batch) > 0 {
		batch = w.commitOnce(ctx, batch)
	}
	if len(duplicates) > 0 {
		w.commit(ctx, duplicates)
	}
}

// splitDuplicates separates the first write of each row from further writes of the
// same row, which need a transaction of their own.
func splitDuplicates(batch []write) (unique, duplicates []write) {
	seen := make(map[string]struct{}, len(batch))
	unique = batch[:0:0]
	for _, op := range batch {
		if _, duplicate := seen[op.key]; duplicate {
			duplicates = append(duplicates, op)
			continue
		}
		seen[op.key] = struct{}{}
		unique = append(unique, op)
	}
	return unique, duplicates
}

func (w *writer) commitOnce(ctx context.Context, batch []write) (rest []write) {
	txn := newTransaction(batch)
	res, err := w.commitWithTimeout(ctx, txn)
	w.metrics.transactions.WithLabelValues(resultLabel(res, err)).Inc()
	switch {
	case err == nil && res.Committed:
		w.markAvailable()
		finishCommitted(batch, res.Rows)
		return nil
	case err == nil:
		w.markAvailable()
		return finishRefused(batch, res.Rows)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRejected):
		w.markUnavailable(err)
		finishAll(batch, writeFailed)
		return nil
	}
	w.markUnavailable(err)
	w.readBack(ctx, txn, batch)
	return nil
}

func (w *writer) commitWithTimeout(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.limits.Timeout)
	defer cancel()
	return w.table.Commit(ctx, txn)
}

// readBack looks up the transaction's attempt ID in one of its rows; since the
// transaction is atomic, one row is enough. A row without it proves nothing,
// because the transaction may still be applied later.
func (w *writer) readBack(ctx context.Context, txn platform.Txn, batch []write) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	row, err := w.table.Get(ctx, platform.TableKeys, batch[0].key)
	if err == nil && row.Attempt == txn.Attempt {
		w.markAvailable()
		finishCommitted(batch, nil)
		return
	}
	finishAll(batch, writeAmbiguous)
}

func newTransaction(batch []write) platform.Txn {
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

func finishCommitted(batch []write, rows []platform.Row) {
	byKey := rowsByKey(rows)
	for _, op := range batch {
		row, ok := byKey[op.key]
		if !ok {
			row = platform.Row{Table: platform.TableKeys, Key: op.key, Version: op.version + 1, Value: op.value}
		}
		op.done(writeCommitted, row)
	}
}

// finishRefused finishes the writes whose condition failed and returns the others.
func finishRefused(batch []write, rows []platform.Row) (rest []write) {
	byKey := rowsByKey(rows)
	for _, op := range batch {
		row, failed := byKey[op.key]
		if !failed {
			rest = append(rest, op)
			continue
		}
		op.done(writeRefused, row)
	}
	if len(rest) == len(batch) {
		// The platform refused without naming a row, so retrying would loop forever.
		finishAll(batch, writeFailed)
		return nil
	}
	return rest
}

func rowsByKey(rows []platform.Row) map[string]platform.Row {
	byKey := make(map[string]platform.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	return byKey
}

func finishAll(batch []write, result writeResult) {
	for _, op := range batch {
		op.done(result, platform.Row{})
	}
}
