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

// headerServiceNotRun is "true" on a plain service's 503 that promises that
// nothing ran; engine.HeaderNotRun says the same.
const headerServiceNotRun = "Service-Not-Run"

func promisesNotRun(h http.Header) bool {
	return h.Get(headerServiceNotRun) == "true" || h.Get(engine.HeaderNotRun) == "true"
}

// sendService makes one try at an endpoint of a plain service.
func (d *Dispatcher) sendService(ctx context.Context, s *session, vm *view.VM, t *try) *outcome.Error {
	ctx, cancel := context.WithCancel(ctx) // closes what is left of the answer
	defer cancel()
	r, err := d.fetch(ctx, s.req, vm, t)
	if err == nil {
		err = d.deliver(ctx, s, r)
	}
	t.blamed = t.blamed || err != nil && err.Kind == outcome.AnswerCut
	return err
}

// fetch asks an endpoint of a plain service. What the reply does not hold is
// open until ctx ends.
func (d *Dispatcher) fetch(ctx context.Context, req *request.Request, vm *view.VM, t *try) (*reply, *outcome.Error) {
	r, err := newCall(ctx, req, vm.Record.Addr)
	if err != nil {
		return nil, badCall(err)
	}
	run := d.runAtService(req, vm)
	if refused := run.allowed(ctx); refused != nil {
		return nil, refused
	}
	rep, told := d.exchange(ctx, req, vm, t, r, run)
	run.ended(ctx, told)
	return rep, told
}

// exchange sends the call and receives its answer.
func (d *Dispatcher) exchange(ctx context.Context, req *request.Request, vm *view.VM, t *try, r *http.Request, run *endpointRun) (*reply, *outcome.Error) {
	sent := d.opt.Clock.Now()
	resp, sn, err := d.client.do(r, req.Idempotent)
	if err != nil {
		t.blamed = ctx.Err() == nil
		return nil, d.failed(ctx, sn, err)
	}
	t.first(d.opt.Clock.Now())
	backsOff := run.answered(resp, sent)
	if oerr := checkService(resp, req.Idempotent); oerr != nil {
		resp.Body.Close()
		t.blamed = !backsOff // what it asks for is kept; held against it, it would be avoided long after
		return nil, oerr
	}
	h := answer.Head{Status: resp.StatusCode, Header: incoming(resp), Endpoint: vm.Record.VM}
	rep, oerr := d.receive(ctx, resp, h, wholeDocument)
	if oerr != nil || rep.rest == nil {
		resp.Body.Close()
	}
	return rep, oerr
}

// checkService tells a refusal from an answer. Whatever else a service
// answers is the caller's answer, errors included; only for a call that may be
// repeated is a failing gateway or server a reason to ask another one.
func checkService(resp *http.Response, idempotent bool) *outcome.Error {
	if !isAnswer(resp) {
		return refusedUnknown(resp)
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		if promisesNotRun(resp.Header) {
			return refusedNotRun(resp)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		return nil
	}
	if idempotent {
		return refusedUnknown(resp)
	}
	return nil
}
