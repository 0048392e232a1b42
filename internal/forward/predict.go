package forward

import (
	"math/rand/v2"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/expect"
	"chervilloom/internal/roster"
)

// isContended reports whether expected times decide about the request.
func (x *exchange) isContended() bool {
	return x.engine() != nil && x.f.Contended != nil && x.f.Contended(x.service)
}

// choosePredicted selects one of the candidates by the times that are predicted for the request
// there, and returns its index.
func (x *exchange) choosePredicted(eps []*roster.Endpoint, cands []balance.Candidate, states []balance.State, bounds balance.Bounds) (int, balance.Reason) {
	engine := x.engine()
	model := engine.Model(x.req.Model)
	if model == nil {
		return balance.Pick(cands, bounds, x.f.draw())
	}
	predicted := make([]balance.Predicted, len(cands))
	for i, e := range eps {
		c := cands[i]
		// Gaps enter the prediction instead.
		c.Avoid = states[i].Doubted || x.f.Ejector.Ejected(EjectionID(e))
		predicted[i] = x.predict(engine, model, c, states[i])
		p := &predicted[i]
		mayTry := e.Zone == x.f.Zone && len(x.tried) == 0 && !x.isClientRetry
		// Streams that run there show whether it is still slow.
		if mayTry && p.IsSlow() && states[i].Load < 1 {
			p.Trial = x.f.Tracker.TrialDue(e.ID, x.zoneNodeCount(), rand.Float64())
		}
	}
	return balance.PickPredicted(predicted, bounds, x.need(), x.f.draw())
}

// predict returns the candidate with the request's predicted times.
func (x *exchange) predict(engine *catalog.Engine, model *catalog.Model, c balance.Candidate, st balance.State) balance.Predicted {
	running := min(c.Load, float64(c.Slots))
	g := expect.Group{
		Pace: 1, Running: running, Waiting: c.Load - running, Unread: c.Unread, Slots: c.Slots,
		// The board doesn't state contexts: half of the usual answer has been generated on average.
		Context: running * float64(engine.UsualPrompt+engine.UsualAnswer/2),
	}
	if st.RecentGap > 0 || st.Pace > 1 {
		// A gap is compared with the pause at the load for which it was measured.
		measured := g
		measured.Running = min(max(running, st.GapLoad), float64(c.Slots))
		usual := expect.Predict(engine, model, measured, expect.Work{})
		g.Pace = balance.EffectivePace(st.Pace, st.RecentGap, usual.Pause)
	}
	at := expect.Predict(engine, model, g, expect.Work{Prompt: x.req.PromptTokens, Answer: x.req.ExpectedAnswerTokens})
	if st.Load >= 1 { // otherwise the gap is that of an earlier load
		at.Pause = max(at.Pause, st.RecentGap)
	}
	return balance.Predicted{Candidate: c, First: at.First, Pause: at.Pause, Pace: g.Pace}
}

// need returns how soon the request needs its events: a stream that has started needs the next one
// within its gap target.
func (x *exchange) need() balance.Need {
	n := balance.Need{First: balance.NoLimit, Pause: balance.NoLimit}
	now := x.f.Clock.Now()
	if x.route.GapAim > 0 {
		n.Pause = x.route.GapAim
	}
	switch {
	case x.lastEventAt != 0:
		if x.route.GapAim > 0 {
			n.First = max(0, x.route.GapAim-now.Sub(x.lastEventAt))
		}
	case x.route.Objective > 0:
		n.First = max(0, x.route.Objective-now.Sub(x.start))
	}
	return n
}

// zoneNodeCount returns the number of nodes in this node's zone.
func (x *exchange) zoneNodeCount() int {
	if x.f.ZoneNodeCount == nil {
		return x.f.NodeCount()
	}
	return x.f.ZoneNodeCount()
}
