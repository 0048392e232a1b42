package forward

import (
	"math/rand/v2"
	"time"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/expect"
	"chervilloom/internal/roster"
)

// isContended reports whether expected times decide about the request.
func (x *exchange) isContended() bool {
	return x.engine() != nil && x.f.Contended != nil && x.f.Contended(x.service)
}

// predictAll returns the request's predicted times at the candidates, nil unless they decide about
// it. states are those of the candidates.
func (x *exchange) predictAll(eps []*roster.Endpoint, states []balance.State) []prediction {
	if !x.isContended() {
		return nil
	}
	engine := x.engine()
	model := engine.Model(x.req.Model)
	if model == nil {
		return nil
	}
	out := make([]prediction, len(eps))
	factor := x.f.corrector.Factor(x.req.Model)
	for i, e := range eps {
		out[i] = x.predict(engine, model, e.Slots, states[i])
		out[i].First = time.Duration(factor * float64(out[i].First))
	}
	return out
}

// choosePredicted selects one of the candidates by the times that are predicted for the request
// there, and returns its index.
func (x *exchange) choosePredicted(eps []*roster.Endpoint, cands []balance.Candidate, states []balance.State, predictions []prediction, bounds balance.Bounds) (int, balance.Reason) {
	predicted := make([]balance.Predicted, len(cands))
	for i, e := range eps {
		at := &predictions[i]
		predicted[i] = balance.Predicted{Candidate: cands[i], First: at.First, Pause: at.Pause, Pace: at.pace}
		p := &predicted[i]
		// Gaps enter the prediction instead.
		p.Avoid = states[i].Doubted || x.f.Ejector.Ejected(EjectionID(e))
		mayTry := e.Zone == x.f.Zone && len(x.tried) == 0 && !x.isClientRetry
		// Streams that run there show whether it is still slow.
		if mayTry && p.IsSlow() && states[i].Load < 1 {
			p.Trial = x.f.Tracker.TrialDue(e.ID, x.zoneNodeCount(), rand.Float64())
		}
	}
	return balance.PickPredicted(predicted, bounds, x.need(), x.f.draw())
}

// prediction is what is predicted for a request at a group.
type prediction struct {
	expect.Estimate
	pace float64 // slowdown of the group, see balance.EffectivePace
}

// predict returns the request's times at a group in the given state, without the learnt correction.
func (x *exchange) predict(engine *catalog.Engine, model *catalog.Model, slots int, st balance.State) prediction {
	g := groupOf(engine, model, slots, st)
	at := expect.Predict(engine, model, g, expect.Work{Prompt: x.req.PromptTokens, Answer: x.expectedAnswer(engine)})
	if st.Load >= 1 { // otherwise the gap is that of an earlier load
		at.Pause = max(at.Pause, st.RecentGap)
	}
	return prediction{at, g.Pace}
}

// groupOf returns what this node knows about a group. The contexts of its requests are not known;
// those of half answered requests of the usual size are assumed.
func groupOf(engine *catalog.Engine, model *catalog.Model, slots int, st balance.State) expect.Group {
	running := min(st.Load, float64(slots))
	g := expect.Group{Pace: 1, Running: running, Waiting: st.Load - running, Unread: st.Unread, Slots: slots}
	if st.RecentGap <= 0 && st.Pace <= 1 {
		return g
	}
	// A gap is compared with the pause at the load for which it was measured.
	measured := g
	measured.Running = min(max(running, st.GapLoad), float64(slots))
	usual := expect.Predict(engine, model, measured, expect.Work{})
	g.Pace = balance.EffectivePace(st.Pace, st.RecentGap, usual.Pause)
	if st.Load >= 1 { // otherwise the gap is that of an earlier load
		// What exceeds the usual pause is part of the pace, or is not taken for slowness.
		g.EventGap = min(st.RecentGap, time.Duration(g.Pace*float64(usual.Pause)))
	}
	return g
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
