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

// Backoff between two attempts to resolve a lost response.
const (
	resolveBackoffMin = 20 * time.Millisecond
	resolveBackoffMax = 500 * time.Millisecond
)

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (Result, error) {
	if txn.Attempt == "" {
		txn.Attempt = uuid.NewString()
	}
	if err := txn.validate(); err != nil {
		return Result{}, err
	}
	done := c.startOperation(&ctx, opCommit)
	res, err := c.commit(ctx, &txn)
	done(err)
	return res, err
}

// validate returns an error for a transaction that the platform would reject.
func (t *Txn) validate() error {
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
	first := c.postTxn(ctx, body)
	if first.hasResult {
		return first.result, nil
	}
	if first.response.hadNoEffect() {
		return Result{}, first.response.noEffectError()
	}
	res, v := c.resolve(ctx, txn, body)
	c.metrics.lostResponses.WithLabelValues(string(v)).Inc()
	c.log.Warn("write response was lost", "attempt", txn.Attempt, "found", string(v), "cause", first.response.cause())
	if v == verdictUnsettled {
		return Result{}, fmt.Errorf("%w: attempt %s: %w", ErrAmbiguous, txn.Attempt, first.response.cause())
	}
	return res, nil
}

// postResult is the result of sending a transaction once.
type postResult struct {
	response  *httpResult
	hasResult bool // result was received from the platform
	result    Result
}

func (c *Client) postTxn(ctx context.Context, body []byte) postResult {
	p := postResult{response: c.send(ctx, http.MethodPost, "/v1/txn", body)}
	if !p.response.ok() {
		return p
	}
	// A truncated JSON response counts as lost.
	if err := json.Unmarshal(p.response.body, &p.result); err != nil {
		p.response.err = err
		return p
	}
	p.hasResult = true
	return p
}

// resolve determines the result of a transaction whose response was lost.
//
// It reads the rows back and, if that isn't sufficient, resends the transaction with
// the same attempt ID. With a new ID a write that was applied before its response was
// lost could be applied a second time.
func (c *Client) resolve(ctx context.Context, txn *Txn, body []byte) (Result, verdict) {
	ctx, cancel := context.WithTimeout(ctx, c.resolveTimeout)
	defer cancel()
	backoff := resolveBackoffMin
	for {
		res, v := c.resolveOnce(ctx, txn, body)
		if v != verdictUnsettled {
			return res, v
		}
		select {
		case <-ctx.Done():
			return Result{}, verdictUnsettled
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, resolveBackoffMax)
	}
}

func (c *Client) resolveOnce(ctx context.Context, txn *Txn, body []byte) (Result, verdict) {
	rows, attemptsKept, err := c.readBack(ctx, txn)
	if err != nil {
		return Result{}, verdictUnsettled
	}
	if res, v := resolveFromRows(txn, rows); v != verdictUnsettled {
		return res, v
	}
	// The first request may still be in flight. Resending is safe only if at most one
	// of the two can take effect.
	if !attemptsKept && !txn.selfInvalidating() {
		return Result{}, verdictUnsettled
	}
	resent := c.postTxn(ctx, body)
	if !resent.hasResult {
		return Result{}, verdictUnsettled
	}
	if resent.result.Committed {
		return resent.result, verdictApplied
	}
	if resent.response.header.Get(HeaderAttempts) == AttemptsKept {
		return resent.result, verdictNotApplied
	}
	// The checks may have failed because the first request was applied in the
	// meantime. The next read of the rows shows that.
	return Result{}, verdictUnsettled
}

// readBack reads every row that the transaction checks or writes. attemptsKept reports
// whether the platform stores results by attempt ID.
func (c *Client) readBack(ctx context.Context, txn *Txn) (rows map[rowID]Row, attemptsKept bool, err error) {
	rows = make(map[rowID]Row)
	for _, id := range txn.rowIDs() {
		row := Row{Table: id.table, Key: id.key}
		header, err := c.read(ctx, opGet, "/v1/table/"+escapeSegment(id.table)+"/"+escapeSegment(id.key), &row)
		if err != nil {
			return nil, false, err
		}
		attemptsKept = header.Get(HeaderAttempts) == AttemptsKept
		rows[id] = row
	}
	return rows, attemptsKept, nil
}

type rowID struct{ table, key string }

// rowIDs returns each row of the transaction once: first the rows that it only checks,
// then those that it writes. resolveFromRows depends on this order.
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

// selfInvalidating reports whether the transaction writes a row that it checks. Its
// checks then fail once it has been applied, so that at most one of two copies can take
// effect.
func (t *Txn) selfInvalidating() bool {
	written := t.writtenRows()
	for _, ch := range t.Checks {
		if written[rowID{ch.Table, ch.Key}] {
			return true
		}
	}
	return false
}

// resolveFromRows determines the result of a transaction from rows read after its
// response was lost, in the order of rowIDs. It relies on two properties of the table:
// a transaction is applied completely or not at all, and a row's version is never
// reused. verdictNotApplied also guarantees that a copy still in flight can't be applied
// later.
//
//   - A row has the transaction's attempt ID: it was applied.
//   - A row that it checks and writes is at the next version, written by another
//     attempt: that attempt superseded this one.
//   - A check has permanently failed, and a row that it checks and writes, read later,
//     still has the checked version: it had not been applied by then and can't be
//     afterwards. The order of the reads matters: in reverse order it could have been
//     applied between them.
//   - Otherwise the rows were overwritten or deleted since, or the transaction may still
//     be applied. That includes one that checks that a row doesn't exist, since the row
//     may be deleted.
func resolveFromRows(txn *Txn, rows map[rowID]Row) (Result, verdict) {
	for _, w := range txn.Writes {
		if rows[rowID{w.Table, w.Key}].Attempt == txn.Attempt {
			return appliedResult(txn, rows), verdictApplied
		}
	}
	checked := txn.checkedVersions()
	written := txn.writtenRows()
	hasFailedCheck := false
	for _, id := range txn.rowIDs() {
		version, ok := checked[id]
		if !ok {
			continue
		}
		row := rows[id]
		isNewer := version > 0 && row.Version > version
		isSuperseded := written[id] && isNewer && row.Version == version+1
		isUnchanged := written[id] && row.Version == version
		if isSuperseded || (isUnchanged && hasFailedCheck) {
			return Result{Rows: failedChecks(txn, rows)}, verdictNotApplied
		}
		hasFailedCheck = hasFailedCheck || isNewer
	}
	return Result{}, verdictUnsettled
}

// failedChecks returns the current rows of the failed checks.
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

// appliedResult reconstructs the result of a transaction that was applied. A row that
// was overwritten since is returned as this transaction wrote it if a check gives its
// version, and is omitted otherwise.
func appliedResult(txn *Txn, rows map[rowID]Row) Result {
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
