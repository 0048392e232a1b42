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

// backpressureID returns the ID of the endpoint's incarnation for the backpressure guard.
func (r *endpointRun) backpressureID() backpressure.ID { return backpressure.ID(r.incarnation) }

// acquireSend asks the backpressure guard for permission to send one request.
func (r *endpointRun) acquireSend() *outcome.Error {
	if r.d.opt.Backpressure.Take(r.backpressureID()) {
		return nil
	}
	return overloadedError(cmp.Or(r.d.opt.Backpressure.RetryAfter(r.backpressureID()), defaultRetryAfter)).WithCause(errUnsent)
}

// errUnsent is the cause of a try that backpressure stopped before anything was sent.
var errUnsent = errors.New("dispatch: stopped by backpressure before sending")

// overloadedError returns the error for a request that no endpoint accepts now. The retry
// delay is randomized between delay and twice delay, so that callers refused together do
// not return together.
func overloadedError(delay time.Duration) *outcome.Error {
	after := delay + time.Duration(rand.Float64()*float64(delay))
	return outcome.New(outcome.Overloaded, outcome.NotRun, "the endpoints take nothing more now", "send the request again later").WithRetryAfter(after)
}

// recordSignals passes the backpressure signals of a response to the guard. It reports
// whether the endpoint asks for a backoff.
func (r *endpointRun) recordSignals(resp *http.Response, sent clock.Instant) (asksBackoff bool) {
	signals, err := signalsOf(resp)
	if err != nil {
		r.d.opt.Log.Debug("response header is unreadable", "request", r.req.ID, "endpoint", r.incarnation, "err", err)
	}
	r.d.opt.Backpressure.RecordAnswer(r.backpressureID(), signals, sent)
	return signals.RetryAfter > 0
}

// signalsOf parses the backpressure signals in the headers of a response.
func signalsOf(resp *http.Response) (s backpressure.Signals, err error) {
	s.Leaving = resp.Header.Get(engine.HeaderLeaving) == "1"
	err = s.ParseLimit(resp.Header.Get(engine.HeaderRateLimit))
	if resp.StatusCode == http.StatusServiceUnavailable {
		err = errors.Join(err, s.ParseRetryAfter(resp.Header.Values(engine.HeaderRetryAfter)))
	}
	return s, err
}

// limitedEndpoints describes the endpoints of a request that accept nothing from this
// node now.
type limitedEndpoints struct {
	excluded       []route.TriedDestination // the endpoints, as destinations to exclude
	availableAfter time.Duration            // until the first of them accepts a request; 0 if none does
	othersMatch    bool                     // another endpoint can also serve the request
}

// findLimited returns the endpoints of the request that accept nothing from this node
// now.
func (d *Dispatcher) findLimited(req *request.Request, snap *view.Snapshot) (limited limitedEndpoints) {
	ids := d.opt.Backpressure.Blocked()
	if len(ids) == 0 {
		return limitedEndpoints{}
	}
	for vm, id := range matchingEndpoints(req, snap) {
		if !slices.Contains(ids, id) {
			limited.othersMatch = true
			continue
		}
		limited.excluded = append(limited.excluded, route.TriedDestination{VM: vm})
		if d.opt.Backpressure.IsLeaving(id) {
			continue
		}
		after := cmp.Or(d.opt.Backpressure.RetryAfter(id), defaultRetryAfter)
		if limited.availableAfter == 0 || after < limited.availableAfter {
			limited.availableAfter = after
		}
	}
	return limited
}

// matchingEndpoints returns the VMs whose endpoints match a request, whether or not they
// can serve now, with the IDs of their incarnations. Leaving endpoints are omitted.
func matchingEndpoints(req *request.Request, snap *view.Snapshot) iter.Seq2[fleet.VM, backpressure.ID] {
	if req.Class == request.ClassModel {
		return matchingLeaders(req, snap)
	}
	return func(yield func(fleet.VM, backpressure.ID) bool) {
		for i := range snap.VMs {
			v := &snap.VMs[i]
			if v.Record.Service != req.Service || v.Leaving || v.Record.State == fleet.StateLeaving {
				continue
			}
			if !yield(v.Record.VM, backpressure.ID(incarnationID(v.Record.VM, v.Load.Boot))) {
				return
			}
		}
	}
}

func matchingLeaders(req *request.Request, snap *view.Snapshot) iter.Seq2[fleet.VM, backpressure.ID] {
	return func(yield func(fleet.VM, backpressure.ID) bool) {
		for i := range snap.Groups {
			g := &snap.Groups[i]
			if g.Phase != fleet.PhaseServing || g.Model != req.Target.Model {
				continue
			}
			if m := leader(g); !yield(m.VM, backpressure.ID(incarnationID(m.VM, m.Boot))) {
				return
			}
		}
	}
}
