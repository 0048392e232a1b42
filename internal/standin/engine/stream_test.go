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

// A streamed answer numbers its tokens, ends with the count and the end marker,
// and holds the tokens that its own prompt asks for.
func TestStreamIsWhole(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	v.join(1, 1, 0)
	for _, text := range []string{"one", "two"} {
		body := prompt(text, 5, true)
		got := readEvents(v.chat(within(t), text, body))
		is.NoErr(got.err)
		is.True(got.whole())
		is.Equal(got.tokens, ExpectedTokens([]byte(body)))
		is.Equal(got.usage.CompletionTokens, 5)
		for i, id := range got.ids {
			is.Equal(id, fmt.Sprintf("%s:%d", text, i))
		}
		is.Equal(len(got.ids), 6) // the tokens and the count
	}
	is.True(prompt("one", 5, true) != prompt("two", 5, true))
	is.True(ExpectedTokens([]byte(prompt("one", 5, true)))[0] != ExpectedTokens([]byte(prompt("two", 5, true)))[0])
}

// A connection is cut after some tokens, by a reset or by an end that looks
// proper. The reader misses the end marker either way, asks for the stream from
// its next token on, and gets exactly the tokens that were missing; the request
// ran once.
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
			v := start(t, fast("e"))
			v.join(1, 1, 0)
			v.SetFaults(Faults{CutStreams: 1, CutAfter: tt.cut, CleanEOF: tt.clean})
			body := prompt("x", 9, true)
			got := readEvents(v.chat(within(t), "r", body))
			is.Equal(got.err == nil, tt.clean)
			is.True(!got.whole())
			is.Equal(len(got.tokens), tt.cut)
			rest := readEvents(v.call(within(t), http.MethodGet, fmt.Sprintf("/v1/streams/r?from=%d", tt.cut), "",
				engine.HeaderGeneration, "g/1"))
			is.NoErr(rest.err)
			is.True(rest.whole())
			is.Equal(append(got.tokens, rest.tokens...), ExpectedTokens([]byte(body)))
			is.Equal(v.Executions("r"), 1)
		})
	}
}

// A stream is resumed while it still runs, in another generation, under a name
// or from a token that it never had.
func TestResumeRefusals(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	v.join(1, 1, 0)
	is.NoErr(readEvents(v.chat(within(t), "r", prompt("x", 3, true))).err)
	for path, status := range map[string]int{
		"/v1/streams/other?from=0": 404,
		"/v1/streams/r?from=4":     404,
		"/v1/streams/r?from=-1":    400,
		"/v1/streams/r":            400,
		"/v1/streams/r?from=3":     200,
	} {
		res, err := v.call(within(t), http.MethodGet, path, "")
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.StatusCode, status)
	}
	res, err := v.call(within(t), http.MethodGet, "/v1/streams/r?from=0", "", engine.HeaderGeneration, "g/2")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, 412)
}

// Ended streams can be resumed for a while, and are dropped when that is over or
// when there are too many, oldest first.
func TestEndedStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	o := fast("e")
	o.Clock, o.StreamKept = now, config.Duration(time.Minute)
	v := start(t, o)
	v.join(1, 1, 0)
	is.NoErr(readEvents(v.chat(within(t), "r", prompt("x", 1, true))).err)
	testkit.Eventually(t, "the end of the stream", func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.ended) == 1
	})
	now.Advance(time.Minute)
	is.True(v.streamOf("r") != nil)
	now.Advance(time.Second)
	is.True(v.streamOf("r") == nil)
	for i := range streamsKept + 5 {
		s := v.register(v.replica, fmt.Sprint(i), &engine.ChatRequest{})
		s.end(nil)
		v.retire(s)
	}
	is.True(v.streamOf("4") == nil)
	is.True(v.streamOf("5") != nil)
}

// A cancelled stream gives its slot to the request that waits.
func TestCancelFreesTheSlot(t *testing.T) {
	is := is.New(t)
	o := fast("e")
	o.Slots, o.TokensPerSecond = 1, 100
	v := start(t, o)
	v.join(1, 1, 0)
	long, err := v.chat(within(t), "long", prompt("x", MaxTokens, true))
	is.NoErr(err)
	next := make(chan error, 1)
	go func() {
		_, err := content(v.chat(context.Background(), "next", prompt("y", 1, false)))
		next <- err
	}()
	testkit.Eventually(t, "a request that waits", func() bool { return loadOf(t, v).Waiting == 1 })
	res, err := v.call(within(t), http.MethodDelete, "/v1/streams/long", "")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusNoContent)
	is.NoErr(<-next)
	is.True(!readEvents(long, nil).whole())
}

// A caller that leaves while its request waits takes it out of the queue: it
// did not run.
func TestCallerLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	o := fast("e")
	o.Slots, o.TokensPerSecond = 1, 100
	v := start(t, o)
	v.join(1, 1, 0)
	long, err := v.chat(within(t), "long", prompt("x", MaxTokens, true))
	is.NoErr(err)
	defer long.Body.Close()
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := content(v.chat(ctx, "left", prompt("y", 1, false)))
		left <- err
	}()
	testkit.Eventually(t, "a request that waits", func() bool { return loadOf(t, v).Waiting == 1 })
	cancel()
	is.True(<-left != nil)
	testkit.Eventually(t, "an empty queue", func() bool { return loadOf(t, v).Waiting == 0 })
	is.Equal(v.Executions("left"), 0)
}

// A stream that nobody reads any more is given up, so that its slot is not lost.
func TestOrphanIsGivenUp(t *testing.T) {
	is := is.New(t)
	o := fast("e")
	o.OrphanAfter = Immediately
	v := start(t, o)
	v.join(1, 1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	res, err := v.chat(ctx, "r", prompt("x", MaxTokens, true))
	is.NoErr(err)
	cancel()
	_ = readEvents(res, nil)
	testkit.Eventually(t, "a free slot", func() bool { return loadOf(t, v).Running == 0 })
}

// Each connection fault is told by the caller as no whole answer; only the
// count of executions knows whether the request ran.
func TestConnectionFaults(t *testing.T) {
	for _, tt := range testkit.ConnectionFaults() {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			v := start(t, fast("e"))
			v.join(1, 1, 0)
			v.SetFaults(Faults{Stages: tt.Stages})
			_, err := content(v.chat(within(t), "r", prompt("x", 8, false)))
			is.True(err != nil)
			is.Equal(v.Executions("r"), tt.Runs)
			body := prompt("x", 8, false)
			got, err := content(v.chat(within(t), "again", body))
			is.NoErr(err)
			is.Equal(got, strings.Join(ExpectedTokens([]byte(body)), ""))
		})
	}
}

// A stalled process answers nothing, and goes on as if nothing had happened.
func TestStall(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	v.join(1, 1, 0)
	v.SetFaults(Faults{Stall: true})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := v.client.State(ctx, v.addr)
	is.True(err != nil)
	done := make(chan *events, 1)
	body := prompt("x", 4, true)
	go func() { done <- readEvents(v.chat(context.Background(), "r", body)) }()
	v.SetFaults(Faults{})
	got := <-done
	is.True(got.whole())
	is.Equal(got.tokens, ExpectedTokens([]byte(body)))
}

// The switches work over HTTP, and a restart ordered there begins a new life.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	boot := v.State().Boot
	res, err := v.call(within(t), http.MethodPost, "/faults", `{"straggle":3,"drop_after_run":-1,"restart":true}`)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.True(v.State().Boot != boot)
	is.Equal(v.Faults(), Faults{Straggle: 3, Stages: fault.Stages{DropAfterRun: fault.Always}})
	is.Equal(loadOf(t, v).TokensPerSecond, 5000.0)
	res, err = v.call(within(t), http.MethodPost, "/faults", `{"stragle":3}`)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusBadRequest)
}

// The executions are listed by request id.
func TestExecutionsAreListed(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	v.join(1, 1, 0)
	for range 2 {
		res, err := v.call(within(t), http.MethodPost, "/v1/chat/completions", prompt("x", 1, false),
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
