package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeNode is a fake entry node. serve, if set, replaces its handler.
type fakeNode struct {
	*httptest.Server
	serve func(w http.ResponseWriter, r *http.Request, body string)

	mu                     sync.Mutex
	requests               []string       // "METHOD path"
	requestsByOrganisation map[string]int // requests by Authorization header
	requestsByKey          map[string]int // requests by idempotency key or ticket
	ticketsIssued          int
}

func startFakeNode(t *testing.T, serve func(w http.ResponseWriter, r *http.Request, body string)) *fakeNode {
	n := &fakeNode{serve: serve, requestsByOrganisation: map[string]int{}, requestsByKey: map[string]int{}}
	n.Server = httptest.NewServer(n)
	t.Cleanup(n.Close)
	return n
}

func (n *fakeNode) target() string { return strings.TrimPrefix(n.URL, "http://") }

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	n.requests = append(n.requests, r.Method+" "+r.URL.Path)
	n.requestsByOrganisation[r.Header.Get("Authorization")]++
	if k := r.Header.Get(headerIdempotencyKey) + r.Header.Get(headerTicket); k != "" {
		n.requestsByKey[k]++
	}
	n.mu.Unlock()
	switch {
	case n.serve != nil:
		n.serve(w, r, string(body))
	case r.URL.Path == pathTickets:
		n.mu.Lock()
		n.ticketsIssued++
		fmt.Fprintf(w, `{"tickets":["t%d"]}`, n.ticketsIssued)
		n.mu.Unlock()
	case r.URL.Path == pathChat:
		serveChat(w, string(body))
	default:
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}
}

func (n *fakeNode) requestCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.requests)
}

func serveChat(w http.ResponseWriter, body string) {
	var req engine.ChatRequest
	if err := json.Unmarshal([]byte(body), &req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !req.Stream {
		fmt.Fprintf(w, `{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`, req.MaxTokens)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	io.WriteString(w, streamText(req.MaxTokens, req.MaxTokens))
}

// streamText returns a stream of n tokens whose usage reports the number announced.
func streamText(n, announced int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "id: s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"w%d \"},\"finish_reason\":null}]}\n\n", i, i)
	}
	fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", announced)
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

const mixPlanText = `version: 1
seed: 3
rate: 400
duration: 250ms
organisations:
  - {name: north, key: k-north, weight: 3}
  - {name: south, key: k-south}
prefixes:
  - {name: rules, words: 20}
requests:
  - {name: status, type: lookup, weight: 4, service: counter, path: "/status/{n}", contains: "/status/{n}"}
  - {name: receipt, type: receipt, weight: 2, service: counter, path: /receipts, body: '{"fee":{n}}', contains: '{"fee":{n}}'}
  - {name: ticketed, type: receipt, service: counter, path: /receipts, once: ticket, deadline: 2s}
  - {name: chat, type: chat, model: m, prefix: rules, words: 5, max_tokens: 7, stream: true, contains: w6}
  - {name: summary, type: chat, model: m, max_tokens: 7}
`

func readMixPlan(t *testing.T) *Plan {
	t.Helper()
	p, err := ReadPlan("mix.yaml", []byte(mixPlanText))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// lookupPlan returns a plan of n lookups at the maximum rate.
func lookupPlan(n int) *Plan {
	return &Plan{
		Version: 1, Rate: MaxRate, Duration: config.Duration(time.Duration(n) * time.Second / MaxRate),
		Arrivals: ArrivalsConstant, InFlight: n, Timeout: config.Duration(time.Minute),
		Organisations: []Organisation{{Name: "o", Key: "k", Weight: 1}},
		Requests:      []Request{{Name: "status", Type: TypeLookup, Weight: 1, Method: "GET", Service: "s", Path: "/{n}"}},
	}
}

// With two nodes and a mix of all kinds, every scheduled request is sent once,
// every answer is whole, and each receipt has a unique key or ticket.
func TestMixedLoad(t *testing.T) {
	is := is.New(t)
	a, b := startFakeNode(t, nil), startFakeNode(t, nil)
	p := readMixPlan(t)
	r, err := Run(t.Context(), Options{Plan: p, Targets: []string{a.target(), b.target()}})
	is.NoErr(err)
	want := buildSchedule(p)
	is.Equal(r.Sent, len(want))
	is.Equal(r.Whole(), len(want))
	is.Equal(r.NotSent, 0)
	tickets := a.ticketsIssued + b.ticketsIssued
	is.Equal(a.requestCount()+b.requestCount(), len(want)+tickets)
	for _, n := range []*fakeNode{a, b} {
		for key, count := range n.requestsByKey {
			if count != 1 {
				t.Errorf("key %s was received %d times", key, count)
			}
		}
	}
	is.True(a.requestsByOrganisation["Bearer k-north"] > a.requestsByOrganisation["Bearer k-south"])
	chat := r.Kinds[3]
	is.Equal(chat.Tokens, 7*int(chat.Total.Count))
	is.Equal(chat.BetweenTokens.Count, 6*chat.Total.Count)
	is.Equal(chat.FirstToken.Count, chat.Total.Count)
}

// The node answers no request until it has received all of them. If a request
// waited for the answer to an earlier one, the requests would time out.
func TestSlowAnswersDelayNoRequest(t *testing.T) {
	is := is.New(t)
	const n = 50
	var received sync.WaitGroup
	received.Add(n)
	slow := startFakeNode(t, func(http.ResponseWriter, *http.Request, string) {
		received.Done()
		received.Wait()
	})
	r, err := Run(t.Context(), Options{Plan: lookupPlan(n), Targets: []string{slow.target()}})
	is.NoErr(err)
	is.Equal(r.Whole(), n)
}

// The node stalls until the limit on requests in flight is reached. Requests that
// are due from then on are counted as not sent, so no more than the limit are in
// flight.
func TestInFlightLimit(t *testing.T) {
	is := is.New(t)
	const n, limit = 50, 5
	release := make(chan struct{})
	stalled := startFakeNode(t, func(http.ResponseWriter, *http.Request, string) { <-release })
	p := lookupPlan(n)
	p.InFlight = limit
	go func() {
		time.Sleep(time.Duration(p.Duration)) // ends the stall after the last arrival
		close(release)
	}()
	r, err := Run(t.Context(), Options{Plan: p, Targets: []string{stalled.target()}})
	is.NoErr(err)
	is.Equal(r.Sent+r.NotSent, n)
	is.True(r.NotSent > 0)
	is.Equal(r.Whole(), r.Sent)
}

// A reused connection breaks after the node has read a receipt. net/http would
// resend a request with an Idempotency-Key and no body by itself. The tool must
// prevent that, or it would itself cause a duplicate run at the node.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	runs := map[string]int{}
	served := 0
	breaking := startFakeNode(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		mu.Lock()
		runs[r.Header.Get(headerIdempotencyKey)]++
		served++
		broken := served > 1
		mu.Unlock()
		if broken {
			panic(http.ErrAbortHandler)
		}
	})
	p := lookupPlan(1)
	p.Requests[0].Type, p.Requests[0].Method, p.Requests[0].Once = TypeReceipt, "POST", OnceKey
	c, err := newClient(p, &Side{Targets: []string{breaking.target()}})
	is.NoErr(err)
	defer c.close()
	requests := buildSchedule(p)
	first := c.send(t.Context(), &requests[0], time.Now())
	is.Equal(first.outcome, outcomeWhole)
	second := c.send(t.Context(), &requests[0], time.Now())
	is.Equal(second.outcome, outcomeTransport)
	mu.Lock()
	defer mu.Unlock()
	for key, n := range runs {
		if n != 1 {
			t.Errorf("receipt %s was received %d times", key, n)
		}
	}
	is.Equal(len(runs), 2)
}

// A node rejects requests with Retry-After. Without retries in the plan, the tool
// counts the rejection; with retries, it resends the request after that delay
// with the same key.
func TestRetriesOnlyIfPlanned(t *testing.T) {
	is := is.New(t)
	refusing := func() func(w http.ResponseWriter, r *http.Request, _ string) {
		var mu sync.Mutex
		tries := map[string]int{}
		return func(w http.ResponseWriter, r *http.Request, _ string) {
			mu.Lock()
			defer mu.Unlock()
			key := r.Header.Get(headerIdempotencyKey)
			tries[key]++
			if tries[key] > 1 {
				return
			}
			e := outcome.New(outcome.Overloaded, outcome.NotRun, "full", "come back").WithRetryAfter(time.Second)
			e.SetHeaders(w.Header())
			w.WriteHeader(e.Kind.Status())
			w.Write(e.JSON("id"))
		}
	}
	p := lookupPlan(4)
	p.Requests[0].Type, p.Requests[0].Method, p.Requests[0].Once = TypeReceipt, "POST", OnceKey
	r, err := Run(t.Context(), Options{Plan: p, Targets: []string{startFakeNode(t, refusing()).target()}})
	is.NoErr(err)
	is.Equal(r.Kinds[0].Outcomes, []Count{{"overloaded (not-run)", 4}})
	is.Equal(r.Retries, 0)
	p.Retries = 1
	r, err = Run(t.Context(), Options{Plan: p, Targets: []string{startFakeNode(t, refusing()).target()}})
	is.NoErr(err)
	is.Equal(r.Whole(), 4)
	is.Equal(r.Retries, 4)
}

// ctx is cancelled during the run: no more requests are sent, those in flight
// complete, and the report counts the requests sent so far.
func TestRunCancelled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	n := startFakeNode(t, func(http.ResponseWriter, *http.Request, string) { cancel() })
	p := lookupPlan(1000)
	p.Duration, p.Rate = config.Duration(time.Minute), 10
	r, err := Run(ctx, Options{Plan: p, Targets: []string{n.target()}})
	is.Equal(err, context.Canceled)
	is.True(r.Sent >= 1 && r.Sent < 100)
}

// A comparison sends every other request to the second side, without the
// /services/NAME prefix and with that side's headers.
func TestCompare(t *testing.T) {
	is := is.New(t)
	through, direct := startFakeNode(t, nil), startFakeNode(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		if r.Header.Get("Engine-Generation") != "g/1" {
			w.WriteHeader(http.StatusPreconditionFailed)
		}
	})
	c, err := Compare(t.Context(), lookupPlan(20),
		Side{Name: "node", Targets: []string{through.target()}},
		Side{Name: "direct", Targets: []string{direct.target()}, DirectToService: true, Header: map[string]string{"Engine-Generation": "g/1"}})
	is.NoErr(err)
	is.Equal(c.Sides[0].Whole(), 10)
	is.Equal(c.Sides[1].Whole(), 10)
	for i := range 10 {
		is.True(strings.HasPrefix(through.requests[i], "GET /services/s/"))
		is.True(!strings.HasPrefix(direct.requests[i], "GET /services/"))
	}
	is.Equal(len(c.Differences), 1)
	is.NoErr(c.WriteTable(io.Discard))
	is.NoErr(c.WriteJSON(io.Discard))
	_, err = Compare(t.Context(), lookupPlan(1), Side{Name: "x", Targets: []string{"127.0.0.1:1"}}, Side{Name: "x"})
	is.True(err != nil)
}

func TestCheckTargets(t *testing.T) {
	for target, good := range map[string]bool{
		"127.0.0.1:80": true, "[::1]:80": true, "127.8.8.8:1": true, "[::ffff:127.0.0.1]:80": true,
		"10.0.0.1:80": false, "0.0.0.0:80": false, "localhost:80": false, "127.0.0.1": false, "[::]:80": false,
		"http://127.0.0.1:80": false, "": false, "192.0.2.1:80": false, "127.0.0.1:80/x": false,
	} {
		_, err := Run(t.Context(), Options{Plan: &Plan{}, Targets: []string{target}})
		if err == nil {
			t.Fatal("an empty plan was accepted")
		}
		if err := checkTargets([]string{target}); (err == nil) != good {
			t.Errorf("target %q: %v", target, err)
		}
	}
	if checkTargets(nil) == nil {
		t.Error("an empty list of targets was accepted")
	}
}
