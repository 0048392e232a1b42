package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/testkit"
)

// A streamed answer numbers its tokens, ends with the usage and the end marker, and
// contains the tokens that are derived from its prompt.
func TestStreamIsComplete(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	v.join(1, 1, 0)
	for _, text := range []string{"one", "two"} {
		body := chatBody(text, 5, true)
		got := readEvents(v.chat(testContext(t), text, body))
		is.NoErr(got.err)
		is.True(got.isComplete())
		is.Equal(got.tokens, ExpectedTokens([]byte(body)))
		is.Equal(got.usage.CompletionTokens, 5)
		for i, id := range got.ids {
			is.Equal(id, fmt.Sprintf("%s:%d", text, i))
		}
		is.Equal(len(got.ids), 6) // five tokens and the usage
	}
	is.True(chatBody("one", 5, true) != chatBody("two", 5, true))
	is.True(ExpectedTokens([]byte(chatBody("one", 5, true)))[0] != ExpectedTokens([]byte(chatBody("two", 5, true)))[0])
}

// A connection is cut after some tokens, by a reset or by a regular end of the
// response, without the end marker in either case. The reader resumes the stream from
// the next token and gets exactly the missing tokens; the request ran once.
func TestCutStreamIsResumed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		clean  bool
		cut    int // tokens sent before the cut
		finish bool
	}{
		{"reset", false, 4, false},
		{"clean end", true, 4, false},
		{"before the first token", false, 0, false},
		{"after the last token", true, 9, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := startEngine(t, fastOptions("e"))
			v.join(1, 1, 0)
			v.SetFaults(Faults{CutStreams: 1, CutAfter: tt.cut, CleanEOF: tt.clean})
			body := chatBody("x", 9, true)
			got := readEvents(v.chat(testContext(t), "r", body))
			is.Equal(got.err == nil, tt.clean)
			is.True(!got.isComplete())
			is.Equal(len(got.tokens), tt.cut)
			rest := readEvents(v.send(testContext(t), http.MethodGet, fmt.Sprintf("/v1/streams/r?from=%d", tt.cut), "",
				engine.HeaderGeneration, "g/1"))
			is.NoErr(rest.err)
			is.True(rest.isComplete())
			is.Equal(append(got.tokens, rest.tokens...), ExpectedTokens([]byte(body)))
			is.Equal(v.Executions("r"), 1)
		})
	}
}

// Resuming fails for an unknown stream id, for a missing, negative or too high token
// number and for another generation; the position after the last token is valid.
func TestResumeRefusals(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	v.join(1, 1, 0)
	is.NoErr(readEvents(v.chat(testContext(t), "r", chatBody("x", 3, true))).err)
	for path, status := range map[string]int{
		"/v1/streams/other?from=0": 404,
		"/v1/streams/r?from=4":     404,
		"/v1/streams/r?from=-1":    400,
		"/v1/streams/r":            400,
		"/v1/streams/r?from=3":     200,
	} {
		res, err := v.send(testContext(t), http.MethodGet, path, "")
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.StatusCode, status)
	}
	res, err := v.send(testContext(t), http.MethodGet, "/v1/streams/r?from=0", "", engine.HeaderGeneration, "g/2")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, 412)
}

// Ended streams are kept for StreamRetention; beyond maxEndedStreams the oldest are dropped.
func TestEndedStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	o := fastOptions("e")
	o.Clock, o.StreamRetention = now, config.Duration(time.Minute)
	v := startEngine(t, o)
	v.join(1, 1, 0)
	is.NoErr(readEvents(v.chat(testContext(t), "r", chatBody("x", 1, true))).err)
	testkit.Eventually(t, "the end of the stream", func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.ended) == 1
	})
	now.Advance(time.Minute)
	is.True(v.findStream("r") != nil)
	now.Advance(time.Second)
	is.True(v.findStream("r") == nil)
	for i := range maxEndedStreams + 5 {
		s := v.addStream(v.replica, fmt.Sprint(i), &engine.ChatRequest{})
		s.end(nil)
		v.recordEnd(s)
	}
	is.True(v.findStream("4") == nil)
	is.True(v.findStream("5") != nil)
}

// Cancelling a stream passes its slot to the waiting request.
func TestCancelFreesSlot(t *testing.T) {
	is := is.New(t)
	o := fastOptions("e")
	o.Slots, o.TokensPerSecond = 1, 100
	v := startEngine(t, o)
	v.join(1, 1, 0)
	long, err := v.chat(testContext(t), "long", chatBody("x", MaxTokens, true))
	is.NoErr(err)
	next := make(chan error, 1)
	go func() {
		_, err := answerText(v.chat(context.Background(), "next", chatBody("y", 1, false)))
		next <- err
	}()
	testkit.Eventually(t, "a waiting request", func() bool { return loadOf(t, v).Waiting == 1 })
	res, err := v.send(testContext(t), http.MethodDelete, "/v1/streams/long", "")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusNoContent)
	is.NoErr(<-next)
	is.True(!readEvents(long, nil).isComplete())
}

// The request of a caller that disconnects while it waits leaves the queue and does
// not run.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	is := is.New(t)
	o := fastOptions("e")
	o.Slots, o.TokensPerSecond = 1, 100
	v := startEngine(t, o)
	v.join(1, 1, 0)
	long, err := v.chat(testContext(t), "long", chatBody("x", MaxTokens, true))
	is.NoErr(err)
	defer long.Body.Close()
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := answerText(v.chat(ctx, "left", chatBody("y", 1, false)))
		left <- err
	}()
	testkit.Eventually(t, "a waiting request", func() bool { return loadOf(t, v).Waiting == 1 })
	cancel()
	is.True(<-left != nil)
	testkit.Eventually(t, "an empty queue", func() bool { return loadOf(t, v).Waiting == 0 })
	is.Equal(v.Executions("left"), 0)
}

// A stream without a reader is cancelled, so that its slot becomes free.
func TestOrphanedStreamIsCancelled(t *testing.T) {
	is := is.New(t)
	o := fastOptions("e")
	o.OrphanTimeout = NoDelay
	v := startEngine(t, o)
	v.join(1, 1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	res, err := v.chat(ctx, "r", chatBody("x", MaxTokens, true))
	is.NoErr(err)
	cancel()
	_ = readEvents(res, nil)
	testkit.Eventually(t, "a free slot", func() bool { return loadOf(t, v).Running == 0 })
}

// The caller gets no complete answer for any connection fault; whether the request ran
// shows only in the execution count. The next request is served.
func TestConnectionFaults(t *testing.T) {
	for _, tt := range testkit.ConnectionFaults() {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			v := startEngine(t, fastOptions("e"))
			v.join(1, 1, 0)
			v.SetFaults(Faults{Stages: tt.Stages})
			_, err := answerText(v.chat(testContext(t), "r", chatBody("x", 8, false)))
			is.True(err != nil)
			is.Equal(v.Executions("r"), tt.ExpectedRuns)
			body := chatBody("x", 8, false)
			got, err := answerText(v.chat(testContext(t), "again", body))
			is.NoErr(err)
			is.Equal(got, strings.Join(ExpectedTokens([]byte(body)), ""))
		})
	}
}

// A stalled engine answers no call; once the stall ends it serves the waiting request.
func TestStall(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	v.join(1, 1, 0)
	v.SetFaults(Faults{Stall: true})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := v.client.State(ctx, v.addr)
	is.True(err != nil)
	done := make(chan *receivedEvents, 1)
	body := chatBody("x", 4, true)
	go func() { done <- readEvents(v.chat(context.Background(), "r", body)) }()
	v.SetFaults(Faults{})
	got := <-done
	is.True(got.isComplete())
	is.Equal(got.tokens, ExpectedTokens([]byte(body)))
}

// Faults can be set over HTTP; "restart" starts a new boot and an unknown field is
// refused.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	boot := v.State().Boot
	res, err := v.send(testContext(t), http.MethodPost, "/faults", `{"straggle":3,"drop_after_run":-1,"restart":true}`)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.True(v.State().Boot != boot)
	is.Equal(v.Faults(), Faults{Straggle: 3, Stages: fault.Stages{DropAfterRun: fault.Always}})
	is.Equal(loadOf(t, v).TokensPerSecond, 5000.0)
	res, err = v.send(testContext(t), http.MethodPost, "/faults", `{"stragle":3}`)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusBadRequest)
}

// GET /executions returns the number of executions by request id.
func TestExecutionsAreListed(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	v.join(1, 1, 0)
	for range 2 {
		res, err := v.send(testContext(t), http.MethodPost, "/v1/chat/completions", chatBody("x", 1, false),
			engine.HeaderGeneration, "g/1", "X-Request-Id", "twice")
		is.NoErr(err)
		is.NoErr(res.Body.Close())
	}
	rec := httptest.NewRecorder()
	v.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/executions", nil))
	var all map[string]int
	is.NoErr(json.Unmarshal(rec.Body.Bytes(), &all))
	is.Equal(all, map[string]int{"twice": 2})
}
