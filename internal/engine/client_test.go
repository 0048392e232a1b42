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

// newTestClient serves every request with h and returns a client and the
// server's address.
func newTestClient(t *testing.T, h http.HandlerFunc, opts ...engine.Option) (*engine.Client, string) {
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

// Tests that a response with an error status is returned as a StatusError, and
// that a malformed body is an error and not an empty state.
func TestUnusableResponses(t *testing.T) {
	is := is.New(t)
	c, addr := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
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

// Tests that a call to an endpoint that never responds fails after the timeout.
func TestUnresponsiveEndpointTimesOut(t *testing.T) {
	is := is.New(t)
	c, addr := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		engine.WithTimeout(20*time.Millisecond))
	_, err := c.State(t.Context(), addr)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Tests that the Transport does not resend an order when the engine received it
// over a reused connection and failed before it responded. Only the caller may
// resend it, after reading the engine's state.
func TestTransportDoesNotResendOrders(t *testing.T) {
	is := is.New(t)
	var orders atomic.Int32
	c, addr := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
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

// Tests that a redirect of an order is not followed. By default it would become
// a GET request, whose response would be interpreted as an accepted order.
func TestOrdersAreNotRedirected(t *testing.T) {
	is := is.New(t)
	var followed atomic.Int32
	c, addr := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
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

// Tests that the hashes of a prompt begin with those of every prompt that it
// extends, and differ by model and by adapter.
func TestPrefixesOfExtendedPrompt(t *testing.T) {
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
