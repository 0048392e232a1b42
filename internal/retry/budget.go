// Package retry bounds what retries may add to a fault: a budget as a fraction
// of first tries, back-off with decorrelated jitter, and ejection of endpoints
// that fail while their peers do not.
//
// Decisions (Backoff.Next, Outliers.Step, spend) are pure. Budget and Ejector
// wrap them for concurrent use.
package retry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/request"
)

// BudgetOptions tune a budget. Zero values stand for the defaults.
type BudgetOptions struct {
	Ratio   float64 // retries per first try; default 0.1
	Floor   float64 // retries a second that are allowed at any traffic; default 1
	Burst   float64 // retries that may be saved up; default 10
	Backoff Backoff // of the wait that goes with an allowed retry
	Seed    uint64
	Clock   clock.Clock // default: a monotonic clock

	Registerer prometheus.Registerer // nil: none
}

const (
	defaultRatio = 0.1
	defaultFloor = 1
	defaultBurst = 10
)

// Budget allows retries as a fraction of first tries, for each class by itself:
// failing model calls do not take the retries of the lookups. When a whole
// fabric domain goes dark, every try there fails; without a bound each request
// is sent several times, and the endpoints that are left are pushed over their
// capacity by the retries alone. It is safe for concurrent use.
type Budget struct {
	clock   clock.Clock
	backoff Backoff
	floor   float64
	burst   time.Duration // worth of saved retries
	price   time.Duration // worth of one retry
	gain    atomic.Int64  // worth of one first try
	draws   atomic.Uint64
	spent   [len(classes)]account
	verdict [len(classes)][2]prometheus.Counter
}

// account is the bucket of one class on a cache line of its own. It holds the
// instant up to which the floor has been spent: the longer ago, the more
// retries are saved up. A first try moves it back, a retry forward.
type account struct {
	at atomic.Int64
	_  [56]byte
}

var classes = [...]request.Class{request.ClassLookup, request.ClassCall, request.ClassModel}

func indexOf(c request.Class) int {
	switch c {
	case request.ClassLookup:
		return 0
	case request.ClassCall:
		return 1
	}
	return 2
}

// NewBudget returns a budget with its burst saved up.
func NewBudget(o BudgetOptions) *Budget {
	setDefault(&o.Ratio, defaultRatio)
	setDefault(&o.Floor, defaultFloor)
	setDefault(&o.Burst, defaultBurst)
	if o.Clock == nil {
		o.Clock = newSteady()
	}
	b := &Budget{
		clock: o.Clock, backoff: o.Backoff.withDefaults(), floor: o.Floor,
		price: worth(1, o.Floor), burst: worth(o.Burst, o.Floor),
	}
	b.SetRatio(o.Ratio)
	b.draws.Store(o.Seed)
	for i := range b.spent {
		b.spent[i].at.Store(int64(o.Clock.Now().Add(-b.burst)))
	}
	b.count(o.Registerer)
	return b
}

func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

// worth is how long the floor needs to earn n retries.
func worth(n, floor float64) time.Duration {
	return time.Duration(n / floor * float64(time.Second))
}

// SetRatio changes the retries per first try.
func (b *Budget) SetRatio(ratio float64) { b.gain.Store(int64(worth(ratio, b.floor))) }

// First counts a request's first try.
func (b *Budget) First(c request.Class) {
	at := &b.spent[indexOf(c)].at
	// spend cuts off what is saved beyond the burst; here it is only kept from
	// running over when no retry is ever asked for.
	if at.Add(-b.gain.Load()) < math.MinInt64/2 {
		at.Store(math.MinInt64 / 2)
	}
}

// Allow takes one retry from the class's budget. When ok, the retry is to start
// after wait; otherwise wait is how long the floor needs to earn one, which is
// what the caller is told.
func (b *Budget) Allow(c request.Class) (ok bool, wait time.Duration) {
	i := indexOf(c)
	at := &b.spent[i].at
	now := b.clock.Now()
	for {
		old := at.Load()
		next, wait := spend(clock.Instant(old), now, b.price, b.burst)
		if wait > 0 {
			b.verdict[i][0].Inc()
			return false, wait
		}
		if at.CompareAndSwap(old, int64(next)) {
			b.verdict[i][1].Inc()
			return true, b.backoff.Next(0, b.draw())
		}
	}
}

// spend takes one retry out of an account that stands at the instant. It
// returns the account after it, or how long it is until there is a retry.
func spend(at, now clock.Instant, price, burst time.Duration) (next clock.Instant, wait time.Duration) {
	at = max(at, now.Add(-burst))
	next = at.Add(price)
	if next.After(now) {
		return at, next.Sub(now)
	}
	return next, 0
}

// draw returns a number in [0, 1) from the seeded sequence (SplitMix64).
func (b *Budget) draw() float64 {
	const odd = 0x9e3779b97f4a7c15
	z := b.draws.Add(odd)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	const bits = 53 // of a float64's mantissa
	return float64((z^z>>31)>>(64-bits)) / (1 << bits)
}

func (b *Budget) count(reg prometheus.Registerer) {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_retry_asked_total", Help: "Retries asked for, by class and whether the budget allowed them.",
	}, []string{"class", "allowed"})
	for i, c := range classes {
		b.verdict[i][0] = vec.WithLabelValues(string(c), "false")
		b.verdict[i][1] = vec.WithLabelValues(string(c), "true")
	}
	if reg != nil {
		reg.MustRegister(vec)
	}
}
