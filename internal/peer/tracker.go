package peer

import (
	"context"
	"sync"
)

// relayTracker counts the relayed requests in flight, for Drain. The zero value is
// ready to use.
type relayTracker struct {
	mu       sync.Mutex
	running  int
	draining bool
	idle     chan struct{} // closed when running drops to 0; nil if nobody waits
}

// begin counts another request. It reports false, without counting, for an
// inbound request while draining.
func (t *relayTracker) begin(inbound bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if inbound && t.draining {
		return false
	}
	t.running++
	return true
}

func (t *relayTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *relayTracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

func (t *relayTracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.running == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
