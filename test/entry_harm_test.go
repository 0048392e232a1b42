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
	// harmEnds is how many endpoints a request may end before it is kept from further
	// ones, and harmMore how many it may reach after that: a node may hear late.
	harmEnds = 3
	harmMore = 3
	// harmTries is how often clients come with it: enough to end far more than that.
	harmTries = 16
	// harmBack is the time until an endpoint that ended is replaced.
	harmBack = 300 * time.Millisecond
)

// askWith sends a request with a body of its own and returns the answer, read to its end or
// to where it breaks off.
func (f *entryFleet) askWith(n *entryNode, method, path, id, body string) (*http.Response, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := http.DefaultClient.Do(f.request(ctx, n, method, path, id, body, textHeader(70)))
	must(f.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // a stream that breaks off is one of the answers
	return resp, string(text)
}

// A client sends a request that ends every engine that begins to run it. Each engine
// takes the streams of others with it and is back under another id a moment later. The
// client's attempts come with ids of their own, at any node, and each was sent to up to
// three engines: a node judged one attempt and remembered nothing. On a played day 43
// engines ended under one request; the logs have 21 times a dozen lines "unexpected EOF"
// within 4 ms, and in between the same "connection refused".
func TestEntryStopsARequestThatEndsItsEndpoints(t *testing.T) {
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
			f.fleet.AddHarm(platformtest.Harm{Body: "crash", Events: c.events, Back: harmBack})
			var last *http.Response
			var text string
			for i := range harmTries {
				f.awaitServing()
				last, text = f.askWith(f.nodes[i%len(f.nodes)], c.method, c.path, fmt.Sprintf("crash%d", i), "crash")
			}
			ended := f.fleet.Ended("crash")
			if len(ended) > harmEnds+harmMore {
				t.Errorf("%d endpoints ended under one request: %v", len(ended), ended)
			}
			is.Equal(last.StatusCode, http.StatusServiceUnavailable)
			is.Equal(last.Header.Get("Retry-After"), "") // nothing invites it again
			var told struct {
				Error struct{ Type, Outcome string }
			}
			is.NoErr(json.Unmarshal([]byte(text), &told))
			is.Equal(told.Error.Type, "quarantined")
			is.Equal(told.Error.Outcome, "not-run")
			f.awaitServing()
			for i, n := range f.nodes {
				testkit.Eventually(t, "others are served at each node", func() bool {
					resp, _ := f.askWith(n, c.method, c.path, fmt.Sprintf("other%d", i), "other")
					return resp.StatusCode == http.StatusOK
				})
			}
		})
	}
}

// awaitServing waits until a group and a plain endpoint could serve, so that what is
// refused isn't for want of one.
func (f *entryFleet) awaitServing() {
	f.t.Helper()
	testkit.Eventually(f.t, "a stream and a call are served", func() bool {
		text, _ := f.askWith(f.nodes[0], "POST", "/text/x", "probe", "harmless")
		call, _ := f.askWith(f.nodes[0], "GET", "/lookup/x", "probe", "harmless")
		return text.StatusCode == http.StatusOK && call.StatusCode == http.StatusOK
	})
}
