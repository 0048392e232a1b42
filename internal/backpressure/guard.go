// Package backpressure keeps to the load that endpoints accept. An endpoint under pressure
// names the requests a second that it takes from all nodes together: a few nodes share that
// rate limit and the others send it nothing. One that turns a request away may ask the node
// that sent it to back off, and one that leaves gets nothing new.
package backpressure

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
)

// Options are what a Guard needs.
type Options struct {
	Node  string // this one
	Clock clock.Clock
	Log   *slog.Logger
	// Order returns the nodes that may send to a limited endpoint, those that should first;
	// all nodes with the same view return the same. nil: this node is alone.
	Order func(ID) []string
	// Announce tells a notice to all other nodes; nil: there are none.
	Announce func(Notice)
	// Leaves is told once of each endpoint that says that it leaves; nil: nobody.
	Leaves     func(ID)
	Registerer prometheus.Registerer // nil: no metrics
}

// Guard is asked before each send, whichever attempt it is, and told of each answer. It is
// safe for concurrent use.
type Guard struct {
	Options
	metrics *metrics

	// quiet is set while no endpoint has said anything that is still kept: then a choice
	// among hundreds of endpoints takes no lock and reads no clock.
	quiet atomic.Bool

	mu       sync.Mutex // guards what follows
	limits   *limits
	backoffs *backoffs
	leaving  leaving
}

// New returns a guard that knows of no endpoint.
func New(o Options) *Guard {
	if o.Order == nil {
		o.Order = func(ID) []string { return nil }
	}
	if o.Announce == nil {
		o.Announce = func(Notice) {}
	}
	if o.Leaves == nil {
		o.Leaves = func(ID) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	g := &Guard{Options: o, limits: newLimits(o.Node), backoffs: newBackoffs(o.Node), leaving: leaving{}}
	g.metrics = newMetrics(o.Registerer, g)
	g.quiet.Store(true)
	return g
}

// noteQuiet is called under mu after each change.
func (g *Guard) noteQuiet() {
	g.quiet.Store(len(g.limits.by)+len(g.backoffs.by)+len(g.leaving) == 0)
}

// Allows reports whether the endpoint may be chosen for a request now.
func (g *Guard) Allows(id ID) bool {
	if g.quiet.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allows(id, g.Clock.Now())
}

func (g *Guard) allows(id ID, now clock.Instant) bool {
	return !g.leaving.has(id) && g.backoffs.allows(id, now) && g.limits.allows(id, now)
}

// Leaving reports whether the endpoint said that it leaves.
func (g *Guard) Leaving(id ID) bool {
	if g.quiet.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving.has(id)
}

// Take asks for one request to be sent now. Whoever sends one calls it immediately before:
// what other requests took since the endpoint was chosen counts.
func (g *Guard) Take(id ID) bool {
	if g.quiet.Load() {
		return true
	}
	tell, reason := g.take(id)
	g.announce(tell)
	if reason != "" {
		g.metrics.held.WithLabelValues(reason).Inc()
	}
	return reason == ""
}

// take returns why the request must not be sent, or what the others should be told.
func (g *Guard) take(id ID) (tell *Notice, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.leaving.has(id) {
		return nil, reasonLeaving
	}
	if !g.backoffs.allows(id, now) {
		return nil, reasonBackoff
	}
	ok, tell := g.limits.take(id, now)
	if !ok {
		return nil, reasonLimit
	}
	g.backoffs.take(id, now)
	return tell, ""
}

// Answered takes up the signals of the answer to a request that was sent at sent.
func (g *Guard) Answered(id ID, s Signals, sent clock.Instant) {
	if g.quiet.Load() && s == (Signals{}) {
		return
	}
	g.mu.Lock()
	now := g.Clock.Now()
	var tell *Notice
	if !s.LimitInvalid {
		tell = g.limits.answered(id, s.Limit, sent, now, g.Order)
	}
	begins := g.backoffs.answered(id, s.RetryAfter, sent, now)
	leaves := s.Leaving && g.leaving.add(id, now)
	g.noteQuiet()
	g.mu.Unlock()
	if leaves {
		g.Log.Info("endpoint says that it leaves", "endpoint", id)
		g.Leaves(id)
	}
	if begins {
		g.Log.Info("endpoint asks for a backoff", "endpoint", id, "retry_after_ms", s.RetryAfter.Milliseconds())
	}
	if tell != nil {
		g.logLimit(*tell)
		g.announce(tell)
	}
}

// Hear takes up another node's notice.
func (g *Guard) Hear(n Notice) {
	if n.Node == g.Node {
		return
	}
	g.mu.Lock()
	news := g.limits.hear(n, g.Clock.Now(), g.Order)
	g.noteQuiet()
	g.mu.Unlock()
	if news {
		g.logLimit(n)
	}
}

// RetryAfter returns after how long the endpoint can take a request that it isn't allowed now;
// 0: it leaves.
func (g *Guard) RetryAfter(id ID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving.has(id) {
		return 0
	}
	return max(g.backoffs.retryAfter(id, g.Clock.Now()), g.limits.retryAfter(id))
}

// Held returns the endpoints to which this node may send nothing now.
func (g *Guard) Held() []ID {
	if g.quiet.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	var held []ID
	for id := range g.limits.by {
		if !g.allows(id, now) {
			held = append(held, id)
		}
	}
	for id := range g.backoffs.by {
		if !g.allows(id, now) {
			held = append(held, id)
		}
	}
	for id := range g.leaving {
		held = append(held, id)
	}
	slices.Sort(held)
	return slices.Compact(held)
}

// Sweep forgets endpoints that are no longer listed, and takes up which nodes there are.
func (g *Guard) Sweep(listed func(ID) bool) {
	if g.quiet.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.noteQuiet()
	now := g.Clock.Now()
	g.limits.keep(listed, now, g.Order)
	g.backoffs.keep(now)
	g.leaving.keep(listed, now)
}

func (g *Guard) announce(n *Notice) {
	if n != nil {
		g.Announce(*n)
	}
}

func (g *Guard) logLimit(n Notice) {
	if n.Ended {
		g.Log.Info("rate limit of an endpoint has ended", "endpoint", n.ID, "from", n.Node)
		return
	}
	g.Log.Info("endpoint names a rate limit", "endpoint", n.ID, "limit", n.Rate, "from", n.Node)
}
