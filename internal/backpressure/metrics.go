package backpressure

import "github.com/prometheus/client_golang/prometheus"

// Reasons for holding a send back.
const (
	reasonLimit   = "rate_limit"
	reasonCold    = "cold"
	reasonBackoff = "backoff"
	reasonLeaving = "leaving"
)

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
	gauge := func(name, help string, count func() int) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(count())
		}))
	}
	reg.MustRegister(m.held)
	gauge("chervilloom_endpoints_limited", "Endpoints that name a rate limit, as this node knows.", func() int {
		return len(g.limits.byID)
	})
	gauge("chervilloom_endpoints_cold", "Cold endpoints whose requests are limited, as this node knows.", func() int {
		return len(g.cold.byID)
	})
	gauge("chervilloom_endpoints_backed_off", "Endpoints that asked this node to send nothing for a while.", func() int {
		return g.backoffs.countActive(g.Clock.Now())
	})
	gauge("chervilloom_endpoints_leaving", "Endpoints that said that they leave, those of the last minutes included.", func() int {
		return len(g.leaving)
	})
	return m
}
