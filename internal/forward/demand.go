package forward

import (
	"math"

	"chervilloom/internal/catalog"
	"chervilloom/internal/demand"
)

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
	if c := x.contention; c != nil {
		x.value = valueRecord{m.Name, c.rankWeight() * sizeWeight(e, x.req.PromptTokens, answer), false}
		x.f.demand.RecordValue(x.service, m.Name, x.value.weight, x.start)
	}
}

// valueRecord is the weight with which a request is part of the recorded demand; 0: it is
// not.
type valueRecord struct {
	model  string
	weight float64
	lost   bool // recorded as lost
}

const (
	// outputWeight is the size of a token of the answer relative to one of the prompt.
	outputWeight = 10
	// constantValue is the part of a request's weight that does not depend on its size;
	// callers value an answer at 0.3 + 0.7 x size.
	constantValue = 0.3
	// maxSize limits the size of a request relative to the usual one.
	maxSize = 4
)

// sizeWeight returns the weight of a request by its size relative to the service's usual
// request.
func sizeWeight(e *catalog.Engine, prompt, answer int) float64 {
	size, usual := float64(prompt+outputWeight*answer), float64(e.UsualPrompt+outputWeight*e.UsualAnswer)
	if size <= 0 || usual <= 0 {
		size, usual = 1, 1
	}
	return constantValue + (1-constantValue)*min(maxSize, size/usual)
}

// rankWeight returns the weight of a request by its rank: 1 for the most urgent one of the
// service, and half of the previous one for each of the others.
func (c *contention) rankWeight() float64 { return math.Exp2(-float64(c.request.Level)) }

// recordIfLate records the request as lost if its first event came after the objective or a
// pause exceeded the gap target.
func (x *exchange) recordIfLate() {
	if x.route.Objective > 0 && x.firstByteLatency > x.route.Objective || x.route.GapAim > 0 && x.maxGap > x.route.GapAim {
		x.recordLost()
	}
}

// recordLoss records a request as lost if it ends without a complete response, or if its
// client left without a first event after the objective. Requests that are quarantined or
// that no node can pass on are not recorded: more groups would not serve them.
func (x *exchange) recordLoss(step Step) {
	late := !x.progress.HeaderSent && x.route.Objective > 0 && x.f.Clock.Now().Sub(x.start) > x.route.Objective
	if (step != Finish || late) && !x.isQuarantined && !x.noPath {
		x.recordLost()
	}
}

func (x *exchange) recordLost() {
	if x.value.weight > 0 && !x.value.lost {
		x.value.lost = true
		x.f.demand.RecordLost(x.service, x.value.model, x.value.weight, x.f.Clock.Now())
	}
}

// Demand returns the recent demand of this node's requests for a service.
func (f *Forwarder) Demand(service string) demand.Demand {
	return f.demand.Demand(service, f.Clock.Now())
}

// AllDemand returns the recent demand for each service.
func (f *Forwarder) AllDemand() []demand.ServiceDemand { return f.demand.All(f.Clock.Now()) }
