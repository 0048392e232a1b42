package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilloom/internal/clock"
)

// statePath is the HTTP path for polls.
const statePath = "/state"

// maxStateBytes is the maximum size of a response, in bytes: 600 endpoints and a
// configuration of 2,000 routes take 1 MB.
const maxStateBytes = 16 << 20

// maxPollBytes is the maximum size of a poll, in bytes: versions, demand and the row of one node.
const maxPollBytes = 64 << 10

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

// Server responds to the polls of other nodes.
type Server struct {
	Source  Source
	Journal *Journal
	Clock   clock.Clock
	Log     *slog.Logger
	// Serving reports whether this node reads the store itself; the state of a node that
	// polls another one is older.
	Serving func() bool
	// ReadsAllEndpoints reports whether this node reads the list of all endpoints from the store
	// itself; nil: it doesn't.
	ReadsAllEndpoints func() bool
	// OnPoll is called with each poll; may be nil.
	OnPoll func(PollRequest)

	mu              sync.Mutex
	cachedResponses map[responseKey][]byte
	cachedSnapshot  snapshot // the state to which all cached responses lead
}

// ServeHTTP responds to one poll.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != statePath || !s.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var q PollRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPollBytes)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Complete && (s.ReadsAllEndpoints == nil || !s.ReadsAllEndpoints()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.OnPoll != nil {
		s.OnPoll(q)
	}
	body, ages, err := s.response(q.Have, s.Clock.Now())
	if err != nil {
		s.Log.Error("cannot encode the state response", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set(headerConfigAge, ages.Config.String())
	w.Header().Set(headerRosterAge, ages.Roster.String())
	_, _ = w.Write(body) // a node that disconnected polls again
}

// Response headers with the ages of the state, as Go durations.
const (
	headerConfigAge = "Chervilloom-Config-Age"
	headerRosterAge = "Chervilloom-Endpoints-Age"
)

// responseKey is the key of a cached response: the state of the polling node and that of the
// responding node.
type responseKey struct {
	have    Have
	current snapshot
}

// response returns the encoded response and its ages. The nodes of a zone mostly have the same
// state, and after a start all of them request the complete one within a second. Responses
// are therefore encoded one at a time and cached: one for each node at once would exhaust
// the memory of a small node.
func (s *Server) response(have Have, now clock.Instant) ([]byte, Ages, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ages := takeSnapshot(s.Source, s.Journal, have.Complete, now)
	key := responseKey{have, current}
	if body, ok := s.cachedResponses[key]; ok {
		return body, ages, nil
	}
	state := current.stateSince(s.Journal, have)
	body, err := encode(&state)
	if err != nil {
		return nil, ages, err
	}
	if s.cachedSnapshot != current || len(s.cachedResponses) >= maxCachedResponses {
		s.cachedResponses, s.cachedSnapshot = map[responseKey][]byte{}, current
	}
	s.cachedResponses[key] = body
	return body, ages, nil
}

// encode returns the state as gzip-compressed JSON.
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

// maxCachedResponses is the maximum number of cached responses. All of them lead to the newest
// state.
const maxCachedResponses = 16

// Client polls other nodes.
type Client struct{ client *http.Client }

// NewClient returns a client that keeps its connections open between polls.
func NewClient() *Client {
	const (
		dialTimeout = 300 * time.Millisecond
		keepAlive   = 2 * time.Second
	)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// ErrNotReading means that a polled node doesn't read the store itself: it follows another one, or
// leaves.
var ErrNotReading = errors.New("feed: the node does not read the store itself")

// Poll polls the node at addr, ip:port. It returns the response and its ages, and fails with
// ErrNotReading if the node does not read the store itself.
func (c *Client) Poll(ctx context.Context, addr string, q PollRequest) (*State, Ages, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, Ages{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+statePath, bytes.NewReader(body))
	if err != nil {
		return nil, Ages{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, Ages{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Ages{}, fmt.Errorf("%w: node %s returned status %d", ErrNotReading, addr, resp.StatusCode)
	}
	ages, err := readAges(resp.Header)
	if err != nil {
		return nil, Ages{}, fmt.Errorf("feed: response of node %s has no valid ages: %w", addr, err)
	}
	zip, err := gzip.NewReader(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return nil, Ages{}, fmt.Errorf("feed: cannot decompress the response of node %s: %w", addr, err)
	}
	var s State
	if err := json.NewDecoder(io.LimitReader(zip, maxStateBytes)).Decode(&s); err != nil {
		return nil, Ages{}, fmt.Errorf("feed: cannot decode the response of node %s: %w", addr, err)
	}
	return &s, ages, nil
}

// readAges returns the ages in the header. It fails if one is missing: with an age of zero,
// revoked API keys would be accepted as current.
func readAges(h http.Header) (Ages, error) {
	config, err := time.ParseDuration(h.Get(headerConfigAge))
	if err != nil {
		return Ages{}, err
	}
	list, err := time.ParseDuration(h.Get(headerRosterAge))
	return Ages{Config: config, Roster: list}, err
}
