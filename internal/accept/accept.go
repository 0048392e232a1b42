// Package accept is the callers' HTTP interface: it reads a bounded request,
// hands it to the request path and writes the answer back as HTTP or as
// server-sent events, so that no HTTP client can take a cut answer for a whole
// one.
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
	HeaderRequest = "Chervilloom-Request" // id of the request, in every answer
	HeaderTicket  = once.TicketHeader
	HeaderKey     = "Idempotency-Key"
	HeaderResume  = identify.HeaderResume
	headerCallers = "X-Request-Id"
)

// The defaults of Options.
const (
	DefaultBodyLimit    = 4 << 20
	DefaultAnswerBuffer = 8 << 20
	DefaultBodyTimeout  = time.Minute
)

// Options are what the server needs. Tickets, Authorise, Ready and Registerer
// may be nil; zero bounds stand for the defaults.
type Options struct {
	Handler    filter.Handler
	View       view.Source
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer
	BodyLimit  int64 // bytes of a request's body
	// BodyTimeout is how long a caller may take to send a body.
	BodyTimeout time.Duration
	// AnswerBuffer is how many bytes of an answer are held back until it is
	// whole; what is longer is sent as it comes.
	AnswerBuffer int
	// Ready reports whether the node may get requests, and why not.
	Ready func() (bool, string)
	// Tickets answers POST /tickets.
	Tickets http.Handler
	// Authorise tells whose key a header carries. It is asked before a body is
	// read, and for the paths that do not go through Handler.
	Authorise func(http.Header) (fleet.Organisation, *outcome.Error)
	// Notice is how long Drain goes on accepting requests, so that balancers
	// can see that the node is not ready.
	Notice time.Duration
}

// Server is the callers' http.Handler.
type Server struct {
	opt     Options
	mux     *http.ServeMux
	flight  flight
	metrics *metrics
	tracer  trace.Tracer
}

// New returns a server.
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
	s.mux.HandleFunc("GET /v1/models", s.counted(s.models))
	s.mux.HandleFunc("POST /tickets", s.counted(s.tickets))
	s.mux.HandleFunc("POST "+identify.PathChat, s.counted(s.call))
	s.mux.HandleFunc("POST "+identify.PathCompletions, s.counted(s.call))
	s.mux.HandleFunc("GET "+identify.PathStreams+"{id}", s.counted(s.call))
	s.mux.HandleFunc("/", s.counted(s.unknown))
}

// ServeHTTP serves one request. Services get their path as the caller wrote
// it: http.ServeMux would answer "//" and ".." with a redirect, which turns a
// POST into a GET at some clients.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.boundBody(w, r)
	if strings.HasPrefix(r.URL.Path, identify.PathServices) {
		s.counted(s.call)(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// boundBody bounds the time that a body may take, also one that no handler
// reads: net/http reads what is left of it before it answers, and would wait
// without end for a caller that sends nothing more. It lifts the deadline by
// itself at the body's end, when it begins to wait for the caller to leave.
func (s *Server) boundBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opt.BodyTimeout))
	}
}

// counted gives the request its id, refuses it when the node takes no more,
// and otherwise counts it as in flight.
func (s *Server) counted(h func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequest, id)
		if s.flight.enter() == phaseClosed {
			s.closing(w.Header())
			s.refuseTry(w, r, shuttingDown(), id)
			return
		}
		defer s.flight.leave()
		s.closing(w.Header())
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		h(w, r, id)
	}
}

// closing has the connection closed after the answer while the node shuts
// down: the caller's next request goes to another connection, and so to
// another node, instead of racing this one's end.
func (s *Server) closing(h http.Header) {
	if s.flight.phase() != phaseOpen {
		h.Set("Connection", "close")
	}
}

func shuttingDown() *outcome.Error {
	return outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node is shutting down",
		"send the request again on a new connection").After(time.Second)
}

// call takes a request through the path.
func (s *Server) call(w http.ResponseWriter, r *http.Request, id string) {
	arrived := s.opt.Clock.Now()
	ctx, span := s.span(r, id)
	defer span.End()
	if err := s.admitBody(w, r); err != nil {
		s.refuseTry(w, r, err, id)
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.refuseTry(w, r, err, id)
		return
	}
	req := newRequest(ctx, r, id, arrived, body)
	if theirs := r.Header.Get(headerCallers); theirs != "" {
		s.opt.Log.LogAttrs(ctx, slog.LevelInfo, "caller's request id",
			slog.String("id", id), slog.String("theirs", clip(theirs)))
	}
	out := newWriter(w, r, req, s.opt.AnswerBuffer, s.closing)
	s.runPath(ctx, req, out)
	if out.cut {
		s.metrics.aborted.Inc()
		// The status is out: only a broken connection keeps the caller's HTTP
		// library from taking the part for the whole.
		panic(http.ErrAbortHandler)
	}
}

// runPath makes sure that the answer is finished, also when a filter panics or
// forgets to: the caller would otherwise see an empty success.
func (s *Server) runPath(ctx context.Context, req *request.Request, w *writer) {
	defer func() {
		if p := recover(); p != nil {
			s.opt.Log.ErrorContext(ctx, "the request path panicked", "id", req.ID, "panic", p, "stack", string(debug.Stack()))
		}
		if !w.finished {
			w.Finish(answer.End{})
		}
	}()
	s.opt.Handler.Serve(ctx, req, w)
}

func (s *Server) span(r *http.Request, id string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "accept", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", id), attribute.String("http.method", r.Method))
	}
	return ctx, span
}

// admitBody refuses a caller without a known key before the body is read. The
// bodies that strangers send slowly over many connections would otherwise fill
// the memory until callers with keys are cut off; of those who have a key, the
// limits of their organisation come next. The read deadline keeps net/http,
// which reads what is left of a body before it answers, from waiting for it.
func (s *Server) admitBody(w http.ResponseWriter, r *http.Request) *outcome.Error {
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

// readBody reads the whole body: nothing is sent anywhere before the request
// is complete, so a caller that fails half-way is "not run".
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opt.BodyLimit))
	if err != nil {
		return nil, s.badBody(w, err)
	}
	return body, nil
}

func (s *Server) badBody(w http.ResponseWriter, err error) *outcome.Error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return outcome.New(outcome.TooLarge, outcome.NotRun,
			"the body is longer than "+bytesText(s.opt.BodyLimit), "send less, or have the operator raise the bound")
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

// refuseTry refuses a call before its key or ticket was looked up: "not-run" of
// this try would be false of the call when an earlier try may have run.
func (s *Server) refuseTry(w http.ResponseWriter, r *http.Request, err *outcome.Error, id string) {
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
