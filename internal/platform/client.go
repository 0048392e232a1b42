package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/fleet"
)

// HeaderAttempts is set to AttemptsKept in responses of a platform that stores the
// results of transactions by attempt ID: resending a transaction with the same
// attempt ID returns the first result and changes nothing.
const HeaderAttempts = "Platform-Attempts"

// AttemptsKept is the value of HeaderAttempts.
const AttemptsKept = "kept"

// Defaults and limits of the client.
const (
	defaultRequestTimeout = 2 * time.Second
	defaultResolveTimeout = 5 * time.Second
	dialTimeout           = time.Second
	idleConnTimeout       = 30 * time.Second
	maxIdleConns          = 32
	maxResponseBytes      = 64 << 20
	maxHeaderBytes        = 64 << 10
)

// ErrRateLimited means that the platform rejected the request because the rate limit is
// exceeded. Errors that wrap it also wrap ErrUnavailable: nothing was changed.
var ErrRateLimited = errors.New("platform: over its rate limit; send fewer requests")

// ErrRejected means that the platform rejected the request as invalid. Nothing was
// changed, and a retry fails again.
var ErrRejected = errors.New("platform: refused the request; it does not fit the platform's protocol")

var errResponseTooLarge = errors.New("an answer of more than 64 MiB; keep objects and tables smaller")

// Option configures a Client.
type Option func(*Client)

// WithRequestTimeout sets the timeout of one HTTP request; the default is 2 s.
func WithRequestTimeout(d time.Duration) Option { return func(c *Client) { c.requestTimeout = d } }

// WithResolveTimeout limits the time that Commit spends resolving a lost response, in
// addition to the deadline of the caller's context; the default is 5 s.
func WithResolveTimeout(d time.Duration) Option { return func(c *Client) { c.resolveTimeout = d } }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WithDial makes f open the connections. An error of f means that no connection was
// opened and nothing was sent.
func WithDial(f DialFunc) Option { return func(c *Client) { c.transport.DialContext = f } }

// WithRegisterer registers the client's metrics with r.
func WithRegisterer(r prometheus.Registerer) Option { return func(c *Client) { c.registerer = r } }

// WithLogger sets the logger; the default discards all records.
func WithLogger(l *slog.Logger) Option { return func(c *Client) { c.log = l } }

// Client is an HTTP client of the platform's JSON API. It implements Table, Objects
// and VMList and is safe for concurrent use.
type Client struct {
	base           string
	http           *http.Client
	transport      *http.Transport
	requestTimeout time.Duration
	resolveTimeout time.Duration
	registerer     prometheus.Registerer
	metrics        *clientMetrics
	log            *slog.Logger
	tracer         trace.Tracer
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ VMList  = (*Client)(nil)
)

// NewClient returns a client of the platform at baseURL, such as
// "http://192.0.2.1:8000".
func NewClient(baseURL string, opts ...Option) *Client {
	tr := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c := &Client{
		base:           strings.TrimSuffix(baseURL, "/"),
		transport:      tr,
		http:           &http.Client{Transport: tr, CheckRedirect: noRedirect},
		requestTimeout: defaultRequestTimeout,
		resolveTimeout: defaultResolveTimeout,
		log:            slog.New(slog.DiscardHandler),
		tracer:         otel.Tracer("chervilloom/platform"),
	}
	for _, o := range opts {
		o(c)
	}
	c.metrics = newClientMetrics(c.registerer)
	return c
}

// noRedirect disables redirects, which could turn one write into two requests.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	row := Row{Table: table, Key: key}
	if key == "" {
		return row, errors.New("platform: a row needs a key that is not empty")
	}
	_, err := c.read(ctx, opGet, "/v1/table/"+escapeSegment(table)+"/"+escapeSegment(key), &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	_, err := c.read(ctx, opList, "/v1/table/"+escapeSegment(table)+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]fleet.Record, error) {
	var vms []fleet.Record
	_, err := c.read(ctx, opVMs, "/v1/vms", &vms)
	return vms, err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	done := c.startOperation(&ctx, opGetObject)
	a := c.send(ctx, http.MethodGet, "/v1/objects/"+escapeSegment(name), nil)
	err := a.readError()
	if a.status == http.StatusNotFound {
		err = fmt.Errorf("%w: %q", ErrNotFound, name)
	}
	done(err)
	if err != nil {
		return nil, err
	}
	return a.body, nil
}

// PutObject implements Objects. After a lost response it reads the object back and
// returns ErrAmbiguous unless it finds the data. Putting the same data again is safe.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	done := c.startOperation(&ctx, opPutObject)
	err := c.putObject(ctx, name, data)
	done(err)
	return err
}

func (c *Client) putObject(ctx context.Context, name string, data []byte) error {
	path := "/v1/objects/" + escapeSegment(name)
	a := c.send(ctx, http.MethodPut, path, data)
	if a.ok() {
		return nil
	}
	if a.hadNoEffect() {
		return a.noEffectError()
	}
	back := c.send(ctx, http.MethodGet, path, nil)
	if back.ok() && bytes.Equal(back.body, data) {
		return nil
	}
	return fmt.Errorf("%w: object %q: %w", ErrAmbiguous, name, a.cause())
}

// read sends a GET request, decodes the response into v and returns its header.
func (c *Client) read(ctx context.Context, op operation, path string, v any) (http.Header, error) {
	done := c.startOperation(&ctx, op)
	a := c.send(ctx, http.MethodGet, path, nil)
	err := a.readError()
	if err == nil {
		err = decode(a.body, v)
	}
	done(err)
	return a.header, err
}

func decode(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: answer that is not of the protocol: %w", ErrUnavailable, err)
	}
	return nil
}

// startOperation starts the span of an operation and stores it in ctx. The returned
// function ends the span and records duration and result.
func (c *Client) startOperation(ctx *context.Context, op operation) func(error) {
	start := time.Now()
	var span trace.Span
	*ctx, span = c.tracer.Start(*ctx, "platform."+string(op), trace.WithSpanKind(trace.SpanKindClient))
	return func(err error) {
		result := resultOf(err)
		c.metrics.ops.WithLabelValues(string(op), result).Inc()
		c.metrics.seconds.WithLabelValues(string(op)).Observe(time.Since(start).Seconds())
		span.SetAttributes(attribute.String("result", result))
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// httpResult is the result of one HTTP request.
type httpResult struct {
	status    int // 0 if no response headers were received
	header    http.Header
	body      []byte
	err       error
	connected bool // a connection was open, so that bytes may have been sent
}

func (a *httpResult) ok() bool { return a.err == nil && a.status/100 == 2 }

// hadNoEffect reports whether the request can't have changed anything: no connection
// was open, or the platform rejected it with a 4xx status before applying it.
func (a *httpResult) hadNoEffect() bool {
	if a.err != nil {
		return !a.connected
	}
	return a.status/100 == 4
}

// cause returns the error or status of a failed request.
func (a *httpResult) cause() error {
	if a.err != nil {
		return a.err
	}
	return fmt.Errorf("status %d: %.200s", a.status, a.body)
}

// noEffectError returns the error of a failed request that had no effect.
func (a *httpResult) noEffectError() error {
	switch {
	case a.err == nil && a.status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrRateLimited)
	case a.err == nil && a.status/100 == 4 && a.status != http.StatusRequestTimeout:
		return fmt.Errorf("%w: %w", ErrRejected, a.cause())
	default:
		return fmt.Errorf("%w: %w", ErrUnavailable, a.cause())
	}
}

// readError returns the error of a read, or nil if it succeeded.
func (a *httpResult) readError() error {
	if a.ok() {
		return nil
	}
	return a.noEffectError()
}

// send sends one HTTP request and reads the whole response.
//
// The request has a body that can't be rewound (GetBody is nil) and no
// Idempotency-Key header. With either, net/http's Transport would retry a write by
// itself when a reused connection breaks, and the caller would get one response for
// two writes.
func (c *Client) send(ctx context.Context, method, path string, body []byte) *httpResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutFor(ctx, method))
	defer cancel()
	a := &httpResult{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	res, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	a.body, a.err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if len(a.body) > maxResponseBytes {
		a.err = errResponseTooLarge // a truncated body must not be used as the whole
	}
	a.header = res.Header
	a.status = res.StatusCode
	return a
}

// timeoutFor returns the timeout of one request. A write gets at most half of the
// remaining time of ctx, so that a lost response can still be read back.
func (c *Client) timeoutFor(ctx context.Context, method string) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || method == http.MethodGet {
		return c.requestTimeout
	}
	return min(c.requestTimeout, max(time.Until(deadline)/2, time.Millisecond))
}

// escapeSegment escapes s as one path segment. Dots are escaped too, since path
// cleaning would remove the segments "." and "..".
func escapeSegment(s string) string {
	return strings.ReplaceAll(url.PathEscape(s), ".", "%2E")
}
