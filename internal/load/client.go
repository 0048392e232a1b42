package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
)

// The callers' interface, as its documentation names it.
const (
	headerKey      = "Idempotency-Key"
	headerTicket   = "Chervilloom-Ticket"
	headerDeadline = "Chervilloom-Deadline-Ms"
	pathChat       = "/v1/chat/completions"
	pathTickets    = "/tickets"
	pathServices   = "/services/"
)

// maxAnswer bounds what is read of an answer that is not streamed.
const maxAnswer = 16 << 20

// client sends the requests of one side.
type client struct {
	plan     *Plan
	side     *Side
	http     *http.Client
	next     atomic.Uint64 // turn of the targets
	prefixes map[string]string
}

func newClient(p *Plan, s *Side) (*client, error) {
	if err := checkTargets(s.Targets); err != nil {
		return nil, err
	}
	c := &client{plan: p, side: s, prefixes: make(map[string]string)}
	for i := range p.Prefixes {
		c.prefixes[p.Prefixes[i].Name] = words(p.Prefixes[i].Name, p.Prefixes[i].Words)
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			Proxy:               nil, // a proxy of the environment would carry the load elsewhere
			MaxIdleConns:        p.InFlight,
			MaxIdleConnsPerHost: p.InFlight,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func (c *client) close() { c.http.CloseIdleConnections() }

// target returns the next target.
func (c *client) target() string {
	return c.side.Targets[(c.next.Add(1)-1)%uint64(len(c.side.Targets))]
}

// result is what became of one request.
type result struct {
	request int
	at      time.Duration // intended start, from the start of the run
	late    time.Duration // from the intended to the real start
	first   time.Duration // from the intended start to the first token; 0: none
	total   time.Duration // from the intended start to the end
	gaps    []time.Duration
	tokens  int
	outcome string
	refused bool   // told by the system as not run
	detail  string // for what is wrong or failed
	tries   int
}

// send carries out a shot, with the retries that the plan allows.
func (c *client) send(ctx context.Context, s *shot, intended time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(time.Duration(c.plan.Timeout)))
	defer cancel()
	key := uuid.NewString()
	var r result
	for {
		var after time.Duration
		tries := r.tries + 1
		r, after = c.try(ctx, s, intended, key)
		r.request, r.at, r.tries = s.request, s.at, tries
		if after <= 0 || tries > c.plan.Retries || !pause(ctx, after) {
			return r
		}
	}
}

// try sends a shot once. The returned time is after how long it may be sent
// again: 0 when it ran, may have run, or no time was given.
func (c *client) try(ctx context.Context, s *shot, intended time.Time, key string) (result, time.Duration) {
	target := c.target()
	req, err := c.request(ctx, target, s, key)
	if err != nil {
		return failed(ctx, intended, err), 0
	}
	if k := &c.plan.Requests[s.request]; k.Type == TypeReceipt && k.Once == OnceTicket {
		ticket, r, after := c.ticket(ctx, target, s, intended)
		if ticket == "" {
			return r, after
		}
		req.Header.Set(headerTicket, ticket)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failed(ctx, intended, err), 0
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refused(ctx, resp, intended)
	}
	return c.read(ctx, resp, s, intended), 0
}

// request builds the HTTP request of a shot. Its body cannot be had twice: with
// GetBody, or with no body at all, net/http would send the request again by
// itself when a kept connection breaks, and a receipt would run twice by the
// tool's own doing.
func (c *client) request(ctx context.Context, target string, s *shot, key string) (*http.Request, error) {
	k := &c.plan.Requests[s.request]
	method, path, body := http.MethodPost, pathChat, []byte(nil)
	if k.Type == TypeChat {
		body = c.chat(k, s)
	} else {
		method, body = k.Method, []byte(fill(k.Body, s))
		path = fill(k.Path, s)
		if !c.side.Bare {
			path = pathServices + k.Service + path
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	c.headers(req, k, s)
	if k.Type == TypeReceipt && k.Once == OnceKey {
		req.Header.Set(headerKey, key)
	}
	return req, nil
}

func (c *client) headers(req *http.Request, k *Request, s *shot) {
	req.Header.Set("Authorization", "Bearer "+c.plan.Organisations[s.org].Key)
	if req.ContentLength > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if k.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(time.Duration(k.Deadline).Milliseconds(), 10))
	}
	for name, v := range c.side.Header {
		req.Header.Set(name, v)
	}
}

// chat is the body of a model call. The number of the request stands after the
// prefix that it shares with others.
func (c *client) chat(k *Request, s *shot) []byte {
	body := engine.ChatRequest{Model: k.Model, MaxTokens: k.MaxTokens, Stream: k.Stream}
	if k.Prefix != "" {
		body.Messages = append(body.Messages, engine.Message{Role: "system", Content: c.prefixes[k.Prefix]})
	}
	text := fmt.Sprintf("request %d %s", s.number, words("", k.Words))
	body.Messages = append(body.Messages, engine.Message{Role: "user", Content: text})
	b, err := json.Marshal(body)
	if err != nil { // every field is a string, a number or a truth value
		panic(err)
	}
	return b
}

// ticket asks the target for a ticket. It is empty when there is none; the
// result then tells why.
func (c *client) ticket(ctx context.Context, target string, s *shot, intended time.Time) (string, result, time.Duration) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+pathTickets, nil)
	if err != nil {
		return "", failed(ctx, intended, err), 0
	}
	c.headers(req, &c.plan.Requests[s.request], s)
	resp, err := c.http.Do(req)
	if err != nil {
		return "", failed(ctx, intended, err), 0
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		r, after := refused(ctx, resp, intended)
		return "", r, after
	}
	var body struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&body); err != nil || len(body.Tickets) == 0 {
		return "", result{outcome: outcomeWrong, detail: "the answer holds no ticket", total: time.Since(intended)}, 0
	}
	return body.Tickets[0], result{}, 0
}

// failed is the result of a request that got no answer.
func failed(ctx context.Context, intended time.Time, err error) result {
	r := result{outcome: outcomeTransport, detail: err.Error(), total: time.Since(intended)}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome = outcomeTimeout
	}
	return r
}

// refused reads an error's body. Kinds are counted by type and outcome.
func refused(ctx context.Context, resp *http.Response, intended time.Time) (result, time.Duration) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return failed(ctx, intended, err), 0
	}
	r := result{total: time.Since(intended)}
	var body outcome.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Type == "" {
		r.outcome = "status " + strconv.Itoa(resp.StatusCode)
		return r, 0
	}
	r.outcome = fmt.Sprintf("%s (%s)", body.Error.Type, body.Error.Outcome)
	r.refused = body.Error.Outcome == outcome.NotRun
	r.detail = body.Error.Message
	if body.Error.Outcome != outcome.NotRun {
		return r, 0
	}
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s <= 0 {
		return r, 0
	}
	return r, time.Duration(s) * time.Second
}

// fill puts the number of the request into a template.
func fill(template string, s *shot) string {
	return strings.ReplaceAll(template, "{n}", strconv.Itoa(s.number))
}

// words returns n words that differ with the name.
func words(name string, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(name)
		b.WriteString("word")
		b.WriteString(strconv.Itoa(i % 100))
	}
	return b.String()
}
