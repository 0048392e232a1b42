package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/catalog"
)

// Metrics counts the outcomes of requests and attempts. Its labels have few values: kinds
// and outcomes, never names that a client chooses.
type Metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	refused   *prometheus.CounterVec
	limited   prometheus.Counter
	backoffs  prometheus.Counter
	retries   *prometheus.CounterVec
	// firstEventRatio is labelled by model, of which the configuration declares few.
	firstEventRatio *prometheus.HistogramVec
	ranks           rankMetrics
}

// exemptRetry labels retries that take nothing from the retry budget; the other labels are those of
// retry.Grant.
const exemptRetry = "exempt"

// NewMetrics registers the metrics; reg may be nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		ranks: newRankMetrics(reg),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_request_ended_total", Help: "Requests that ended, by kind of route and how.",
		}, []string{"kind", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_request_attempts_total", Help: "Attempts at endpoints, by kind of route and how they ended.",
		}, []string{"kind", "result"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilloom_request_first_byte_seconds", Help: "Time from a request's arrival to the head of its answer, by kind of route.",
			Buckets: []float64{0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8},
		}, []string{"kind"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_request_refused_total", Help: "Requests answered by this node itself, by reason.",
		}, []string{"reason"}),
		limited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_answers_limited_total", Help: "Answers in which an endpoint named a rate limit.",
		}),
		backoffs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_answers_retry_after_total", Help: "Answers with which an endpoint turned a request away and asked for a backoff.",
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_request_retries_total", Help: "Retries that requests asked for, by the part of the retry budget that paid: ratio or slack; exempt: nothing had reached the endpoint; denied.",
		}, []string{"budget"}),
		firstEventRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilloom_expect_first_event_ratio", Help: "Observed time to the first event of an answer, divided by the predicted time, by model.",
			Buckets: []float64{0.25, 0.5, 0.67, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 12},
		}, []string{"model"}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.attempts, m.firstByte, m.refused, m.limited, m.backoffs, m.retries, m.firstEventRatio)
	}
	return m
}

var kindNames = map[catalog.RepeatPolicy]string{catalog.Once: "once", catalog.Idempotent: "idempotent", catalog.Stream: "stream"}

var resultNames = [...]string{"answered", "not_run", "may_have_run", "failed", "client_gone", "out_of_time", "banned"}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

var stepNames = [...]string{"finished", "again", "endpoint_failure", "refused", "unknown", "cut"}

// String returns the step's name in logs and metrics.
func (s Step) String() string { return stepNames[s] }

func (m *Metrics) countAttempt(route *catalog.Route, res Result) {
	m.attempts.WithLabelValues(kindNames[route.Repeat], res.String()).Inc()
}

func (m *Metrics) countEnd(route *catalog.Route, step Step, res Result) {
	m.requests.WithLabelValues(kindNames[route.Repeat], endOutcome(step, res)).Inc()
}

// endOutcome returns the label of a request's end.
func endOutcome(step Step, res Result) string {
	if res == ClientGone {
		return res.String()
	}
	return step.String()
}

func (m *Metrics) observeFirstByte(route *catalog.Route, after time.Duration) {
	m.firstByte.WithLabelValues(kindNames[route.Repeat]).Observe(after.Seconds())
}
