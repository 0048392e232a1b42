package dispatch

import (
	"context"
	"net/http"

	"chervilloom/internal/answer"
	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
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
	r, err := newCall(ctx, s.req, vm.Record.Addr)
	if err != nil {
		return badCall(err)
	}
	resp, sn, err := d.client.do(r, s.req.Idempotent)
	if err != nil {
		t.blamed = ctx.Err() == nil
		return d.failed(ctx, sn, err)
	}
	defer resp.Body.Close()
	t.first(d.opt.Clock.Now())
	if oerr := checkService(resp, s.req.Idempotent); oerr != nil {
		t.blamed = true
		return oerr
	}
	h := answer.Head{Status: resp.StatusCode, Header: incoming(resp), Endpoint: vm.Record.VM}
	oerr := d.relayBody(ctx, s, resp, h, wholeDocument)
	t.blamed = oerr != nil && oerr.Kind == outcome.AnswerCut
	return oerr
}

// checkService tells a refusal from an answer. Whatever else a service
// answers is the caller's answer, errors included; only for a call that may be
// repeated is a failing gateway or server a reason to ask another one.
func checkService(resp *http.Response, idempotent bool) *outcome.Error {
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
