package quarantine

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	found, refused, crashes, suspects prometheus.Counter
	foundParts, refusedParts          prometheus.Counter
	checks                            *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, banned func() float64) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &metrics{
		found:        counter("chervilloom_quarantine_found_total", "Requests that this node has heard to end endpoints."),
		refused:      counter("chervilloom_quarantine_refused_total", "Sends that were refused because the request ends endpoints."),
		suspects:     counter("chervilloom_quarantine_suspects_total", "Requests that this node has heard to be run one at a time."),
		foundParts:   counter("chervilloom_quarantine_parts_found_total", "Prompt parts that this node has heard to end endpoints."),
		refusedParts: counter("chervilloom_quarantine_parts_refused_total", "Sends that were refused because a part of the prompt ends endpoints."),
		crashes:      counter("chervilloom_quarantine_ends_total", "Endpoints that ended with requests of this node."),
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_quarantine_checks_total", Help: "Checks of endpoints at which requests broke off, by what they found.",
		}, []string{"result"}),
	}
	if reg != nil {
		reg.MustRegister(m.found, m.refused, m.foundParts, m.refusedParts, m.crashes, m.suspects, m.checks, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chervilloom_quarantine_requests", Help: "Requests that are refused now.",
		}, banned))
	}
	return m
}
