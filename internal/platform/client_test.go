package platform_test

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"chervilloom/internal/platform"
	standin "chervilloom/internal/standin/platform"
)

// TestMain runs the property tests with a fixed seed and 3000 checks unless the command
// line sets other values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}

const testTimeout = 20 * time.Second

// fixture is a stand-in platform and a client of it.
type fixture struct {
	*standin.Platform
	client *platform.Client
	url    string
}

func newFixture(t *testing.T, opts ...platform.Option) (*fixture, context.Context) {
	t.Helper()
	p := standin.New(standin.Options{NoLimits: true})
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	c := platform.NewClient(srv.URL, opts...)
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return &fixture{Platform: p, client: c, url: srv.URL}, ctx
}

// setFaults sets the faults and keeps rate limits disabled.
func (s *fixture) setFaults(f standin.Faults) {
	f.NoLimits = true
	s.SetFaults(f)
}

func put(key, value string, version uint64) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Table: "t", Key: key, Version: version}},
		Writes: []platform.Write{{Table: "t", Key: key, Value: []byte(value)}},
	}
}

// Guards against keys with slashes, dots, spaces or other special characters that are
// changed on the way, and against rows listed out of key order.
func TestRowsRoundTrip(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t)
	keys := []string{"..", "a b", "a/../b", "a//b", "a/b", "a?x=1", "zone/duty", "é"}
	for _, k := range keys {
		res, err := s.client.Commit(ctx, put(k, "v"+k, 0))
		is.NoErr(err)
		is.True(res.Committed)
		row, err := s.client.Get(ctx, "t", k)
		is.NoErr(err)
		is.Equal(row.Key, k)
		is.Equal(string(row.Value), "v"+k)
		is.Equal(row.Version, uint64(1))
		is.True(row.Attempt != "")
	}
	rows, err := s.client.List(ctx, "t", "a/")
	is.NoErr(err)
	is.Equal(len(rows), 3)
	is.Equal(rows[2].Key, "a/b")
	none, err := s.client.Get(ctx, "t", "none")
	is.NoErr(err)
	is.Equal(none.Version, uint64(0))
}

// A transaction with a failed check returns the current rows and changes nothing.
func TestConflictReturnsCurrentRows(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t)
	_, err := s.client.Commit(ctx, put("k", "first", 0))
	is.NoErr(err)
	res, err := s.client.Commit(ctx, put("k", "second", 0))
	is.NoErr(err)
	is.True(!res.Committed)
	is.Equal(string(res.Rows[0].Value), "first")
}

// The response to a write is lost after the write took effect. Reading back shows that
// it was committed, and the row is written once, whether the platform stores attempt
// results or keeps attempt IDs in the rows only.
func TestLostResponseIsReadBack(t *testing.T) {
	for name, forget := range map[string]bool{"attempts remembered": false, "attempts in the rows only": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, ctx := newFixture(t)
			s.setFaults(standin.Faults{LoseAnswers: 1, ForgetAttempts: forget})
			res, err := s.client.Commit(ctx, put("k", "v", 0))
			is.NoErr(err)
			is.True(res.Committed)
			is.Equal(res.Rows[0].Version, uint64(1))
			row, err := s.client.Get(ctx, "t", "k")
			is.NoErr(err)
			is.Equal(row.Version, uint64(1))
		})
	}
}

// The request is lost before it takes effect. The client finds the row unchanged and
// resends the transaction with the same attempt ID.
func TestLostRequestIsResent(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t)
	s.setFaults(standin.Faults{DropBefore: 1, ForgetAttempts: true})
	txn := put("k", "v", 0)
	txn.Attempt = "one"
	res, err := s.client.Commit(ctx, txn)
	is.NoErr(err)
	is.True(res.Committed)
	is.Equal(res.Rows[0].Attempt, "one")
	is.Equal(s.Stats().WrittenRows, uint64(1))
}

// A write without a check on its own row could be applied twice if it were resent. On a
// platform that doesn't store attempt results the client returns ErrAmbiguous; on one
// that does, resending is safe.
func TestUncheckedWriteIsNotAppliedTwice(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t, platform.WithResolveTimeout(100*time.Millisecond))
	blind := platform.Txn{Writes: []platform.Write{{Table: "t", Key: "k", Value: []byte("v")}}}
	s.setFaults(standin.Faults{DropBefore: 1, ForgetAttempts: true})
	_, err := s.client.Commit(ctx, blind)
	is.True(errors.Is(err, platform.ErrAmbiguous))
	is.Equal(s.Stats().WrittenRows, uint64(0))
	s.setFaults(standin.Faults{LoseAnswers: 1})
	res, err := s.client.Commit(ctx, blind)
	is.NoErr(err)
	is.True(res.Committed)
	is.Equal(s.Stats().WrittenRows, uint64(1))
}

// A write is applied, its response is lost, and another writer overwrites the row
// before the first reads back. A platform that stores attempt results returns the
// result; otherwise the attempt ID is gone from the row, and the client must return
// ErrAmbiguous.
func TestOverwrittenBeforeReadBack(t *testing.T) {
	for name, forget := range map[string]bool{"attempts remembered": false, "attempts in the rows only": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := standin.New(standin.Options{NoLimits: true})
			p.SetFaults(standin.Faults{NoLimits: true, ForgetAttempts: forget})
			var once atomic.Bool
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || once.Swap(true) {
					p.ServeHTTP(w, r)
					return
				}
				p.ServeHTTP(httptest.NewRecorder(), r)
				_, _ = p.Commit(r.Context(), put("k", "other", 1))
				panic(http.ErrAbortHandler)
			}))
			defer srv.Close()
			c := platform.NewClient(srv.URL, platform.WithResolveTimeout(100*time.Millisecond))
			defer c.Close()
			res, err := c.Commit(context.Background(), put("k", "own", 0))
			if forget {
				is.True(errors.Is(err, platform.ErrAmbiguous))
				return
			}
			is.NoErr(err)
			is.True(res.Committed)
		})
	}
}

// ErrUnavailable guarantees that nothing changed; ErrAmbiguous doesn't. A refused connection
// or a 429 can't have changed anything. A connection closed without a response, or a
// 503, may have.
func TestOutageErrors(t *testing.T) {
	settle := platform.WithResolveTimeout(50 * time.Millisecond)
	for _, tt := range []struct {
		name   string
		faults standin.Faults
		write  error
	}{
		{"closed without answer", standin.Faults{Down: standin.DownClose}, platform.ErrAmbiguous},
		{"503", standin.Faults{Down: standin.DownUnavailable}, platform.ErrAmbiguous},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, ctx := newFixture(t, settle)
			s.setFaults(tt.faults)
			_, err := s.client.Commit(ctx, put("k", "v", 0))
			is.True(errors.Is(err, tt.write))
			is.True(!errors.Is(err, platform.ErrUnavailable))
			_, err = s.client.Get(ctx, "t", "k")
			is.True(errors.Is(err, platform.ErrUnavailable))
			_, err = s.client.VMs(ctx)
			is.True(errors.Is(err, platform.ErrUnavailable))
			err = s.client.PutObject(ctx, "o", []byte("x"))
			is.True(errors.Is(err, platform.ErrAmbiguous))
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		c := platform.NewClient("http://"+l.Addr().String(), settle)
		defer c.Close()
		_, err = c.Commit(context.Background(), put("k", "v", 0))
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.True(!errors.Is(err, platform.ErrAmbiguous))
		is.True(errors.Is(c.PutObject(context.Background(), "o", nil), platform.ErrUnavailable))
	})
	t.Run("over the rate", func(t *testing.T) {
		is := is.New(t)
		srv := httptest.NewServer(standin.New(standin.Options{WritesPerSecond: 1, ReadsPerSecond: 1}))
		defer srv.Close()
		c := platform.NewClient(srv.URL)
		defer c.Close()
		limited := func(f func() error) (err error) {
			for range 100 { // the token bucket refills at 1 per second
				if err = f(); err != nil {
					return err
				}
			}
			return nil
		}
		err := limited(func() error { _, err := c.Commit(context.Background(), put("k", "v", 0)); return err })
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.True(errors.Is(err, platform.ErrRateLimited))
		err = limited(func() error { _, err := c.Get(context.Background(), "t", "k"); return err })
		is.True(errors.Is(err, platform.ErrRateLimited))
	})
}

// Guards against reporting a request that the platform rejects as invalid as an outage,
// which callers would retry in vain.
func TestRejectedRequestIsNotOutage(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	c := platform.NewClient(srv.URL)
	defer c.Close()
	_, err := c.Commit(t.Context(), put("k", "v", 0))
	is.True(errors.Is(err, platform.ErrRejected))
	is.True(!errors.Is(err, platform.ErrUnavailable))
	_, err = c.Get(t.Context(), "t", "k")
	is.True(errors.Is(err, platform.ErrRejected))
}

// The platform applies a write received over a reused connection and closes it without
// a response. Guards against a request that net/http's Transport considers replayable:
// it would resend it by itself and the write would be applied twice.
func TestTransportDoesNotRetryWrites(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t, platform.WithResolveTimeout(50*time.Millisecond))
	_, err := s.client.Get(ctx, "t", "k") // opens the connection that the write reuses
	is.NoErr(err)
	s.setFaults(standin.Faults{LoseAnswers: standin.Always, ForgetAttempts: true})
	blind := platform.Txn{Writes: []platform.Write{{Table: "t", Key: "k", Value: []byte("v")}}}
	res, err := s.client.Commit(ctx, blind)
	is.NoErr(err)
	is.True(res.Committed)
	is.Equal(s.Stats().Writes, uint64(1))
}

// The response arrives after the request timeout although the write took effect. The
// caller's context has time left, so the result is read back.
func TestSlowResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{NoLimits: true})
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.ServeHTTP(w, r)
		if r.Method == http.MethodPost {
			<-release
		}
	}))
	defer srv.Close()
	defer close(release)
	c := platform.NewClient(srv.URL, platform.WithRequestTimeout(50*time.Millisecond))
	defer c.Close()
	res, err := c.Commit(context.Background(), put("k", "v", 0))
	is.NoErr(err)
	is.True(res.Committed)
}

// The store is restored to an older copy: later writes are lost, and a transaction that
// checks a later version fails.
func TestRestoredStore(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t)
	_, err := s.client.Commit(ctx, put("k", "old", 0))
	is.NoErr(err)
	s.Save()
	_, err = s.client.Commit(ctx, put("k", "new", 1))
	is.NoErr(err)
	is.NoErr(s.Restore())
	row, err := s.client.Get(ctx, "t", "k")
	is.NoErr(err)
	is.Equal(string(row.Value), "old")
	res, err := s.client.Commit(ctx, put("k", "newer", 2))
	is.NoErr(err)
	is.True(!res.Committed)
}

// Objects are returned as written; a missing object is distinguished from an outage; a
// put with a lost response is read back.
func TestObjects(t *testing.T) {
	is := is.New(t)
	s, ctx := newFixture(t)
	is.NoErr(s.client.PutObject(ctx, "a/b", []byte{0, 1, 2}))
	data, err := s.client.GetObject(ctx, "a/b")
	is.NoErr(err)
	is.Equal(data, []byte{0, 1, 2})
	_, err = s.client.GetObject(ctx, "none")
	is.True(errors.Is(err, platform.ErrNotFound))
	s.setFaults(standin.Faults{LoseAnswers: 1})
	is.NoErr(s.client.PutObject(ctx, "c", []byte("x")))
	s.setFaults(standin.Faults{DropBefore: 1})
	is.True(errors.Is(s.client.PutObject(ctx, "d", []byte("x")), platform.ErrAmbiguous))
}

// Operations are counted by kind and result, and lost responses by verdict.
func TestClientMetrics(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	s, ctx := newFixture(t, platform.WithRegisterer(reg))
	s.setFaults(standin.Faults{LoseAnswers: 1})
	_, err := s.client.Commit(ctx, put("k", "v", 0))
	is.NoErr(err)
	is.Equal(counterValue(t, reg, "chervilloom_platform_lost_answers_total", "landed"), 1.0)
	is.Equal(counterValue(t, reg, "chervilloom_platform_operations_total", "commit"), 1.0)
	is.Equal(counterValue(t, reg, "chervilloom_platform_operations_total", "get"), 1.0) // the commit's read-back
}

// counterValue returns the value of the counter with the name whose first label has the
// value label, or 0.
func counterValue(t *testing.T, reg *prometheus.Registry, name, label string) float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name && m.GetLabel()[0].GetValue() == label {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// An object exceeds the client's limit. Guards against returning the truncated object
// without an error: it would be loaded as if it were complete.
func TestOversizedObjectIsNotTruncated(t *testing.T) {
	is := is.New(t)
	const bound = 64 << 20
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, bound+1))
	}))
	t.Cleanup(srv.Close)
	c := platform.NewClient(srv.URL, platform.WithRequestTimeout(testTimeout))
	t.Cleanup(c.Close)
	_, err := c.GetObject(t.Context(), "weights")
	is.True(errors.Is(err, platform.ErrUnavailable))
}
