package platform

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// rowsOnly is a table that keeps the attempt in the rows and nowhere else.
type rowsOnly struct {
	rows    map[rowID]Row
	version map[rowID]uint64 // outlives deletion
}

func newRowsOnly() *rowsOnly {
	return &rowsOnly{rows: map[rowID]Row{}, version: map[rowID]uint64{}}
}

func (s *rowsOnly) get(id rowID) Row {
	if r, ok := s.rows[id]; ok {
		return r
	}
	return Row{Table: id.table, Key: id.key}
}

func (s *rowsOnly) holds(txn *Txn) bool {
	return !slices.ContainsFunc(txn.Checks, func(c Check) bool {
		return s.get(rowID{c.Table, c.Key}).Version != c.Version
	})
}

// apply runs the transaction and reports whether it landed.
func (s *rowsOnly) apply(txn *Txn) bool {
	if !s.holds(txn) {
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

// The answer to a write is lost. While the writer reads the rows back one by
// one, its own write may still land once, and others write, delete and make
// anew the same rows between the reads. Whatever judge then says must be true,
// and "not landed" must stay true however late the write arrives.
func TestJudgeIsTruthful(t *testing.T) {
	verdicts := map[verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newRowsOnly()
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
		landed := false
		step := func() {
			for range rapid.IntRange(0, 2).Draw(t, "others") {
				other()
			}
			if !landed && rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
				landed = s.apply(txn)
			}
		}
		step()
		rows := map[rowID]Row{}
		for _, id := range txn.rowIDs() {
			rows[id] = s.get(id)
			step()
		}
		res, v := judge(txn, rows)
		verdicts[v]++
		switch {
		case v == verdictLanded && !landed:
			t.Fatalf("said to have landed, but did not: %+v rows %+v", txn, rows)
		case v == verdictLanded && !res.Committed, v == verdictNotLanded && res.Committed:
			t.Fatalf("verdict %s with result %+v", v, res)
		case v == verdictNotLanded && landed:
			t.Fatalf("said not to have landed, but did: %+v rows %+v", txn, rows)
		case v == verdictNotLanded && s.apply(txn):
			t.Fatalf("said not to land any more, but did: %+v rows %+v", txn, rows)
		}
	})
	for _, v := range []verdict{verdictLanded, verdictNotLanded, verdictUnsettled} {
		if verdicts[v] == 0 {
			t.Errorf("verdict %s was never reached: %v", v, verdicts)
		}
	}
}

// drawTxn draws a transaction over few rows whose checks mostly hold now.
func drawTxn(t *rapid.T, s *rowsOnly, attempt string) *Txn {
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
