package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
	standin "chervilloom/internal/standin/engine"
)

const (
	maxStreamAttempts = 40 // limit per stream
	retryInterval     = 100 * time.Millisecond
)

// streamReader reads one stream as a caller does, over one or more connections.
type streamReader struct {
	body          string
	tokens        []string
	lastID        string
	done          bool
	interruptions int             // connections that ended before the response was complete
	gaps          []time.Duration // from each interruption to the next token
	errors        []string        // refusals, connection errors and error events
	interruptedAt time.Time       // time of the last interruption; zero once tokens arrive again
	lastTokenAt   time.Time
	longestPause  time.Duration // longest time between two tokens
	failure       string
}

// client doesn't share connections with other HTTP clients.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// chatBody returns a streamed chat request.
func chatBody(prompt string, tokens int) string {
	b, err := json.Marshal(engine.ChatRequest{
		Model: "clerk", MaxTokens: tokens, Stream: true, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(b)
}

// readStream requests a stream from the targets in turn, starting at the given
// one, until it is complete. After an interruption it resumes at the next
// target with the id of the last event.
func readStream(ctx context.Context, targets []string, first int, body string, onToken func()) *streamReader {
	s := &streamReader{body: body}
	for try := range maxStreamAttempts {
		s.request(ctx, targets[(first+try)%len(targets)], onToken)
		if s.done || s.failure != "" || ctx.Err() != nil {
			break
		}
		time.Sleep(retryInterval)
	}
	return s
}

// request sends one request for the stream or its rest, and reads the response.
func (s *streamReader) request(ctx context.Context, target string, onToken func()) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", strings.NewReader(s.body))
	if err != nil {
		s.failure = err.Error()
		return
	}
	req.Header.Set("Authorization", "Bearer "+keyA)
	if s.lastID != "" {
		req.Header.Set("Last-Event-ID", s.lastID)
	}
	res, err := client.Do(req)
	if err != nil {
		s.errors = append(s.errors, "connection failed")
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var b outcome.Body
		_ = json.NewDecoder(res.Body).Decode(&b) // an undecodable body is recorded with empty fields
		s.errors = append(s.errors, fmt.Sprintf("%d %s %s", res.StatusCode, b.Error.Type, b.Error.Outcome))
		return
	}
	s.readEvents(bufio.NewScanner(res.Body), onToken)
	if !s.done {
		s.interruptions++
		s.interruptedAt = time.Now()
	}
}

// readEvents reads server-sent events until the connection ends.
func (s *streamReader) readEvents(lines *bufio.Scanner, onToken func()) {
	event, id := "", ""
	for lines.Scan() {
		name, v, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = v
		case name == "id":
			id = v
		case name == "data" && event == "error":
			s.errors = append(s.errors, "error event "+v)
		case name == "data" && v == "[DONE]":
			s.done = true
		case name == "data":
			s.addChunk(v, onToken)
		case name == "":
			if id != "" {
				s.lastID = id
			}
			event, id = "", ""
		}
	}
}

// addChunk records the token of a chunk, and the time since the previous one.
func (s *streamReader) addChunk(data string, onToken func()) {
	var c engine.ChatChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		s.failure = err.Error()
		return
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta == nil || c.Choices[0].Delta.Content == "" {
		return
	}
	if !s.interruptedAt.IsZero() {
		s.gaps = append(s.gaps, time.Since(s.interruptedAt))
		s.interruptedAt = time.Time{}
	}
	if now := time.Now(); s.lastTokenAt.IsZero() {
		s.lastTokenAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastTokenAt))
		s.lastTokenAt = now
	}
	s.tokens = append(s.tokens, c.Choices[0].Delta.Content)
	onToken()
}

// isComplete reports whether the response ended normally with each token once
// and in order.
func (s *streamReader) isComplete() bool {
	return s.done && s.failure == "" && slices.Equal(s.tokens, standin.ExpectedTokens([]byte(s.body)))
}

func (s *streamReader) String() string {
	counts := map[string]int{}
	for _, t := range s.errors {
		counts[t]++
	}
	return fmt.Sprintf("%d of %d tokens, done %t, %d interruptions, errors %v, failure %q",
		len(s.tokens), len(standin.ExpectedTokens([]byte(s.body))), s.done, s.interruptions, counts, s.failure)
}
