package operator

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// Fleet provides the operations behind the operators' interface. The node
// implements it.
type Fleet interface {
	Status() Status
	Explain(ctx context.Context, subject string) Explanation
	Config() ConfigView
	Apply(ctx context.Context, req ApplyRequest, operator string) ApplyResult
	// ConfigAt returns the revision with the given number from memory or the
	// table.
	ConfigAt(ctx context.Context, number uint64) (ConfigView, error)
	// RollBack accepts the document of revision to as the revision after base.
	// base is the revision in force that the operator saw.
	RollBack(ctx context.Context, base, to uint64, operator string) ApplyResult
	History(ctx context.Context) ([]Revision, error)
	Drain(ctx context.Context, req DrainRequest, operator string) error
}

// Options configures the operators' handler.
type Options struct {
	Fleet    Fleet
	Auth     *Authenticator
	Registry *prometheus.Registry
	Log      *slog.Logger
	Console  http.Handler // serves /console/; nil: no console
}

// New returns the handler of the operators' listener.
func New(o Options) http.Handler {
	s := &server{fleet: o.Fleet, log: o.Log}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /api/status", o.Auth.Require(s.status))
	mux.HandleFunc("GET /api/explain/{id...}", o.Auth.Require(s.explain))
	mux.HandleFunc("GET /api/config", o.Auth.Require(s.config))
	mux.HandleFunc("POST /api/config", o.Auth.Require(s.apply))
	mux.HandleFunc("GET /api/config/history", o.Auth.Require(s.history))
	mux.HandleFunc("POST /api/drain", o.Auth.Require(s.drain))
	mountProfiles(mux, o.Auth)
	if o.Console != nil {
		mux.Handle("/console/", o.Console)
		mux.Handle("GET /{$}", http.RedirectHandler("/console/", http.StatusSeeOther))
	}
	return mux
}

// mountProfiles serves net/http/pprof to operators only, because a profile can
// expose the memory contents of callers' requests.
func mountProfiles(mux *http.ServeMux, auth *Authenticator) {
	guard := func(h http.HandlerFunc) http.HandlerFunc {
		return auth.Require(func(w http.ResponseWriter, r *http.Request, _ string) { h(w, r) })
	}
	mux.HandleFunc("GET /debug/pprof/", guard(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", guard(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", guard(pprof.Trace))
	mux.HandleFunc("GET /debug/pprof/symbol", guard(pprof.Symbol))
}

type server struct {
	fleet Fleet
	log   *slog.Logger
}

func (s *server) status(w http.ResponseWriter, _ *http.Request, _ string) {
	s.writeJSON(w, http.StatusOK, s.fleet.Status())
}

func (s *server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	s.writeJSON(w, http.StatusOK, s.fleet.Explain(r.Context(), r.PathValue("id")))
}

func (s *server) config(w http.ResponseWriter, _ *http.Request, _ string) {
	s.writeJSON(w, http.StatusOK, s.fleet.Config())
}

func (s *server) apply(w http.ResponseWriter, r *http.Request, operator string) {
	var req ApplyRequest
	if !s.decodeBody(w, r, &req) {
		return
	}
	res := s.fleet.Apply(r.Context(), req, operator)
	s.log.Info("configuration apply finished", "operator", operator, "base", req.Base,
		"state", res.State, "revision", res.Revision, "message", res.Message)
	s.writeJSON(w, applyStatus[res.State], res)
}

var applyStatus = map[ApplyState]int{
	ApplyAccepted: http.StatusOK,
	ApplyInvalid:  http.StatusUnprocessableEntity,
	ApplyConflict: http.StatusConflict,
	ApplyUnknown:  http.StatusGatewayTimeout,
	ApplyRefused:  http.StatusServiceUnavailable,
}

func (s *server) history(w http.ResponseWriter, r *http.Request, _ string) {
	h, err := s.fleet.History(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, http.StatusOK, h)
}

func (s *server) drain(w http.ResponseWriter, r *http.Request, operator string) {
	var req DrainRequest
	if !s.decodeBody(w, r, &req) {
		return
	}
	if err := s.fleet.Drain(r.Context(), req, operator); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	s.log.Info("drain ordered", "operator", operator, "endpoint", req.VM)
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is too large or was cut: send at most 4 MiB", http.StatusRequestEntityTooLarge)
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		http.Error(w, "the body is not the JSON expected: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *server) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.log.Debug("operator disconnected before the reply was complete", "error", err)
	}
}
