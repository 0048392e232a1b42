package revision

import (
	"context"
	"errors"

	"chervilloom/internal/platform"
)

// Heal writes the known revisions that the table lost, and raises its head to
// the highest of them. It reports whether it wrote anything.
//
// Nodes may heal concurrently: each transaction checks the head's version, so
// one node writes and the others find nothing missing at their next poll. All
// known revisions were accepted before, so writing them again accepts nothing
// new. If the table has reassigned a number, the order of stamps decides on
// every node which revision keeps it. The other one is kept as a copy under its
// number and hash, and is never in force again.
func (s *Store) Heal(ctx context.Context, known []*Record) (bool, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return false, err
	}
	top := lastRecord(known)
	if top == nil || top.Stamp.Compare(head.Stamp) <= 0 {
		return false, nil
	}
	h := healTxn{table: platform.TableRevisions}
	h.check(headKey, head.version)
	for _, rec := range known {
		if err := s.addRecord(ctx, &h, rec); err != nil {
			return false, err
		}
	}
	h.write(headKey, encodeHead(top))
	res, err := s.table.Commit(ctx, platform.Txn{Attempt: s.newAttempt(), Checks: h.checks, Writes: h.writes})
	if errors.Is(err, platform.ErrAmbiguous) {
		return false, nil // the next read of the head shows whether anything is still missing
	}
	return res.Committed, err
}

// healTxn collects the checks and writes of one transaction.
type healTxn struct {
	table  string
	checks []platform.Check
	writes []platform.Write
}

func (h *healTxn) check(key string, version uint64) {
	h.checks = append(h.checks, platform.Check{Table: h.table, Key: key, Version: version})
}

func (h *healTxn) write(key string, value []byte) {
	h.writes = append(h.writes, platform.Write{Table: h.table, Key: key, Value: value})
}

// addRecord adds the checks and writes that put rec into the table.
func (s *Store) addRecord(ctx context.Context, h *healTxn, rec *Record) error {
	key := rowKey(rec.Stamp.Number)
	row, version, err := s.get(ctx, key)
	if err != nil {
		return err
	}
	if row == nil {
		h.check(key, 0)
		h.write(key, encodeRecord(rec))
		return nil
	}
	if row.Stamp == rec.Stamp {
		return nil
	}
	winner, loser := row, rec
	if rec.Stamp.Compare(row.Stamp) > 0 {
		winner, loser = rec, row
	}
	h.check(key, version)
	h.write(key, encodeRecord(winner))
	return s.addCopy(ctx, h, loser)
}

func (s *Store) addCopy(ctx context.Context, h *healTxn, loser *Record) error {
	key := copyKey(loser.Stamp)
	row, version, err := s.get(ctx, key)
	if err != nil || row != nil {
		return err
	}
	h.check(key, version)
	h.write(key, encodeRecord(loser))
	return nil
}
