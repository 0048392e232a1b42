package accept_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/accept"
	"chervilloom/internal/account"
	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/dispatch"
	"chervilloom/internal/engine"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/identify"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

const testKey = "key-of-sagarmatha"

type fixedView struct{ snap *view.Snapshot }

func (v fixedView) Snapshot() *view.Snapshot { return v.snap }

// firstRouter picks the first group or endpoint, and refuses every retry.
type firstRouter struct{}

func (firstRouter) Pick(req *request.Request, snap *view.Snapshot, _ clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	if len(tried) > 0 {
		return route.Choice{}, outcome.New(outcome.NoCapacity, outcome.NotRun, "nothing is left", "come back later")
	}
	if req.Class == request.ClassModel {
		return route.Choice{Kind: route.ToGroup, Group: &snap.Groups[0]}, nil
	}
	return route.Choice{Kind: route.ToEndpoint, VM: &snap.VMs[0]}, nil
}

func (firstRouter) Begin(route.Choice)             {}
func (firstRouter) End(route.Choice, route.Result) {}

type unlimitedRetry struct{}

func (unlimitedRetry) CountFirst(request.Class)                  {}
func (unlimitedRetry) Allow(request.Class) (bool, time.Duration) { return true, 0 }

func testDocument() *config.Document {
	sum := sha256.Sum256([]byte(testKey))
	return &config.Document{
		Organisations: []config.Organisation{{Name: "sagarmatha", KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1}},
		Models:        []config.Model{{Name: "renewals", Current: "v1", Versions: []string{"v1"}}},
		Services:      []config.Service{{Name: "counter", NotRepeatable: []string{"POST /receipts"}}},
	}
}

// startPath starts the whole request path in front of the endpoint at addr.
func startPath(t testing.TB, addr string) *httptest.Server { return startPathWithBoot(t, addr, "b1") }

// startPathWithBoot is startPath for an engine with the given boot ID.
func startPathWithBoot(t testing.TB, addr string, boot fleet.BootID) *httptest.Server {
	snap := &view.Snapshot{
		Revision: 1, Config: testDocument(), Zone: "baneshwor",
		VMs: []view.VM{{Record: fleet.Record{VM: "s1", Addr: addr, Service: "counter"}}},
		Groups: []view.Group{{
			Group: fleet.Group{ID: "g1", Generation: 3, Zone: "baneshwor", Model: "renewals", Version: "v1",
				Members: []fleet.Member{{VM: "e1", Boot: boot, Addr: addr}}},
			Whole: true, FreshUntil: 1 << 62,
		}},
	}
	v := fixedView{snap}
	clk := clock.Boot{}
	d := dispatch.New(dispatch.Options{View: v, Clock: clk, Router: firstRouter{}, Retry: unlimitedRetry{}, DialTimeout: testkit.WaitTimeout})
	t.Cleanup(d.Close)
	acc := account.New(account.Options{Clock: clk})
	id := identify.New(identify.Options{View: v, Clock: clk})
	h := filter.Chain(d, acc.Filter, acc.Timed("identify", id.Filter))
	srv := httptest.NewServer(accept.New(accept.Options{Handler: h, View: v, Clock: clk, Authorise: id.Organisation}))
	t.Cleanup(srv.Close)
	return srv
}

func send(t *testing.T, method, url, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestPathAnswersServiceCall(t *testing.T) {
	is := is.New(t)
	ep := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Authorization"), "")
		io.WriteString(w, "receipt "+r.URL.RequestURI())
	}))
	defer ep.Close()
	srv := startPath(t, ep.Listener.Addr().String())
	resp := send(t, "POST", srv.URL+"/services/counter/receipts?n=7", "{}")
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "receipt /receipts?n=7")
	is.Equal(resp.Header.Get(outcome.Header), "ran")
	is.True(resp.Header.Get(accept.HeaderRequest) != "")
}

func TestPathStreamsModelAnswer(t *testing.T) {
	is := is.New(t)
	ep := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderGeneration, r.Header.Get(engine.HeaderGeneration))
		w.Header().Set(engine.HeaderBoot, "b1")
		w.Header().Set("Content-Type", "text/event-stream")
		id := r.Header.Get(engine.HeaderStream)
		for i := range 3 {
			fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, i, i)
		}
		fmt.Fprintf(w, "id: %s:3\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n", id)
	}))
	defer ep.Close()
	srv := startPath(t, ep.Listener.Addr().String())
	resp := send(t, "POST", srv.URL+"/v1/chat/completions",
		`{"model":"renewals","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
	is.Equal(strings.Count(string(body), "id: e1.g1.3."), 4)
	is.Equal(resp.Trailer.Get(outcome.Header), "ran")
}

// 200 callers stream concurrently while the engine's connections break after a
// few tokens. Each caller must receive its own answer, complete and in order.
func TestConcurrentStreamsStaySeparate(t *testing.T) {
	is := is.New(t)
	const callers, tokens = 200, 30
	e := standin.New(standin.Options{VM: "e1", Slots: callers, TokensPerSecond: 3000, LoadTime: standin.NoDelay})
	ep := httptest.NewServer(e)
	defer func() {
		e.Close()
		ep.Close()
	}()
	addr := ep.Listener.Addr().String()
	_, ok := e.Order(engine.Order{Verb: engine.VerbJoin, Fence: 1, Boot: e.State().Boot, Group: "g1", Generation: 3,
		Model: "renewals", Version: "v1", Peers: []string{addr}})
	is.True(ok)
	e.SetFaults(standin.Faults{CutStreams: 2 * callers, CutAfter: 4})
	srv := startPathWithBoot(t, addr, e.State().Boot)
	var wg sync.WaitGroup
	for i := range callers {
		body := fmt.Sprintf(`{"model":"renewals","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"clerk %d"}]}`, tokens, i)
		wg.Go(func() {
			got, err := readTokens(srv.URL, body)
			if err != nil || !slices.Equal(got, standin.ExpectedTokens([]byte(body))) {
				t.Errorf("caller %d: %v, %q", i, err, got)
			}
		})
	}
	wg.Wait()
}

// readTokens makes a streamed model call and returns the tokens of the answer.
func readTokens(url, body string) ([]string, error) {
	r, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refusal, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("%s: %s", resp.Status, refusal)
	}
	var out []string
	for events := relay.NewReader(resp.Body, 1<<16); ; {
		ev, err := events.Next()
		if err != nil {
			return out, err
		}
		if string(ev.Data) == "[DONE]" {
			return out, nil
		}
		var chunk engine.ChatChunk
		if err := json.Unmarshal(ev.Data, &chunk); err != nil || len(chunk.Choices) == 0 {
			return out, fmt.Errorf("%q: %w", ev.Data, err)
		}
		if chunk.Choices[0].FinishReason == nil {
			out = append(out, chunk.Choices[0].Delta.Content)
		}
	}
}

// A caller disconnects in the middle of a stream. The request to the engine must
// be cancelled, or the engine keeps generating tokens that nobody reads.
func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	ep := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set(engine.HeaderGeneration, r.Header.Get(engine.HeaderGeneration))
		w.Header().Set(engine.HeaderBoot, "b1")
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: %s:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", r.Header.Get(engine.HeaderStream))
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(left)
	}))
	defer ep.Close()
	srv := startPath(t, ep.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", srv.URL+"/v1/chat/completions",
		strings.NewReader(`{"model":"renewals","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = resp.Body.Read(make([]byte, 10))
	is.NoErr(err)
	cancel()
	<-left
}

// A caller reads a service's own server-sent events. Each event must be
// forwarded when it is sent, not when the stream ends.
func TestServiceEventStreamIsFlushed(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	ep := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 2 {
			fmt.Fprintf(w, "data: crossing %d\n\n", i)
			http.NewResponseController(w).Flush()
			<-more
		}
	}))
	defer ep.Close()
	srv := startPath(t, ep.Listener.Addr().String())
	resp := send(t, "GET", srv.URL+"/services/counter/crossings", "")
	got := make([]byte, len("data: crossing 0\n\n"))
	for i := range 2 {
		_, err := io.ReadFull(resp.Body, got)
		is.NoErr(err)
		is.Equal(string(got), fmt.Sprintf("data: crossing %d\n\n", i))
		more <- struct{}{}
	}
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(rest), "") // nothing is added to the service's own format
	is.Equal(resp.Trailer.Get(outcome.Header), "ran")
}

func TestPathRefusesUnknownModel(t *testing.T) {
	is := is.New(t)
	srv := startPath(t, "127.0.0.1:1")
	resp := send(t, "POST", srv.URL+"/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"x"}]}`)
	body, _ := io.ReadAll(resp.Body)
	is.Equal(resp.StatusCode, 404)
	is.Equal(resp.Header.Get(outcome.Header), "not-run")
	is.True(strings.Contains(string(body), "renewals"))
}
