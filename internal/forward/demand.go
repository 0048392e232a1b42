package forward

import "chervilloom/internal/demand"

// recordDemand adds the request's expected work to the demand for its model.
func (x *exchange) recordDemand() {
	e := x.engine()
	if e == nil {
		return
	}
	m := e.Model(x.req.Model)
	if m == nil {
		return
	}
	answer := x.req.ExpectedAnswerTokens
	if answer <= 0 {
		answer = e.UsualAnswer
	}
	x.f.demand.Record(x.service, m.Name, e.ServiceTime(m, x.req.PromptTokens, answer).Seconds(), x.start)
}

// Demand returns the recent demand of this node's requests for a service.
func (f *Forwarder) Demand(service string) demand.Demand {
	return f.demand.Demand(service, f.Clock.Now())
}

// AllDemand returns the recent demand for each service.
func (f *Forwarder) AllDemand() []demand.ServiceDemand { return f.demand.All(f.Clock.Now()) }
