package platform

import (
	"maps"
	"slices"
	"strings"

	"chervilloom/internal/platform"
)

// Bound of the attempts that are remembered, first in first out.
const attemptsKept = 100_000

type rowKey struct{ table, key string }

// cell is a row together with the version counter that outlives its deletion.
type cell struct {
	row    platform.Row
	exists bool
}

// store is the table and the objects. It is not safe for concurrent use.
type store struct {
	cells    map[rowKey]cell
	objects  map[string][]byte
	attempts map[string]platform.Result
	order    []string // attempts in order of arrival
}

func newStore() *store {
	return &store{
		cells:    make(map[rowKey]cell),
		objects:  make(map[string][]byte),
		attempts: make(map[string]platform.Result),
	}
}

// clone returns a copy. Values are never changed in place, so they are shared.
func (s *store) clone() *store {
	return &store{
		cells:    maps.Clone(s.cells),
		objects:  maps.Clone(s.objects),
		attempts: maps.Clone(s.attempts),
		order:    slices.Clone(s.order),
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

// known returns the result of an attempt that was made before.
func (s *store) known(attempt string) (platform.Result, bool) {
	res, ok := s.attempts[attempt]
	return res, ok
}

// commit runs a transaction.
func (s *store) commit(txn platform.Txn) platform.Result {
	res := s.check(txn.Checks)
	if len(res.Rows) > 0 {
		return res
	}
	res.Committed = true
	for _, w := range txn.Writes {
		res.Rows = append(res.Rows, s.write(w, txn.Attempt))
	}
	return res
}

// check returns a refusal with the present rows of the checks that fail.
func (s *store) check(checks []platform.Check) platform.Result {
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

// remember keeps the result of an attempt.
func (s *store) remember(attempt string, res platform.Result) {
	if len(s.order) >= attemptsKept {
		delete(s.attempts, s.order[0])
		s.order = s.order[1:]
	}
	s.attempts[attempt] = res
	s.order = append(s.order, attempt)
}
