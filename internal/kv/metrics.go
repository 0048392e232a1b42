package kv

import "github.com/prometheus/client_golang/prometheus"

type meter struct {
	moves        *prometheus.CounterVec
	savedSeconds prometheus.Counter
}

func newMeter(reg prometheus.Registerer) *meter {
	m := &meter{
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_kv_moves_total",
			Help: "Decisions on KV cache at the holder of the duty, by action and result.",
		}, []string{"action", "result"}),
		savedSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_kv_expected_saving_seconds_total",
			Help: "Engine time that the exports made were expected to save.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.moves, m.savedSeconds)
	}
	return m
}

func (m *meter) recordAction(a *Action, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.moves.WithLabelValues(string(a.Kind), result).Inc()
	if a.Kind == Export && err == nil {
		m.savedSeconds.Add(a.Savings.Seconds())
	}
}
