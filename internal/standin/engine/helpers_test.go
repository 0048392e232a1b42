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

// vm is a stand-in engine served over HTTP, with clients for its control calls and its
// requests.
type vm struct {
	*Engine
	addr   string
	client *engine.Client
	http   *http.Client
	t      *testing.T
}

// fastOptions returns options without loading time and lags, and with fast tokens.
func fastOptions(name string) Options {
	return Options{
		VM: fleet.VM(name), TokensPerSecond: 5000, PrefillTokensPerSecond: 1e6,
		LoadTime: NoDelay, LoadLag: NoDelay, CacheEventLag: NoDelay,
	}
}

func startEngine(t *testing.T, o Options) *vm {
	t.Helper()
	e := New(o)
	srv := httptest.NewServer(e)
	v := &vm{
		Engine: e, addr: srv.Listener.Addr().String(), t: t,
		client: engine.NewClient(engine.WithTimeout(testTimeout)),
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

const testTimeout = testkit.WaitTimeout

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// join sends an order to join generation g of group "g"; the peers default to the VM
// alone.
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

func chatBody(text string, tokens int, stream bool) string {
	b, err := json.Marshal(engine.ChatRequest{
		Model: "m", Messages: []engine.Message{{Role: "user", Content: text}}, MaxTokens: tokens, Stream: stream,
	})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// send sends a request to the VM; headers are pairs of name and value.
func (v *vm) send(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.addr+path, strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return v.http.Do(req)
}

// chat sends a chat request to generation 1 with the given request id, which is also
// the stream id.
func (v *vm) chat(ctx context.Context, id, body string) (*http.Response, error) {
	return v.send(ctx, http.MethodPost, "/v1/chat/completions", body,
		engine.HeaderGeneration, "g/1", engine.HeaderStream, id, "X-Request-Id", id)
}

// answerText returns the text of an answer that is not streamed.
func answerText(res *http.Response, err error) (string, error) {
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

// receivedEvents is the part of a stream that a reader received.
type receivedEvents struct {
	ids    []string
	tokens []string
	usage  *engine.Usage // of the event with the finish reason
	done   bool          // the end marker was received
	err    error         // nil if the response ended regularly
}

// isComplete reports whether the finish reason and the end marker were received.
func (e *receivedEvents) isComplete() bool { return e.done && e.usage != nil }

func readEvents(res *http.Response, err error) *receivedEvents {
	e := &receivedEvents{err: err}
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
		e.parseLine(lines.Text())
	}
	e.err = errors.Join(e.err, lines.Err())
	return e
}

func (e *receivedEvents) parseLine(line string) {
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
