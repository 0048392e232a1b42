package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
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
			checkQuarantined(is, text)
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

const (
	// partThreshold is the number of crashes under requests with one part of the prompt after
	// which at most partOvershoot more such requests may reach endpoints.
	partThreshold = 5
	partOvershoot = 3
)

// promptHeader returns the headers of a short stream whose prompt has the given parts.
func promptHeader(parts ...string) map[string]string {
	h := textHeader(35)
	h["X-Prompt-Prefix"] = strings.Join(parts, ":40,") + ":40"
	return h
}

// Guards against a part of the prompt that crashes each engine that runs a request with it: the
// requests differ in everything else, and sound ones share their key and their first part.
func TestEntryQuarantinesPromptPartThatCrashesEndpoints(t *testing.T) {
	for _, events := range []int{0, 2} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			is := is.New(t)
			f := startEntryFleet(t, "a", "a", "b")
			f.fleet.AddPoisonRequest(platformtest.PoisonRequest{Part: "bad", EventsBeforeCrash: events, ReplacementDelay: endpointRestartDelay})
			send := func(n *entryNode, id string, parts ...string) (int, string) {
				code, body, err := f.sendPrompt(n, id, promptHeader(append(parts, id)...))
				is.NoErr(err)
				return code, body
			}
			text := ""
			for i := range harmfulAttempts {
				f.awaitServing()
				for k, n := range f.nodes {
					send(n, fmt.Sprintf("aa%d%d", i, k), "f1")
				}
				part := []string{"bad", "00BAD", " Bad"}[i%3]
				_, text = send(f.nodes[i%len(f.nodes)], fmt.Sprintf("cc%d", i), "f1", part)
			}
			if n := f.fleet.PoisonRuns("bad"); n > partThreshold+partOvershoot {
				t.Errorf("%d requests with the part reached engines, %d crashed", n, len(f.fleet.Crashed("bad")))
			}
			checkQuarantined(is, text)
			f.awaitServing()
			for i, n := range f.nodes {
				testkit.Eventually(t, "a request with the sound part is served at each node", func() bool {
					code, _ := send(n, fmt.Sprintf("dd%d", i), "f1")
					return code == http.StatusOK
				})
			}
		})
	}
}

// sendPrompt sends a stream request whose id is its body, and reads the response up to its end or
// its interruption.
func (f *entryFleet) sendPrompt(n *entryNode, id string, header map[string]string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(f.request(ctx, n, "POST", "/text/x", id, id, header))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // an interrupted stream is an expected response
	return resp.StatusCode, string(text), nil
}

// checkQuarantined checks that a response refuses a quarantined request as not run.
func checkQuarantined(is *is.I, text string) {
	is.Helper()
	var refusal struct {
		Error struct{ Type, Outcome string }
	}
	is.NoErr(json.Unmarshal([]byte(text), &refusal))
	is.Equal(refusal.Error.Type, "quarantined")
	is.Equal(refusal.Error.Outcome, "not-run")
}
