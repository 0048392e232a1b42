package accept

import (
	"context"
	"sync"
	"time"
)

// phase is how far a graceful shutdown has come.
type phase int

const (
	phaseOpen   phase = iota
	phaseNotice       // not ready, requests are still taken
	phaseClosed       // requests are refused "not run"
)

// flight counts the requests in progress. The phase and the count change under
// one lock: a request that entered before the close is waited for, one that
// comes after it is refused, and none falls between.
type flight struct {
	mu    sync.Mutex
	at    phase
	count int
	empty chan struct{} // closed when the last request leaves after the close
}

// enter counts a request in, unless the phase is phaseClosed.
func (f *flight) enter() phase {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at != phaseClosed {
		f.count++
	}
	return f.at
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.signal()
}

func (f *flight) phase() phase {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// move sets the phase, which only goes forward.
func (f *flight) move(to phase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to > f.at {
		f.at = to
	}
	if f.empty == nil {
		f.empty = make(chan struct{})
	}
	f.signal()
}

func (f *flight) signal() {
	if f.at != phaseClosed || f.count > 0 {
		return
	}
	select {
	case <-f.empty:
	default:
		close(f.empty)
	}
}

// Drain fails readiness, goes on taking requests for Options.Notice, then
// refuses new ones and waits for those in progress. It returns ctx's error
// when some are still in progress as ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.flight.move(phaseNotice)
	notice := time.NewTimer(s.opt.Notice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	s.flight.move(phaseClosed)
	select {
	case <-s.flight.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int {
	s.flight.mu.Lock()
	defer s.flight.mu.Unlock()
	return s.flight.count
}
