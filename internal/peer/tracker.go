package peer

import (
	"context"
	"sync"
)

// tracker counts relayed requests for Drain. The zero value is ready.
type tracker struct {
	mu       sync.Mutex
	running  int
	draining bool
	idle     chan struct{} // closed when running falls to 0 while someone waits
}

// enter counts one more, unless inbound ones are refused.
func (t *tracker) enter(inbound bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if inbound && t.draining {
		return false
	}
	t.running++
	return true
}

func (t *tracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *tracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

func (t *tracker) wait(ctx context.Context) error {
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
