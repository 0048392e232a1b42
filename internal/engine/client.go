package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/fleet"
)

// Limits and defaults of the client.
const (
	defaultTimeout          = time.Second
	dialTimeout             = time.Second
	idleConnTimeout         = 30 * time.Second
	maxIdleConnsPerEndpoint = 2 // control calls to one endpoint rarely overlap
	maxResponseBytes        = 4 << 20
	maxHeaderBytes          = 64 << 10
)

// ErrBootMismatch means that the order was meant for another boot of the endpoint,
// so the caller's information about the endpoint is outdated.
var ErrBootMismatch = errors.New("engine: the order was meant for another boot; probe the endpoint again")

// StaleFenceError means that the engine has received a newer fence than that of
// the order, so the sender's claim on the VM is outdated.
type StaleFenceError struct {
	Sent  fleet.Fence
	State fleet.EngineState // state reported by the engine; Fence is the newest that it has received
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("engine %s: order with fence %d refused, newest fence is %d; read the claim again before the next order",
		e.State.VM, e.Sent, e.State.Fence)
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of one call, in addition to the deadline of the
// caller's context; the default is 1 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithRegisterer sets the registry for the client's metrics.
func WithRegisterer(r prometheus.Registerer) Option { return func(c *Client) { c.registerer = r } }

// Client sends control calls to engine VMs. Plain services also implement
// State, LoadReport and Leave. It is safe for concurrent use.
type Client struct {
	http       *http.Client
	transport  *http.Transport
	timeout    time.Duration
	registerer prometheus.Registerer
	calls      *prometheus.CounterVec
	tracer     trace.Tracer
}

// NewClient returns a client for any number of endpoints.
func NewClient(opts ...Option) *Client {
	tr := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c := &Client{
		transport: tr,
		http:      &http.Client{Transport: tr, CheckRedirect: noRedirect},
		timeout:   defaultTimeout,
		tracer:    otel.Tracer("chervilloom/engine"),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_engine_calls_total",
			Help: "Control calls to endpoints by call and result.",
		}, []string{"call", "result"}),
	}
	for _, o := range opts {
		o(c)
	}
	if c.registerer != nil {
		c.registerer.MustRegister(c.calls)
	}
	return c
}

// noRedirect makes the client return a redirect as a StatusError. Following it
// would turn an order into a GET request, whose response would be interpreted
// as an accepted order.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// State returns the state of the endpoint at addr (ip:port).
func (c *Client) State(ctx context.Context, addr string) (fleet.EngineState, error) {
	var s fleet.EngineState
	err := c.call(ctx, "state", http.MethodGet, addr, "/state", nil, &s)
	return s, err
}

// LoadReport returns the load report of the endpoint.
func (c *Client) LoadReport(ctx context.Context, addr string) (fleet.Load, error) {
	var l fleet.Load
	err := c.call(ctx, "load", http.MethodGet, addr, "/load", nil, &l)
	return l, err
}

// Order sends an order. It returns *StaleFenceError, ErrBootMismatch or the error
// of a call without a usable response. In the last case the engine may have
// executed the order or not; sending the same order again is safe.
func (c *Client) Order(ctx context.Context, addr string, o Order) (OrderResult, error) {
	var res OrderResult
	err := c.call(ctx, "order", http.MethodPost, addr, "/orders", o, &res)
	var status *StatusError
	if !errors.As(err, &status) {
		return res, err
	}
	switch status.Status {
	case http.StatusConflict:
		// The state in the body is optional.
		_ = json.Unmarshal(status.Body, &res)
		return res, &StaleFenceError{Sent: o.Fence, State: res.State}
	case http.StatusGone:
		_ = json.Unmarshal(status.Body, &res)
		return res, fmt.Errorf("%w (sent %q, is %q)", ErrBootMismatch, o.Boot, res.State.Boot)
	default:
		return res, err
	}
}

// CacheEvents returns the cache events with sequence numbers above after.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, "cache_events", http.MethodGet, addr, path, nil, &events)
	return events, err
}

// Leave makes the endpoint accept no new requests.
func (c *Client) Leave(ctx context.Context, addr string) error {
	return c.call(ctx, "leave", http.MethodPost, addr, "/leave", nil, nil)
}

// ExportKV makes the engine write cached prefixes to an object of the platform.
func (c *Client) ExportKV(ctx context.Context, addr string, m KVMove) error {
	return c.call(ctx, "kv_export", http.MethodPost, addr, "/kv/export", m, nil)
}

// ImportKV makes the engine read cached prefixes from an object of the
// platform.
func (c *Client) ImportKV(ctx context.Context, addr string, m KVMove) error {
	return c.call(ctx, "kv_import", http.MethodPost, addr, "/kv/import", m, nil)
}

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Call   string
	Addr   string
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine at %s: %s returned status %d: %.200s", e.Addr, e.Call, e.Status, e.Body)
}

// call sends one control call and counts its result; in and out may be nil.
func (c *Client) call(ctx context.Context, name, method, addr, path string, in, out any) error {
	ctx, span := c.tracer.Start(ctx, "engine."+name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	err := c.roundTrip(ctx, name, method, addr, path, in, out)
	result := "ok"
	if err != nil {
		result = "error"
		span.SetStatus(codes.Error, err.Error())
	}
	c.calls.WithLabelValues(name, result).Inc()
	return err
}

func (c *Client) roundTrip(ctx context.Context, name, method, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := newRequest(ctx, method, "http://"+addr+path, in)
	if err != nil {
		return fmt.Errorf("engine at %s: %s: %w", addr, name, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("engine at %s: %s: %w", addr, name, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("engine at %s: answer to %s: %w", addr, name, err)
	}
	if res.StatusCode/100 != 2 {
		return &StatusError{Call: name, Addr: addr, Status: res.StatusCode, Body: body}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("engine at %s: answer to %s: %w", addr, name, err)
	}
	return nil
}

// newRequest returns a request whose body cannot be rewound, so that the
// Transport does not resend it when a reused connection breaks.
func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil || in == nil {
		return req, err
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
