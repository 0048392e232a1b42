package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// vm is a stand-in that listens, with a client for its control calls.
type vm struct {
	*Engine
	addr   string
	client *engine.Client
	http   *http.Client
	t      *testing.T
}

// fast are options under which nothing takes long.
func fast(name string) Options {
	return Options{
		VM: fleet.VM(name), TokensPerSecond: 5000, PrefillTokensPerSecond: 1e6,
		LoadTime: Immediately, LoadLag: Immediately, CacheEventLag: Immediately,
	}
}

func start(t *testing.T, o Options) *vm {
	t.Helper()
	e := New(o)
	srv := httptest.NewServer(e)
	v := &vm{
		Engine: e, addr: srv.Listener.Addr().String(), t: t,
		client: engine.NewClient(engine.WithTimeout(testTime)),
		http:   &http.Client{Transport: &http.Transport{}},
	}
	t.Cleanup(func() {
		e.Close()
		srv.CloseClientConnections()
		srv.Close()
		v.client.Close()
		v.http.CloseIdleConnections()
	})
	return v
}

const testTime = testkit.Patience

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	return ctx
}

// join orders the VM into generation g of group "g".
func (v *vm) join(g fleet.Generation, fence fleet.Fence, rank int, peers ...string) {
	v.t.Helper()
	if len(peers) == 0 {
		peers = []string{v.addr}
	}
	_, err := v.client.Order(context.Background(), v.addr, engine.Order{
		Verb: engine.VerbJoin, Fence: fence, Boot: v.State().Boot, Group: "g", Generation: g,
		Rank: rank, Model: "m", Version: "1", Adapters: []string{"a"}, Peers: peers,
	})
	if err != nil {
		v.t.Fatal(err)
	}
}

func prompt(text string, tokens int, stream bool) string {
	b, err := json.Marshal(engine.ChatRequest{
		Model: "m", Messages: []engine.Message{{Role: "user", Content: text}}, MaxTokens: tokens, Stream: stream,
	})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// call is a request to the VM with headers in pairs.
func (v *vm) call(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.addr+path, strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return v.http.Do(req)
}

// chat sends a chat request to generation 1 under the given id, which is also
// the id of its stream.
func (v *vm) chat(ctx context.Context, id, body string) (*http.Response, error) {
	return v.call(ctx, http.MethodPost, "/v1/chat/completions", body,
		engine.HeaderGeneration, "g/1", engine.HeaderStream, id, "X-Request-Id", id)
}

// content returns the text of a whole answer.
func content(res *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return "", err
	}
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", res.StatusCode, b)
	}
	var a engine.ChatAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return "", err
	}
	return a.Choices[0].Message.Content, nil
}

// events is what a reader got of a stream.
type events struct {
	ids    []string
	tokens []string
	usage  *engine.Usage // of the event with the finish reason
	done   bool
	err    error // nil after a clean end of the connection
}

// whole reports whether all tokens and the end marker came.
func (e *events) whole() bool { return e.done && e.usage != nil }

func readEvents(res *http.Response, err error) *events {
	e := &events{err: err}
	if err != nil {
		return e
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		e.err = fmt.Errorf("status %d", res.StatusCode)
		return e
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		e.line(lines.Text())
	}
	e.err = errors.Join(e.err, lines.Err())
	return e
}

func (e *events) line(line string) {
	field, value, _ := strings.Cut(line, ": ")
	switch {
	case field == "id":
		e.ids = append(e.ids, value)
	case field == "data" && value == "[DONE]":
		e.done = true
	case field == "data":
		var c engine.ChatChunk
		if err := json.Unmarshal([]byte(value), &c); err != nil {
			e.err = err
			return
		}
		if c.Choices[0].FinishReason != nil {
			e.usage = c.Usage
			return
		}
		e.tokens = append(e.tokens, c.Choices[0].Delta.Content)
	}
}
