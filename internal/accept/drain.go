package accept

import (
	"context"
	"sync"
	"time"
)

// phase is the progress of a graceful shutdown.
type phase int

const (
	phaseOpen   phase = iota
	phaseNotice       // not ready, requests are still accepted
	phaseClosed       // requests are refused with the outcome "not run"
)

// inFlightCounter counts the requests in progress. One lock guards the phase and
// the count: a request is either counted before the close and waited for, or
// refused after it.
type inFlightCounter struct {
	mu      sync.Mutex
	current phase
	count   int
	drained chan struct{} // closed when phaseClosed is reached and count is zero
}

// enter adds a request unless the phase is phaseClosed. It returns the phase.
func (f *inFlightCounter) enter() phase {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != phaseClosed {
		f.count++
	}
	return f.current
}

func (f *inFlightCounter) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.signalIfDrained()
}

func (f *inFlightCounter) currentPhase() phase {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// advance sets the phase; a move back to an earlier phase is ignored.
func (f *inFlightCounter) advance(to phase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to > f.current {
		f.current = to
	}
	if f.drained == nil {
		f.drained = make(chan struct{})
	}
	f.signalIfDrained()
}

func (f *inFlightCounter) signalIfDrained() {
	if f.current != phaseClosed || f.count > 0 {
		return
	}
	select {
	case <-f.drained:
	default:
		close(f.drained)
	}
}

// Drain fails the readiness check, accepts requests for Options.DrainNotice
// more, then refuses new ones and waits for those in progress. It returns
// ctx.Err() if requests are still in progress when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.inFlight.advance(phaseNotice)
	notice := time.NewTimer(s.opt.DrainNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	s.inFlight.advance(phaseClosed)
	select {
	case <-s.inFlight.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int {
	s.inFlight.mu.Lock()
	defer s.inFlight.mu.Unlock()
	return s.inFlight.count
}
