package forward

import (
	"chervilloom/internal/backpressure"
	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// EjectionID returns the ejector's key for an endpoint. The key of a group head includes
// the group: failures of streams that were cut when a group lost a member must not count
// against the next group of the same head, which may serve a second later.
func EjectionID(e *roster.Endpoint) retry.ID {
	if e.Member.Group == "" {
		return retry.ID(e.ID)
	}
	return retry.ID(string(e.ID) + "@" + e.Member.Group)
}

// reportResult passes an attempt's result to the ejector, which excludes endpoints for a while
// that fail more than their peers although their health checks pass.
func (x *exchange) reportResult(ep *roster.Endpoint, res Result) {
	switch res {
	case Answered:
		x.f.Ejector.Report(EjectionID(ep), false)
	case MayHaveRun, Failed, OutOfTime:
		// This node aborted the attempt. A stalled head is already marked suspect, and
		// its group is dissolved.
		if x.isAbortedHere() {
			return
		}
		if res != Failed && !x.peer.IsDirect() {
			return // the node between may have failed
		}
		x.f.Ejector.Report(EjectionID(ep), true)
		if res == MayHaveRun {
			x.f.OnNoResponse(ep)
		}
	}
}

// pick returns the next endpoint, or nil if there is none. An endpoint whose ejection has
// expired gets one request as a trial, if that request may be repeated.
func (x *exchange) pick() *roster.Endpoint {
	eps := x.candidates()
	if x.route.Repeatable() {
		for _, e := range eps {
			if x.f.Ejector.Ejected(EjectionID(e)) && !x.wasTried(e.ID) && x.f.Ejector.AllowRequest(EjectionID(e)) {
				return e
			}
		}
	}
	ep, reason := x.choose(eps)
	x.pickReason = reason
	return ep
}

// candidateStats records the candidates of the newest selection, for the log.
type candidateStats struct {
	endpoints int // endpoints that could serve the request
	freeSlots int // their free slots, as far as this node knows
}

// choose selects one of the endpoints, an ejected one only if there is no other. Without
// one it returns nil and the reason. Endpoints are not full of requests whose answers only wait to be
// read by this node.
func (x *exchange) choose(eps []*roster.Endpoint) (*roster.Endpoint, balance.Reason) {
	ep, reason := x.chooseByLoad(eps)
	if reason != balance.AllFull || x.route.Repeat == catalog.Stream {
		return ep, reason
	}
	ids := make([]roster.ID, len(eps))
	for i, e := range eps {
		ids[i] = e.ID
	}
	if !x.f.Tracker.FindAnswers(ids) {
		return ep, reason
	}
	return x.chooseByLoad(eps)
}

// chooseByLoad selects an endpoint by the loads that the tracker knows.
func (x *exchange) chooseByLoad(eps []*roster.Endpoint) (*roster.Endpoint, balance.Reason) {
	profile := x.f.PlainProfile
	if x.engine() != nil {
		profile = x.f.EngineProfile
		profile.Bounds.SampleSize = x.f.SampleSize()
	}
	again := x.engine() != nil && len(x.tried) > 0
	if again {
		profile.Bounds.SampleSize = retrySampleSize
	}
	cands, states := make([]balance.Candidate, len(eps)), make([]balance.State, len(eps))
	x.candidateStats = candidateStats{endpoints: len(eps)}
	for i, e := range eps {
		st := x.f.Tracker.StateOf(e.ID, profile.Turnover)
		if e.Zone != x.f.Zone && x.engine() != nil {
			// The tracker knows only this node's own requests in another zone; the
			// zone's mean load includes those of the other nodes.
			mean := x.f.ZoneLoad(e.Zone, e.Model)
			load := mean.Load * float64(e.Slots)
			st.Load, st.Unread = max(st.Load, load), max(st.Unread, mean.Unread)
			st.Unconfirmed = min(st.Unconfirmed, st.Load-load)
		}
		states[i] = st
		x.candidateStats.freeSlots += max(0, e.Slots-int(st.Load))
		cands[i] = balance.Candidate{
			Load: st.Load, Unconfirmed: st.Unconfirmed, Slots: e.Slots, Unread: st.Unread, Local: again || e.Zone == x.f.Zone,
			Suspect: st.Suspect, Tried: x.wasTried(e.ID),
			Avoid: st.Doubted || x.f.Ejector.Ejected(EjectionID(e)) || x.route.GapAim > 0 && st.EventGap > x.route.GapAim,
		}
	}
	var i int
	var reason balance.Reason
	if predictions := x.predictAll(eps, states); predictions != nil {
		x.recordSupply(cands, predictions, profile.Bounds)
		i, reason = x.choosePredicted(eps, cands, states, predictions, profile.Bounds)
	} else {
		i, reason = balance.Pick(cands, profile.Bounds, x.f.draw())
	}
	if i < 0 {
		return nil, reason
	}
	return eps[i], reason
}

// retrySampleSize is the number of heads, from all zones alike, that are compared for a retry.
// When a group is lost, the nodes of its zone reassign its streams at the same moment from
// the same load counts. With a full comparison the least loaded of the two or three
// remaining heads got all of them and spent half a second on their prompts while the
// clients waited.
const retrySampleSize = 2

// backpressureID returns the backpressure guard's key for an endpoint.
func backpressureID(e *roster.Endpoint) backpressure.ID { return backpressure.ID(e.ID) }

// candidates returns the endpoints that could serve the request, without those that accept
// no requests from this node at present.
func (x *exchange) candidates() []*roster.Endpoint {
	view := x.f.View()
	all := view.Roster.Service(x.service)
	engine := x.engine()
	x.backingOff, x.backoffLeft, x.barredRegions = 0, 0, 0
	out := make([]*roster.Endpoint, 0, len(all))
	for _, e := range all {
		switch {
		case !e.Usable():
		case engine != nil && !(e.IsServingHead() && e.Model == x.req.Model):
		case view.Evacuated[e.Zone]:
		case !isAllowedRegion(x.f.Regions[e.Zone], x.route.AllowedRegions, x.organisationRegions):
			x.barredRegions++
		case x.f.Backpressure.IsLeaving(backpressureID(e)):
		case !x.f.Backpressure.AllowsCold(backpressureID(e), x.coldRate(&view, e)):
			x.noteBackingOff(e)
		default:
			out = append(out, e)
		}
	}
	return out
}

// coldRate returns the number of requests a second that the endpoint accepts from all nodes
// together while it is cold; 0: no limit.
func (x *exchange) coldRate(view *View, e *roster.Endpoint) float64 {
	s := x.catalog.Service(x.service)
	if s == nil || !e.Cold && !view.PresumedCold[e.Zone] {
		return 0
	}
	return s.ColdRate
}

// noteBackingOff counts an endpoint that accepts nothing at present and records the shortest
// time until one accepts requests again.
func (x *exchange) noteBackingOff(e *roster.Endpoint) {
	after := x.f.Backpressure.RetryAfter(backpressureID(e))
	if x.backingOff == 0 || after < x.backoffLeft {
		x.backoffLeft = after
	}
	x.backingOff++
}

// engine returns the engine declaration of the request's service, nil for a plain service.
func (x *exchange) engine() *catalog.Engine {
	if s := x.catalog.Service(x.service); s != nil {
		return s.Engine
	}
	return nil
}

func (x *exchange) wasTried(id roster.ID) bool {
	for _, t := range x.tried {
		if t == id {
			return true
		}
	}
	return false
}
