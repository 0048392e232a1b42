package dispatch

import (
	"context"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// endpointRun is a request at an endpoint, as the quarantine knows it.
type endpointRun struct {
	d        *Dispatcher
	req      *request.Request
	fp       quarantine.Fingerprint
	endpoint string // one life of it
	addr     string
}

func (d *Dispatcher) runAtMember(req *request.Request, m *fleet.Member) *endpointRun {
	return &endpointRun{d, req, fingerprintOf(req), lifeOf(m.VM, m.Boot), m.Addr}
}

// runAtService tells the lives of a plain endpoint apart by the boot of its newest load
// report. While a restart isn't reported yet its end counts with the former life's.
func (d *Dispatcher) runAtService(req *request.Request, vm *view.VM) *endpointRun {
	return &endpointRun{d, req, fingerprintOf(req), lifeOf(vm.Record.VM, vm.Load.Boot), vm.Record.Addr}
}

// lifeOf names one life of an endpoint.
func lifeOf(vm fleet.VM, boot fleet.BootID) string { return string(vm) + "@" + string(boot) }

// fingerprintOf is the same at each node that a request is passed on to.
func fingerprintOf(req *request.Request) quarantine.Fingerprint {
	return quarantine.Of(string(req.Organisation), req.Method, req.Service, req.Path, req.Body)
}

// allowed refuses a request that ends the endpoints that run it, and one that the endpoint
// doesn't take now. It is asked immediately before each send, whichever try it is.
func (r *endpointRun) allowed(ctx context.Context) *outcome.Error {
	if v, refused := r.d.opt.Quarantine.Refused(ctx, r.fp); refused {
		return v.Refusal()
	}
	return r.taken()
}

// broke notes that the endpoint gave no whole answer, unless the try was ended here.
func (r *endpointRun) broke(ctx context.Context) {
	if ctx.Err() == nil {
		r.d.opt.Quarantine.Broke(r.endpoint, r.addr, r.fp, quarantine.AttemptID(r.req.ID))
	}
}

// ended notes how the run ended.
func (r *endpointRun) ended(ctx context.Context, err *outcome.Error) {
	switch {
	case err == nil:
		r.d.opt.Quarantine.Sound(r.fp)
	case err.Kind == outcome.AnswerCut, err.Kind == outcome.EndpointFailed && err.Outcome != outcome.NotRun:
		r.broke(ctx)
	}
}
