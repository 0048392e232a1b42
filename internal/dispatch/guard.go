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

// guardInterval is how often the answers that are waited for are compared with
// the newest snapshot.
const guardInterval = 100 * time.Millisecond

// guard gives up answers that cannot come any more.
type guard struct {
	mu    sync.Mutex
	waits map[*wait]struct{}
}

// wait is one answer that the guard looks after.
type wait struct {
	awaited
	begun  atomic.Bool
	cancel context.CancelCauseFunc
}

func newGuard() *guard { return &guard{waits: make(map[*wait]struct{})} }

// watch returns a context that ends when the answer is given up, and the
// function that ends the watch.
func (g *guard) watch(ctx context.Context, s *session, of *view.Group) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &wait{cancel: cancel, awaited: awaited{
		group: of.ID, generation: of.Generation, members: of.Members, idempotent: s.req.Idempotent,
	}}
	w.begun.Store(s.begun)
	s.wait = w
	g.mu.Lock()
	g.waits[w] = struct{}{}
	g.mu.Unlock()
	return ctx, func() {
		g.mu.Lock()
		delete(g.waits, w)
		g.mu.Unlock()
		s.wait = nil
		cancel(nil)
	}
}

// look gives up what is lost by the snapshot and returns how many that were.
func (g *guard) look(snap *view.Snapshot, now clock.Instant) (given int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.waits {
		w.awaited.begun = w.begun.Load()
		if reason := lost(&w.awaited, snap, now); reason != "" {
			w.cancel(errors.New("dispatch: " + reason))
			delete(g.waits, w)
			given++
		}
	}
	return given
}

// guardLoop looks at each new snapshot, and again as time passes.
func (d *Dispatcher) guardLoop(ctx context.Context) {
	clock.Every(ctx, guardInterval, func() {
		given := d.guard.look(d.opt.View.Snapshot(), d.opt.Clock.Now())
		d.metrics.lost.Add(float64(given))
	})
}
