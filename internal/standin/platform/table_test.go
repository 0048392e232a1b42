package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/platform"
)

// tableModel is a minimal reference implementation of the table's contract.
type tableModel struct {
	value   map[string]string // rows that exist
	version map[string]uint64 // also of deleted rows
}

func (m *tableModel) visibleVersion(key string) uint64 {
	if _, ok := m.value[key]; ok {
		return m.version[key]
	}
	return 0
}

func (m *tableModel) commit(txn platform.Txn) bool {
	for _, c := range txn.Checks {
		if m.visibleVersion(c.Key) != c.Version {
			return false
		}
	}
	for _, w := range txn.Writes {
		m.version[w.Key]++
		m.value[w.Key] = string(w.Value)
		if w.Delete {
			delete(m.value, w.Key)
		}
	}
	return true
}

// Any sequence of conditional transactions leaves the table in the state of the model:
// a transaction applies all writes if all checks pass, and none otherwise.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{NoLimits: true})
		m := &tableModel{value: map[string]string{}, version: map[string]uint64{}}
		keys := rapid.SampledFrom([]string{"a", "ab", "b", "c"})
		for i := range rapid.IntRange(1, 30).Draw(t, "transactions") {
			txn := platform.Txn{Attempt: strconv.Itoa(i)}
			for _, k := range rapid.SliceOfNDistinct(keys, 0, 3, rapid.ID).Draw(t, "checks") {
				version := m.visibleVersion(k)
				switch rapid.IntRange(0, 5).Draw(t, "stale") {
				case 0:
					version++
				case 1:
					version = max(version, 1) - 1
				}
				txn.Checks = append(txn.Checks, platform.Check{Table: "t", Key: k, Version: version})
			}
			for _, k := range rapid.SliceOfNDistinct(keys, 1, 3, rapid.ID).Draw(t, "writes") {
				txn.Writes = append(txn.Writes, platform.Write{
					Table: "t", Key: k, Value: []byte(strconv.Itoa(i)),
					Delete: rapid.IntRange(0, 3).Draw(t, "delete") == 0,
				})
			}
			res, err := p.Commit(context.Background(), txn)
			if err != nil {
				t.Fatal(err)
			}
			if res.Committed != m.commit(txn) {
				t.Fatalf("transaction %+v: result %+v differs from the model", txn, res)
			}
			checkAgainstModel(t, p, m)
		}
	})
}

func checkAgainstModel(t *rapid.T, p *Platform, m *tableModel) {
	rows, err := p.List(context.Background(), "t", "")
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != len(m.value) || !slices.IsSorted(rowKeys(rows)) {
		t.Fatalf("rows %+v, want %+v", rows, m.value)
	}
	for _, r := range rows {
		if string(r.Value) != m.value[r.Key] || r.Version != m.version[r.Key] {
			t.Fatalf("row %+v, want %q at %d", r, m.value[r.Key], m.version[r.Key])
		}
	}
}

// Writers transfer units between accounts by conditional transactions over HTTP, while
// answers are lost and requests dropped at random. Every list of all rows has the full
// sum: no transaction is visible in part, applied twice or lost.
func TestTransfersPreserveSum(t *testing.T) {
	for name, forget := range map[string]bool{"attempts remembered": false, "attempts in the rows only": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const accounts, each, writers, moves = 4, 100, 4, 25
			p := New(Options{NoLimits: true})
			srv := httptest.NewServer(p)
			defer srv.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			for i := range accounts {
				_, err := p.Commit(ctx, setBalance(account(i), 0, each))
				is.NoErr(err)
			}
			stop := injectRandomFaults(p, forget)
			var work sync.WaitGroup
			for w := range writers {
				work.Go(func() { runTransfers(ctx, t, srv.URL, rand.New(rand.NewPCG(1, uint64(w))), moves, accounts) })
			}
			work.Wait()
			stop()
			is.Equal(totalBalance(t, p), accounts*each)
		})
	}
}

func account(i int) string { return fmt.Sprintf("account-%d", i) }

func setBalance(key string, version uint64, balance int) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Table: "t", Key: key, Version: version}},
		Writes: []platform.Write{{Table: "t", Key: key, Value: []byte(strconv.Itoa(balance))}},
	}
}

// runTransfers transfers one unit at a time between random accounts, and checks the sum
// before each transfer.
func runTransfers(ctx context.Context, t *testing.T, url string, r *rand.Rand, moves, accounts int) {
	c := platform.NewClient(url, platform.WithResolveTimeout(200*time.Millisecond))
	defer c.Close()
	for range moves {
		rows, err := c.List(ctx, "t", "")
		if err != nil {
			t.Error(err)
			return
		}
		sum := 0
		for _, row := range rows {
			sum += balanceOf(row)
		}
		if sum != accounts*100 {
			t.Errorf("the sum is %d in the rows %+v", sum, rows)
		}
		i := r.IntN(accounts)
		from, to := rows[i], rows[(i+1+r.IntN(accounts-1))%accounts]
		out := setBalance(from.Key, from.Version, balanceOf(from)-1)
		in := setBalance(to.Key, to.Version, balanceOf(to)+1)
		out.Checks = append(out.Checks, in.Checks...)
		out.Writes = append(out.Writes, in.Writes...)
		if _, err := c.Commit(ctx, out); err != nil && !errors.Is(err, platform.ErrAmbiguous) {
			t.Error(err)
		}
	}
}

func balanceOf(r platform.Row) int {
	n, err := strconv.Atoi(string(r.Value))
	if err != nil {
		panic(err)
	}
	return n
}

func totalBalance(t *testing.T, p *Platform) (sum int) {
	rows, err := p.List(context.Background(), "t", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		sum += balanceOf(r)
	}
	return sum
}

// injectRandomFaults loses answers and drops requests at random until stop is
// called, which removes the faults.
func injectRandomFaults(p *Platform, forget bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() {
		r := rand.New(rand.NewPCG(2, 2))
		for ctx.Err() == nil {
			p.SetFaults(Faults{NoLimits: true, ForgetAttempts: forget, LoseAnswers: r.IntN(2), DropBefore: r.IntN(2)})
			time.Sleep(time.Millisecond)
		}
		p.SetFaults(Faults{NoLimits: true})
	})
	return func() {
		cancel()
		work.Wait()
	}
}

// casInput is one operation on the single row of a history: a read, or a write that is
// conditional on the row's version.
type casInput struct {
	read    bool
	version uint64
	value   string
}

// casOutput is the result of an operation. lost is set for a write that may or may not
// have been applied.
type casOutput struct {
	row       platform.Row
	committed bool
	lost      bool
}

type casState struct {
	version uint64
	value   string
}

// casModel is the model of a row with conditional writes. A lost write whose condition
// is met has two possible next states.
var casModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{casState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(casState), input.(casInput), output.(casOutput)
		if in.read {
			if out.row.Version == s.version && string(out.row.Value) == s.value {
				return []any{s}
			}
			return nil
		}
		next := casState{version: s.version + 1, value: in.value}
		switch {
		case out.lost && in.version == s.version:
			return []any{s, next}
		case out.lost:
			return []any{s}
		case out.committed && in.version == s.version:
			return []any{next}
		case !out.committed && in.version != s.version:
			return []any{s}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Clients read one row and write it on condition of the version they read, while answers
// are lost and requests dropped. The history of their results is linearizable: a write
// reported as committed is visible to later reads, and one reported as refused is not.
func TestClientHistoryIsLinearizable(t *testing.T) {
	for name, forget := range map[string]bool{"attempts remembered": false, "attempts in the rows only": true} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{NoLimits: true})
			srv := httptest.NewServer(p)
			defer srv.Close()
			stop := injectRandomFaults(p, forget)
			var mu sync.Mutex
			var history []porcupine.Operation
			var work sync.WaitGroup
			start := time.Now()
			for id := range 4 {
				work.Go(func() {
					ops := runCASClient(t, srv.URL, id, start)
					mu.Lock()
					defer mu.Unlock()
					history = append(history, ops...)
				})
			}
			work.Wait()
			stop()
			if res := porcupine.CheckOperationsTimeout(casModel.ToModel(), history, 20*time.Second); res != porcupine.Ok {
				t.Errorf("history of %d operations: %s\n%s", len(history), res, formatHistory(history))
			}
		})
	}
}

// runCASClient runs one client and returns its operations.
func runCASClient(t *testing.T, url string, id int, start time.Time) (ops []porcupine.Operation) {
	c := platform.NewClient(url, platform.WithResolveTimeout(50*time.Millisecond))
	defer c.Close()
	ctx := context.Background()
	add := func(in casInput, f func() casOutput) {
		call := time.Since(start).Nanoseconds()
		out := f()
		ret := time.Since(start).Nanoseconds()
		if out.lost {
			ret = 1 << 62 // it may be applied at any later time
		}
		ops = append(ops, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: ret})
	}
	for i := range 15 {
		var row platform.Row
		add(casInput{read: true}, func() casOutput {
			var err error
			if row, err = c.Get(ctx, "t", "k"); err != nil {
				t.Error(err)
			}
			return casOutput{row: row}
		})
		value := fmt.Sprintf("%d-%d", id, i)
		add(casInput{version: row.Version, value: value}, func() casOutput {
			res, err := c.Commit(ctx, conditionalWrite(row.Version, value))
			if err != nil && !errors.Is(err, platform.ErrAmbiguous) {
				t.Error(err)
			}
			return casOutput{committed: res.Committed, lost: err != nil}
		})
	}
	return ops
}

func conditionalWrite(version uint64, value string) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Table: "t", Key: "k", Version: version}},
		Writes: []platform.Write{{Table: "t", Key: "k", Value: []byte(value)}},
	}
}

func formatHistory(ops []porcupine.Operation) string {
	var b strings.Builder
	for _, o := range ops {
		fmt.Fprintf(&b, "%d..%d client %d %+v -> %+v\n", o.Call, o.Return, o.ClientId, o.Input, o.Output)
	}
	return b.String()
}
