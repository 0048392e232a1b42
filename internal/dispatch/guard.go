package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/view"
)

// lossCheckInterval is the interval at which pending responses are checked against the
// latest snapshot.
const lossCheckInterval = 100 * time.Millisecond

// lossGuard cancels requests whose response can no longer arrive.
type lossGuard struct {
	mu      sync.Mutex
	watched map[*watchedAnswer]struct{}
}

// watchedAnswer is a pending response monitored by lossGuard.
type watchedAnswer struct {
	pendingAnswer
	started atomic.Bool
	cancel  context.CancelCauseFunc
}

func newLossGuard() *lossGuard { return &lossGuard{watched: make(map[*watchedAnswer]struct{})} }

// watch returns a context that is cancelled when the replica is lost, and a function that
// ends the monitoring.
func (g *lossGuard) watch(ctx context.Context, s *session, group *view.Group) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchedAnswer{cancel: cancel, pendingAnswer: pendingAnswer{
		group: group.ID, generation: group.Generation, members: group.Members, idempotent: s.req.Idempotent,
	}}
	w.started.Store(s.started)
	s.watched = w
	g.mu.Lock()
	g.watched[w] = struct{}{}
	g.mu.Unlock()
	return ctx, func() {
		g.mu.Lock()
		delete(g.watched, w)
		g.mu.Unlock()
		s.watched = nil
		cancel(nil)
	}
}

// cancelLost cancels the requests whose replica is lost according to the snapshot and
// returns their number.
func (g *lossGuard) cancelLost(snap *view.Snapshot, now clock.Instant) (cancelled int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.watched {
		w.pendingAnswer.started = w.started.Load()
		if reason := lostReason(&w.pendingAnswer, snap, now); reason != "" {
			w.cancel(errors.New("dispatch: " + reason))
			delete(g.watched, w)
			cancelled++
		}
	}
	return cancelled
}

// lossCheckLoop checks pending responses periodically: losses follow from new snapshots
// and from elapsed time.
func (d *Dispatcher) lossCheckLoop(ctx context.Context) {
	clock.Every(ctx, lossCheckInterval, func() {
		cancelled := d.lossGuard.cancelLost(d.opt.View.Snapshot(), d.opt.Clock.Now())
		d.metrics.lost.Add(float64(cancelled))
	})
}
