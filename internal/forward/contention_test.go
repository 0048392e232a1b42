package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/forward"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// pipeListener accepts connections that exist in memory only.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// engineForwarder is a forwarder in front of engines in memory: two heads of the model large and
// one of small, with ten slots each, and streams of the given ranks. The organisation late has the last of them.
type engineForwarder struct {
	*testForwarder
	urgency string // of the newest request at an engine
	next    int
}

func newEngineForwarder(t *testing.T, ranks ...int) *engineForwarder {
	t.Helper()
	e := &engineForwarder{testForwarder: newTestForwarder(t, 100)}
	e.EngineProfile = forward.Profile{Turnover: time.Hour, Bounds: balance.Bounds{QueueShare: -0.04}}
	ln := pipeListener{make(chan net.Conn)}
	engine := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.urgency = r.Header.Get("X-Request-Urgency")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		fmt.Fprint(w, "id: 9\ndata: x\n\n")
	})}
	done := make(chan struct{})
	go func() { defer close(done); _ = engine.Serve(ln) }()
	t.Cleanup(func() { close(ln.conns); engine.Close(); <-done })
	e.Pool.Dial = func(context.Context, string, func(string) bool) (net.Conn, upstream.Peer, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close() })
		ln.conns <- far
		return near, upstream.Peer{}, nil
	}
	doc := catalog.Document{
		Version: 1,
		Services: []catalog.Service{{Name: "engines", Engine: &catalog.Engine{
			Slots: 10, Stride: 5, Chunk: 2048, Step: 6 * time.Millisecond, PerSequence: 240 * time.Microsecond, ReadPerSecond: 46000,
			UsualPrompt: 1500, UsualAnswer: 100, Models: []catalog.Model{{Name: "large", Pace: 1}, {Name: "small", Pace: 0.6}},
		}}},
		Organisations: []catalog.Organisation{
			{Name: "o", Keys: []string{"k"}, Priority: catalog.NoPriority}, {Name: "late", Keys: []string{"l"}, Priority: ranks[len(ranks)-1]},
		},
	}
	for i, rank := range ranks {
		doc.Routes = append(doc.Routes, catalog.Route{
			Name: strconv.Itoa(i), Host: "h.example", Prefix: fmt.Sprintf("/%d/", i), Repeat: catalog.Stream, Resumable: true, Priority: rank,
			Timeout: 8 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 2, Backends: []catalog.Backend{{Service: "engines", Weight: 1}},
		})
	}
	var heads []roster.Endpoint
	for i, model := range []string{"large", "large", "small"} {
		heads = append(heads, roster.Endpoint{
			ID: roster.ID(model + strconv.Itoa(i)), Service: "engines", Zone: "z", Slots: 10, Domain: "d", Model: model,
			Member: roster.Membership{Group: "g", State: roster.Open},
		})
	}
	e.setView(t, doc, nil, heads...)
	return e
}

// fill occupies slots of both heads of the model large until the returned function is called.
func (e *engineForwarder) fill(slots int) (release func()) {
	var tickets []*balance.Ticket
	for range slots {
		tickets = append(tickets, e.Tracker.Start("large0", nil), e.Tracker.Start("large1", nil))
	}
	return func() {
		for _, t := range tickets {
			t.End()
		}
	}
}

// streamRequest is one request of a client.
type streamRequest struct {
	rank              int // of three ranks: number of the stream
	key, model, event string
	left              time.Duration
	body              string
}

// ask serves a request and returns the response and the urgency that an engine got, if any.
func (e *engineForwarder) ask(q streamRequest) (*http.Response, string) {
	e.next++
	e.urgency = ""
	r := httptest.NewRequest(http.MethodPost, fmt.Sprintf("http://h.example/%d/x", q.rank), strings.NewReader(q.body))
	for name, value := range map[string]string{
		"X-Request-Id": strconv.Itoa(e.next), "Authorization": "Token " + q.key, "X-Model": q.model,
		"Last-Event-Id": q.event, "X-Deadline-Ms": strconv.FormatInt(q.left.Milliseconds(), 10),
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w.Result(), e.urgency
}

// Guards against answers, header values and urgencies that change where no service is contended.
// testdata/uncontended.txt was recorded with the code before ranks had any effect.
func TestUncontendedRequestsAreServedAsBefore(t *testing.T) {
	for name, contended := range map[string]func(string) bool{"no service": nil, "other services": func(string) bool { return false }} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngineForwarder(t, 0, 1, 2)
			e.Contended = contended
			want, err := os.ReadFile("testdata/uncontended.txt")
			is.NoErr(err)
			if got := e.playRecorded(); string(want) != got {
				t.Errorf("answers differ from the recorded ones:\n%s", got)
			}
		})
	}
}

// playRecorded sends the recorded requests and returns a line for each answer.
func (e *engineForwarder) playRecorded() string {
	rng := rand.New(rand.NewPCG(1, 1))
	var got strings.Builder
	pick := func(values ...string) string { return values[rng.IntN(len(values))] }
	for i := range 300 {
		release := e.fill([]int{0, 5, 9, 10, 10}[rng.IntN(5)])
		q := streamRequest{
			rank: rng.IntN(3), key: pick("k", "k", "l", "unknown"), model: pick("large", "large", "large", "small", "none"),
			event: pick("", "", "", "3"), left: 8 * time.Second, body: pick("a", "b") + strconv.Itoa(i),
		}
		if i > 0 && rng.IntN(4) == 0 {
			q.left = 4 * time.Second
		}
		resp, urgency := e.ask(q)
		release()
		fmt.Fprintf(&got, "%d %s %s urgency=%s retry=%s type=%s outcome=%s\n", q.rank, q.key, q.model, urgency,
			resp.Header.Get("Retry-After"), resp.Status, resp.Header.Get("Chervilloom-Outcome"))
	}
	return got.String()
}

// Guards against requests of all ranks that are served alike at engines, and against the rank of
// the route where the organisation has its own.
func TestContendedRequestsCarryTheirRank(t *testing.T) {
	is := is.New(t)
	e := newEngineForwarder(t, 0, 1, 2)
	e.Contended = func(string) bool { return true }
	urgency := func(q streamRequest) string {
		q.model = "large"
		_, u := e.ask(q)
		return u
	}
	for rank, want := range []string{"2", "4", "6"} {
		is.Equal(urgency(streamRequest{rank: rank, key: "k", left: 8 * time.Second}), want)
	}
	is.Equal(urgency(streamRequest{key: "l", left: 8 * time.Second}), "6")
	is.Equal(urgency(streamRequest{key: "k", left: 4 * time.Second}), "3")
	is.Equal(urgency(streamRequest{rank: 2, key: "k", left: 8 * time.Second, event: "4"}), "1")
}

// Guards against less urgent requests that take the last slots of more urgent ones, against more
// urgent or resumed ones that are refused, and against requests for another model that are.
func TestLastSlotsOfAModelAreKeptForItsMoreUrgentRequests(t *testing.T) {
	is := is.New(t)
	e := newEngineForwarder(t, 0, 1, 2)
	e.Contended = func(string) bool { return true }
	reg := prometheus.NewRegistry()
	e.Metrics = forward.NewMetrics(reg)
	c := clock.NewManual(clock.Instant(time.Hour))
	e.Clock = c
	defer e.fill(9)()
	refused := map[string]int{}
	for range 200 {
		c.Advance(10 * time.Millisecond) // 100 requests a second of each kind, for 18 slots that run for a second
		for name, q := range map[string]streamRequest{
			"urgent": {rank: 0, model: "large"}, "late": {rank: 2, model: "large"},
			"resumed": {rank: 2, model: "large", event: "3"}, "small": {rank: 2, model: "small"},
		} {
			q.key, q.left = "k", 8*time.Second
			resp, urgency := e.ask(q)
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused[name]++
				is.Equal(urgency, "") // it has not run
				is.Equal(resp.Header.Get("Chervilloom-Outcome"), "not-run")
				is.True(resp.Header.Get("Retry-After") != "")
			}
		}
	}
	t.Log("refused of 200:", refused)
	is.True(refused["late"] > 80 && refused["late"] < 180) // some are let through: no rank starves
	is.Equal(refused["urgent"]+refused["resumed"]+refused["small"], 0)
	families, err := reg.Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "chervilloom_rank_refused_total" {
			is.Equal(len(f.GetMetric()), 1) // rank 2, reason rank
			is.Equal(f.GetMetric()[0].GetCounter().GetValue(), float64(refused["late"]))
		}
	}
}

// Guards against one rank that is not served as without ranks. Only the times after which refused
// requests return may differ.
func TestOneRankIsServedAsBefore(t *testing.T) {
	is := is.New(t)
	e := newEngineForwarder(t, 1, 1, 1)
	e.Contended = func(string) bool { return true }
	want, err := os.ReadFile("testdata/uncontended.txt")
	is.NoErr(err)
	times := regexp.MustCompile(`retry=\S*`)
	got := strings.Split(times.ReplaceAllString(e.playRecorded(), ""), "\n")
	for i, line := range strings.Split(times.ReplaceAllString(string(want), ""), "\n") {
		if got[i] != line {
			t.Errorf("request %d: got %q, want %q", i, got[i], line)
		}
	}
}

// Guards against refused clients that return together, against one that gains by a retry at once,
// and against requests that are sent although their time cannot suffice.
func TestRefusedRequestsOfAContendedServiceReturnInOrder(t *testing.T) {
	is := is.New(t)
	e := newEngineForwarder(t, 0, 1, 2)
	e.Contended = func(string) bool { return true }
	e.Clock = clock.NewManual(clock.Instant(time.Hour))
	release := e.fill(10)
	refuse := func(rank int, body string) float64 {
		resp, urgency := e.ask(streamRequest{rank: rank, key: "k", model: "large", left: 6 * time.Second, body: body})
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(urgency, "") // it has not run
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after >= 0.05 && after <= 2)
		return after
	}
	first := refuse(1, "first")
	for i := range 12 {
		refuse(1, strconv.Itoa(i))
	}
	is.True(refuse(1, "first") > first) // its retry at once comes after the others
	is.True(refuse(0, "urgent") < refuse(1, "last"))
	release()
	resp, urgency := e.ask(streamRequest{rank: 0, key: "k", model: "large", left: 100 * time.Millisecond})
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(urgency, "")
	is.Equal(resp.Header.Get("Chervilloom-Outcome"), "not-run")
}

// Guards against requests that are refused in favour of more urgent ones that are themselves refused,
// because no endpoint can complete them in the time left, and leave the slots free.
func TestUnservableRequestsDoNotKeepSlots(t *testing.T) {
	is := is.New(t)
	e := newEngineForwarder(t, 0, 1, 2)
	e.Contended = func(string) bool { return true }
	c := clock.NewManual(clock.Instant(time.Hour))
	e.Clock = c
	defer e.fill(9)()
	for range 200 {
		c.Advance(10 * time.Millisecond)
		resp, _ := e.ask(streamRequest{rank: 0, key: "k", model: "large", left: 100 * time.Millisecond})
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		resp, _ = e.ask(streamRequest{rank: 2, key: "k", model: "large", left: 8 * time.Second})
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}
