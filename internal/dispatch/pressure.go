package dispatch

import (
	"cmp"
	"errors"
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
	return takesNothing(cmp.Or(r.d.opt.Backpressure.ComeBack(r.pressureID()), defaultComeBack))
}

// takesNothing refuses a request that no endpoint takes now. Callers that are refused for
// the same time return over as much again.
func takesNothing(comeBack time.Duration) *outcome.Error {
	after := comeBack + time.Duration(rand.Float64()*float64(comeBack))
	return outcome.New(outcome.Overloaded, outcome.NotRun, "the endpoints take nothing more now", "send the request again later").After(after)
}

// answered takes up what the endpoint says of how much it takes. It reports whether it asks for
// rest.
func (r *endpointRun) answered(resp *http.Response, sent clock.Instant) (rests bool) {
	w, err := wordsOf(resp)
	if err != nil {
		r.d.opt.Log.Debug("answer's header not readable", "request", r.req.ID, "endpoint", r.endpoint, "err", err)
	}
	r.d.opt.Backpressure.Answered(r.pressureID(), w, sent)
	return w.Rest > 0
}

// wordsOf reads what an answer says of its endpoint.
func wordsOf(resp *http.Response) (w backpressure.Words, err error) {
	w.Leaving = resp.Header.Get(engine.HeaderLeaving) == "1"
	err = w.ReadLimit(resp.Header.Get(engine.HeaderRateLimit))
	if resp.StatusCode == http.StatusServiceUnavailable {
		err = errors.Join(err, w.ReadRest(resp.Header.Values(headerRest)))
	}
	return w, err
}

// heldEndpoint is an endpoint that could serve a request and takes nothing now.
type heldEndpoint struct {
	vm       fleet.VM
	comeBack time.Duration // until it takes something again
}

type heldEndpoints []heldEndpoint

// heldBack returns the endpoints that could serve the request and take nothing from this
// node now.
func (d *Dispatcher) heldBack(req *request.Request, snap *view.Snapshot) (out heldEndpoints) {
	for _, id := range d.opt.Backpressure.Held() {
		if vm := holderOf(id, req, snap); vm != "" {
			out = append(out, heldEndpoint{vm, cmp.Or(d.opt.Backpressure.ComeBack(id), defaultComeBack)})
		}
	}
	return out
}

// holderOf returns the VM on which that life of an endpoint runs, if it is of the request's
// service or leads a group of its model; empty otherwise.
func holderOf(id backpressure.ID, req *request.Request, snap *view.Snapshot) fleet.VM {
	if req.Class == request.ClassModel {
		for i := range snap.Groups {
			g := &snap.Groups[i]
			if m := leader(g); g.Model == req.Target.Model && lifeOf(m.VM, m.Boot) == string(id) {
				return m.VM
			}
		}
		return ""
	}
	for i := range snap.VMs {
		v := &snap.VMs[i]
		if v.Record.Service == req.Service && lifeOf(v.Record.VM, v.Load.Boot) == string(id) {
			return v.Record.VM
		}
	}
	return ""
}

// tried returns them as destinations that a request shall not get.
func (h heldEndpoints) tried() []route.Tried {
	out := make([]route.Tried, len(h))
	for i, e := range h {
		out[i] = route.Tried{VM: e.vm}
	}
	return out
}

// comeBack returns when the first of them takes something again.
func (h heldEndpoints) comeBack() time.Duration {
	return slices.MinFunc(h, func(a, b heldEndpoint) int { return cmp.Compare(a.comeBack, b.comeBack) }).comeBack
}
