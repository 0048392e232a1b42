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

// HeaderAttempts is "kept" on answers of a platform that remembers the results
// of transactions by attempt id: sending a transaction again with the same
// attempt id returns the first result and changes nothing.
const HeaderAttempts = "Platform-Attempts"

// AttemptsKept is the value of HeaderAttempts.
const AttemptsKept = "kept"

// Defaults of the client.
const (
	defaultTryTimeout    = 2 * time.Second
	defaultSettleTimeout = 5 * time.Second
	dialTimeout          = time.Second
	idleConnTimeout      = 30 * time.Second
	idleConns            = 32
	maxAnswerBytes       = 64 << 20
)

// ErrLimited means that the platform refused the request because its rate is
// used up. An error that wraps it wraps ErrDown as well: nothing was changed.
var ErrLimited = errors.New("platform: over its rate limit; send fewer requests")

// ErrRefused means that the platform does not take the request as it is: trying
// again does not help. Nothing was changed.
var ErrRefused = errors.New("platform: refused the request; it does not fit the platform's protocol")

var errTooLong = errors.New("an answer of more than 64 MiB; keep objects and tables smaller")

// Option changes how a Client works.
type Option func(*Client)

// WithTryTimeout bounds one HTTP request; the default is 2 s.
func WithTryTimeout(d time.Duration) Option { return func(c *Client) { c.tryTimeout = d } }

// WithSettleTimeout bounds how long Commit reads back after a lost answer, on
// top of the caller's context; the default is 5 s.
func WithSettleTimeout(d time.Duration) Option { return func(c *Client) { c.settleTimeout = d } }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WithDial has connections opened by f. An error of f means that no connection
// was had and nothing was sent.
func WithDial(f DialFunc) Option { return func(c *Client) { c.transport.DialContext = f } }

// WithRegisterer has the client's metrics registered.
func WithRegisterer(r prometheus.Registerer) Option { return func(c *Client) { c.registerer = r } }

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(c *Client) { c.log = l } }

// Client speaks HTTP and JSON to the platform's service. It implements Table,
// Objects and VMList and is safe for concurrent use.
type Client struct {
	base          string
	http          *http.Client
	transport     *http.Transport
	tryTimeout    time.Duration
	settleTimeout time.Duration
	registerer    prometheus.Registerer
	metrics       *clientMetrics
	log           *slog.Logger
	tracer        trace.Tracer
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
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	c := &Client{
		base:          strings.TrimSuffix(baseURL, "/"),
		transport:     tr,
		http:          &http.Client{Transport: tr, CheckRedirect: noRedirect},
		tryTimeout:    defaultTryTimeout,
		settleTimeout: defaultSettleTimeout,
		log:           slog.New(slog.DiscardHandler),
		tracer:        otel.Tracer("chervilloom/platform"),
	}
	for _, o := range opts {
		o(c)
	}
	c.metrics = newClientMetrics(c.registerer)
	return c
}

// noRedirect stops a redirect from turning one write into two requests.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	row := Row{Table: table, Key: key}
	if key == "" {
		return row, errors.New("platform: a row needs a key that is not empty")
	}
	_, err := c.read(ctx, opGet, "/v1/table/"+escape(table)+"/"+escape(key), &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	_, err := c.read(ctx, opList, "/v1/table/"+escape(table)+"?prefix="+url.QueryEscape(prefix), &rows)
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
	done := c.begin(&ctx, opGetObject)
	a := c.send(ctx, http.MethodGet, "/v1/objects/"+escape(name), nil)
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

// PutObject implements Objects. After a lost answer it reads the object back;
// ErrAmbiguous means that this did not settle it. Putting the same data again
// is harmless.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	done := c.begin(&ctx, opPutObject)
	err := c.putObject(ctx, name, data)
	done(err)
	return err
}

func (c *Client) putObject(ctx context.Context, name string, data []byte) error {
	path := "/v1/objects/" + escape(name)
	a := c.send(ctx, http.MethodPut, path, data)
	if a.ok() {
		return nil
	}
	if a.surelyWithoutEffect() {
		return a.noEffect()
	}
	back := c.send(ctx, http.MethodGet, path, nil)
	if back.ok() && bytes.Equal(back.body, data) {
		return nil
	}
	return fmt.Errorf("%w: object %q: %w", ErrAmbiguous, name, a.cause())
}

// read sends a GET and decodes its answer into v.
func (c *Client) read(ctx context.Context, op operation, path string, v any) (http.Header, error) {
	done := c.begin(&ctx, op)
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
		return fmt.Errorf("%w: answer that is not of the protocol: %w", ErrDown, err)
	}
	return nil
}

// begin opens the span of an operation; the returned function closes it and
// counts the result.
func (c *Client) begin(ctx *context.Context, op operation) func(error) {
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

// tryAnswer is how one HTTP request ended.
type tryAnswer struct {
	status    int // 0: no whole answer
	header    http.Header
	body      []byte
	err       error
	connected bool // a connection was had: bytes may have left
}

func (a *tryAnswer) ok() bool { return a.err == nil && a.status/100 == 2 }

// surelyWithoutEffect reports whether the request cannot have changed anything:
// it never had a connection, or the platform refused it before applying it.
func (a *tryAnswer) surelyWithoutEffect() bool {
	if a.err != nil {
		return !a.connected
	}
	return a.status/100 == 4
}

// cause returns why the try is no success.
func (a *tryAnswer) cause() error {
	if a.err != nil {
		return a.err
	}
	return fmt.Errorf("status %d: %.200s", a.status, a.body)
}

// noEffect returns the error of a try without effect.
func (a *tryAnswer) noEffect() error {
	switch {
	case a.err == nil && a.status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrDown, ErrLimited)
	case a.err == nil && a.status/100 == 4 && a.status != http.StatusRequestTimeout:
		return fmt.Errorf("%w: %w", ErrRefused, a.cause())
	default:
		return fmt.Errorf("%w: %w", ErrDown, a.cause())
	}
}

// readError returns the error of a read; no read has an effect.
func (a *tryAnswer) readError() error {
	if a.ok() {
		return nil
	}
	return a.noEffect()
}

// send makes one HTTP request and reads its answer whole.
//
// The request carries a body that cannot be rewound (GetBody is nil) and no
// Idempotency-Key header. With either, net/http's Transport would send a write
// again by itself when a reused connection breaks, and the caller would see one
// answer for two writes.
func (c *Client) send(ctx context.Context, method, path string, body []byte) *tryAnswer {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutOf(ctx, method))
	defer cancel()
	a := &tryAnswer{}
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
	a.body, a.err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if len(a.body) > maxAnswerBytes {
		a.err = errTooLong // the part that fits must not pass for the whole
	}
	a.header = res.Header
	a.status = res.StatusCode
	return a
}

// timeoutOf bounds one try. A write leaves half of the caller's time, so that a
// lost answer can still be read back.
func (c *Client) timeoutOf(ctx context.Context, method string) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || method == http.MethodGet {
		return c.tryTimeout
	}
	return min(c.tryTimeout, max(time.Until(deadline)/2, time.Millisecond))
}

// escape makes s one path segment. A segment of dots alone would be taken out
// of the path by its cleaning, so dots are escaped as well.
func escape(s string) string {
	return strings.ReplaceAll(url.PathEscape(s), ".", "%2E")
}
