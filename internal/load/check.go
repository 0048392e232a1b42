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

// Outcomes of a request, in addition to the types of error responses.
const (
	outcomeWhole     = "whole"     // complete answer that passed all checks
	outcomeWrong     = "wrong"     // complete answer that failed a check
	outcomeCut       = "cut"       // the answer started but is incomplete
	outcomeTransport = "transport" // no answer because the connection failed
	outcomeTimeout   = "timeout"   // no complete answer within the plan's timeout
	outcomeNotSent   = "not sent"  // the in-flight limit was reached
)

const (
	endMarker    = "[DONE]"
	maxLineBytes = 1 << 20 // bytes per line of a stream
)

// readAnswer reads a successful response to its end and checks it against the request.
func (c *client) readAnswer(ctx context.Context, resp *http.Response, s *scheduledRequest, intended time.Time) result {
	k := &c.plan.Requests[s.kindIndex]
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(ctx, resp.Body, k, expandTemplate(k.Contains, s), intended)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	r := result{totalLatency: time.Since(intended)}
	if err != nil {
		return cutResult(ctx, r, err.Error())
	}
	r.outcome = outcomeWhole
	if k.Type == TypeChat {
		r.checkChat(data, k)
	}
	r.checkContains(string(data), expandTemplate(k.Contains, s))
	return r
}

// cutResult sets the outcome of an incomplete answer: a timeout if ctx exceeded its
// deadline, a cut otherwise.
func cutResult(ctx context.Context, r result, detail string) result {
	r.outcome, r.detail = outcomeCut, detail
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome = outcomeTimeout
	}
	return r
}

func (r *result) markWrong(format string, args ...any) {
	r.outcome, r.detail = outcomeWrong, fmt.Sprintf(format, args...)
}

func (r *result) checkChat(data []byte, k *Request) {
	var a engine.ChatAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		r.markWrong("the answer is not a chat completion: %v", err)
		return
	}
	if k.Stream {
		r.markWrong("got a chat completion, want a stream")
		return
	}
	r.tokens = a.Usage.CompletionTokens
	r.checkTokens(k)
	if len(a.Choices) == 0 || a.Choices[0].Message == nil || a.Choices[0].FinishReason == nil {
		r.markWrong("the answer has no message or no finish reason")
	}
}

func (r *result) checkTokens(k *Request) {
	if r.tokens < 1 || r.tokens > k.MaxTokens {
		r.markWrong("got %d tokens, want 1 to %d", r.tokens, k.MaxTokens)
	}
}

func (r *result) checkContains(text, want string) {
	if r.outcome == outcomeWhole && !strings.Contains(text, want) {
		r.markWrong("the answer does not contain %q", want)
	}
}

// stream is the state of reading one event stream.
type stream struct {
	result
	kind             *Request
	intended         time.Time // intended start of the request
	lastTokenAt      time.Time // arrival of the latest token
	text             strings.Builder
	usage            *engine.Usage
	finishReasonSeen bool   // a chunk with a finish reason was received
	endMarkerSeen    bool   // the end marker was received
	violation        string // protocol violation; empty: none
}

// readStream reads server-sent events to the end of the body. A stream without
// the end marker is cut even if the connection was closed cleanly.
func readStream(ctx context.Context, body io.Reader, k *Request, contains string, intended time.Time) result {
	s := &stream{kind: k, intended: intended}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	event, data := "", []string(nil)
	for lines.Scan() {
		if lines.Text() == "" { // end of an event; an incomplete event is dropped
			if data != nil {
				s.handleData(event, strings.Join(data, "\n"))
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
	s.totalLatency = time.Since(intended)
	if s.violation != "" {
		s.markWrong("%s", s.violation)
		return s.result
	}
	if !s.endMarkerSeen {
		detail := "the stream ended without " + endMarker
		if err := lines.Err(); err != nil {
			detail += ": " + err.Error()
		}
		if s.detail != "" {
			detail = s.detail
		}
		return cutResult(ctx, s.result, detail)
	}
	s.outcome = outcomeWhole
	s.checkCompletion()
	s.checkContains(s.text.String(), contains)
	return s.result
}

// handleData processes the data of one event.
func (s *stream) handleData(event, value string) {
	switch {
	case s.endMarkerSeen:
		s.violation = "data after " + endMarker
	case value == endMarker:
		s.endMarkerSeen = true
	case event == "error":
		s.recordErrorEvent(value)
	default:
		s.handleChunk(value)
	}
}

// recordErrorEvent stores the reason from an error event as the detail of the cut.
func (s *stream) recordErrorEvent(value string) {
	var body outcome.Body
	if err := json.Unmarshal([]byte(value), &body); err != nil {
		s.detail = "unreadable error event"
		return
	}
	s.detail = fmt.Sprintf("%s (%s): %s", body.Error.Type, body.Error.Outcome, body.Error.Message)
}

// handleChunk processes one chat completion chunk.
func (s *stream) handleChunk(value string) {
	var c engine.ChatChunk
	if err := json.Unmarshal([]byte(value), &c); err != nil {
		s.violation = "an event is not a chat completion chunk"
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
		s.recordToken(choice.Delta.Content)
	}
	if choice.FinishReason != nil {
		s.finishReasonSeen = true
	}
}

// recordToken records the arrival time and the text of a token.
func (s *stream) recordToken(text string) {
	now := time.Now()
	if s.finishReasonSeen {
		s.violation = "a token after the finish reason"
	}
	if s.tokens == 0 {
		s.firstTokenLatency = now.Sub(s.intended)
	} else {
		s.tokenGaps = append(s.tokenGaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.tokens++
	s.text.WriteString(text)
}

// checkCompletion checks for a finish reason and compares the number of tokens with the
// stream's usage and with the requested maximum.
func (s *stream) checkCompletion() {
	switch {
	case !s.finishReasonSeen:
		s.markWrong("%s without a finish reason", endMarker)
	case s.usage != nil && s.usage.CompletionTokens != s.tokens:
		s.markWrong("got %d tokens, the usage of the stream reports %d", s.tokens, s.usage.CompletionTokens)
	default:
		s.checkTokens(s.kind)
	}
}
