package fault

import (
	"context"
	"net/http"
	"sync"
)

// Gate blocks callers of Wait while it is shut. The zero value is open. It is safe for
// concurrent use.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while open
}

// Set shuts or opens the gate.
func (g *Gate) Set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.opened == nil:
		g.opened = make(chan struct{})
	case !shut && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// IsShut reports whether the gate is shut.
func (g *Gate) IsShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

// Wait blocks until the gate is open or ctx is done. It returns whether it had to wait,
// and the error of ctx.
func (g *Gate) Wait(ctx context.Context) (waited bool, err error) {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return waited, ctx.Err()
		}
		waited = true
		select {
		case <-opened:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
	}
}

// Paths of the control calls of tests. A stalled stand-in serves them too, since the
// stall is ended by one of them.
const (
	PathFaults     = "/faults"
	PathExecutions = "/executions"
)

// Serve serves r with h: control calls at once, others when the gate is open. It sends
// nothing if the caller disconnects before.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request, h http.Handler) {
	if r.URL.Path != PathFaults && r.URL.Path != PathExecutions {
		if _, err := g.Wait(r.Context()); err != nil {
			return
		}
	}
	h.ServeHTTP(w, r)
}
