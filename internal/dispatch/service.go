package dispatch

import (
	"context"
	"net/http"

	"chervilloom/internal/answer"
	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// headerServiceNotRun is "true" on a 503 of a plain service that guarantees that the
// request did not run; engine.HeaderNotRun means the same.
const headerServiceNotRun = "Service-Not-Run"

func promisesNotRun(h http.Header) bool {
	return h.Get(headerServiceNotRun) == "true" || h.Get(engine.HeaderNotRun) == "true"
}

// sendService makes one try at an endpoint of a plain service.
func (d *Dispatcher) sendService(ctx context.Context, s *session, vm *view.VM, t *try) *outcome.Error {
	ctx, cancel := context.WithCancel(ctx) // closes the unread part of the response
	defer cancel()
	r, err := d.fetch(ctx, s.req, vm, t)
	if err == nil {
		err = d.deliver(ctx, s, r)
	}
	t.endpointFailed = t.endpointFailed || err != nil && err.Kind == outcome.AnswerCut
	return err
}

// fetch sends a request to an endpoint of a plain service. The unbuffered rest of the
// reply can be read until ctx ends.
func (d *Dispatcher) fetch(ctx context.Context, req *request.Request, vm *view.VM, t *try) (*reply, *outcome.Error) {
	r, err := newCall(ctx, req, vm.Record.Addr)
	if err != nil {
		return nil, badRequestError(err)
	}
	run := d.newServiceRun(req, vm)
	if refused := run.checkAllowed(ctx); refused != nil {
		return nil, refused
	}
	rep, oerr := d.exchange(ctx, req, vm, t, r, run)
	run.recordEnd(ctx, oerr)
	return rep, oerr
}

// exchange sends the call and receives its response.
func (d *Dispatcher) exchange(ctx context.Context, req *request.Request, vm *view.VM, t *try, r *http.Request, run *endpointRun) (*reply, *outcome.Error) {
	sent := d.opt.Clock.Now()
	resp, sn, err := d.client.do(r, req.Idempotent)
	if err != nil {
		t.endpointFailed = ctx.Err() == nil
		return nil, d.sendError(ctx, sn, err)
	}
	t.markFirstByte(d.opt.Clock.Now())
	asksBackoff := run.recordSignals(resp, sent)
	if oerr := checkServiceResponse(resp, req.Idempotent); oerr != nil {
		resp.Body.Close()
		t.endpointFailed = !asksBackoff // a backoff is enforced separately; a failure would outlast it
		return nil, oerr
	}
	h := answer.Head{Status: resp.StatusCode, Header: incomingHeaders(resp), Endpoint: vm.Record.VM}
	rep, oerr := d.receive(ctx, resp, h, checkDocument)
	if oerr != nil || rep.rest == nil {
		resp.Body.Close()
	}
	return rep, oerr
}

// checkServiceResponse returns an error for a refusal. Any other response of a service,
// including an error status, is forwarded to the caller; a gateway error or 503 without
// the not-run guarantee is retried elsewhere only if the request is idempotent.
func checkServiceResponse(resp *http.Response, idempotent bool) *outcome.Error {
	if !isFinalStatus(resp) {
		return unknownRefusal(resp)
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		if promisesNotRun(resp.Header) {
			return notRunRefusal(resp)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		return nil
	}
	if idempotent {
		return unknownRefusal(resp)
	}
	return nil
}
