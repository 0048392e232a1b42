package route

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// Options configures a Router.
type Options struct {
	Self       fleet.Node
	Zone       fleet.AvailabilityZone
	Seed       uint64                // of the random choices; mixed with Self
	Clock      clock.Clock           // nil: clock.Boot
	Registerer prometheus.Registerer // nil: no metrics
}

// Router selects destinations for the requests of one node. It is safe for
// concurrent use.
type Router struct {
	clock   clock.Clock
	metrics *metrics

	compileMu sync.Mutex // serialises table compilation; locked before mu

	mu       sync.Mutex
	counters *Counters
	rng      *rand.Rand
}

// New returns a Router with empty counters.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	selfHash := xxhash.Sum64String(o.Self.String() + "@" + string(o.Zone))
	return &Router{
		clock:    o.Clock,
		metrics:  newMetrics(o.Registerer),
		counters: NewCounters(),
		rng:      rand.New(rand.NewPCG(o.Seed, selfHash)),
	}
}

// Pick selects a destination that is not in tried. On failure it returns a
// NoCapacity error with a reason and a retry delay. The error covers only this
// call: its outcome is NotRun even if an earlier attempt of the request ran.
func (r *Router) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []TriedDestination) (Choice, *outcome.Error) {
	f := NewFacts(req, tried)
	ch, why := r.decide(&f, snap, now)
	if why != Accepted {
		r.metrics.countRefusal(why)
		return Choice{}, noCapacity(why, f.destinationName())
	}
	r.metrics.countChoice(ch.Kind)
	return ch, nil
}

func (r *Router) decide(f *Facts, snap *view.Snapshot, now clock.Instant) (Choice, Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isNewer(snap) {
		r.mu.Unlock()
		r.compile(snap, now)
		r.mu.Lock()
	}
	ch, why := Decide(r.counters.table, r.counters, f, now, r.rng)
	if why == Accepted {
		r.counters.recordChoice(f, ch)
	}
	return ch, why
}

// isNewer reports whether the snapshot is newer than the compiled table. A caller
// with an older snapshot uses the current table: recompiling for callers that
// overtake each other would be too expensive.
func (r *Router) isNewer(snap *view.Snapshot) bool {
	t := r.counters.table
	return t == nil || t.snap != snap && !snap.At.Before(t.snap.At)
}

// compile builds the table without holding mu, so that begin and end of other
// requests are not blocked. Concurrent callers with the same snapshot wait here.
func (r *Router) compile(snap *view.Snapshot, now clock.Instant) {
	r.compileMu.Lock()
	defer r.compileMu.Unlock()
	r.mu.Lock()
	done := !r.isNewer(snap)
	r.mu.Unlock()
	if done {
		return
	}
	t := Compile(snap)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.bindTable(t, now)
}

// Begin counts a request as in flight at its destination. Call it when the
// request is sent.
func (r *Router) Begin(ch Choice) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.begin(ch, now)
}

// End removes the request from the in-flight count and updates the averages from
// its result. It must be called once for each Begin.
func (r *Router) End(ch Choice, res Result) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.end(ch, res, now)
}

// InFlight returns the number of requests that this node has in flight at the
// group.
func (r *Router) InFlight(id fleet.GroupID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters.InFlight(id)
}

// destinationName returns the plain service or the target of the request.
func (f *Facts) destinationName() string {
	if f.Service != "" {
		return f.Service
	}
	return f.Target.String()
}
