package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
	"chervilloom/platform/platformtest"
)

const (
	// quarantineThreshold is how many endpoints a request may crash before it is
	// quarantined. quarantineOvershoot is how many more it may reach, because
	// nodes learn of crashes with a delay.
	quarantineThreshold = 3
	quarantineOvershoot = 3
	// harmfulAttempts is how often clients send the request: enough to exceed
	// both limits by far without quarantine.
	harmfulAttempts = 16
	// endpointRestartDelay is the time until a crashed endpoint is replaced.
	endpointRestartDelay = 300 * time.Millisecond
)

// sendWithBody sends a request with the given body and returns the response and
// its text up to the end or the interruption.
func (f *entryFleet) sendWithBody(n *entryNode, method, path, id, body string) (*http.Response, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(f.request(ctx, n, method, path, id, body, textHeader(70)))
	must(f.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // an interrupted stream is an expected response
	return resp, string(text)
}

// A client repeats a request that crashes every engine that runs it. Each crash
// interrupts the engine's other streams, and the engine returns under a new id.
// The attempts have different request ids and go to different nodes, each of
// which may retry at up to three engines. Without shared state each node judged
// single attempts only: in one simulated day 43 engines crashed under one
// request, and the logs showed 21 bursts of a dozen "unexpected EOF" lines
// within 4 ms, with "connection refused" between them.
func TestEntryQuarantinesRequestThatCrashesEndpoints(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		events             int
	}{
		{"engine, before its first event", "POST", "/text/x", 0},
		{"engine, after two events", "POST", "/text/x", 2},
		{"plain endpoint", "GET", "/lookup/x", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startEntryFleet(t, "a", "a", "b")
			f.fleet.AddPoisonRequest(platformtest.PoisonRequest{Body: "crash", EventsBeforeCrash: c.events, ReplacementDelay: endpointRestartDelay})
			var last *http.Response
			var text string
			for i := range harmfulAttempts {
				f.awaitServing()
				last, text = f.sendWithBody(f.nodes[i%len(f.nodes)], c.method, c.path, fmt.Sprintf("crash%d", i), "crash")
			}
			ended := f.fleet.Crashed("crash")
			if len(ended) > quarantineThreshold+quarantineOvershoot {
				t.Errorf("one request crashed %d endpoints: %v", len(ended), ended)
			}
			is.Equal(last.StatusCode, http.StatusServiceUnavailable)
			is.Equal(last.Header.Get("Retry-After"), "") // the client must not be invited to retry
			var refusal struct {
				Error struct{ Type, Outcome string }
			}
			is.NoErr(json.Unmarshal([]byte(text), &refusal))
			is.Equal(refusal.Error.Type, "quarantined")
			is.Equal(refusal.Error.Outcome, "not-run")
			f.awaitServing()
			for i, n := range f.nodes {
				testkit.Eventually(t, "other requests are served at each node", func() bool {
					resp, _ := f.sendWithBody(n, c.method, c.path, fmt.Sprintf("other%d", i), "other")
					return resp.StatusCode == http.StatusOK
				})
			}
		})
	}
}

// awaitServing waits until a group and a plain endpoint serve, so that a later
// refusal isn't caused by missing capacity.
func (f *entryFleet) awaitServing() {
	f.t.Helper()
	testkit.Eventually(f.t, "a stream and a call are served", func() bool {
		text, _ := f.sendWithBody(f.nodes[0], "POST", "/text/x", "probe", "harmless")
		call, _ := f.sendWithBody(f.nodes[0], "GET", "/lookup/x", "probe", "harmless")
		return text.StatusCode == http.StatusOK && call.StatusCode == http.StatusOK
	})
}
