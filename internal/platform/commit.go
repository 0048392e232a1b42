package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// Back-off between two tries to settle a lost answer.
const (
	settleBackoffFirst = 20 * time.Millisecond
	settleBackoffMost  = 500 * time.Millisecond
)

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (Result, error) {
	if txn.Attempt == "" {
		txn.Attempt = uuid.NewString()
	}
	if err := txn.valid(); err != nil {
		return Result{}, err
	}
	done := c.begin(&ctx, opCommit)
	res, err := c.commit(ctx, &txn)
	done(err)
	return res, err
}

// valid refuses what the platform would refuse.
func (t *Txn) valid() error {
	if len(t.Writes) == 0 {
		return errors.New("platform: a transaction needs a write; use Get to read")
	}
	for _, w := range t.Writes {
		if w.Table == "" || w.Key == "" {
			return errors.New("platform: a write needs a table and a key that are not empty")
		}
	}
	return nil
}

func (c *Client) commit(ctx context.Context, txn *Txn) (Result, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return Result{}, fmt.Errorf("platform: transaction: %w", err)
	}
	first := c.post(ctx, body)
	if first.known {
		return first.result, nil
	}
	if first.try.surelyWithoutEffect() {
		return Result{}, first.try.noEffect()
	}
	res, v := c.settle(ctx, txn, body)
	c.metrics.settled.WithLabelValues(string(v)).Inc()
	c.log.Warn("the answer to a write was lost", "attempt", txn.Attempt, "found", string(v), "cause", first.try.cause())
	if v == verdictUnsettled {
		return Result{}, fmt.Errorf("%w: attempt %s: %w", ErrAmbiguous, txn.Attempt, first.try.cause())
	}
	return res, nil
}

// posted is one try to send a transaction.
type posted struct {
	try    *tryAnswer
	known  bool // result is the platform's word
	result Result
}

func (c *Client) post(ctx context.Context, body []byte) posted {
	p := posted{try: c.send(ctx, http.MethodPost, "/v1/txn", body)}
	if !p.try.ok() {
		return p
	}
	// An answer cut short inside its JSON is a lost answer, not a result.
	if err := json.Unmarshal(p.try.body, &p.result); err != nil {
		p.try.err = err
		return p
	}
	p.known = true
	return p
}

// settle finds out what became of a transaction whose answer was lost.
//
// It reads the rows back and, where that is not enough, sends the transaction
// again under the same attempt id. A fresh id is never drawn: with one, a write
// that had landed before its answer was lost would land a second time.
func (c *Client) settle(ctx context.Context, txn *Txn, body []byte) (Result, verdict) {
	ctx, cancel := context.WithTimeout(ctx, c.settleTimeout)
	defer cancel()
	backoff := settleBackoffFirst
	for {
		res, v := c.settleOnce(ctx, txn, body)
		if v != verdictUnsettled {
			return res, v
		}
		select {
		case <-ctx.Done():
			return Result{}, verdictUnsettled
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, settleBackoffMost)
	}
}

func (c *Client) settleOnce(ctx context.Context, txn *Txn, body []byte) (Result, verdict) {
	rows, kept, err := c.readBack(ctx, txn)
	if err != nil {
		return Result{}, verdictUnsettled
	}
	if res, v := judge(txn, rows); v != verdictUnsettled {
		return res, v
	}
	// Not visible now does not mean never: the first copy may still be on its
	// way. Sending again is safe only if at most one copy can take effect.
	if !kept && !txn.selfInvalidating() {
		return Result{}, verdictUnsettled
	}
	again := c.post(ctx, body)
	if !again.known {
		return Result{}, verdictUnsettled
	}
	if again.result.Committed {
		return again.result, verdictLanded
	}
	if again.try.header.Get(HeaderAttempts) == AttemptsKept {
		return again.result, verdictNotLanded
	}
	// A refusal may be due to the first copy having landed meanwhile: only the
	// rows can tell, at the next look.
	return Result{}, verdictUnsettled
}

// readBack reads every row that the transaction checks or writes. kept reports
// whether the platform remembers attempts.
func (c *Client) readBack(ctx context.Context, txn *Txn) (rows map[rowID]Row, kept bool, err error) {
	rows = make(map[rowID]Row)
	for _, id := range txn.rowIDs() {
		row := Row{Table: id.table, Key: id.key}
		header, err := c.read(ctx, opGet, "/v1/table/"+escape(id.table)+"/"+escape(id.key), &row)
		if err != nil {
			return nil, false, err
		}
		kept = header.Get(HeaderAttempts) == AttemptsKept
		rows[id] = row
	}
	return rows, kept, nil
}

type rowID struct{ table, key string }

// rowIDs returns each row of the transaction once: first those that it only
// checks, then those that it writes. judge relies on this order.
func (t *Txn) rowIDs() []rowID {
	written := t.writtenRows()
	seen := make(map[rowID]bool)
	var ids []rowID
	add := func(id rowID) {
		if !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	for _, ch := range t.Checks {
		if id := (rowID{ch.Table, ch.Key}); !written[id] {
			add(id)
		}
	}
	for _, w := range t.Writes {
		add(rowID{w.Table, w.Key})
	}
	return ids
}

func (t *Txn) writtenRows() map[rowID]bool {
	rows := make(map[rowID]bool, len(t.Writes))
	for _, w := range t.Writes {
		rows[rowID{w.Table, w.Key}] = true
	}
	return rows
}

func (t *Txn) checkedVersions() map[rowID]uint64 {
	versions := make(map[rowID]uint64, len(t.Checks))
	for _, ch := range t.Checks {
		versions[rowID{ch.Table, ch.Key}] = ch.Version
	}
	return versions
}

// selfInvalidating reports whether the transaction's own effect makes its own
// checks fail, so that at most one of two copies can take effect.
func (t *Txn) selfInvalidating() bool {
	written := t.writtenRows()
	for _, ch := range t.Checks {
		if written[rowID{ch.Table, ch.Key}] {
			return true
		}
	}
	return false
}

// judge decides from the rows as read after a lost answer, in the order of
// rowIDs. It relies on two properties of the table: a transaction lands whole or
// not at all, and a row's version is never used again. "Not landed" also
// promises that a copy still on its way can land no more.
//
//   - A row carries the attempt id: it landed.
//   - A row that it checks and writes is one version on, by another attempt: that
//     attempt took the place of this one.
//   - A check was seen to have failed for good, and a row read later that it
//     checks and writes still has the checked version: it had not landed by then
//     and cannot after. The order of the reads matters: with the later read
//     first, it could have landed between the two.
//   - Anything else was overwritten or deleted since, or may still land. So may a
//     transaction that checks that a row does not exist, once that row is deleted.
func judge(txn *Txn, rows map[rowID]Row) (Result, verdict) {
	for _, w := range txn.Writes {
		if rows[rowID{w.Table, w.Key}].Attempt == txn.Attempt {
			return landedResult(txn, rows), verdictLanded
		}
	}
	checked := txn.checkedVersions()
	written := txn.writtenRows()
	failed := false
	for _, id := range txn.rowIDs() {
		version, ok := checked[id]
		if !ok {
			continue
		}
		row := rows[id]
		passed := version > 0 && row.Version > version
		superseded := written[id] && passed && row.Version == version+1
		untouched := written[id] && row.Version == version
		if superseded || (untouched && failed) {
			return Result{Rows: failedChecks(txn, rows)}, verdictNotLanded
		}
		failed = failed || passed
	}
	return Result{}, verdictUnsettled
}

// failedChecks returns the present rows of the checks that fail.
func failedChecks(txn *Txn, rows map[rowID]Row) []Row {
	var failed []Row
	for _, ch := range txn.Checks {
		row := rows[rowID{ch.Table, ch.Key}]
		if row.Version != ch.Version {
			failed = append(failed, row)
		}
	}
	return failed
}

// landedResult rebuilds the result of a transaction that landed. A row that was
// overwritten since is given as this transaction left it when its check tells
// the version, and is left out otherwise.
func landedResult(txn *Txn, rows map[rowID]Row) Result {
	checked := txn.checkedVersions()
	res := Result{Committed: true}
	for _, w := range txn.Writes {
		id := rowID{w.Table, w.Key}
		row := rows[id]
		version, known := checked[id]
		switch {
		case row.Attempt == txn.Attempt:
			res.Rows = append(res.Rows, row)
		case w.Delete:
			res.Rows = append(res.Rows, Row{Table: w.Table, Key: w.Key, Attempt: txn.Attempt})
		case known:
			res.Rows = append(res.Rows, Row{Table: w.Table, Key: w.Key, Version: version + 1, Value: w.Value, Attempt: txn.Attempt})
		}
	}
	return res
}
