// Package backpressure keeps the load within what endpoints accept. An endpoint under pressure
// names a rate limit, in requests a second from all nodes together: a few nodes share it and the
// others send nothing. The same holds for the rate that a service sets for its cold endpoints. An
// endpoint that rejects a request may ask the sending node to back off, and one that is leaving
// gets no new requests.
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

// Options configures a Guard.
type Options struct {
	Node  string // name of this node
	Clock clock.Clock
	Log   *slog.Logger
	// SenderOrder returns the nodes that may send to a rate-limited endpoint, preferred ones first;
	// all nodes with the same view return the same order. It returns none while this node doesn't
	// know the others: it then sends nothing to such an endpoint. nil: there are no other nodes.
	SenderOrder func(ID) []string
	// Broadcast sends a notice to all other nodes; nil: there are none.
	Broadcast func(Notice)
	// OnLeaving is called once for each endpoint that announces that it is leaving; may be nil.
	OnLeaving  func(ID)
	Registerer prometheus.Registerer // may be nil
}

// Guard applies the signals of endpoints: it is queried before each send, of whichever
// attempt, and receives the signals of each answer. It is safe for concurrent use.
type Guard struct {
	Options
	metrics *metrics

	// quiet is set while no signal of any endpoint is stored. A choice among hundreds of
	// endpoints then takes no lock and reads no clock.
	quiet atomic.Bool

	mu       sync.Mutex // protects the fields below
	limits   *limits
	cold     *coldRates
	backoffs *backoffs
	leaving  leavingEndpoints
}

// New returns a guard without any signals.
func New(o Options) *Guard {
	if o.SenderOrder == nil {
		o.SenderOrder = func(ID) []string { return []string{o.Node} }
	}
	if o.Broadcast == nil {
		o.Broadcast = func(Notice) {}
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(ID) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	g := &Guard{
		Options: o, limits: newLimits(o.Node), cold: newColdRates(o.Node, o.Clock.Now()), backoffs: newBackoffs(o.Node), leaving: leavingEndpoints{},
	}
	g.metrics = newMetrics(o.Registerer, g)
	g.quiet.Store(true)
	return g
}

// updateQuiet is called with mu held after each change.
func (g *Guard) updateQuiet() {
	g.quiet.Store(len(g.limits.byID)+len(g.backoffs.byID)+len(g.leaving) == 0)
}

// Allows reports whether the endpoint, which isn't cold, may be chosen for a request now.
func (g *Guard) Allows(id ID) bool { return g.AllowsCold(id, notCold) }

// AllowsCold reports the same for an endpoint that is cold and accepts coldRate requests a second
// from all nodes together; 0: it isn't cold, or has no such limit.
func (g *Guard) AllowsCold(id ID, coldRate float64) bool {
	if coldRate <= notCold && g.quiet.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	return g.cold.isAllowed(id, coldRate, now, g.SenderOrder) && g.isAllowed(id, now)
}

func (g *Guard) isAllowed(id ID, now clock.Instant) bool {
	return !g.leaving.contains(id) && g.backoffs.isAllowed(id, now) && g.limits.isAllowed(id, now)
}

// IsLeaving reports whether the endpoint has announced that it is leaving.
func (g *Guard) IsLeaving(id ID) bool {
	if g.quiet.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving.contains(id)
}

// Take reports whether one request may be sent now to an endpoint that isn't cold, and counts it
// if so. Senders call it immediately before each send, since other requests may have used the
// rate limit after the endpoint was chosen.
func (g *Guard) Take(id ID) bool { return g.TakeCold(id, notCold) }

// TakeCold does the same for an endpoint with a cold rate, as AllowsCold.
func (g *Guard) TakeCold(id ID, coldRate float64) bool {
	if coldRate <= notCold && g.quiet.Load() {
		return true
	}
	notice, reason := g.tryTake(id, coldRate)
	g.announce(notice)
	if reason != "" {
		g.metrics.held.WithLabelValues(reason).Inc()
	}
	return reason == ""
}

// tryTake returns the reason why the request must not be sent, or else a notice for the other
// nodes; nil: none.
func (g *Guard) tryTake(id ID, coldRate float64) (notice *Notice, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.leaving.contains(id) {
		return nil, reasonLeaving
	}
	if !g.backoffs.isAllowed(id, now) {
		return nil, reasonBackoff
	}
	if !g.cold.isAllowed(id, coldRate, now, g.SenderOrder) {
		return nil, reasonCold
	}
	ok, notice := g.limits.tryTake(id, now)
	if !ok {
		return nil, reasonLimit
	}
	g.cold.recordSend(id, coldRate, now)
	g.backoffs.recordSend(id, now)
	return notice, ""
}

// RecordAnswer processes the signals of the answer to a request that was sent at sentAt.
func (g *Guard) RecordAnswer(id ID, s Signals, sentAt clock.Instant) {
	if g.quiet.Load() && s == (Signals{}) {
		return
	}
	g.mu.Lock()
	now := g.Clock.Now()
	var notice *Notice
	if !s.LimitInvalid {
		notice = g.limits.recordAnswer(id, s.Limit, sentAt, now, g.SenderOrder)
	}
	backoffBegins := g.backoffs.recordAnswer(id, s.RetryAfter, sentAt, now)
	isLeaving := s.Leaving && g.leaving.add(id, now)
	g.updateQuiet()
	g.mu.Unlock()
	if isLeaving {
		g.Log.Info("endpoint is leaving", "endpoint", id)
		g.OnLeaving(id)
	}
	if backoffBegins {
		g.Log.Info("endpoint requests a backoff", "endpoint", id, "retry_after_ms", s.RetryAfter.Milliseconds())
	}
	if notice != nil {
		g.logLimit(*notice)
		g.announce(notice)
	}
}

// Receive processes another node's notice.
func (g *Guard) Receive(n Notice) {
	if n.Node == g.Node {
		return
	}
	g.mu.Lock()
	changed := g.limits.applyNotice(n, g.Clock.Now(), g.SenderOrder)
	g.updateQuiet()
	g.mu.Unlock()
	if changed {
		g.logLimit(n)
	}
}

// RetryAfter returns the time until an endpoint that is not allowed now can accept a request; 0:
// it is leaving.
func (g *Guard) RetryAfter(id ID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving.contains(id) {
		return 0
	}
	return max(g.backoffs.retryAfter(id, g.Clock.Now()), g.limits.retryAfter(id), g.cold.retryAfter(id, g.Clock.Now()))
}

// Blocked returns the endpoints to which this node may send nothing now, sorted.
func (g *Guard) Blocked() []ID {
	if g.quiet.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	var held []ID
	for id := range g.limits.byID {
		if !g.isAllowed(id, now) {
			held = append(held, id)
		}
	}
	for id := range g.backoffs.byID {
		if !g.isAllowed(id, now) {
			held = append(held, id)
		}
	}
	for id := range g.leaving {
		held = append(held, id)
	}
	slices.Sort(held)
	return slices.Compact(held)
}

// Sweep deletes the state of endpoints that are no longer listed, and refreshes the order of
// senders.
func (g *Guard) Sweep(listed func(ID) bool) {
	if g.quiet.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.updateQuiet()
	now := g.Clock.Now()
	g.limits.refresh(listed, now, g.SenderOrder)
	g.backoffs.removeExpired(now)
	g.leaving.refresh(listed, now)
}

// SweepCold deletes the state of endpoints that aren't cold any more.
func (g *Guard) SweepCold(isCold func(ID) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.retain(isCold)
}

func (g *Guard) announce(n *Notice) {
	if n != nil {
		g.Broadcast(*n)
	}
}

func (g *Guard) logLimit(n Notice) {
	if n.Ended {
		g.Log.Info("rate limit of an endpoint ended", "endpoint", n.ID, "from", n.Node)
		return
	}
	g.Log.Info("endpoint sets a rate limit", "endpoint", n.ID, "limit", n.Rate, "from", n.Node)
}
