package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/engine"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testService is a stand-in service with a client that reuses one connection to it.
type testService struct {
	*Service
	url  string
	http *http.Client
}

func startService(t *testing.T) *testService {
	t.Helper()
	s := New(Options{VM: "s1", Name: "counter"})
	srv := httptest.NewServer(s)
	c := &testService{Service: s, url: srv.URL, http: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(func() {
		c.http.CloseIdleConnections()
		srv.Close()
	})
	return c
}

// call sends a request with a body that http.Transport cannot rewind, so that it does
// not retry the request.
func (c *testService) call(method, path, body, key string) (Answer, http.Header, error) {
	req, err := http.NewRequest(method, c.url+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return Answer{}, nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Request-Id", key)
	res, err := c.http.Do(req)
	if err != nil {
		return Answer{}, nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Answer{}, res.Header, fmt.Errorf("status %d", res.StatusCode)
	}
	var a Answer
	err = json.NewDecoder(res.Body).Decode(&a)
	return a, res.Header, err
}

// Each answer has the check value of its request. Each receipt has its own serial
// number; a lookup has none.
func TestAnswersMatchRequests(t *testing.T) {
	is := is.New(t)
	c := startService(t)
	first, _, err := c.call("POST", "/receipts?desk=2", "fee 1", "a")
	is.NoErr(err)
	second, _, err := c.call("POST", "/receipts?desk=2", "fee 2", "b")
	is.NoErr(err)
	is.Equal(first.Serial+1, second.Serial)
	is.Equal(first.Check, Checksum("POST", "/receipts?desk=2", []byte("fee 1")))
	is.True(first.Check != second.Check)
	look, h, err := c.call("GET", "/lookup/licence/17", "", "c")
	is.NoErr(err)
	is.Equal(look.Serial, uint64(0))
	is.Equal(look.Check, Checksum("GET", "/lookup/licence/17", nil))
	is.Equal(h.Get(engine.HeaderBoot), string(c.State().Boot))
}

// Executions are counted separately for each key and path.
func TestExecutionsAreCountedByKey(t *testing.T) {
	is := is.New(t)
	c := startService(t)
	for range 2 {
		_, _, err := c.call("POST", "/receipts", "x", "a")
		is.NoErr(err)
	}
	_, _, err := c.call("POST", "/laps", "x", "a")
	is.NoErr(err)
	is.Equal(c.Executions("POST", "/receipts", "a"), 2)
	is.Equal(c.Executions("POST", "/laps", "a"), 1)
	is.Equal(c.Executions("POST", "/receipts", "b"), 0)
}

// A call fails at each stage. The caller gets no complete answer in any case; whether
// the receipt was issued shows only in the execution count.
func TestConnectionFaults(t *testing.T) {
	cases := append(testkit.ConnectionFaults(),
		testkit.ConnectionFault{Name: "reused connection closed", Stages: fault.Stages{DropReused: 1}, ExpectedRuns: 0},
		testkit.ConnectionFault{Name: "reused, closed after run", Stages: fault.Stages{DropReusedAfter: 1}, ExpectedRuns: 1},
		testkit.ConnectionFault{Name: "always, after the body", Stages: fault.Stages{DropAfterBody: fault.Always}, ExpectedRuns: 0},
		testkit.ConnectionFault{Name: "always, after running too", Stages: fault.Stages{DropAfterRun: fault.Always}, ExpectedRuns: 1},
	)
	for _, tt := range cases {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			c := startService(t)
			_, _, err := c.call("POST", "/receipts", "x", "opens the connection")
			is.NoErr(err)
			c.SetFaults(Faults{Stages: tt.Stages})
			_, _, err = c.call("POST", "/receipts", strings.Repeat("x", 4096), "a")
			is.True(err != nil)
			is.Equal(c.Executions("POST", "/receipts", "a"), tt.ExpectedRuns)
		})
	}
}

// Faults for reused connections do not apply to a new connection.
func TestNewConnectionIgnoresReuseFaults(t *testing.T) {
	is := is.New(t)
	c := startService(t)
	c.SetFaults(Faults{Stages: fault.Stages{DropReused: fault.Always}})
	_, _, err := c.call("POST", "/receipts", "x", "a")
	is.NoErr(err)
}

// A leaving service refuses calls as not run and reports that it is leaving, until a
// restart with another boot id.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	c := startService(t)
	boot := c.State().Boot
	res, err := c.http.Post(c.url+"/leave", "", nil)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.True(c.State().Leaving)
	_, h, err := c.call("POST", "/receipts", "x", "a")
	is.True(err != nil)
	is.Equal(h.Get(engine.HeaderNotRun), "true")
	is.Equal(c.Executions("POST", "/receipts", "a"), 0)
	res, err = c.http.Post(c.url+"/faults", "", strings.NewReader(`{"restart":true}`))
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.True(!c.State().Leaving)
	is.True(c.State().Boot != boot)
}

// The client for engines can read the state and the load of a service and order it to
// leave.
func TestControlCalls(t *testing.T) {
	is := is.New(t)
	c := startService(t)
	client := engine.NewClient()
	defer client.Close()
	addr := strings.TrimPrefix(c.url, "http://")
	state, err := client.State(t.Context(), addr)
	is.NoErr(err)
	is.Equal(state, c.State())
	load, err := client.LoadReport(t.Context(), addr)
	is.NoErr(err)
	is.Equal(load.Boot, state.Boot)
	is.NoErr(client.Leave(t.Context(), addr))
	is.True(c.State().Leaving)
}
