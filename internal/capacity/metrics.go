package capacity

import "github.com/prometheus/client_golang/prometheus"

// metrics exports targets and demand by spec. The configuration bounds the number
// of label values.
type metrics struct {
	targets *prometheus.GaugeVec
	demand  *prometheus.GaugeVec
	known   map[string]struct{}
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"spec"})
	}
	m := &metrics{
		targets: gauge("chervilloom_capacity_target_replicas", "Replicas that the zone should hold, at the holder of the duty."),
		demand:  gauge("chervilloom_capacity_demand_requests", "Requests running or waiting in engines, all zones together."),
		known:   make(map[string]struct{}),
	}
	if reg != nil {
		reg.MustRegister(m.targets, m.demand)
	}
	return m
}

func (m *metrics) set(spec string, replicas int, demand float64) {
	m.known[spec] = struct{}{}
	m.targets.WithLabelValues(spec).Set(float64(replicas))
	m.demand.WithLabelValues(spec).Set(demand)
}

// deleteExcept removes the label values of specs that are not in specs.
func (m *metrics) deleteExcept(specs map[string]int) {
	for spec := range m.known {
		if _, ok := specs[spec]; ok {
			continue
		}
		m.targets.DeleteLabelValues(spec)
		m.demand.DeleteLabelValues(spec)
		delete(m.known, spec)
	}
}
