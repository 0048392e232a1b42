package dispatch

import (
	"context"
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
// and all that comes in between would be refused.
func (d *Dispatcher) pick(ctx context.Context, s *session) (route.Choice, *outcome.Error) {
	choice, err := d.pickNow(s)
	if err == nil || s.tries > 0 || !d.served.lately(s.req, d.opt.Clock.Now()) {
		return choice, err
	}
	began := d.opt.Clock.Now()
	for range d.opt.PickWait / pickPoll {
		if !clock.Sleep(ctx, pickPoll) {
			return choice, err
		}
		if choice, err = d.pickNow(s); err == nil {
			break
		}
	}
	d.opt.Log.Info("request waited for a destination", "request", s.req.ID, "found", err == nil,
		"ms", d.opt.Clock.Now().Sub(began).Milliseconds())
	return choice, err
}

func (d *Dispatcher) pickNow(s *session) (route.Choice, *outcome.Error) {
	return d.opt.Router.Pick(s.req, d.opt.View.Snapshot(), d.opt.Clock.Now(), s.tried)
}
