package platform

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// TestMain fixes the seed and the number of property checks, so that each run draws the
// same inputs; command line flags override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// formatVMs returns the VMs of a list and their states as text.
func formatVMs(records []fleet.Record) string {
	var out []string
	for _, r := range records {
		out = append(out, string(r.VM)+" "+string(r.State))
	}
	return strings.Join(out, ", ")
}

// The VM list lags for removals and additions alike: until ListLag has passed, a
// removed VM is still listed and an added VM is not.
func TestVMListLags(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	p := New(Options{
		Clock: now, ListLag: config.Duration(3 * time.Second),
		VMs: []fleet.Record{{VM: "a"}, {VM: "b"}},
	})
	listed := func() string {
		l, err := p.VMs(context.Background())
		is.NoErr(err)
		return formatVMs(l)
	}
	p.RemoveVM("a")
	p.SetVMState("b", fleet.StateLeaving)
	now.Advance(time.Second)
	p.AddVM(fleet.Record{VM: "c"})
	is.Equal(listed(), "a live, b live")
	now.Advance(2 * time.Second)
	is.Equal(listed(), "b leaving")
	now.Advance(time.Second)
	is.Equal(listed(), "b leaving, c live")
	f := p.Faults()
	f.ListLag = config.Duration(time.Hour)
	p.SetFaults(f)
	is.Equal(listed(), "a live, b live")
}

// Requests over a rate limit are refused without any effect, and are accepted again
// after a second. Each row of a transaction counts as a write.
func TestRateLimits(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	p := New(Options{Clock: now, WritesPerSecond: 4, ReadsPerSecond: 2})
	ctx := context.Background()
	three := platform.Txn{Writes: []platform.Write{{Table: "t", Key: "a"}, {Table: "t", Key: "b"}, {Table: "t", Key: "c"}}}
	_, err := p.Commit(ctx, three)
	is.NoErr(err)
	_, err = p.Commit(ctx, three)
	is.True(err != nil)
	row, err := p.Get(ctx, "t", "a")
	is.NoErr(err)
	is.Equal(row.Version, uint64(1))
	_, err = p.VMs(ctx)
	is.NoErr(err)
	_, err = p.Get(ctx, "t", "a")
	is.True(err != nil)
	is.Equal(p.Stats().Limited, uint64(2))
	now.Advance(time.Second)
	_, err = p.Commit(ctx, three)
	is.NoErr(err)
	p.SetFaults(Faults{NoLimits: true})
	for range 10 {
		_, err = p.Commit(ctx, three)
		is.NoErr(err)
	}
}

// A repeated transaction with the same attempt id gets the first result and changes
// nothing, even if its rows have changed since. The version of a row that is deleted and
// created again continues from its last version.
func TestAttemptsAndVersions(t *testing.T) {
	is := is.New(t)
	p := New(Options{NoLimits: true})
	ctx := context.Background()
	first := platform.Txn{
		Attempt: "1",
		Checks:  []platform.Check{{Table: "t", Key: "k"}},
		Writes:  []platform.Write{{Table: "t", Key: "k", Value: []byte("a")}},
	}
	want, err := p.Commit(ctx, first)
	is.NoErr(err)
	_, err = p.Commit(ctx, platform.Txn{Attempt: "2", Writes: []platform.Write{{Table: "t", Key: "k", Delete: true}}})
	is.NoErr(err)
	again, err := p.Commit(ctx, first)
	is.NoErr(err)
	is.Equal(again, want)
	row, err := p.Get(ctx, "t", "k")
	is.NoErr(err)
	is.Equal(row.Version, uint64(0))
	first.Attempt = "3"
	recreated, err := p.Commit(ctx, first)
	is.NoErr(err)
	is.Equal(recreated.Rows[0].Version, uint64(3))
}

// Faults can be set over HTTP: omitted fields keep their value, an unknown field is
// refused, and the store can be saved and restored. A VM added over HTTP is listed.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	p := New(Options{NoLimits: true})
	srv := httptest.NewServer(p)
	defer srv.Close()
	post := func(path, body string) (int, string) {
		res, err := srv.Client().Post(srv.URL+path, "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return res.StatusCode, string(b)
	}
	status, _ := post("/faults", `{"slow":"1ms","lose_answers":-1}`)
	is.Equal(status, http.StatusOK)
	post("/faults", `{"list_lag":"2s"}`)
	is.Equal(p.Faults(), Faults{
		Slow: config.Duration(time.Millisecond), LoseAnswers: Always,
		ListLag: config.Duration(2 * time.Second), NoLimits: true,
	})
	status, _ = post("/faults", `{"slwo":"1ms"}`)
	is.Equal(status, http.StatusBadRequest)
	status, _ = post("/faults", `{"restore":true}`)
	is.Equal(status, http.StatusConflict)
	post("/faults", `{"save":true,"lose_answers":0,"list_lag":"0s"}`)
	status, _ = post("/v1/txn", `{"attempt":"x","checks":[],"writes":[{"table":"t","key":"k","value":"dg=="}]}`)
	is.Equal(status, http.StatusOK)
	post("/faults", `{"restore":true}`)
	row, err := p.Get(context.Background(), "t", "k")
	is.NoErr(err)
	is.Equal(row.Version, uint64(0))

	status, _ = post("/admin/vms", `{"vm":"e1","kind":"engine","addr":"192.0.2.1:1"}`)
	is.Equal(status, http.StatusNoContent)
	var listed []fleet.Record
	res, err := srv.Client().Get(srv.URL + "/v1/vms")
	is.NoErr(err)
	is.NoErr(json.NewDecoder(res.Body).Decode(&listed))
	is.NoErr(res.Body.Close())
	is.Equal(formatVMs(listed), "e1 live")
}

// No mode of Down applies a write.
func TestDownAppliesNothing(t *testing.T) {
	for _, down := range []Down{DownClose, DownUnavailable} {
		t.Run(string(down), func(t *testing.T) {
			is := is.New(t)
			p := New(Options{NoLimits: true})
			p.SetFaults(Faults{Down: down, NoLimits: true})
			_, err := p.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Table: "t", Key: "k"}}})
			is.True(err != nil)
			p.SetFaults(Faults{NoLimits: true})
			rows, err := p.List(context.Background(), "t", "")
			is.NoErr(err)
			is.True(slices.Equal(rowKeys(rows), nil))
		})
	}
}

func rowKeys(rows []platform.Row) []string {
	var keys []string
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}
