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

// Defaults of the client.
const (
	defaultTimeout  = time.Second
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	idleConns       = 2 // control calls to one endpoint hardly overlap
	maxAnswerBytes  = 4 << 20
)

// ErrOtherLife means that the order was meant for another boot of the endpoint:
// what the caller knows of the endpoint is out of date.
var ErrOtherLife = errors.New("engine: the order was meant for another boot; probe the endpoint again")

// StaleFenceError tells that the engine has seen a newer fence than the order's:
// the sender's claim on the VM is no longer the newest.
type StaleFenceError struct {
	Sent  fleet.Fence
	State fleet.EngineState // what the engine reports; Fence is the newest it saw
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("engine %s: refused an order with fence %d, it has seen %d; read the claim again before the next order",
		e.State.VM, e.Sent, e.State.Fence)
}

// Option changes how a Client works.
type Option func(*Client)

// WithTimeout bounds one call on top of the caller's context; the default is 1 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithRegisterer has the client's metrics registered.
func WithRegisterer(r prometheus.Registerer) Option { return func(c *Client) { c.registerer = r } }

// Client makes the control calls to engine VMs. State, LoadReport and Leave are
// served by plain services too. It is safe for concurrent use.
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
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
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

// noRedirect has a redirect told as a StatusError. Followed, it would turn an
// order into a GET, and the answer to that into "the order was taken".
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// State asks the endpoint at addr (ip:port) what it is.
func (c *Client) State(ctx context.Context, addr string) (fleet.EngineState, error) {
	var s fleet.EngineState
	err := c.call(ctx, "state", http.MethodGet, addr, "/state", nil, &s)
	return s, err
}

// LoadReport asks for the endpoint's load report.
func (c *Client) LoadReport(ctx context.Context, addr string) (fleet.Load, error) {
	var l fleet.Load
	err := c.call(ctx, "load", http.MethodGet, addr, "/load", nil, &l)
	return l, err
}

// Order sends an order. The errors are *StaleFenceError, ErrOtherLife, or that
// of a call without a usable answer: the engine may then have taken the order
// or not, and sending the same order again does no harm.
func (c *Client) Order(ctx context.Context, addr string, o Order) (OrderResult, error) {
	var res OrderResult
	err := c.call(ctx, "order", http.MethodPost, addr, "/orders", o, &res)
	var status *StatusError
	if !errors.As(err, &status) {
		return res, err
	}
	switch status.Status {
	case http.StatusConflict:
		// The state in the body is of use but not needed for the verdict.
		_ = json.Unmarshal(status.Body, &res)
		return res, &StaleFenceError{Sent: o.Fence, State: res.State}
	case http.StatusGone:
		_ = json.Unmarshal(status.Body, &res)
		return res, fmt.Errorf("%w (sent %q, is %q)", ErrOtherLife, o.Boot, res.State.Boot)
	default:
		return res, err
	}
}

// CacheEvents returns the cache events with a sequence number above after.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, "cache_events", http.MethodGet, addr, path, nil, &events)
	return events, err
}

// Leave tells the endpoint to take no new request.
func (c *Client) Leave(ctx context.Context, addr string) error {
	return c.call(ctx, "leave", http.MethodPost, addr, "/leave", nil, nil)
}

// ExportKV has the engine write cached prefixes to an object of the platform.
func (c *Client) ExportKV(ctx context.Context, addr string, m KVMove) error {
	return c.call(ctx, "kv_export", http.MethodPost, addr, "/kv/export", m, nil)
}

// ImportKV has the engine read cached prefixes from an object of the platform.
func (c *Client) ImportKV(ctx context.Context, addr string, m KVMove) error {
	return c.call(ctx, "kv_import", http.MethodPost, addr, "/kv/import", m, nil)
}

// StatusError is an answer with a status other than success.
type StatusError struct {
	Call   string
	Addr   string
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine at %s: %s was answered %d: %.200s", e.Addr, e.Call, e.Status, e.Body)
}

// call makes one control call; in and out may be nil.
func (c *Client) call(ctx context.Context, name, method, addr, path string, in, out any) error {
	ctx, span := c.tracer.Start(ctx, "engine."+name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	err := c.exchange(ctx, name, method, addr, path, in, out)
	result := "ok"
	if err != nil {
		result = "error"
		span.SetStatus(codes.Error, err.Error())
	}
	c.calls.WithLabelValues(name, result).Inc()
	return err
}

func (c *Client) exchange(ctx context.Context, name, method, addr, path string, in, out any) error {
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
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

// newRequest makes a request whose body cannot be rewound: the Transport then
// does not send it again by itself when a reused connection breaks.
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
