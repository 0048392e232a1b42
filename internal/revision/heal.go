package revision

import (
	"context"
	"errors"

	"chervilloom/internal/platform"
)

// Heal writes those of the known revisions that the table lost, and raises its
// head to the highest of them. It reports whether it wrote anything.
//
// Nodes may heal at once: each checks the head's version, so one of them
// writes, and the others find nothing missing at their next look. Known
// revisions were accepted, each of them, so writing them again accepts nothing
// new. Where the table has given a number again, the order of stamps decides
// who keeps it, on every node alike; the other revision is kept as a copy under
// its number and hash, and is never in force again.
func (s *Store) Heal(ctx context.Context, known []*Record) (bool, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return false, err
	}
	top := last(known)
	if top == nil || top.Stamp.Compare(head.Stamp) <= 0 {
		return false, nil
	}
	h := healing{table: platform.TableRevisions}
	h.check(headKey, head.version)
	for _, rec := range known {
		if err := s.restore(ctx, &h, rec); err != nil {
			return false, err
		}
	}
	h.write(headKey, encodeHead(top))
	res, err := s.table.Commit(ctx, platform.Txn{Attempt: s.newAttempt(), Checks: h.checks, Writes: h.writes})
	if errors.Is(err, platform.ErrAmbiguous) {
		return false, nil // level-triggered: the next look at the head tells
	}
	return res.Committed, err
}

// healing collects one transaction.
type healing struct {
	table  string
	checks []platform.Check
	writes []platform.Write
}

func (h *healing) check(key string, version uint64) {
	h.checks = append(h.checks, platform.Check{Table: h.table, Key: key, Version: version})
}

func (h *healing) write(key string, value []byte) {
	h.writes = append(h.writes, platform.Write{Table: h.table, Key: key, Value: value})
}

// restore adds what it takes for rec to stand in the table.
func (s *Store) restore(ctx context.Context, h *healing, rec *Record) error {
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
	return s.keepCopy(ctx, h, loser)
}

func (s *Store) keepCopy(ctx context.Context, h *healing, loser *Record) error {
	key := copyKey(loser.Stamp)
	row, version, err := s.get(ctx, key)
	if err != nil || row != nil {
		return err
	}
	h.check(key, version)
	h.write(key, encodeRecord(loser))
	return nil
}
