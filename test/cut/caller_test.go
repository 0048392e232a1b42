package cut

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/service"
)

// callResult is the response to one request as the caller received it.
type callResult struct {
	status  int
	header  http.Header
	outcome outcome.Outcome // from the header or the trailer
	body    []byte
	err     error // connection error: no response, or an interrupted one
	kind    outcome.Kind
	tokens  []string // of a chat response
	lastID  string   // of the last stream event with an id
	done    bool     // the stream ended with its end marker
}

// isComplete reports whether a caller would accept the response as complete.
func (a callResult) isComplete() bool { return a.err == nil && a.status == http.StatusOK }

func (a callResult) String() string {
	return fmt.Sprintf("status %d, outcome %q, kind %q, %d tokens, done %t, error %v, body %.300q",
		a.status, a.outcome, a.kind, len(a.tokens), a.done, a.err, a.body)
}

// callerClient is the HTTP client shared by all callers. It adds no redirects
// or retries to those of net/http.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// send sends one request and reads the entire response.
func send(ctx context.Context, method, url, body string, header map[string]string, onData func()) callResult {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.GetBody = nil // prevents net/http from resending the body: the tests count executions
	res, err := callerClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer res.Body.Close()
	a := callResult{status: res.StatusCode, header: res.Header}
	var content bytes.Buffer
	r := bufio.NewReader(res.Body)
	for err == nil {
		var line []byte
		line, err = r.ReadBytes('\n')
		content.Write(line)
		if onData != nil && bytes.HasPrefix(line, []byte("data: ")) {
			onData()
		}
	}
	if err != io.EOF {
		a.err = err
	}
	a.body = content.Bytes()
	a.outcome = outcome.Outcome(res.Header.Get(outcome.Header))
	if a.outcome == "" {
		a.outcome = outcome.Outcome(res.Trailer.Get(outcome.Header))
	}
	a.parseErrorKind()
	return a
}

// parseErrorKind reads the error kind, and the outcome if it is still unset,
// from an error body or from the error event of a stream.
func (a *callResult) parseErrorKind() {
	text := a.body
	if i := bytes.Index(text, []byte("event: error\ndata: ")); i >= 0 {
		text, _, _ = bytes.Cut(text[i+len("event: error\ndata: "):], []byte("\n"))
	}
	var b outcome.Body
	if json.Unmarshal(text, &b) != nil {
		return
	}
	a.kind = b.Error.Type
	if a.outcome == "" {
		a.outcome = b.Error.Outcome
	}
}

// chatBody returns a chat request; each prompt has a different expected
// response.
func chatBody(prompt string, tokens int, stream bool) string {
	b, err := json.Marshal(engine.ChatRequest{
		Model: "clerk", MaxTokens: tokens, Stream: stream,
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(b)
}

// chat sends a chat request to a node.
func (n *node) chat(ctx context.Context, body string, header map[string]string, onToken func()) callResult {
	a := send(ctx, http.MethodPost, "http://"+n.caller+"/v1/chat/completions", body, header, onToken)
	a.parseTokens()
	return a
}

// parseTokens reads the tokens and the end marker from a chat response.
func (a *callResult) parseTokens() {
	if !strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream") {
		var answer engine.ChatAnswer
		if json.Unmarshal(a.body, &answer) == nil && len(answer.Choices) > 0 && answer.Choices[0].Message != nil {
			a.tokens, a.done = []string{answer.Choices[0].Message.Content}, true
		}
		return
	}
	for line := range strings.Lines(string(a.body)) {
		if id, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id: "); ok {
			a.lastID = id
		}
		data, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if data == "[DONE]" {
			a.done = true
		}
		var c engine.ChatChunk
		if !ok || json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		if d := c.Choices[0].Delta; d != nil && d.Content != "" {
			a.tokens = append(a.tokens, d.Content)
		}
	}
}

// checkChat validates a chat response. A complete response must contain exactly
// the expected tokens, a truncated one a prefix of them and an error event, and
// a refusal an outcome and a kind.
func checkChat(body string, a callResult) error {
	want := standin.ExpectedTokens([]byte(body))
	switch {
	case a.done && a.err == nil && a.status == http.StatusOK:
		if strings.Join(a.tokens, "") != strings.Join(want, "") {
			return fmt.Errorf("complete response belongs to another request or lacks tokens: %v", a)
		}
		if a.outcome != outcome.Ran {
			return fmt.Errorf("complete response has outcome %q", a.outcome)
		}
		return nil
	case a.status == http.StatusOK:
		return checkTruncatedAnswer(want, a)
	case a.status == 0:
		return fmt.Errorf("no response: %v", a.err)
	case a.outcome == "" || a.kind == "":
		return fmt.Errorf("failure without outcome or kind: %v", a)
	}
	return nil
}

// checkTruncatedAnswer validates a stream that ended before its end marker.
func checkTruncatedAnswer(want []string, a callResult) error {
	if a.done || a.err == nil {
		return fmt.Errorf("truncated response looks complete: %v", a)
	}
	if a.kind == "" {
		return fmt.Errorf("truncated response without an error event: %v", a)
	}
	if len(a.tokens) > len(want) {
		return fmt.Errorf("more tokens than expected: %v", a)
	}
	for i, tok := range a.tokens {
		if tok != want[i] {
			return fmt.Errorf("token %d is %q, want %q", i, tok, want[i])
		}
	}
	return nil
}

// call sends a request for a plain service to a node.
func (n *node) call(ctx context.Context, service, method, path, body string, header map[string]string) callResult {
	return send(ctx, method, "http://"+n.caller+"/services/"+service+path, body, header, nil)
}

// checkCall validates a response of the plain service.
func checkCall(method, path, body string, a callResult) error {
	if !a.isComplete() {
		if a.status != 0 && (a.outcome == "" || a.kind == "") {
			return fmt.Errorf("failure without outcome or kind: %v", a)
		}
		return nil
	}
	var got service.Answer
	if err := json.Unmarshal(a.body, &got); err != nil {
		return fmt.Errorf("response is incomplete: %w: %v", err, a)
	}
	if got.Check != service.Checksum(method, path, []byte(body)) {
		return fmt.Errorf("response belongs to another request: %v", a)
	}
	return nil
}

// postJSON sends v to a control path of a stand-in.
func postJSON(t *testing.T, addr, path string, v any) {
	t.Helper()
	b, err := json.Marshal(v)
	must(t, err)
	res, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader(b))
	must(t, err)
	defer res.Body.Close()
	out, _ := io.ReadAll(res.Body)
	if res.StatusCode/100 != 2 {
		t.Fatalf("POST %s%s %s: %s %s", addr, path, b, res.Status, out)
	}
}

// setFaults sets the given faults of a stand-in; other faults are unchanged.
func setFaults(t *testing.T, addr string, set map[string]any) {
	t.Helper()
	postJSON(t, addr, "/faults", set)
}

// getJSON reads JSON from a stand-in into v.
func getJSON(t *testing.T, addr, path string, v any) {
	t.Helper()
	res, err := http.Get("http://" + addr + path)
	must(t, err)
	defer res.Body.Close()
	must(t, json.NewDecoder(res.Body).Decode(v))
}

// executions returns how often each request ran at the endpoint, by request id.
func (e *endpoint) executions(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	getJSON(t, e.addr, "/executions", &counts)
	return counts
}

// countExecutions sums the executions whose id contains text.
func (e *endpoint) countExecutions(t *testing.T, text string) int {
	t.Helper()
	n := 0
	for id, c := range e.executions(t) {
		if strings.Contains(id, text) {
			n += c
		}
	}
	return n
}
