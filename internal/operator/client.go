package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client calls the operator listener of a node.
type Client struct {
	baseURL string // http(s)://ip:port
	token   string
	http    *http.Client
}

// NewClient returns a client of the node at base that presents the token.
func NewClient(base, token string) *Client {
	return &Client{baseURL: strings.TrimRight(base, "/"), token: token, http: &http.Client{Timeout: 15 * time.Second}}
}

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodGet, "/api/status", nil, &s)
}

// Explain returns the recorded decisions about the subject.
func (c *Client) Explain(ctx context.Context, subject string) (Explanation, error) {
	var e Explanation
	return e, c.do(ctx, http.MethodGet, "/api/explain/"+subject, nil, &e)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigView, error) {
	var v ConfigView
	return v, c.do(ctx, http.MethodGet, "/api/config", nil, &v)
}

// Apply sends a document to be accepted. The result reports a refusal; the error
// is non-nil only if no result was received.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResult, error) {
	var r ApplyResult
	return r, c.do(ctx, http.MethodPost, "/api/config", req, &r)
}

// History returns the newest revisions, newest first.
func (c *Client) History(ctx context.Context) ([]Revision, error) {
	var h []Revision
	return h, c.do(ctx, http.MethodGet, "/api/config/history", nil, &h)
}

// Drain orders the endpoint to accept no new requests.
func (c *Client) Drain(ctx context.Context, req DrainRequest) error {
	return c.do(ctx, http.MethodPost, "/api/drain", req, nil)
}

// do sends in as JSON and decodes a JSON reply of any status into out. A reply
// that is not JSON is an error unless its status is below 300.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("the node's address is wrong, write http://IP:PORT: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("the node cannot be reached, try another one: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return fmt.Errorf("the node's reply was cut, ask again: %w", err)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		if resp.StatusCode < 300 {
			return nil
		}
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(b)))
	}
	return json.Unmarshal(b, out)
}
