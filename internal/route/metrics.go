package route

import "github.com/prometheus/client_golang/prometheus"

// metrics counts choices and refusals. The counters are looked up once, as a
// lookup by label allocates.
type metrics struct {
	choices  [ToNode + 1]prometheus.Counter
	refusals [refusals]prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	choices := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_route_choices_total",
		Help: "Requests routed, by kind of destination.",
	}, []string{"kind"})
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_route_refusals_total",
		Help: "Requests for which no destination was found, by reason.",
	}, []string{"reason"})
	if reg != nil {
		reg.MustRegister(choices, refused)
	}
	m := &metrics{}
	for k := range m.choices {
		m.choices[k] = choices.WithLabelValues(Kind(k).String())
	}
	for why := NoneCarries; why < refusals; why++ {
		m.refusals[why] = refused.WithLabelValues(why.String())
	}
	return m
}

func (m *metrics) countChoice(k Kind)       { m.choices[k].Inc() }
func (m *metrics) countRefusal(why Refusal) { m.refusals[why].Inc() }
