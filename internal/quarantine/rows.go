package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/platform"
)

// Rows stores verdicts in a table of the platform, one row each, so that they survive the nodes'
// processes and reach nodes that missed the messages.
type Rows struct {
	Get    func(ctx context.Context, table, key string) (platform.Row, error)
	Commit func(context.Context, platform.Txn) (platform.Result, error)
	Table  string
	Prefix string // of the rows' keys, where the table has other rows too
	Log    *slog.Logger
}

// rowTimeout bounds a write. A request for which a trial is requested waits for it.
const rowTimeout = 300 * time.Millisecond

// Key returns the key of a request's row.
func (r *Rows) Key(fp Fingerprint) string { return r.Prefix + string(fp) }

// Write writes a request's row if it is unchanged since previous was read; the zero row means
// that there was none. It reports whether the row was written.
func (r *Rows) Write(ctx context.Context, v Verdict, previous platform.Row) bool {
	raw, err := json.Marshal(v)
	if err != nil {
		r.Log.Error("quarantined request is not persisted", "fingerprint", v.Fingerprint, "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	res, err := r.Commit(ctx, platform.Txn{
		Attempt: uuid.NewString(),
		Checks:  []platform.Check{{Table: r.Table, Key: r.Key(v.Fingerprint), Version: previous.Version, Era: previous.Era}},
		Writes:  []platform.Write{{Table: r.Table, Key: r.Key(v.Fingerprint), Value: raw}},
	})
	if err != nil {
		r.Log.Info("quarantined request is not kept; the nodes that know it refuse it", "fingerprint", v.Fingerprint, "err", err)
	}
	return err == nil && res.Committed
}

// Persist writes a request's row, unless the stored one is at least as strong. It deletes the row
// again if isKnown is false afterwards: the ban was lifted while the row was written.
func (r *Rows) Persist(ctx context.Context, v Verdict, previous platform.Row, isKnown func(Fingerprint) bool) {
	if r.IsWeaker(previous, v) && r.Write(ctx, v, previous) && !isKnown(v.Fingerprint) {
		r.Delete(ctx, v.Fingerprint)
	}
}

// IsWeaker reports whether a row is absent, or marks as a suspect a request that v finds harmful.
func (r *Rows) IsWeaker(row platform.Row, v Verdict) bool {
	stored, err := r.parseVerdict(row)
	return row.Version == 0 || err == nil && stored.Suspect && !v.Suspect
}

// trialRounds is how often a trial is requested: the tallying nodes may be writing the row at
// the same time.
const trialRounds = 2

// AcquireTrial acquires the single trial run of a request for this node, and reports whether it did. An
// error means that the row could not be read.
func (r *Rows) AcquireTrial(ctx context.Context, v Verdict) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	for range trialRounds {
		row, err := r.Get(ctx, r.Table, r.Key(v.Fingerprint))
		if err != nil {
			return false, fmt.Errorf("quarantine: read row %s: %w", r.Key(v.Fingerprint), err)
		}
		if !r.isTrialFree(row, v) {
			return false, nil
		}
		if r.Write(ctx, v, row) {
			return true, nil
		}
	}
	return false, nil
}

// isTrialFree reports whether no other node has the trial run. The row of a harmful request
// exists until the ban is lifted; that of a suspect may not have been written yet.
func (r *Rows) isTrialFree(row platform.Row, v Verdict) bool {
	if row.Version == 0 {
		return v.Suspect
	}
	stored, err := r.parseVerdict(row)
	return err == nil && stored.Suspect == v.Suspect && stored.Trials < v.Trials
}

// Delete deletes a request's row.
func (r *Rows) Delete(ctx context.Context, fp Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	_, err := r.Commit(ctx, platform.Txn{
		Attempt: uuid.NewString(),
		Writes:  []platform.Write{{Table: r.Table, Key: r.Key(fp), Delete: true}},
	})
	if err != nil {
		r.Log.Info("row of a lifted request is not deleted; nodes that start refuse the request until the row expires", "fingerprint", fp, "err", err)
	}
}

// ParseVerdicts returns the verdicts in rows. Rows without the prefix are skipped, unreadable ones are
// logged and skipped.
func (r *Rows) ParseVerdicts(rows []platform.Row) []Verdict {
	var out []Verdict
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, r.Prefix) {
			continue
		}
		v, err := r.parseVerdict(row)
		if err != nil {
			r.Log.Warn("row does not name a quarantined request; delete it by hand", "key", row.Key, "err", err)
			continue
		}
		out = append(out, v)
	}
	return out
}

func (r *Rows) parseVerdict(row platform.Row) (Verdict, error) {
	var v Verdict
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return Verdict{}, fmt.Errorf("quarantine: row %s: %w", row.Key, err)
	}
	if r.Key(v.Fingerprint) != row.Key {
		return Verdict{}, fmt.Errorf("quarantine: row %s names %q", row.Key, v.Fingerprint)
	}
	return v, nil
}
