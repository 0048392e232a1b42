package group

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/engine"
)

type metrics struct {
	changes         *prometheus.CounterVec
	orders          *prometheus.CounterVec
	readFailed      prometheus.Counter
	planTime        prometheus.Histogram
	deferrals       prometheus.Gauge
	replicas        *prometheus.GaugeVec
	downtime        *prometheus.CounterVec
	stranded        prometheus.Gauge
	strandedSeconds prometheus.Counter
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
		deferrals: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_group_waiting_decisions",
			Help: "Things that the newest plan could not do yet.",
		}),
	}
	m.initObjective()
	reg.MustRegister(m.changes, m.orders, m.readFailed, m.planTime, m.deferrals)
	reg.MustRegister(m.replicas, m.downtime, m.stranded, m.strandedSeconds)
	return m
}

// initObjective creates the metrics of the quantities that the objective weighs.
// Only the holder of the zone's lease updates them, so that sums over nodes count
// each replica once.
func (m *metrics) initObjective() {
	m.replicas = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "chervilloom_group_replicas",
		Help: "Replicas of each spec in the zone: wanted, serving and other.",
	}, []string{"spec", "state"})
	m.downtime = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_group_downtime_seconds_total",
		Help: "Time for which wanted replicas did not serve, summed over replicas.",
	}, []string{"spec"})
	m.stranded = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "chervilloom_group_stranded_accelerators",
		Help: "Accelerators of live VMs that are in no serving group.",
	})
	m.strandedSeconds = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "chervilloom_group_stranded_accelerator_seconds_total",
		Help: "Time for which accelerators were stranded, summed over accelerators.",
	})
}

// observePlan records a plan; since is the time from the previous plan, 0 for the
// first one of a tenure.
func (m *metrics) observePlan(took, since time.Duration, p *Plan) {
	m.planTime.Observe(took.Seconds())
	m.deferrals.Set(float64(len(p.Deferrals)))
	for i := range p.Specs {
		s := &p.Specs[i]
		m.replicas.WithLabelValues(s.Name, "wanted").Set(float64(s.Wanted))
		m.replicas.WithLabelValues(s.Name, "serving").Set(float64(s.Serving))
		m.replicas.WithLabelValues(s.Name, "other").Set(float64(s.Other))
		m.downtime.WithLabelValues(s.Name).Add(float64(s.Down) * since.Seconds())
	}
	m.stranded.Set(float64(p.StrandedAccelerators))
	m.strandedSeconds.Add(float64(p.StrandedAccelerators) * since.Seconds())
}

// resetGauges clears the gauges when the lease is lost; the new holder sets its
// own.
func (m *metrics) resetGauges() {
	m.replicas.Reset()
	m.stranded.Set(0)
	m.deferrals.Set(0)
}

func (m *metrics) countChange(k Kind, result string) {
	m.changes.WithLabelValues(string(k), result).Inc()
}

func (m *metrics) countOrder(v engine.Verb, result string) {
	m.orders.WithLabelValues(string(v), result).Inc()
}
