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

// model is the table as its contract states it, in the plainest form.
type model struct {
	value   map[string]string // rows that exist
	version map[string]uint64 // also of deleted rows
}

func (m *model) shown(key string) uint64 {
	if _, ok := m.value[key]; ok {
		return m.version[key]
	}
	return 0
}

func (m *model) commit(txn platform.Txn) bool {
	for _, c := range txn.Checks {
		if m.shown(c.Key) != c.Version {
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

// Any sequence of conditional transactions leaves the table as the contract
// says: all checks hold and all writes land, or nothing changes.
func TestTableFollowsItsContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{NoLimits: true})
		m := &model{value: map[string]string{}, version: map[string]uint64{}}
		keys := rapid.SampledFrom([]string{"a", "ab", "b", "c"})
		for i := range rapid.IntRange(1, 30).Draw(t, "transactions") {
			txn := platform.Txn{Attempt: strconv.Itoa(i)}
			for _, k := range rapid.SliceOfNDistinct(keys, 0, 3, rapid.ID).Draw(t, "checks") {
				version := m.shown(k)
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
				t.Fatalf("%+v was answered %+v", txn, res)
			}
			compare(t, p, m)
		}
	})
}

func compare(t *rapid.T, p *Platform, m *model) {
	rows, err := p.List(context.Background(), "t", "")
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != len(m.value) || !slices.IsSorted(keysOf(rows)) {
		t.Fatalf("rows %+v, want %+v", rows, m.value)
	}
	for _, r := range rows {
		if string(r.Value) != m.value[r.Key] || r.Version != m.version[r.Key] {
			t.Fatalf("row %+v, want %q at %d", r, m.value[r.Key], m.version[r.Key])
		}
	}
}

// Writers move units between accounts by conditional transactions over HTTP
// while answers are lost and requests dropped at random. A reader that lists all
// rows at any moment finds the full sum: no transaction is seen in part, lands
// twice or is lost.
func TestTransfersKeepTheSum(t *testing.T) {
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
				_, err := p.Commit(ctx, transferTo(account(i), 0, each))
				is.NoErr(err)
			}
			stop := faultsAtRandom(p, forget)
			var work sync.WaitGroup
			for w := range writers {
				work.Go(func() { transfer(ctx, t, srv.URL, rand.New(rand.NewPCG(1, uint64(w))), moves, accounts) })
			}
			work.Wait()
			stop()
			is.Equal(sumOf(t, p), accounts*each)
		})
	}
}

func account(i int) string { return fmt.Sprintf("account-%d", i) }

func transferTo(key string, version uint64, balance int) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Table: "t", Key: key, Version: version}},
		Writes: []platform.Write{{Table: "t", Key: key, Value: []byte(strconv.Itoa(balance))}},
	}
}

// transfer moves one unit at a time and checks the sum before each move.
func transfer(ctx context.Context, t *testing.T, url string, r *rand.Rand, moves, accounts int) {
	c := platform.NewClient(url, platform.WithSettleTimeout(200*time.Millisecond))
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
			t.Errorf("sum %d in %+v", sum, rows)
		}
		i := r.IntN(accounts)
		from, to := rows[i], rows[(i+1+r.IntN(accounts-1))%accounts]
		out := transferTo(from.Key, from.Version, balanceOf(from)-1)
		in := transferTo(to.Key, to.Version, balanceOf(to)+1)
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

func sumOf(t *testing.T, p *Platform) (sum int) {
	rows, err := p.List(context.Background(), "t", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		sum += balanceOf(r)
	}
	return sum
}

// faultsAtRandom loses answers and drops requests until stop is called, which
// ends the faults.
func faultsAtRandom(p *Platform, forget bool) (stop func()) {
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

// casInput is one operation on the one row of a history: a read, or a write
// under the condition that the row is at a version.
type casInput struct {
	read    bool
	version uint64
	value   string
}

// casOutput is its answer. A write that may or may not have landed has lost set.
type casOutput struct {
	row       platform.Row
	committed bool
	lost      bool
}

type casState struct {
	version uint64
	value   string
}

// casModel is a row under conditional writes. A lost write has two next states.
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

// Clients read one row and write it under the version that they read, while
// answers are lost and requests dropped. What the client told each of them fits
// one order of all operations: a write that it called landed was seen by the
// reads after it, and one that it called refused was not.
func TestClientHistoryIsLinearizable(t *testing.T) {
	for name, forget := range map[string]bool{"attempts remembered": false, "attempts in the rows only": true} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{NoLimits: true})
			srv := httptest.NewServer(p)
			defer srv.Close()
			stop := faultsAtRandom(p, forget)
			var mu sync.Mutex
			var history []porcupine.Operation
			var work sync.WaitGroup
			start := time.Now()
			for id := range 4 {
				work.Go(func() {
					ops := casClient(t, srv.URL, id, start)
					mu.Lock()
					defer mu.Unlock()
					history = append(history, ops...)
				})
			}
			work.Wait()
			stop()
			if res := porcupine.CheckOperationsTimeout(casModel.ToModel(), history, 20*time.Second); res != porcupine.Ok {
				t.Errorf("history of %d operations: %s\n%s", len(history), res, printHistory(history))
			}
		})
	}
}

// casClient makes one client's part of the history.
func casClient(t *testing.T, url string, id int, start time.Time) (ops []porcupine.Operation) {
	c := platform.NewClient(url, platform.WithSettleTimeout(50*time.Millisecond))
	defer c.Close()
	ctx := context.Background()
	add := func(in casInput, f func() casOutput) {
		call := time.Since(start).Nanoseconds()
		out := f()
		ret := time.Since(start).Nanoseconds()
		if out.lost {
			ret = 1 << 62 // it may land at any later time
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
			res, err := c.Commit(ctx, transferValue(row.Version, value))
			if err != nil && !errors.Is(err, platform.ErrAmbiguous) {
				t.Error(err)
			}
			return casOutput{committed: res.Committed, lost: err != nil}
		})
	}
	return ops
}

func transferValue(version uint64, value string) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Table: "t", Key: "k", Version: version}},
		Writes: []platform.Write{{Table: "t", Key: "k", Value: []byte(value)}},
	}
}

func printHistory(ops []porcupine.Operation) string {
	var b strings.Builder
	for _, o := range ops {
		fmt.Fprintf(&b, "%d..%d client %d %+v -> %+v\n", o.Call, o.Return, o.ClientId, o.Input, o.Output)
	}
	return b.String()
}
