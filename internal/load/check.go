package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
)

// The outcomes of a request, besides the kinds of refusal.
const (
	outcomeWhole     = "whole"     // answered, and the answer is what it should be
	outcomeWrong     = "wrong"     // answered whole, but not with what was asked for
	outcomeCut       = "cut"       // the answer began and did not end
	outcomeTransport = "transport" // no answer: the connection failed
	outcomeTimeout   = "timeout"   // no whole answer within the plan's timeout
	outcomeNotSent   = "not sent"  // too many were in flight
)

const (
	doneMarker = "[DONE]"
	maxEvent   = 1 << 20 // bytes of one line of a stream
)

// read takes an answer and checks it.
func (c *client) read(ctx context.Context, resp *http.Response, s *shot, intended time.Time) result {
	k := &c.plan.Requests[s.request]
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(ctx, resp.Body, k, fill(k.Contains, s), intended)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	r := result{total: time.Since(intended)}
	if err != nil {
		return cut(ctx, r, err.Error())
	}
	r.outcome = outcomeWhole
	if k.Type == TypeChat {
		r.checkChat(data, k)
	}
	r.checkContains(string(data), fill(k.Contains, s))
	return r
}

func cut(ctx context.Context, r result, detail string) result {
	r.outcome, r.detail = outcomeCut, detail
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome = outcomeTimeout
	}
	return r
}

func (r *result) wrong(format string, args ...any) {
	r.outcome, r.detail = outcomeWrong, fmt.Sprintf(format, args...)
}

func (r *result) checkChat(data []byte, k *Request) {
	var a engine.ChatAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		r.wrong("the answer is not a chat answer: %v", err)
		return
	}
	if k.Stream {
		r.wrong("a stream was asked for")
		return
	}
	r.tokens = a.Usage.CompletionTokens
	r.checkTokens(k)
	if len(a.Choices) == 0 || a.Choices[0].Message == nil || a.Choices[0].FinishReason == nil {
		r.wrong("the answer has no message or no finish reason")
	}
}

func (r *result) checkTokens(k *Request) {
	if r.tokens < 1 || r.tokens > k.MaxTokens {
		r.wrong("%d tokens where 1 to %d were asked for", r.tokens, k.MaxTokens)
	}
}

func (r *result) checkContains(text, want string) {
	if r.outcome == outcomeWhole && !strings.Contains(text, want) {
		r.wrong("the answer does not contain %q", want)
	}
}

// stream is the state of a stream that is read.
type stream struct {
	result
	kind     *Request
	intended time.Time
	last     time.Time // of the last token
	text     strings.Builder
	usage    *engine.Usage
	finished bool // the last chunk has come
	done     bool // the end marker has come
	fault    string
}

// readStream takes server-sent events until the end marker. A stream that ends
// without it is cut, also when the connection ends cleanly.
func readStream(ctx context.Context, body io.Reader, k *Request, contains string, intended time.Time) result {
	s := &stream{kind: k, intended: intended}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	event, data := "", []string(nil)
	for lines.Scan() {
		if lines.Text() == "" { // ends an event; one that is cut within is none
			if data != nil {
				s.data(event, strings.Join(data, "\n"))
			}
			event, data = "", nil
			continue
		}
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			event = value
		case "data":
			data = append(data, value)
		}
	}
	s.total = time.Since(intended)
	if s.fault != "" {
		s.wrong("%s", s.fault)
		return s.result
	}
	if !s.done {
		detail := "the stream ended without " + doneMarker
		if err := lines.Err(); err != nil {
			detail += ": " + err.Error()
		}
		if s.detail != "" {
			detail = s.detail
		}
		return cut(ctx, s.result, detail)
	}
	s.outcome = outcomeWhole
	s.checkEnd()
	s.checkContains(s.text.String(), contains)
	return s.result
}

// data takes the data of one event.
func (s *stream) data(event, value string) {
	switch {
	case s.done:
		s.fault = "data came after " + doneMarker
	case value == doneMarker:
		s.done = true
	case event == "error":
		s.cutWith(value)
	default:
		s.chunk(value)
	}
}

// cutWith keeps why the system says that the stream ends early.
func (s *stream) cutWith(value string) {
	var body outcome.Body
	if err := json.Unmarshal([]byte(value), &body); err != nil {
		s.detail = "an error that cannot be read"
		return
	}
	s.detail = fmt.Sprintf("%s (%s): %s", body.Error.Type, body.Error.Outcome, body.Error.Message)
}

func (s *stream) chunk(value string) {
	var c engine.ChatChunk
	if err := json.Unmarshal([]byte(value), &c); err != nil {
		s.fault = "an event that is not a chat chunk"
		return
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return
	}
	choice := &c.Choices[0]
	if choice.Delta != nil && choice.Delta.Content != "" {
		s.token(choice.Delta.Content)
	}
	if choice.FinishReason != nil {
		s.finished = true
	}
}

func (s *stream) token(text string) {
	now := time.Now()
	if s.finished {
		s.fault = "a token came after the last one"
	}
	if s.tokens == 0 {
		s.first = now.Sub(s.intended)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last))
	}
	s.last = now
	s.tokens++
	s.text.WriteString(text)
}

// checkEnd holds the number of tokens against what the stream announced and
// what was asked for.
func (s *stream) checkEnd() {
	switch {
	case !s.finished:
		s.wrong("%s came without a finish reason", doneMarker)
	case s.usage != nil && s.usage.CompletionTokens != s.tokens:
		s.wrong("%d tokens came where the stream announced %d", s.tokens, s.usage.CompletionTokens)
	default:
		s.checkTokens(s.kind)
	}
}
