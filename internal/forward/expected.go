package forward

import "chervilloom/internal/roster"

// predictFirst predicts the time to the first event of an attempt that is about to be sent. A
// resumed stream has none, since its engine also reads what was answered before, and neither has
// an attempt in another zone, of whose heads this node knows only its own requests.
func (x *exchange) predictFirst(ep *roster.Endpoint) {
	x.expectedFirst = 0
	engine := x.engine()
	if x.lastEventID != "" || ep.Zone != x.f.Zone || !x.isContended() {
		return
	}
	model := engine.Model(x.req.Model)
	if model == nil {
		return
	}
	x.expectedFirst = x.predict(engine, model, ep.Slots, x.f.Tracker.StateOf(ep.ID, x.f.EngineProfile.Turnover)).First
}

// observeFirst compares the corrected prediction with the time to the attempt's first event, and
// corrects further ones.
func (x *exchange) observeFirst() {
	if x.expectedFirst <= 0 {
		return
	}
	observed := x.f.Clock.Now().Sub(x.sentAt)
	predicted := float64(x.expectedFirst) * x.f.corrector.Factor(x.req.Model)
	x.f.corrector.Observe(x.req.Model, x.expectedFirst, observed)
	x.f.Metrics.firstEventRatio.WithLabelValues(x.req.Model).Observe(float64(observed) / predicted)
	x.expectedFirst = 0
}
