package dispatch

import (
	"context"
	"sync"
	"time"

	"chervilloom/internal/clock"
)

const (
	maxDetachedStreams    = 1024
	detachedCheckInterval = 50 * time.Millisecond
)

// detachedStreams keeps streams for a grace period after their callers disconnected. A
// caller that lost its connection resumes with the last event ID; a stream cancelled
// immediately could not be resumed. A caller that reconnects through another node is
// forwarded to the node that keeps the stream, so that no node cancels a stream that
// another node reads.
type detachedStreams struct {
	mu        sync.Mutex
	keptUntil map[abandonedStream]clock.Instant
}

func newDetachedStreams() *detachedStreams {
	return &detachedStreams{keptUntil: make(map[abandonedStream]clock.Instant)}
}

// add keeps a stream until the given time. It reports false if the maximum number of
// streams is reached.
func (l *detachedStreams) add(a abandonedStream, until clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keptUntil) >= maxDetachedStreams {
		return false
	}
	l.keptUntil[a] = until
	return true
}

// remove removes a stream whose caller has resumed it.
func (l *detachedStreams) remove(a abandonedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.keptUntil, a)
}

// takeExpired removes and returns the streams that were not resumed in time.
func (l *detachedStreams) takeExpired(now clock.Instant) []abandonedStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []abandonedStream
	for a, until := range l.keptUntil {
		if !now.Before(until) {
			out = append(out, a)
			delete(l.keptUntil, a)
		}
	}
	return out
}

// detach keeps the stream of a disconnected caller if it can be resumed, and cancels it
// otherwise.
func (d *Dispatcher) detach(a abandonedStream, resumable bool) {
	if resumable && d.opt.ResumeGrace > 0 && d.detached.add(a, d.opt.Clock.Now().Add(d.opt.ResumeGrace)) {
		return
	}
	d.queueCancel(a)
}

func (d *Dispatcher) cancelExpiredLoop(ctx context.Context) {
	clock.Every(ctx, detachedCheckInterval, func() {
		for _, a := range d.detached.takeExpired(d.opt.Clock.Now()) {
			d.queueCancel(a)
		}
	})
}
