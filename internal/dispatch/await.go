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
	// servedLately is how long ago a target must have served for a request to wait when
	// nothing serves it now.
	servedLately = 2 * time.Second
	// pickPoll is the pause between two looks for a destination.
	pickPoll = 10 * time.Millisecond
	// roundPause is the pause before destinations are tried again that were all tried.
	roundPause = 50 * time.Millisecond
)

// served remembers when each target and plain service served a request of this node last.
type served struct {
	mu   sync.Mutex
	last map[string]clock.Instant
}

func targetKey(req *request.Request) string {
	if req.Service != "" {
		return "service " + req.Service
	}
	return "model " + req.Target.String()
}

func (s *served) note(req *request.Request, now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]clock.Instant{}
	}
	s.last[targetKey(req)] = now
}

func (s *served) lately(req *request.Request, now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.last[targetKey(req)]
	return ok && now.Sub(at) <= servedLately
}

// pick chooses a destination. Where there was one a moment ago and none is left, the request
// waits a little: a probe that is answered late takes a destination away until the next one,
// and all that comes in between would be refused. Where all were tried and nothing ran, they
// may be tried again: a group whose members missed a heartbeat refuses for a moment only.
func (d *Dispatcher) pick(ctx context.Context, s *session) (route.Choice, *outcome.Error) {
	choice, err := d.pickNow(s)
	if err == nil || err.Kind == outcome.Overloaded || !d.mayWait(s) {
		return choice, err
	}
	began := d.opt.Clock.Now()
	if s.tries > 0 {
		if !clock.Sleep(ctx, roundPause) {
			return choice, err
		}
		s.tried = nil
	}
	for range d.opt.PickWait / pickPoll {
		if !clock.Sleep(ctx, pickPoll) {
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

// mayWait reports whether a request for which there is no destination may wait for one. One
// that another node passed on is tried again by that node.
func (d *Dispatcher) mayWait(s *session) bool {
	if s.tries > 0 && (s.ran != outcome.NotRun || s.req.Hops > 0) {
		return false
	}
	return d.served.lately(s.req, d.opt.Clock.Now())
}

// pickNow chooses a destination among those that take requests now. Where no other carries
// what is asked for, the caller is told at once when they do again.
func (d *Dispatcher) pickNow(s *session) (route.Choice, *outcome.Error) {
	snap, now := d.opt.View.Snapshot(), d.opt.Clock.Now()
	h := d.heldBack(s.req, snap)
	choice, err := d.opt.Router.Pick(s.req, snap, now, slices.Concat(s.tried, h.tried))
	switch {
	case err == nil || h.heldFor == 0:
		return choice, err
	case h.others:
		return choice, err.After(min(err.RetryAfter, h.heldFor))
	}
	return choice, takesNothing(h.heldFor)
}
