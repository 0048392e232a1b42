package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
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
}

// ServeHTTP answers one question.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path || !s.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var have Have
	if err := json.NewDecoder(io.LimitReader(r.Body, maxState)).Decode(&have); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(Answer(s.Source, s.Journal, have, s.Clock.Now()))
	if err != nil {
		s.Log.Error("state not encoded", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // an asker that left asks again
}

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
func (c *Client) Ask(ctx context.Context, addr string, have Have) (*State, error) {
	body, err := json.Marshal(have)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("feed: node %s answered %d; it doesn't read the store itself", addr, resp.StatusCode)
	}
	var s State
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s); err != nil {
		return nil, fmt.Errorf("feed: answer of node %s: %w", addr, err)
	}
	return &s, nil
}
