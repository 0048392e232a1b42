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
	triesOfStream = 40 // after this many a caller gives up
	pauseOfCaller = 100 * time.Millisecond
)

// reading is one stream as its caller reads it, over all its connections.
type reading struct {
	body   string
	tokens []string
	lastID string
	done   bool
	cuts   int             // connections that ended before the answer did
	gaps   []time.Duration // from each cut to the next token
	told   []string        // refusals and error events
	cutAt  time.Time       // of the last cut; zero once tokens came again
	lastAt time.Time       // of the last token
	pause  time.Duration   // the longest between two tokens
	fault  string
}

// client keeps connections apart from those of other experiments.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func chatBody(prompt string, tokens int) string {
	b, err := json.Marshal(engine.ChatRequest{
		Model: "clerk", MaxTokens: tokens, Stream: true, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(b)
}

// readStream asks the targets in turn, from the given one on, until the stream
// is whole: after a cut the next one, with the id of the last event.
func readStream(ctx context.Context, targets []string, first int, body string, onToken func()) *reading {
	s := &reading{body: body}
	for try := range triesOfStream {
		s.ask(ctx, targets[(first+try)%len(targets)], onToken)
		if s.done || s.fault != "" || ctx.Err() != nil {
			break
		}
		time.Sleep(pauseOfCaller)
	}
	return s
}

func (s *reading) ask(ctx context.Context, target string, onToken func()) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", strings.NewReader(s.body))
	if err != nil {
		s.fault = err.Error()
		return
	}
	req.Header.Set("Authorization", "Bearer "+keyA)
	if s.lastID != "" {
		req.Header.Set("Last-Event-ID", s.lastID)
	}
	res, err := client.Do(req)
	if err != nil {
		s.told = append(s.told, "no connection")
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var b outcome.Body
		_ = json.NewDecoder(res.Body).Decode(&b) // an unreadable one is told as such
		s.told = append(s.told, fmt.Sprintf("%d %s %s", res.StatusCode, b.Error.Type, b.Error.Outcome))
		return
	}
	s.read(bufio.NewScanner(res.Body), onToken)
	if !s.done {
		s.cuts++
		s.cutAt = time.Now()
	}
}

func (s *reading) read(lines *bufio.Scanner, onToken func()) {
	event, id := "", ""
	for lines.Scan() {
		name, v, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = v
		case name == "id":
			id = v
		case name == "data" && event == "error":
			s.told = append(s.told, "error event "+v)
		case name == "data" && v == "[DONE]":
			s.done = true
		case name == "data":
			s.chunk(v, onToken)
		case name == "":
			if id != "" {
				s.lastID = id
			}
			event, id = "", ""
		}
	}
}

func (s *reading) chunk(data string, onToken func()) {
	var c engine.ChatChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		s.fault = err.Error()
		return
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta == nil || c.Choices[0].Delta.Content == "" {
		return
	}
	if !s.cutAt.IsZero() {
		s.gaps = append(s.gaps, time.Since(s.cutAt))
		s.cutAt = time.Time{}
	}
	if now := time.Now(); s.lastAt.IsZero() {
		s.lastAt = now
	} else {
		s.pause = max(s.pause, now.Sub(s.lastAt))
		s.lastAt = now
	}
	s.tokens = append(s.tokens, c.Choices[0].Delta.Content)
	onToken()
}

// whole reports whether the answer came to its end with each token once and in
// order.
func (s *reading) whole() bool {
	return s.done && s.fault == "" && slices.Equal(s.tokens, standin.ExpectedTokens([]byte(s.body)))
}

func (s *reading) String() string {
	told := map[string]int{}
	for _, t := range s.told {
		told[t]++
	}
	return fmt.Sprintf("%d of %d tokens, done %t, %d cuts, told %v, fault %q",
		len(s.tokens), len(standin.ExpectedTokens([]byte(s.body))), s.done, s.cuts, told, s.fault)
}
