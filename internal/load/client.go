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

// Headers and paths of the callers' interface, as documented.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTicket         = "Chervilloom-Ticket"
	headerDeadline       = "Chervilloom-Deadline-Ms"
	pathChat             = "/v1/chat/completions"
	pathTickets          = "/tickets"
	pathServices         = "/services/"
)

// maxAnswerBytes limits the bytes read from an answer that is not streamed.
const maxAnswerBytes = 16 << 20

// client sends the requests for one side and reads the answers.
type client struct {
	plan     *Plan
	side     *Side
	http     *http.Client
	sent     atomic.Uint64     // attempts so far, for round robin over the targets
	prefixes map[string]string // prompt prefix by name
}

func newClient(p *Plan, s *Side) (*client, error) {
	if err := checkTargets(s.Targets); err != nil {
		return nil, err
	}
	c := &client{plan: p, side: s, prefixes: make(map[string]string)}
	for i := range p.Prefixes {
		c.prefixes[p.Prefixes[i].Name] = fillerText(p.Prefixes[i].Name, p.Prefixes[i].Words)
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			Proxy:               nil, // a proxy from the environment would redirect the load
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

// nextTarget returns the next target in round-robin order.
func (c *client) nextTarget() string {
	return c.side.Targets[(c.sent.Add(1)-1)%uint64(len(c.side.Targets))]
}

// result is the result of one request, including its retries.
type result struct {
	kindIndex         int             // index into Plan.Requests
	offset            time.Duration   // intended start, from the start of the run
	sendDelay         time.Duration   // from the intended to the actual start
	firstTokenLatency time.Duration   // from the intended start to the first token; 0: none
	totalLatency      time.Duration   // from the intended start to the end
	tokenGaps         []time.Duration // between consecutive tokens
	tokens            int
	outcome           string
	notRun            bool   // rejected, reported by the system as not run
	detail            string // explanation of a failure
	attempts          int
}

// send executes a scheduled request, with the retries allowed by the plan.
func (c *client) send(ctx context.Context, s *scheduledRequest, intended time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(time.Duration(c.plan.Timeout)))
	defer cancel()
	key := uuid.NewString()
	var r result
	for {
		var retryAfter time.Duration
		attempts := r.attempts + 1
		r, retryAfter = c.sendOnce(ctx, s, intended, key)
		r.kindIndex, r.offset, r.attempts = s.kindIndex, s.offset, attempts
		if retryAfter <= 0 || attempts > c.plan.Retries || !sleep(ctx, retryAfter) {
			return r
		}
	}
}

// sendOnce sends a scheduled request once. The returned duration is the delay before
// a retry: 0 if the request ran or may have run, or the response had no
// Retry-After.
func (c *client) sendOnce(ctx context.Context, s *scheduledRequest, intended time.Time, key string) (result, time.Duration) {
	target := c.nextTarget()
	req, err := c.buildRequest(ctx, target, s, key)
	if err != nil {
		return noAnswerResult(ctx, intended, err), 0
	}
	if k := &c.plan.Requests[s.kindIndex]; k.Type == TypeReceipt && k.Once == OnceTicket {
		ticket, r, retryAfter := c.requestTicket(ctx, target, s, intended)
		if ticket == "" {
			return r, retryAfter
		}
		req.Header.Set(headerTicket, ticket)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return noAnswerResult(ctx, intended, err), 0
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return readErrorResponse(ctx, resp, intended)
	}
	return c.readAnswer(ctx, resp, s, intended), 0
}

// buildRequest builds the HTTP request for a scheduled request. The body can be read
// only once: with GetBody, or without a body, net/http would resend the request
// by itself after a reused connection breaks, and the tool itself would cause a
// receipt to run twice.
func (c *client) buildRequest(ctx context.Context, target string, s *scheduledRequest, key string) (*http.Request, error) {
	k := &c.plan.Requests[s.kindIndex]
	method, path, body := http.MethodPost, pathChat, []byte(nil)
	if k.Type == TypeChat {
		body = c.chatBody(k, s)
	} else {
		method, body = k.Method, []byte(expandTemplate(k.Body, s))
		path = expandTemplate(k.Path, s)
		if !c.side.DirectToService {
			path = pathServices + k.Service + path
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	c.setHeaders(req, k, s)
	if k.Type == TypeReceipt && k.Once == OnceKey {
		req.Header.Set(headerIdempotencyKey, key)
	}
	return req, nil
}

// setHeaders sets the caller's key, the deadline and the side's headers.
func (c *client) setHeaders(req *http.Request, k *Request, s *scheduledRequest) {
	req.Header.Set("Authorization", "Bearer "+c.plan.Organisations[s.organisationIndex].Key)
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

// chatBody returns the JSON body of a chat completion request. The request number
// follows the shared prefix, so that requests can hit the prefix cache but are
// all different.
func (c *client) chatBody(k *Request, s *scheduledRequest) []byte {
	body := engine.ChatRequest{Model: k.Model, MaxTokens: k.MaxTokens, Stream: k.Stream}
	if k.Prefix != "" {
		body.Messages = append(body.Messages, engine.Message{Role: "system", Content: c.prefixes[k.Prefix]})
	}
	text := fmt.Sprintf("request %d %s", s.number, fillerText("", k.Words))
	body.Messages = append(body.Messages, engine.Message{Role: "user", Content: text})
	b, err := json.Marshal(body)
	if err != nil { // cannot occur: every field is a string, a number or a bool
		panic(err)
	}
	return b
}

// requestTicket requests a ticket from the target. On failure the ticket is empty and
// the result and retry delay are those of the failed request.
func (c *client) requestTicket(ctx context.Context, target string, s *scheduledRequest, intended time.Time) (string, result, time.Duration) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+pathTickets, nil)
	if err != nil {
		return "", noAnswerResult(ctx, intended, err), 0
	}
	c.setHeaders(req, &c.plan.Requests[s.kindIndex], s)
	resp, err := c.http.Do(req)
	if err != nil {
		return "", noAnswerResult(ctx, intended, err), 0
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		r, retryAfter := readErrorResponse(ctx, resp, intended)
		return "", r, retryAfter
	}
	var body struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body); err != nil || len(body.Tickets) == 0 {
		return "", result{outcome: outcomeWrong, detail: "the answer has no ticket", totalLatency: time.Since(intended)}, 0
	}
	return body.Tickets[0], result{}, 0
}

// noAnswerResult returns the result of a request without an answer: a timeout if ctx
// exceeded its deadline, a transport failure otherwise.
func noAnswerResult(ctx context.Context, intended time.Time, err error) result {
	r := result{outcome: outcomeTransport, detail: err.Error(), totalLatency: time.Since(intended)}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome = outcomeTimeout
	}
	return r
}

// readErrorResponse reads an error response and returns the result and the retry delay in
// Retry-After, if the request was not run. The outcome is the type and outcome
// in the error's body, or the status if the body has none.
func readErrorResponse(ctx context.Context, resp *http.Response, intended time.Time) (result, time.Duration) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noAnswerResult(ctx, intended, err), 0
	}
	r := result{totalLatency: time.Since(intended)}
	var body outcome.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Type == "" {
		r.outcome = "status " + strconv.Itoa(resp.StatusCode)
		return r, 0
	}
	r.outcome = fmt.Sprintf("%s (%s)", body.Error.Type, body.Error.Outcome)
	r.notRun = body.Error.Outcome == outcome.NotRun
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

// expandTemplate replaces {n} in a template by the request number.
func expandTemplate(template string, s *scheduledRequest) string {
	return strings.ReplaceAll(template, "{n}", strconv.Itoa(s.number))
}

// fillerText returns n words of filler text that depends on the name.
func fillerText(name string, n int) string {
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
