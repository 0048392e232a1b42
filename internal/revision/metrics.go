package revision

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	inForce prometheus.Gauge
	seen    prometheus.Gauge
	accepts *prometheus.CounterVec
	fetches *prometheus.CounterVec
	heals   prometheus.Counter
	clashes prometheus.Counter
	refused prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "chervilloom", Subsystem: "revision", Name: name, Help: help}
	}
	counter := func(name, help string) prometheus.CounterOpts { return prometheus.CounterOpts(opts(name, help)) }
	m := &metrics{
		inForce: prometheus.NewGauge(prometheus.GaugeOpts(opts("in_force_number", "Number of the configuration revision in force; 0: none."))),
		seen:    prometheus.NewGauge(prometheus.GaugeOpts(opts("seen_number", "Highest number heard of; above the one in force while the node is behind."))),
		accepts: prometheus.NewCounterVec(counter("accepts_total", "Documents proposed to this node by result."), []string{"result"}),
		fetches: prometheus.NewCounterVec(counter("fetches_total", "Revisions fetched by source and result."), []string{"source", "result"}),
		heals:   prometheus.NewCounter(counter("heals_total", "Times this node wrote revisions again that the table had lost.")),
		clashes: prometheus.NewCounter(counter("clashes_total", "Pairs of revisions accepted without knowledge of each other.")),
		refused: prometheus.NewCounter(counter("refused_total", "Revisions that this node could not use.")),
	}
	if r != nil {
		r.MustRegister(m.inForce, m.seen, m.accepts, m.fetches, m.heals, m.clashes, m.refused)
	}
	return m
}
