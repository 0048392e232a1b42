package dispatch

import (
	"context"
	"sync"
	"time"

	"chervilloom/internal/clock"
)

const (
	lingerRoom     = 1024
	lingerInterval = 50 * time.Millisecond
)

// linger keeps the streams whose callers have left for a while. A caller that
// lost its connection comes back with the last event's id; a stream cancelled
// at once would have nothing left for it. A caller that comes back through
// another node is passed to the one that keeps the stream, so that no node
// cancels what another one reads.
type linger struct {
	mu  sync.Mutex
	due map[abandoned]clock.Instant
}

func newLinger() *linger { return &linger{due: make(map[abandoned]clock.Instant)} }

// keep keeps a stream until due. It reports false when there is no room.
func (l *linger) keep(a abandoned, due clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.due) >= lingerRoom {
		return false
	}
	l.due[a] = due
	return true
}

// resume takes a stream back whose caller has come back.
func (l *linger) resume(a abandoned) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.due, a)
}

// over takes out the streams whose callers have not come back in time.
func (l *linger) over(now clock.Instant) []abandoned {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []abandoned
	for a, due := range l.due {
		if !now.Before(due) {
			out = append(out, a)
			delete(l.due, a)
		}
	}
	return out
}

// leave is called for a stream whose caller has left.
func (d *Dispatcher) leave(a abandoned, resumable bool) {
	if resumable && d.opt.ResumeGrace > 0 && d.linger.keep(a, d.opt.Clock.Now().Add(d.opt.ResumeGrace)) {
		return
	}
	d.abandon(a)
}

func (d *Dispatcher) lingerLoop(ctx context.Context) {
	clock.Every(ctx, lingerInterval, func() {
		for _, a := range d.linger.over(d.opt.Clock.Now()) {
			d.abandon(a)
		}
	})
}
