package forward

import (
	"math/rand/v2"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// EjectionID names an endpoint to the ejector. A head has another name in each
// of its groups: streams that broke off when a group lost a member say nothing
// about the group that the head leads a second later.
func EjectionID(e *roster.Endpoint) retry.ID {
	if e.Member.Group == "" {
		return retry.ID(e.ID)
	}
	return retry.ID(string(e.ID) + "@" + e.Member.Group)
}

// report tells the ejector how an attempt ended. Endpoints that fail more than
// their peers are left out for a while although their health check is good.
func (x *exchange) report(ep *roster.Endpoint, res Result) {
	switch res {
	case Answered:
		x.f.Ejector.Report(EjectionID(ep), false)
	case MayHaveRun, Failed, OutOfTime:
		// A head that stands still is suspect, and its group is taken apart.
		if x.endedHere() {
			return
		}
		x.f.Ejector.Report(EjectionID(ep), true)
		if res == MayHaveRun && x.engine() == nil {
			x.f.Unanswered(ep.ID)
		}
	}
}

// pick chooses the next endpoint, nil when there is none. An endpoint whose
// ejection is over gets one request as a trial, if that may be sent again.
func (x *exchange) pick() *roster.Endpoint {
	eps := x.candidates()
	if x.route.Repeatable() {
		for _, e := range eps {
			if x.f.Ejector.Ejected(EjectionID(e)) && !x.wasTried(e.ID) && x.f.Ejector.Usable(EjectionID(e)) {
				return e
			}
		}
	}
	ep, reason := x.choose(eps)
	x.noChoice = reason
	return ep
}

// choices is what a choice had to choose from, for the log.
type choices struct {
	endpoints int // that could serve the request
	freeSlots int // of theirs, as this node knew
}

// choose picks among the endpoints; ejected ones only when there is no other.
func (x *exchange) choose(eps []*roster.Endpoint) (*roster.Endpoint, balance.Reason) {
	profile := x.f.Plain
	if x.engine() != nil {
		profile = x.f.Engine
		profile.Bounds.Sample = x.f.Sample()
	}
	again := x.engine() != nil && len(x.tried) > 0
	if again {
		profile.Bounds.Sample = sampleAgain
	}
	cands := make([]balance.Candidate, len(eps))
	x.choices = choices{endpoints: len(eps)}
	for i, e := range eps {
		st := x.f.Tracker.Of(e.ID, profile.Turnover)
		if e.Zone != x.f.Zone && x.engine() != nil {
			// This node sees what it has there itself; the zone's mean tells the others'.
			mean := x.f.ZoneLoad(e.Zone, e.Model)
			load := mean.Load * float64(e.Slots)
			st.Load, st.Unread = max(st.Load, load), max(st.Unread, mean.Unread)
			st.Unconfirmed = min(st.Unconfirmed, st.Load-load)
		}
		x.choices.freeSlots += max(0, e.Slots-int(st.Load))
		cands[i] = balance.Candidate{
			Load: st.Load, Unconfirmed: st.Unconfirmed, Slots: e.Slots, Unread: st.Unread, Local: again || e.Zone == x.f.Zone,
			Suspect: st.Suspect, Tried: x.wasTried(e.ID),
			Avoid: st.Doubted || x.f.Ejector.Ejected(EjectionID(e)) || x.route.GapAim > 0 && st.Gap > x.route.GapAim,
		}
	}
	i, reason := balance.Pick(cands, profile.Bounds, int(rand.Uint32()))
	if i < 0 {
		return nil, reason
	}
	return eps[i], reason
}

// sampleAgain is how many heads are looked at for a request that goes on elsewhere, those of
// all zones alike. When a group is lost, the nodes of its zone place its streams at the same
// moment by the same board: the least loaded of the two or three heads that are left there
// got them all, and read their prompts for half a second while their clients waited.
const sampleAgain = 2

// pressureID names an endpoint to the guard of what endpoints take.
func pressureID(e *roster.Endpoint) backpressure.ID { return backpressure.ID(e.ID) }

// candidates returns the endpoints that could serve the request. Those that take nothing
// from this node now are left out.
func (x *exchange) candidates() []*roster.Endpoint {
	all := x.f.View().Roster.Service(x.service)
	engine := x.engine()
	x.held, x.heldFor = 0, 0
	out := make([]*roster.Endpoint, 0, len(all))
	for _, e := range all {
		switch {
		case !e.Usable():
		case engine != nil && !(e.Leads() && e.Model == x.req.Model):
		case x.f.Backpressure.Leaving(pressureID(e)):
		case !x.f.Backpressure.Allows(pressureID(e)):
			x.noteHeld(e)
		default:
			out = append(out, e)
		}
	}
	return out
}

// noteHeld counts an endpoint that takes nothing now, and notes when the first one does again.
func (x *exchange) noteHeld(e *roster.Endpoint) {
	after := x.f.Backpressure.RetryAfter(pressureID(e))
	if x.held == 0 || after < x.heldFor {
		x.heldFor = after
	}
	x.held++
}

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
