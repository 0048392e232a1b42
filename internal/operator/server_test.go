package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/operator"
)

const token = "an operator's token"

// fakeFleet returns the results that a test sets.
type fakeFleet struct {
	apply   operator.ApplyResult
	applied operator.ApplyRequest
	by      string
	err     error
}

func (s *fakeFleet) Status() operator.Status { return operator.Status{Node: "entry-1", Ready: true} }

func (s *fakeFleet) Explain(_ context.Context, subject string) operator.Explanation {
	return operator.Explanation{Subject: subject, Unreached: []string{"entry-2"}}
}

func (s *fakeFleet) Config() operator.ConfigView {
	return operator.ConfigView{Revision: 3, Document: "x"}
}

func (s *fakeFleet) ConfigAt(context.Context, uint64) (operator.ConfigView, error) {
	return operator.ConfigView{}, s.err
}

func (s *fakeFleet) Apply(_ context.Context, req operator.ApplyRequest, by string) operator.ApplyResult {
	s.applied, s.by = req, by
	return s.apply
}

func (s *fakeFleet) RollBack(context.Context, uint64, uint64, string) operator.ApplyResult {
	return s.apply
}

func (s *fakeFleet) History(context.Context) ([]operator.Revision, error) {
	return []operator.Revision{{Number: 3, Attempt: "a"}}, s.err
}

func (s *fakeFleet) Drain(context.Context, operator.DrainRequest, string) error { return s.err }

func startServer(t *testing.T, s *fakeFleet) *httptest.Server {
	t.Helper()
	sum := sha256.Sum256([]byte(token))
	srv := httptest.NewServer(operator.New(operator.Options{
		Fleet: s, Registry: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler),
		Auth: operator.NewAuthenticator([]operator.Token{{Name: "asha", Hash: hex.EncodeToString(sum[:])}}),
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(http.DefaultTransport.(*http.Transport).CloseIdleConnections)
	return srv
}

// A wrong token, such as a caller's key, is refused on every operator call. After
// several wrong tokens an address is blocked even with the right one.
func TestCallsRequireOperatorToken(t *testing.T) {
	is := is.New(t)
	srv := startServer(t, &fakeFleet{})
	ask := func(method, path, token string) int {
		req, err := http.NewRequest(method, srv.URL+path, nil)
		is.NoErr(err)
		if token != "" {
			req.Header.Set("Authorization", "Bearer "+token)
		}
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		return res.StatusCode
	}
	is.Equal(ask("GET", "/api/status", token), http.StatusOK)
	for _, c := range [][2]string{
		{"GET", "/api/status"}, {"GET", "/api/explain/x"}, {"GET", "/api/config"}, {"POST", "/api/config"},
		{"GET", "/api/config/history"}, {"POST", "/api/drain"}, {"GET", "/debug/pprof/"},
	} {
		is.Equal(ask(c[0], c[1], "a caller's key"), http.StatusUnauthorized)
	}
	for range 10 {
		ask("GET", "/api/status", "")
	}
	is.Equal(ask("GET", "/api/status", token), http.StatusTooManyRequests)
	is.Equal(ask("GET", "/metrics", ""), http.StatusOK)
}

// Every result of an apply reaches the client as the node returned it.
func TestClientReturnsEveryApplyState(t *testing.T) {
	for _, state := range []operator.ApplyState{
		operator.ApplyAccepted, operator.ApplyInvalid, operator.ApplyConflict, operator.ApplyUnknown, operator.ApplyRefused,
	} {
		t.Run(string(state), func(t *testing.T) {
			is := is.New(t)
			s := &fakeFleet{apply: operator.ApplyResult{State: state, Revision: 4, Attempt: "a", Changes: []string{"c"}}}
			c := operator.NewClient(startServer(t, s).URL, token)
			res, err := c.Apply(context.Background(), operator.ApplyRequest{Base: 3, Document: "d"})
			is.NoErr(err)
			is.Equal(res, s.apply)
			is.Equal(s.applied, operator.ApplyRequest{Base: 3, Document: "d"})
			is.Equal(s.by, "asha")
		})
	}
}

func TestClientCalls(t *testing.T) {
	is := is.New(t)
	s := &fakeFleet{}
	c := operator.NewClient(startServer(t, s).URL, token)
	ctx := context.Background()
	st, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(st.Node, "entry-1")
	e, err := c.Explain(ctx, "groups/z") // a subject with a slash
	is.NoErr(err)
	is.Equal(e.Subject, "groups/z")
	h, err := c.History(ctx)
	is.NoErr(err)
	is.Equal(h[0].Attempt, "a")
	is.NoErr(c.Drain(ctx, operator.DrainRequest{VM: "engine-1"}))

	s.err = errors.New("the table is down, try again")
	_, err = c.History(ctx)
	is.True(strings.Contains(err.Error(), "the table is down, try again"))
	err = c.Drain(ctx, operator.DrainRequest{VM: "engine-1"})
	is.True(strings.Contains(err.Error(), "the table is down, try again"))
}
