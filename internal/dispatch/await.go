package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
)

const (
	// recentServeWindow is how recently a target must have served a request for new
	// requests to wait while it has no destination.
	recentServeWindow = 2 * time.Second
	// pickPollInterval is the interval between attempts to find a destination.
	pickPollInterval = 10 * time.Millisecond
	// retryRoundPause is the delay before destinations that were all tried are tried
	// again.
	retryRoundPause = 50 * time.Millisecond
)

// servedTimes records when each target or plain service last served a request of this
// node.
type servedTimes struct {
	mu         sync.Mutex
	lastServed map[string]clock.Instant
}

func targetKey(req *request.Request) string {
	if req.Service != "" {
		return "service " + req.Service
	}
	return "model " + req.Target.String()
}

func (s *servedTimes) record(req *request.Request, now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastServed == nil {
		s.lastServed = map[string]clock.Instant{}
	}
	s.lastServed[targetKey(req)] = now
}

func (s *servedTimes) servedRecently(req *request.Request, now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastServed[targetKey(req)]
	return ok && now.Sub(at) <= recentServeWindow
}

// pick chooses a destination. If a target that served a request recently has none, pick
// waits up to PickWait: a late probe reply hides a destination until the next probe, and
// every request in between would be refused. If all destinations were tried and nothing
// ran, they may be tried again, because a group whose members missed a heartbeat refuses
// requests only briefly.
func (d *Dispatcher) pick(ctx context.Context, s *session) (route.Choice, *outcome.Error) {
	choice, err := d.pickNow(s)
	if err == nil || err.Kind == outcome.Overloaded || !d.mayWait(s) {
		return choice, err
	}
	began := d.opt.Clock.Now()
	if s.tries > 0 {
		if !clock.Sleep(ctx, retryRoundPause) {
			return choice, err
		}
		s.tried = nil
	}
	for range d.opt.PickWait / pickPollInterval {
		if !clock.Sleep(ctx, pickPollInterval) {
			return choice, err
		}
		if choice, err = d.pickNow(s); err == nil {
			break
		}
	}
	d.opt.Log.Info("request waited for a destination", "request", s.req.ID, "found", err == nil,
		"tries", s.tries, "ms", d.opt.Clock.Now().Sub(began).Milliseconds())
	return choice, err
}

// mayWait reports whether a request without a destination may wait for one. A request
// forwarded by another node is not retried here after a failed try; the forwarding node
// retries it.
func (d *Dispatcher) mayWait(s *session) bool {
	if s.tries > 0 && (s.ran != outcome.NotRun || s.req.Hops > 0) {
		return false
	}
	return d.servedTimes.servedRecently(s.req, d.opt.Clock.Now())
}

// pickNow chooses a destination among those not limited by backpressure. If only limited
// endpoints serve the target, the error carries the time after which they accept requests
// again.
func (d *Dispatcher) pickNow(s *session) (route.Choice, *outcome.Error) {
	snap, now := d.opt.View.Snapshot(), d.opt.Clock.Now()
	limited := d.findLimited(s.req, snap)
	choice, err := d.opt.Router.Pick(s.req, snap, now, slices.Concat(s.tried, limited.excluded))
	switch {
	case err == nil || limited.availableAfter == 0:
		return choice, err
	case limited.othersMatch:
		return choice, err.WithRetryAfter(min(err.RetryAfter, limited.availableAfter))
	}
	return choice, overloadedError(limited.availableAfter)
}
