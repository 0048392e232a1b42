package dispatch

import (
	"context"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// endpointRun is a request at an endpoint, as reported to the quarantine and backpressure
// guards.
type endpointRun struct {
	d           *Dispatcher
	req         *request.Request
	fingerprint quarantine.Fingerprint
	incarnation string // from incarnationID
	addr        string
}

func (d *Dispatcher) newMemberRun(req *request.Request, m *fleet.Member) *endpointRun {
	return &endpointRun{d, req, fingerprintOf(req), incarnationID(m.VM, m.Boot), m.Addr}
}

// newServiceRun identifies the incarnation of a plain endpoint by the boot ID of its
// latest load report. Until a restart is reported, failures count for the previous
// incarnation.
func (d *Dispatcher) newServiceRun(req *request.Request, vm *view.VM) *endpointRun {
	return &endpointRun{d, req, fingerprintOf(req), incarnationID(vm.Record.VM, vm.Load.Boot), vm.Record.Addr}
}

// incarnationID identifies one incarnation of an endpoint.
func incarnationID(vm fleet.VM, boot fleet.BootID) string { return string(vm) + "@" + string(boot) }

// fingerprintOf returns the fingerprint of a request, which is the same on every node
// that forwards it.
func fingerprintOf(req *request.Request) quarantine.Fingerprint {
	return quarantine.Of(string(req.Organisation), req.Method, req.Service, req.Path, req.Body)
}

// checkAllowed returns an error for a request that crashes the endpoints that run it, and
// for one that the endpoint does not accept now. It must be called immediately before
// each send, including retries.
func (r *endpointRun) checkAllowed(ctx context.Context) *outcome.Error {
	if v, refused := r.d.opt.Quarantine.Refused(ctx, r.fingerprint); refused {
		return v.Refusal()
	}
	return r.acquireSend()
}

// recordBroken records that the endpoint gave no complete response, unless the try was
// cancelled by this node.
func (r *endpointRun) recordBroken(ctx context.Context) {
	if ctx.Err() == nil {
		r.d.opt.Quarantine.AttemptFailed(r.incarnation, r.addr, r.fingerprint, quarantine.AttemptID(r.req.ID))
	}
}

// recordEnd records how the run ended.
func (r *endpointRun) recordEnd(ctx context.Context, err *outcome.Error) {
	switch {
	case err == nil:
		r.d.opt.Quarantine.RunSucceeded(r.fingerprint)
	case err.Kind == outcome.AnswerCut, err.Kind == outcome.EndpointFailed && err.Outcome != outcome.NotRun:
		r.recordBroken(ctx)
	}
}
