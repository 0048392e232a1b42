package backpressure

import "github.com/prometheus/client_golang/prometheus"

// The reasons for which sends are held back.
const reasonLimit = "rate_limit"

type metrics struct {
	held *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, g *Guard) *metrics {
	m := &metrics{held: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_sends_held_total", Help: "Sends that were held back after their endpoint was chosen, by what it had said.",
	}, []string{"reason"})}
	if reg == nil {
		return m
	}
	reg.MustRegister(m.held, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervilloom_endpoints_limited", Help: "Endpoints that name a rate limit, as this node knows.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.limits.by))
	}))
	return m
}
