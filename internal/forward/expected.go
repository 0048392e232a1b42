package forward

import (
	"chervilloom/internal/balance"
	"chervilloom/internal/expect"
	"chervilloom/internal/roster"
)

// predictFirst predicts the time to the first event of an attempt that is about to be sent. A
// resumed stream has none, since its engine also reads what was answered before, and neither has
// an attempt in another zone, of whose heads this node knows only its own requests.
func (x *exchange) predictFirst(ep *roster.Endpoint) {
	x.expectedFirst = 0
	engine := x.engine()
	if engine == nil || x.f.Contended == nil || x.lastEventID != "" || ep.Zone != x.f.Zone || !x.f.Contended(x.service) {
		return
	}
	model := engine.Model(x.req.Model)
	if model == nil {
		return
	}
	g := groupOf(ep, x.f.Tracker.StateOf(ep.ID, x.f.EngineProfile.Turnover))
	x.expectedFirst = expect.Predict(engine, model, g, expect.Work{Prompt: x.req.PromptTokens, Answer: x.req.MaxAnswerTokens}).First
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

// groupOf returns what this node knows about the group of a head.
func groupOf(ep *roster.Endpoint, st balance.State) expect.Group {
	running := min(st.Load, float64(ep.Slots))
	return expect.Group{Running: running, Waiting: st.Load - running, Unread: st.Unread, Slots: ep.Slots, EventGap: st.EventGap}
}
