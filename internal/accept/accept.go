// Package accept implements the callers' HTTP interface. It reads a request of
// bounded size, passes it to the request path and writes the answer as HTTP or
// as server-sent events. A truncated answer always differs from a complete one
// for an HTTP client.
package accept

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/identify"
	"chervilloom/internal/once"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// Header names between callers and the system.
const (
	HeaderRequest         = "Chervilloom-Request" // request ID, set on every answer
	HeaderTicket          = once.TicketHeader
	HeaderKey             = "Idempotency-Key"
	HeaderResume          = identify.HeaderResume
	headerCallerRequestID = "X-Request-Id"
)

// Defaults for Options.
const (
	DefaultBodyLimit    = 4 << 20
	DefaultAnswerBuffer = 8 << 20
	DefaultBodyTimeout  = time.Minute
)

// Options configures a Server. Tickets, Authorise, Ready and Registerer may be
// nil; zero limits select the defaults.
type Options struct {
	Handler    filter.Handler
	View       view.Source
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer
	BodyLimit  int64 // maximum size of a request body in bytes
	// BodyTimeout limits the time for reading a request body.
	BodyTimeout time.Duration
	// AnswerBuffer is the number of bytes of an answer that are buffered until
	// the answer is complete. A longer answer is sent unbuffered.
	AnswerBuffer int
	// Ready reports whether the node can serve requests, and the reason if not.
	Ready func() (bool, string)
	// Tickets serves POST /tickets.
	Tickets http.Handler
	// Authorise returns the organisation of the key in the headers. It is called
	// before a body is read, and for paths that bypass Handler.
	Authorise func(http.Header) (fleet.Organisation, *outcome.Error)
	// DrainNotice is how long Drain keeps accepting requests, so that load balancers
	// notice the failing readiness check.
	DrainNotice time.Duration
}

// Server is the callers' http.Handler.
type Server struct {
	opt      Options
	mux      *http.ServeMux
	inFlight inFlightCounter
	metrics  *metrics
	tracer   trace.Tracer
}

// New returns a server with its routes and metrics registered.
func New(opt Options) *Server {
	if opt.BodyLimit == 0 {
		opt.BodyLimit = DefaultBodyLimit
	}
	if opt.AnswerBuffer == 0 {
		opt.AnswerBuffer = DefaultAnswerBuffer
	}
	if opt.BodyTimeout == 0 {
		opt.BodyTimeout = DefaultBodyTimeout
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		opt: opt, mux: http.NewServeMux(),
		metrics: newMetrics(opt.Registerer), tracer: otel.Tracer("chervilloom/accept"),
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("GET /v1/models", s.trackRequest(s.serveModels))
	s.mux.HandleFunc("POST /tickets", s.trackRequest(s.serveTickets))
	s.mux.HandleFunc("POST "+identify.PathChat, s.trackRequest(s.serveCall))
	s.mux.HandleFunc("POST "+identify.PathCompletions, s.trackRequest(s.serveCall))
	s.mux.HandleFunc("GET "+identify.PathStreams+"{id}", s.trackRequest(s.serveCall))
	s.mux.HandleFunc("/", s.trackRequest(s.refuseUnknownPath))
}

// ServeHTTP serves one request. Service paths bypass http.ServeMux, which would
// redirect "//" and ".."; some clients follow a redirected POST with a GET.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setBodyDeadline(w, r)
	if strings.HasPrefix(r.URL.Path, identify.PathServices) {
		s.trackRequest(s.serveCall)(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// setBodyDeadline sets a read deadline for the body, even if no handler reads
// it: net/http drains the rest of a body before it answers and would wait forever
// for a caller that stops sending. net/http clears the deadline at the end of
// the body, when it starts to watch for the caller's disconnect.
func (s *Server) setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opt.BodyTimeout))
	}
}

// trackRequest assigns the request ID, refuses the request if the node has
// stopped accepting, and otherwise counts it as in flight while h runs.
func (s *Server) trackRequest(h func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequest, id)
		if s.inFlight.enter() == phaseClosed {
			s.setConnectionClose(w.Header())
			s.refuseAttempt(w, r, shuttingDownError(), id)
			return
		}
		defer s.inFlight.leave()
		s.setConnectionClose(w.Header())
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		h(w, r, id)
	}
}

// setConnectionClose closes the connection after the answer while the node shuts
// down. The caller's next request then opens a connection to another node
// instead of racing with this node's shutdown.
func (s *Server) setConnectionClose(h http.Header) {
	if s.inFlight.currentPhase() != phaseOpen {
		h.Set("Connection", "close")
	}
}

func shuttingDownError() *outcome.Error {
	return outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node is shutting down",
		"send the request again on a new connection").WithRetryAfter(time.Second)
}

// serveCall reads the body and runs the request through the request path.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, id string) {
	arrived := s.opt.Clock.Now()
	ctx, span := s.startSpan(r, id)
	defer span.End()
	if err := s.authoriseBeforeBody(w, r); err != nil {
		s.refuseAttempt(w, r, err, id)
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.refuseAttempt(w, r, err, id)
		return
	}
	req := newRequest(ctx, r, id, arrived, body)
	if callerRequestID := r.Header.Get(headerCallerRequestID); callerRequestID != "" {
		s.opt.Log.LogAttrs(ctx, slog.LevelInfo, "caller's request id",
			slog.String("id", id), slog.String("theirs", truncateForLog(callerRequestID)))
	}
	out := newWriter(w, r, req, s.opt.AnswerBuffer, s.setConnectionClose)
	s.runPath(ctx, req, out)
	if out.truncated {
		s.metrics.aborted.Inc()
		// The status has been sent. Only an aborted connection shows the
		// caller's HTTP library that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// runPath calls the handler and finishes the answer if a filter panics or
// returns without finishing it. The caller would otherwise receive an empty
// success.
func (s *Server) runPath(ctx context.Context, req *request.Request, w *writer) {
	defer func() {
		if p := recover(); p != nil {
			s.opt.Log.ErrorContext(ctx, "panic in the request path", "id", req.ID, "panic", p, "stack", string(debug.Stack()))
		}
		if !w.finished {
			w.Finish(answer.End{})
		}
	}()
	s.opt.Handler.Serve(ctx, req, w)
}

func (s *Server) startSpan(r *http.Request, id string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "accept", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", id), attribute.String("http.method", r.Method))
	}
	return ctx, span
}

// authoriseBeforeBody refuses a caller without a known key before the body is
// read. Otherwise slow bodies from unauthorised callers on many connections
// could exhaust the memory and displace authorised callers; those are bounded
// by their organisation's limits. The expired read deadline keeps net/http from
// waiting for the rest of the body, which it drains before it answers.
func (s *Server) authoriseBeforeBody(w http.ResponseWriter, r *http.Request) *outcome.Error {
	if s.opt.Authorise == nil {
		return nil
	}
	_, err := s.opt.Authorise(r.Header)
	if err != nil && r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now())
		w.Header().Set("Connection", "close")
	}
	return err
}

// readBody reads the whole body. Nothing is forwarded before the request is
// complete, so a request whose body ends early has the outcome "not run".
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opt.BodyLimit))
	if err != nil {
		return nil, s.bodyError(w, err)
	}
	return body, nil
}

func (s *Server) bodyError(w http.ResponseWriter, err error) *outcome.Error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return outcome.New(outcome.TooLarge, outcome.NotRun,
			"the body is longer than "+formatBytes(s.opt.BodyLimit), "send less, or have the operator raise the bound")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return outcome.New(outcome.BadRequest, outcome.NotRun,
			"the body did not come within "+s.opt.BodyTimeout.String(), "send the request again over a better connection").WithCause(err)
	}
	return outcome.New(outcome.BadRequest, outcome.NotRun,
		"the body ended early", "send the request again").WithCause(err)
}

func newRequest(ctx context.Context, r *http.Request, id string, arrived clock.Instant, body []byte) *request.Request {
	req := &request.Request{
		ID: id, Arrived: arrived, Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
		Key: r.Header.Get(HeaderKey), Ticket: r.Header.Get(HeaderTicket), ResumeID: r.Header.Get(HeaderResume),
	}
	if v := r.PathValue("id"); v != "" && req.ResumeID == "" {
		req.ResumeID = v
	}
	if trace.SpanContextFromContext(ctx).IsValid() {
		carrier := propagation.MapCarrier{}
		propagation.TraceContext{}.Inject(ctx, carrier)
		req.TraceParent = carrier["traceparent"]
	}
	return req
}

// refuseAttempt refuses a call whose key or ticket has not been looked up. An
// earlier attempt of the call may have run, so once.Refusal replaces the outcome
// "not-run", which holds for this attempt only.
func (s *Server) refuseAttempt(w http.ResponseWriter, r *http.Request, err *outcome.Error, id string) {
	try := &request.Request{Header: r.Header, Key: r.Header.Get(HeaderKey), Ticket: r.Header.Get(HeaderTicket)}
	s.refuse(w, r, once.Refusal(try, err), id)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err *outcome.Error, id string) {
	s.metrics.refused.WithLabelValues(string(err.Kind)).Inc()
	s.opt.Log.LogAttrs(r.Context(), slog.LevelInfo, "request refused",
		slog.String("id", id), slog.String("kind", string(err.Kind)), slog.String("outcome", string(err.Outcome)))
	writeError(w, err, id)
}

func writeError(w http.ResponseWriter, err *outcome.Error, id string) {
	err.SetHeaders(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Kind.Status())
	w.Write(err.JSON(id))
}
