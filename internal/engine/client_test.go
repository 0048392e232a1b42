package engine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answered serves every request with h and returns a client and the address.
func answered(t *testing.T, h http.HandlerFunc, opts ...engine.Option) (*engine.Client, string) {
	t.Helper()
	srv := httptest.NewServer(h)
	c := engine.NewClient(opts...)
	t.Cleanup(func() {
		c.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return c, srv.Listener.Addr().String()
}

// An answer that is no success is told with its status; one that is not of the
// protocol is an error and not an empty state.
func TestAnswersThatAreOfNoUse(t *testing.T) {
	is := is.New(t)
	c, addr := answered(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			http.Error(w, "not now", http.StatusTeapot)
			return
		}
		_, _ = w.Write([]byte(`{"vm":`))
	})
	_, err := c.LoadReport(t.Context(), addr)
	var status *engine.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusTeapot)
	_, err = c.State(t.Context(), addr)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), addr))
}

// An endpoint that never answers costs its caller the timeout and no more.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	c, addr := answered(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		engine.WithTimeout(20*time.Millisecond))
	_, err := c.State(t.Context(), addr)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// The engine takes an order that came over a reused connection and dies before
// it answers. The Transport must not send the order again by itself: the caller
// decides that after looking at the engine's state.
func TestOrdersAreNotRepeatedByTheTransport(t *testing.T) {
	is := is.New(t)
	var orders atomic.Int32
	c, addr := answered(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{}`))
	})
	_, err := c.State(t.Context(), addr) // opens the connection that the order reuses
	is.NoErr(err)
	_, err = c.Order(t.Context(), addr, engine.Order{Verb: engine.VerbJoin})
	is.True(err != nil)
	is.Equal(orders.Load(), int32(1))
}

// An order meets a server that sends it elsewhere: by the usual rules it would
// become a GET, and the answer to that would read as "the order was taken".
func TestOrdersAreNotRedirected(t *testing.T) {
	is := is.New(t)
	var followed atomic.Int32
	c, addr := answered(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/elsewhere" {
			followed.Add(1)
			_, _ = w.Write([]byte(`{}`))
			return
		}
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	})
	_, err := c.Order(t.Context(), addr, engine.Order{Verb: engine.VerbJoin})
	var status *engine.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusFound)
	is.Equal(followed.Load(), int32(0))
}

// The hashes of a prompt start with those of any prompt that it extends, and
// differ by model and by adapter.
func TestPrefixesGrow(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("0123456789abcdef", 150_000) // beyond the last boundary
	all := engine.Prefixes("m", "", []string{"user", long})
	is.Equal(len(all), engine.MaxPrefixes)
	some := engine.Prefixes("m", "", []string{"user", long[:4*engine.PrefixBlock]})
	is.Equal(len(some), 4)
	is.Equal(some, all[:4])
	is.True(engine.Prefixes("m", "a", []string{"user", long})[0] != all[0])
	is.True(engine.Prefixes("n", "", []string{"user", long})[0] != all[0])
	is.Equal(len(engine.Prefixes("m", "", []string{"user", "short"})), 0)
	is.Equal(engine.PrefixBytes(4), 4*engine.PrefixBlock)
	is.Equal(engine.PrefixBytes(engine.MaxPrefixes), 32*engine.PrefixBlock+engine.PrefixBlock*(1<<13-2))
}
