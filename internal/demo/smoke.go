package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/service"
)

// SmokeResult is the response to one request of the smoke test.
type SmokeResult struct {
	Name    string
	Status  int
	Outcome string
	Text    string
	Err     error // why the answer is missing, incomplete or not the expected one; or nil
}

// smokeCall is one request of the smoke test and the check for its answer.
type smokeCall struct {
	name, method, path, body string
	header                   map[string]string
	check                    func(body []byte) (text string, err error)
}

// RunSmokeTest sends one request of each kind through the last node, whose availability
// zone has no engines, and checks every answer.
func (f *Fleet) RunSmokeTest(ctx context.Context) []SmokeResult {
	base := "http://" + f.Nodes[len(f.Nodes)-1].Addrs().Caller
	var out []SmokeResult
	for _, c := range smokeCalls() {
		out = append(out, c.send(ctx, base))
	}
	return out
}

func smokeCalls() []smokeCall {
	chat := `{"model":"clerk","messages":[{"role":"user","content":"Summarise the renewal file 17."}],"max_tokens":12%s}`
	stream := fmt.Sprintf(chat, `,"stream":true`)
	plain := fmt.Sprintf(chat, "")
	return []smokeCall{
		{"chat, streamed", "POST", "/v1/chat/completions", stream, nil,
			func(b []byte) (string, error) { return checkStream([]byte(stream), b) }},
		{"chat, whole", "POST", "/v1/chat/completions", plain, nil,
			func(b []byte) (string, error) { return checkChat([]byte(plain), b) }},
		{"lookup", "GET", "/services/" + ServiceName + "/licences/17", "", nil, checkService("GET", "/licences/17", "")},
		{"receipt", "POST", "/services/" + ServiceName + "/receipts", `{"fee":1500}`,
			map[string]string{"Idempotency-Key": "receipt-17"}, checkService("POST", "/receipts", `{"fee":1500}`)},
		{"receipt again", "POST", "/services/" + ServiceName + "/receipts", `{"fee":1500}`,
			map[string]string{"Idempotency-Key": "receipt-17"}, checkService("POST", "/receipts", `{"fee":1500}`)},
	}
}

func (c smokeCall) send(ctx context.Context, base string) SmokeResult {
	a := SmokeResult{Name: c.name}
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path, strings.NewReader(c.body))
	if err != nil {
		return a.withError(err)
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return a.withError(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a.Status, a.Outcome = res.StatusCode, res.Header.Get(outcome.Header)
	if a.Outcome == "" {
		a.Outcome = res.Trailer.Get(outcome.Header)
	}
	if err != nil {
		return a.withError(err)
	}
	if res.StatusCode != http.StatusOK {
		return a.withError(merry.Errorf("%s: %s", res.Status, bytes.TrimSpace(body)))
	}
	a.Text, a.Err = c.check(body)
	return a
}

func (a SmokeResult) withError(err error) SmokeResult {
	a.Err = err
	return a
}

// checkStream compares the tokens with those expected for the request and requires
// the end marker. It returns the text of the answer.
func checkStream(request, body []byte) (string, error) {
	var got []string
	done := false
	for sc := bufio.NewScanner(bytes.NewReader(body)); sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk engine.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil && chunk.Choices[0].Delta.Content != "" {
			got = append(got, chunk.Choices[0].Delta.Content)
		}
	}
	if !done {
		return "", merry.Errorf("the stream has no end marker")
	}
	return compareAnswer(request, strings.Join(got, ""))
}

// checkChat compares the message with the one expected for the request and returns
// it.
func checkChat(request, body []byte) (string, error) {
	var a engine.ChatAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return "", err
	}
	if len(a.Choices) != 1 || a.Choices[0].Message == nil {
		return "", merry.Errorf("the answer has no message")
	}
	return compareAnswer(request, a.Choices[0].Message.Content)
}

func compareAnswer(request []byte, got string) (string, error) {
	want := strings.Join(standin.ExpectedTokens(request), "")
	if got != want {
		return got, merry.Errorf("unexpected answer: want %q", want)
	}
	return got, nil
}

// checkService returns a check that the answer belongs to the given call and that
// the call ran exactly once.
func checkService(method, path, body string) func([]byte) (string, error) {
	return func(b []byte) (string, error) {
		var a service.Answer
		if err := json.Unmarshal(b, &a); err != nil {
			return "", err
		}
		if a.Check != service.Checksum(method, path, []byte(body)) {
			return string(b), merry.Errorf("unexpected answer: the check value is for another request")
		}
		if a.Runs != 1 {
			return string(b), merry.Errorf("the call ran %d times", a.Runs)
		}
		return strings.TrimSpace(string(b)), nil
	}
}
