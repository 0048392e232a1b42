package membership

import (
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/view"
)

type metrics struct {
	nodes    *prometheus.GaugeVec // by state
	dropped  *prometheus.CounterVec
	bytes    prometheus.Counter
	pauses   prometheus.Counter
	replaced prometheus.Counter
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "chervilloom", Subsystem: "membership", Name: name, Help: help}
	}
	m := &metrics{
		nodes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "chervilloom", Subsystem: "membership", Name: "nodes_count",
			Help: "Other nodes by state.",
		}, []string{"state"}),
		dropped:  prometheus.NewCounterVec(counter("dropped_total", "Messages that were not taken, by reason."), []string{"reason"}),
		bytes:    prometheus.NewCounter(counter("sent_bytes_total", "Bytes of messages handed to the links.")),
		pauses:   prometheus.NewCounter(counter("pauses_total", "Times that this process found that it had not run for a while.")),
		replaced: prometheus.NewCounter(counter("replaced_total", "Messages that told of a later process on this VM.")),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.nodes, m.dropped, m.bytes, m.pauses, m.replaced} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) setNodeCounts(nodes []view.Node) {
	counts := map[view.NodeState]int{view.NodeAlive: 0, view.NodeSuspect: 0, view.NodeDead: 0, view.NodeLeft: 0}
	for i := range nodes {
		counts[nodes[i].State]++
	}
	for state, n := range counts {
		m.nodes.WithLabelValues(string(state)).Set(float64(n))
	}
}
