package platform

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// rowTable is a table that keeps attempt IDs in the rows only.
type rowTable struct {
	rows    map[rowID]Row
	version map[rowID]uint64 // kept after deletion
}

func newRowTable() *rowTable {
	return &rowTable{rows: map[rowID]Row{}, version: map[rowID]uint64{}}
}

func (s *rowTable) get(id rowID) Row {
	if r, ok := s.rows[id]; ok {
		return r
	}
	return Row{Table: id.table, Key: id.key}
}

func (s *rowTable) checksPass(txn *Txn) bool {
	return !slices.ContainsFunc(txn.Checks, func(c Check) bool {
		return s.get(rowID{c.Table, c.Key}).Version != c.Version
	})
}

// apply runs the transaction and reports whether it was applied.
func (s *rowTable) apply(txn *Txn) bool {
	if !s.checksPass(txn) {
		return false
	}
	for _, w := range txn.Writes {
		id := rowID{w.Table, w.Key}
		s.version[id]++
		s.rows[id] = Row{Table: w.Table, Key: w.Key, Version: s.version[id], Value: w.Value, Attempt: txn.Attempt}
		if w.Delete {
			delete(s.rows, id)
		}
	}
	return true
}

// The response to a write is lost. While the writer reads the rows back one by one, its
// own write may still be applied once, and others write, delete and recreate the same
// rows between the reads. The verdict of resolveFromRows must be correct, and
// verdictNotApplied must remain correct however late the write arrives.
func TestResolveFromRowsIsCorrect(t *testing.T) {
	verdicts := map[verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newRowTable()
		attempts := 0
		other := func() {
			attempts++
			txn := drawTxn(t, s, fmt.Sprintf("other-%d", attempts))
			s.apply(txn)
		}
		for range rapid.IntRange(0, 4).Draw(t, "before") {
			other()
		}
		txn := drawTxn(t, s, "own")
		applied := false
		step := func() {
			for range rapid.IntRange(0, 2).Draw(t, "others") {
				other()
			}
			if !applied && rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
				applied = s.apply(txn)
			}
		}
		step()
		rows := map[rowID]Row{}
		for _, id := range txn.rowIDs() {
			rows[id] = s.get(id)
			step()
		}
		res, v := resolveFromRows(txn, rows)
		verdicts[v]++
		switch {
		case v == verdictApplied && !applied:
			t.Fatalf("verdict landed, but not applied: %+v rows %+v", txn, rows)
		case v == verdictApplied && !res.Committed, v == verdictNotApplied && res.Committed:
			t.Fatalf("verdict %s with result %+v", v, res)
		case v == verdictNotApplied && applied:
			t.Fatalf("verdict not_landed, but applied: %+v rows %+v", txn, rows)
		case v == verdictNotApplied && s.apply(txn):
			t.Fatalf("verdict not_landed, but applied afterwards: %+v rows %+v", txn, rows)
		}
	})
	for _, v := range []verdict{verdictApplied, verdictNotApplied, verdictUnsettled} {
		if verdicts[v] == 0 {
			t.Errorf("verdict %s was never reached: %v", v, verdicts)
		}
	}
}

// drawTxn generates a transaction over at most three rows, most of whose checks
// currently pass.
func drawTxn(t *rapid.T, s *rowTable, attempt string) *Txn {
	txn := &Txn{Attempt: attempt}
	keys := rapid.SampledFrom([]string{"a", "b", "c"})
	for _, k := range rapid.SliceOfNDistinct(keys, 0, 2, rapid.ID).Draw(t, "checks") {
		version := s.get(rowID{"t", k}).Version
		if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
			version++
		}
		txn.Checks = append(txn.Checks, Check{Table: "t", Key: k, Version: version})
	}
	for _, k := range rapid.SliceOfNDistinct(keys, 1, 2, rapid.ID).Draw(t, "writes") {
		del := rapid.IntRange(0, 4).Draw(t, "delete") == 0
		txn.Writes = append(txn.Writes, Write{Table: "t", Key: k, Delete: del})
	}
	return txn
}
