package admit

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	decisions *prometheus.CounterVec   // lane, verdict, reason
	wait      *prometheus.HistogramVec // lane
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		decisions: f.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_admit_decisions_total",
			Help: "Final admission decisions.",
		}, []string{"lane", "verdict", "reason"}),
		wait: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "chervilloom_admit_wait_seconds",
			Help:    "Time that admitted requests waited.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 10),
		}, []string{"lane"}),
	}
}

func (m *metrics) countDecision(lane string, d *Decision) {
	m.decisions.WithLabelValues(lane, d.Verdict.String(), string(d.Reason)).Inc()
	if d.Verdict == Admit {
		m.wait.WithLabelValues(lane).Observe(d.WaitTime.Seconds())
	}
}

// registerGauges registers gauges for the number of requests in each lane.
func (m *metrics) registerGauges(r prometheus.Registerer, lanes ...*lane) {
	f := promauto.With(r)
	for _, l := range lanes {
		labels := prometheus.Labels{"lane": l.name}
		f.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chervilloom_admit_in_progress_requests", Help: "Requests that wait or are in progress.", ConstLabels: labels,
		}, func() float64 { return float64(l.handlesInUse.Load()) })
		f.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chervilloom_admit_waiting_requests", Help: "Requests that wait for a slot.", ConstLabels: labels,
		}, func() float64 { return float64(l.waiting.Load()) })
	}
}
