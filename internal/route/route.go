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

// Options sets up a Router.
type Options struct {
	Self       fleet.Node
	Zone       fleet.AvailabilityZone
	Seed       uint64                // of the random choices; mixed with Self
	Clock      clock.Clock           // nil: clock.Boot
	Registerer prometheus.Registerer // nil: no metrics
}

// Router chooses destinations for the requests of one node. It is safe for
// concurrent use.
type Router struct {
	clock clock.Clock
	meter *meter

	compiling sync.Mutex // one table at a time; taken before mu

	mu       sync.Mutex
	counters *Counters
	rng      *rand.Rand
}

// New returns a Router that has learned nothing yet.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	who := xxhash.Sum64String(o.Self.String() + "@" + string(o.Zone))
	return &Router{
		clock:    o.Clock,
		meter:    newMeter(o.Registerer),
		counters: NewCounters(),
		rng:      rand.New(rand.NewPCG(o.Seed, who)),
	}
}

// Pick chooses a destination that is not in tried. The error is NoCapacity with
// its reason and when to come back. It speaks of this pick alone: its outcome
// is NotRun also when an earlier try of the request ran.
func (r *Router) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []Tried) (Choice, *outcome.Error) {
	f := FactsOf(req, tried)
	ch, why := r.decide(&f, snap, now)
	if why != Accepted {
		r.meter.refused(why)
		return Choice{}, noCapacity(why, f.what())
	}
	r.meter.chosen(ch.Kind)
	return ch, nil
}

func (r *Router) decide(f *Facts, snap *view.Snapshot, now clock.Instant) (Choice, Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.needs(snap) {
		r.mu.Unlock()
		r.compile(snap, now)
		r.mu.Lock()
	}
	ch, why := Decide(r.counters.table, r.counters, f, now, r.rng)
	if why == Accepted {
		r.counters.chosen(f, ch)
	}
	return ch, why
}

// needs reports whether the snapshot is newer than the table. A caller that
// comes late with an older snapshot gets the newest table: compiling back and
// forth for callers that overtake each other would cost more than it is worth.
func (r *Router) needs(snap *view.Snapshot) bool {
	t := r.counters.table
	return t == nil || t.snap != snap && !snap.At.Before(t.snap.At)
}

// compile makes the table outside mu, so that requests that begin and end do
// not wait for it. Callers that bring the same snapshot meanwhile wait here.
func (r *Router) compile(snap *view.Snapshot, now clock.Instant) {
	r.compiling.Lock()
	defer r.compiling.Unlock()
	r.mu.Lock()
	done := !r.needs(snap)
	r.mu.Unlock()
	if done {
		return
	}
	t := Compile(snap)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.align(t, now)
}

// Begin charges a request to its destination. Call it when the request leaves.
func (r *Router) Begin(ch Choice) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.begin(ch, now)
}

// End takes the request off again, once for each Begin, and learns from how it
// ended.
func (r *Router) End(ch Choice, res Result) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.end(ch, res, now)
}

// InFlight returns how many requests of this node are at the group.
func (r *Router) InFlight(id fleet.GroupID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters.InFlight(id)
}

func (f *Facts) what() string {
	if f.Service != "" {
		return f.Service
	}
	return f.Target.String()
}
