package route

import "github.com/prometheus/client_golang/prometheus"

// meter counts choices and refusals. The children are looked up once: a lookup
// by label allocates.
type meter struct {
	choices  [ToNode + 1]prometheus.Counter
	refusals [refusals]prometheus.Counter
}

func newMeter(reg prometheus.Registerer) *meter {
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
	m := &meter{}
	for k := range m.choices {
		m.choices[k] = choices.WithLabelValues(Kind(k).String())
	}
	for why := NoneCarries; why < refusals; why++ {
		m.refusals[why] = refused.WithLabelValues(why.String())
	}
	return m
}

func (m *meter) chosen(k Kind)       { m.choices[k].Inc() }
func (m *meter) refused(why Refusal) { m.refusals[why].Inc() }
