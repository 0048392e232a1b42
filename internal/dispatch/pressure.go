package dispatch

import (
	"cmp"
	"errors"
	"iter"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
	"chervilloom/internal/view"
)

// pressureID names a life of an endpoint to the guard of what endpoints take.
func (r *endpointRun) pressureID() backpressure.ID { return backpressure.ID(r.endpoint) }

// taken asks for one request to be sent.
func (r *endpointRun) taken() *outcome.Error {
	if r.d.opt.Backpressure.Take(r.pressureID()) {
		return nil
	}
	return takesNothing(cmp.Or(r.d.opt.Backpressure.RetryAfter(r.pressureID()), defaultComeBack)).WithCause(errUnsent)
}

// errUnsent is the cause of a try that was held back before anything was sent.
var errUnsent = errors.New("dispatch: held back before it was sent")

// takesNothing refuses a request that no endpoint takes now. Callers that are refused for
// the same time return over as much again.
func takesNothing(heldFor time.Duration) *outcome.Error {
	after := heldFor + time.Duration(rand.Float64()*float64(heldFor))
	return outcome.New(outcome.Overloaded, outcome.NotRun, "the endpoints take nothing more now", "send the request again later").After(after)
}

// answered takes up what the endpoint says of how much it takes. It reports whether it asks for
// a backoff.
func (r *endpointRun) answered(resp *http.Response, sent clock.Instant) (backsOff bool) {
	signals, err := signalsOf(resp)
	if err != nil {
		r.d.opt.Log.Debug("answer's header not readable", "request", r.req.ID, "endpoint", r.endpoint, "err", err)
	}
	r.d.opt.Backpressure.Answered(r.pressureID(), signals, sent)
	return signals.RetryAfter > 0
}

// signalsOf reads what an answer says of its endpoint.
func signalsOf(resp *http.Response) (s backpressure.Signals, err error) {
	s.Leaving = resp.Header.Get(engine.HeaderLeaving) == "1"
	err = s.ReadLimit(resp.Header.Get(engine.HeaderRateLimit))
	if resp.StatusCode == http.StatusServiceUnavailable {
		err = errors.Join(err, s.ReadRetryAfter(resp.Header.Values(engine.HeaderRetryAfter)))
	}
	return s, err
}

// held is what of a request's endpoints takes nothing from this node now.
type held struct {
	tried   []route.Tried // those endpoints, as destinations that the request shall not get
	heldFor time.Duration // until the first of them takes something again; 0: none does
	others  bool          // an endpoint that isn't among them carries what is asked for as well
}

// heldBack returns what takes nothing from this node now.
func (d *Dispatcher) heldBack(req *request.Request, snap *view.Snapshot) (h held) {
	ids := d.opt.Backpressure.Held()
	if len(ids) == 0 {
		return held{}
	}
	for vm, id := range carriers(req, snap) {
		if !slices.Contains(ids, id) {
			h.others = true
			continue
		}
		h.tried = append(h.tried, route.Tried{VM: vm})
		if d.opt.Backpressure.Leaving(id) {
			continue
		}
		after := cmp.Or(d.opt.Backpressure.RetryAfter(id), defaultComeBack)
		if h.heldFor == 0 || after < h.heldFor {
			h.heldFor = after
		}
	}
	return h
}

// carriers returns the VMs whose endpoints carry what a request asks for, whether or not they
// can serve now, with the lives that these are in. Leaving ones are not among them.
func carriers(req *request.Request, snap *view.Snapshot) iter.Seq2[fleet.VM, backpressure.ID] {
	if req.Class == request.ClassModel {
		return leaders(req, snap)
	}
	return func(yield func(fleet.VM, backpressure.ID) bool) {
		for i := range snap.VMs {
			v := &snap.VMs[i]
			if v.Record.Service != req.Service || v.Leaving || v.Record.State == fleet.StateLeaving {
				continue
			}
			if !yield(v.Record.VM, backpressure.ID(lifeOf(v.Record.VM, v.Load.Boot))) {
				return
			}
		}
	}
}

func leaders(req *request.Request, snap *view.Snapshot) iter.Seq2[fleet.VM, backpressure.ID] {
	return func(yield func(fleet.VM, backpressure.ID) bool) {
		for i := range snap.Groups {
			g := &snap.Groups[i]
			if g.Phase != fleet.PhaseServing || g.Model != req.Target.Model {
				continue
			}
			if m := leader(g); !yield(m.VM, backpressure.ID(lifeOf(m.VM, m.Boot))) {
				return
			}
		}
	}
}
