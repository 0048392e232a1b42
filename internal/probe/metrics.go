package probe

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	answered, failed prometheus.Counter
	rtt              prometheus.Histogram
	watched          prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	probes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_probe_probes_total",
		Help: "Probes sent to endpoints, by result.",
	}, []string{"result"})
	m := &metrics{
		answered: probes.WithLabelValues("answered"),
		failed:   probes.WithLabelValues("failed"),
		rtt: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "chervilloom_probe_rtt_seconds",
			Help:    "Round trip of answered probes.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 12),
		}),
		watched: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_probe_watched_endpoints",
			Help: "Endpoints that this node watches.",
		}),
	}
	reg.MustRegister(probes, m.rtt, m.watched)
	return m
}

func (m *metrics) observeProbe(answered bool, rtt time.Duration) {
	if !answered {
		m.failed.Inc()
		return
	}
	m.answered.Inc()
	m.rtt.Observe(rtt.Seconds())
}
