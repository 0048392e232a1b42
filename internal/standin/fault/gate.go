package fault

import (
	"context"
	"net/http"
	"sync"
)

// Gate holds callers back while it is shut. The zero value is open. It is safe
// for concurrent use.
type Gate struct {
	mu   sync.Mutex
	shut chan struct{} // closed when the gate opens; nil: open
}

// Set shuts or opens the gate.
func (g *Gate) Set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

// Shut reports whether the gate is shut.
func (g *Gate) Shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

// Wait returns when the gate is open, with whether it had to wait.
func (g *Gate) Wait(ctx context.Context) (waited bool, err error) {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return waited, ctx.Err()
		}
		waited = true
		select {
		case <-shut:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
	}
}

// The calls of tests, which a stalled stand-in answers too: how else would the
// stall be ended.
const (
	PathFaults     = "/faults"
	PathExecutions = "/executions"
)

// Serve serves r by h once the gate is open, and the calls of tests at once. A
// caller that leaves before gets nothing.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request, h http.Handler) {
	if r.URL.Path != PathFaults && r.URL.Path != PathExecutions {
		if _, err := g.Wait(r.Context()); err != nil {
			return
		}
	}
	h.ServeHTTP(w, r)
}
