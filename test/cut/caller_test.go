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

// told is what a caller is told of one request.
type callResult struct {
	status  int
	header  http.Header
	outcome outcome.Outcome // of the header, or of the trailer
	body    []byte
	err     error // of the connection: no answer, or one that was cut
	kind    outcome.Kind
	tokens  []string // of a chat answer
	lastID  string   // of the last event of a stream that has one
	done    bool     // the stream had its end marker
}

// whole reports whether a caller would take it for a whole answer.
func (a callResult) isComplete() bool { return a.err == nil && a.status == http.StatusOK }

func (a callResult) String() string {
	return fmt.Sprintf("status %d, outcome %q, kind %q, %d tokens, done %t, error %v, body %.300q",
		a.status, a.outcome, a.kind, len(a.tokens), a.done, a.err, a.body)
}

// callerClient is the client of all callers; it does not follow or resend anything
// by itself that net/http would not.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// send sends one request and reads its whole answer.
func send(ctx context.Context, method, url, body string, header map[string]string, onData func()) callResult {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.GetBody = nil // net/http must not send a body twice: the tests count runs
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

// parseErrorKind reads the kind of an error answer, or of the error event of a
// stream.
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

// chatBody returns a chat request whose answer no other prompt has.
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

// checkChat returns what is wrong with an answer: a whole one must be the
// request's own to the last token, a cut one must be its beginning and told as
// cut, and a refusal must name its outcome.
func checkChat(body string, a callResult) error {
	want := standin.ExpectedTokens([]byte(body))
	switch {
	case a.done && a.err == nil && a.status == http.StatusOK:
		if strings.Join(a.tokens, "") != strings.Join(want, "") {
			return fmt.Errorf("whole answer of another request or with tokens missing: %v", a)
		}
		if a.outcome != outcome.Ran {
			return fmt.Errorf("whole answer told as %q", a.outcome)
		}
		return nil
	case a.status == http.StatusOK:
		return checkTruncatedAnswer(want, a)
	case a.status == 0:
		return fmt.Errorf("no answer at all: %v", a.err)
	case a.outcome == "" || a.kind == "":
		return fmt.Errorf("failure without outcome or kind: %v", a)
	}
	return nil
}

func checkTruncatedAnswer(want []string, a callResult) error {
	if a.done || a.err == nil {
		return fmt.Errorf("cut answer that looks whole: %v", a)
	}
	if a.kind == "" {
		return fmt.Errorf("cut answer without an error event: %v", a)
	}
	if len(a.tokens) > len(want) {
		return fmt.Errorf("more tokens than the answer has: %v", a)
	}
	for i, tok := range a.tokens {
		if tok != want[i] {
			return fmt.Errorf("token %d is %q, want %q", i, tok, want[i])
		}
	}
	return nil
}

// call sends a call of a plain service to a node.
func (n *node) call(ctx context.Context, service, method, path, body string, header map[string]string) callResult {
	return send(ctx, method, "http://"+n.caller+"/services/"+service+path, body, header, nil)
}

// checkCall returns what is wrong with an answer of the plain service.
func checkCall(method, path, body string, a callResult) error {
	if !a.isComplete() {
		if a.status != 0 && (a.outcome == "" || a.kind == "") {
			return fmt.Errorf("failure without outcome or kind: %v", a)
		}
		return nil
	}
	var got service.Answer
	if err := json.Unmarshal(a.body, &got); err != nil {
		return fmt.Errorf("answer is not whole: %w: %v", err, a)
	}
	if got.Check != service.CheckOf(method, path, []byte(body)) {
		return fmt.Errorf("answer of another request: %v", a)
	}
	return nil
}

// postJSON sends v to a stand-in's control path.
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

// setFaults sets faults of a stand-in; those left out stay.
func setFaults(t *testing.T, addr string, set map[string]any) {
	t.Helper()
	postJSON(t, addr, "/faults", set)
}

// getJSON reads JSON from a stand-in.
func getJSON(t *testing.T, addr, path string, v any) {
	t.Helper()
	res, err := http.Get("http://" + addr + path)
	must(t, err)
	defer res.Body.Close()
	must(t, json.NewDecoder(res.Body).Decode(v))
}

// executions returns the counts of what ran at an endpoint.
func (e *endpoint) executions(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	getJSON(t, e.addr, "/executions", &counts)
	return counts
}

// countExecutions sums the executions whose id holds text.
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
