package platform

import (
	"maps"
	"slices"
	"strings"

	"chervilloom/internal/platform"
)

// maxAttempts bounds the attempts whose results are kept; the oldest are dropped first.
const maxAttempts = 100_000

type rowKey struct{ table, key string }

// cell is a row whose version counter continues after the row is deleted.
type cell struct {
	row    platform.Row
	exists bool // false once the row is deleted
}

// store contains the rows of all tables, the objects and the results of attempts. It is
// not safe for concurrent use.
type store struct {
	cells        map[rowKey]cell
	objects      map[string][]byte
	attempts     map[string]platform.Result // by attempt id
	attemptOrder []string                   // attempt ids, oldest first
}

func newStore() *store {
	return &store{
		cells:    make(map[rowKey]cell),
		objects:  make(map[string][]byte),
		attempts: make(map[string]platform.Result),
	}
}

// clone returns a copy that shares the values, which are never modified in place.
func (s *store) clone() *store {
	return &store{
		cells:        maps.Clone(s.cells),
		objects:      maps.Clone(s.objects),
		attempts:     maps.Clone(s.attempts),
		attemptOrder: slices.Clone(s.attemptOrder),
	}
}

func (s *store) get(table, key string) platform.Row {
	c := s.cells[rowKey{table, key}]
	if !c.exists {
		return platform.Row{Table: table, Key: key}
	}
	return c.row
}

func (s *store) list(table, prefix string) []platform.Row {
	rows := []platform.Row{}
	for k, c := range s.cells {
		if c.exists && k.table == table && strings.HasPrefix(k.key, prefix) {
			rows = append(rows, c.row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// attemptResult returns the kept result of an attempt, if there is one.
func (s *store) attemptResult(attempt string) (platform.Result, bool) {
	res, ok := s.attempts[attempt]
	return res, ok
}

// commit applies all writes of a transaction if all its checks pass. Otherwise it
// applies none and returns the rows whose checks failed.
func (s *store) commit(txn platform.Txn) platform.Result {
	res := s.failedChecks(txn.Checks)
	if len(res.Rows) > 0 {
		return res
	}
	res.Committed = true
	for _, w := range txn.Writes {
		res.Rows = append(res.Rows, s.write(w, txn.Attempt))
	}
	return res
}

// failedChecks returns a result with the current rows of the checks that fail.
func (s *store) failedChecks(checks []platform.Check) platform.Result {
	var res platform.Result
	for _, ch := range checks {
		row := s.get(ch.Table, ch.Key)
		if row.Version != ch.Version {
			res.Rows = append(res.Rows, row)
		}
	}
	return res
}

func (s *store) write(w platform.Write, attempt string) platform.Row {
	k := rowKey{w.Table, w.Key}
	row := platform.Row{
		Table: w.Table, Key: w.Key, Attempt: attempt,
		Version: s.cells[k].row.Version + 1,
		Value:   slices.Clone(w.Value),
	}
	s.cells[k] = cell{row: row, exists: !w.Delete}
	if w.Delete {
		return platform.Row{Table: w.Table, Key: w.Key, Attempt: attempt}
	}
	return row
}

// recordAttempt keeps the result of an attempt for attemptResult.
func (s *store) recordAttempt(attempt string, res platform.Result) {
	if len(s.attemptOrder) >= maxAttempts {
		delete(s.attempts, s.attemptOrder[0])
		s.attemptOrder = s.attemptOrder[1:]
	}
	s.attempts[attempt] = res
	s.attemptOrder = append(s.attemptOrder, attempt)
}
