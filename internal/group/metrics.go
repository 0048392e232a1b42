package group

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/engine"
)

type metrics struct {
	changes    *prometheus.CounterVec
	orders     *prometheus.CounterVec
	readFailed prometheus.Counter
	planTime   prometheus.Histogram
	waiting    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_group_changes_total",
			Help: "Transactions on groups, by kind and result.",
		}, []string{"kind", "result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_group_orders_total",
			Help: "Orders sent to engines, by verb and result.",
		}, []string{"verb", "result"}),
		readFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_group_reads_failed_total",
			Help: "Reads of the claims and groups tables that failed.",
		}),
		planTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "chervilloom_group_plan_seconds",
			Help:    "Time to make one plan.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 12),
		}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_group_waiting_decisions",
			Help: "Things that the newest plan could not do yet.",
		}),
	}
	reg.MustRegister(m.changes, m.orders, m.readFailed, m.planTime, m.waiting)
	return m
}

func (m *metrics) planned(took time.Duration, p *Plan) {
	m.planTime.Observe(took.Seconds())
	m.waiting.Set(float64(len(p.Notes)))
}

func (m *metrics) change(k Kind, result string) { m.changes.WithLabelValues(string(k), result).Inc() }

func (m *metrics) order(v engine.Verb, result string) {
	m.orders.WithLabelValues(string(v), result).Inc()
}
