package forward

import "chervilloom/internal/demand"

// noteDemand counts what the request asks of its model's groups.
func (x *exchange) noteDemand() {
	e := x.engine()
	if e == nil {
		return
	}
	m := e.Model(x.req.Model)
	if m == nil {
		return
	}
	answer := x.req.Hint
	if answer <= 0 {
		answer = e.UsualAnswer
	}
	x.f.demand.Note(x.service, m.Name, e.Work(m, x.req.Prompt, answer).Seconds(), x.start)
}

// Demand returns what this node's requests for a service have asked for of late.
func (f *Forwarder) Demand(service string) demand.Demand {
	return f.demand.Of(service, f.Clock.Now())
}

// DemandOfAll returns the same for each service.
func (f *Forwarder) DemandOfAll() []demand.Told { return f.demand.All(f.Clock.Now()) }
