package accept

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/identify"
	"chervilloom/internal/outcome"
)

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// readyz is the readiness check for load balancers.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.Ready()
	if !ok {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, reason)
}

// Ready reports whether the node accepts new requests, and the reason if not.
func (s *Server) Ready() (bool, string) {
	if s.inFlight.currentPhase() != phaseOpen {
		return false, "shutting down"
	}
	if s.opt.Ready == nil {
		return true, "ready"
	}
	return s.opt.Ready()
}

// modelList is the response to GET /v1/models in the OpenAI format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Current  string   `json:"current_version"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters"`
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request, id string) {
	if s.opt.Authorise != nil {
		if _, err := s.opt.Authorise(r.Header); err != nil {
			s.refuse(w, r, err, id)
			return
		}
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	if doc := s.opt.View.Snapshot().Config; doc != nil {
		for _, m := range doc.Models {
			list.Data = append(list.Data, modelItem{
				ID: m.Name, Object: "model", Current: m.Current, Versions: m.Versions, Adapters: m.Adapters,
			})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

func (s *Server) serveTickets(w http.ResponseWriter, r *http.Request, id string) {
	if s.opt.Tickets == nil {
		s.refuseUnknownPath(w, r, id)
		return
	}
	s.opt.Tickets.ServeHTTP(w, r)
}

func (s *Server) refuseUnknownPath(w http.ResponseWriter, r *http.Request, id string) {
	s.refuse(w, r, outcome.New(outcome.BadRequest, outcome.NotRun,
		fmt.Sprintf("nothing is served at %s %.100q", r.Method, r.URL.Path),
		"use POST "+identify.PathChat+", POST "+identify.PathCompletions+", GET /v1/models or "+identify.PathServices+"{name}/"), id)
}

// maxLoggedBytes bounds the length of a caller-supplied string in the log.
const maxLoggedBytes = 128

func truncateForLog(s string) string {
	if len(s) > maxLoggedBytes {
		return s[:maxLoggedBytes]
	}
	return s
}

func formatBytes(n int64) string { return fmt.Sprintf("%d bytes", n) }

type metrics struct {
	inFlight prometheus.Gauge
	aborted  prometheus.Counter
	refused  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_accept_in_flight_requests", Help: "Callers' requests in progress.",
		}),
		aborted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_accept_aborted_total", Help: "Connections aborted because the answer was cut.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_accept_refused_total", Help: "Requests refused before the path, by kind.",
		}, []string{"kind"}),
	}
	if reg != nil {
		reg.MustRegister(m.inFlight, m.aborted, m.refused)
	}
	return m
}
