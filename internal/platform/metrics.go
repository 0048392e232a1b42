package platform

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// operation is the metric label of a kind of operation.
type operation string

const (
	opGet       operation = "get"
	opList      operation = "list"
	opCommit    operation = "commit"
	opVMs       operation = "vms"
	opGetObject operation = "get_object"
	opPutObject operation = "put_object"
)

// verdict is the metric label of the resolution of a lost response.
type verdict string

const (
	verdictApplied    verdict = "landed"
	verdictNotApplied verdict = "not_landed"
	verdictUnsettled  verdict = "unsettled"
)

type clientMetrics struct {
	ops           *prometheus.CounterVec
	seconds       *prometheus.HistogramVec
	lostResponses *prometheus.CounterVec
}

func newClientMetrics(r prometheus.Registerer) *clientMetrics {
	m := &clientMetrics{
		ops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_platform_operations_total",
			Help: "Operations at the platform by kind and result.",
		}, []string{"kind", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chervilloom_platform_operation_seconds",
			Help:    "Time of operations at the platform, reading back included.",
			Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5},
		}, []string{"kind"}),
		lostResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_platform_lost_answers_total",
			Help: "Writes whose answer was lost, by what reading back found.",
		}, []string{"verdict"}),
	}
	if r != nil {
		r.MustRegister(m.ops, m.seconds, m.lostResponses)
	}
	return m
}

// resultOf returns the metric label of an operation's error.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrAmbiguous):
		return "ambiguous"
	case errors.Is(err, ErrRateLimited):
		return "limited"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrRejected):
		return "refused"
	case errors.Is(err, ErrUnavailable):
		return "down"
	default:
		return "error"
	}
}
