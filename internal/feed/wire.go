package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilloom/internal/clock"
)

// path is where nodes ask each other.
const path = "/state"

// maxState bounds an answer, in bytes: 600 endpoints and a configuration of
// 2,000 routes take 1 MB.
const maxState = 16 << 20

// Server answers other nodes.
type Server struct {
	Source  Source
	Journal *Journal
	Clock   clock.Clock
	Log     *slog.Logger
	// Serving reports whether this node reads the store itself; one that asks
	// another node would only hand on what is older.
	Serving func() bool
	// Hear is told of each question; nil: nobody.
	Hear func(Question)

	mu      sync.Mutex
	answers map[answerKey][]byte
	newest  knowledge // what the kept answers lead to
}

// ServeHTTP answers one question.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path || !s.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var q Question
	if err := json.NewDecoder(io.LimitReader(r.Body, maxState)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Hear != nil {
		s.Hear(q)
	}
	body, ages, err := s.answer(q.Have, s.Clock.Now())
	if err != nil {
		s.Log.Error("state not encoded", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set(headerConfigAge, ages.Config.String())
	w.Header().Set(headerRosterAge, ages.Roster.String())
	_, _ = w.Write(body) // an asker that left asks again
}

// The headers of an answer's ages, as Go durations.
const (
	headerConfigAge = "Chervilloom-Config-Age"
	headerRosterAge = "Chervilloom-Endpoints-Age"
)

// answerKey names an answer: what the asker has, and what the answering node knows.
type answerKey struct {
	have  Have
	known knowledge
}

// answer returns the answer's bytes. Askers of a zone mostly know the same, and after a
// start all of them ask for everything within a second: one answer is made at a time, and
// kept for the others. Made for each asker at once, the states would fill a small node's
// memory.
func (s *Server) answer(have Have, now clock.Instant) ([]byte, Ages, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ages := look(s.Source, s.Journal, now)
	key := answerKey{have, known}
	if body, ok := s.answers[key]; ok {
		return body, ages, nil
	}
	state := known.since(s.Journal, have)
	body, err := encode(&state)
	if err != nil {
		return nil, ages, err
	}
	if s.newest != known || len(s.answers) >= keptAnswers {
		s.answers, s.newest = map[answerKey][]byte{}, known
	}
	s.answers[key] = body
	return body, ages, nil
}

func encode(state *State) ([]byte, error) {
	var buf bytes.Buffer
	zip, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(zip).Encode(state); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// keptAnswers bounds the answers that are kept; all of them lead to the newest
// state.
const keptAnswers = 16

// Client asks other nodes.
type Client struct{ client *http.Client }

// NewClient returns a client that keeps its connection between questions.
func NewClient() *Client {
	const (
		dialTimeout = 300 * time.Millisecond
		keepAlive   = 2 * time.Second
	)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}}
}

// Ask asks the node at addr, ip:port.
func (c *Client) Ask(ctx context.Context, addr string, q Question) (*State, Ages, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, Ages{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, Ages{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, Ages{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Ages{}, fmt.Errorf("feed: node %s answered %d; it doesn't read the store itself", addr, resp.StatusCode)
	}
	ages, err := readAges(resp.Header)
	if err != nil {
		return nil, Ages{}, fmt.Errorf("feed: answer of node %s has no ages: %w", addr, err)
	}
	zip, err := gzip.NewReader(io.LimitReader(resp.Body, maxState))
	if err != nil {
		return nil, Ages{}, fmt.Errorf("feed: answer of node %s: %w", addr, err)
	}
	var s State
	if err := json.NewDecoder(io.LimitReader(zip, maxState)).Decode(&s); err != nil {
		return nil, Ages{}, fmt.Errorf("feed: answer of node %s: %w", addr, err)
	}
	return &s, ages, nil
}

// readAges fails where an age is missing: taken for zero, it would make old keys
// pass as fresh.
func readAges(h http.Header) (Ages, error) {
	config, err := time.ParseDuration(h.Get(headerConfigAge))
	if err != nil {
		return Ages{}, err
	}
	list, err := time.ParseDuration(h.Get(headerRosterAge))
	return Ages{Config: config, Roster: list}, err
}
