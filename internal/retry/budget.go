// Package retry limits the load that retries add during a failure: a budget as a fraction
// of first tries, backoff with decorrelated jitter, and ejection of endpoints that fail
// while their peers do not.
//
// Backoff.Next, Outliers.Step and spendRetry are pure functions. Budget and Ejector wrap
// them for concurrent use.
package retry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/request"
)

// BudgetOptions configures a Budget. Zero values are replaced by the defaults.
type BudgetOptions struct {
	Ratio        float64 // retries per first try; default 0.1
	MinPerSecond float64 // retries per second allowed at any traffic; default 1
	Burst        float64 // maximum unused retries that accumulate; default 10
	Backoff      Backoff // for the wait before an allowed retry
	Seed         uint64
	Clock        clock.Clock // default: a monotonic clock

	Registerer prometheus.Registerer // nil: none
}

const (
	defaultRatio        = 0.1
	defaultMinPerSecond = 1
	defaultBurst        = 10
)

// Budget allows retries as a fraction of first tries, separately for each class: failing
// model calls do not use up the retries of lookups. If a whole fabric domain fails, every
// try there fails; without a limit each request would be sent several times, and the
// retries alone would overload the remaining endpoints. It is safe for concurrent use.
type Budget struct {
	clock        clock.Clock
	backoff      Backoff
	minPerSecond float64
	burst        time.Duration // time in which minPerSecond earns the burst
	retryCost    time.Duration // time in which minPerSecond earns one retry
	firstCredit  atomic.Int64  // time credited for one first try, in nanoseconds
	randomState  atomic.Uint64
	accounts     [len(classes)]creditAccount
	decisions    [len(classes)][2]prometheus.Counter
}

// creditAccount is the token bucket of one class, padded to its own cache line. It stores the
// instant up to which the retries of minPerSecond have been spent: the earlier it is, the
// more retries are available. A first try moves it back, a retry forward.
type creditAccount struct {
	spentUntil atomic.Int64
	_          [56]byte
}

var classes = [...]request.Class{request.ClassLookup, request.ClassCall, request.ClassModel}

func classIndex(c request.Class) int {
	switch c {
	case request.ClassLookup:
		return 0
	case request.ClassCall:
		return 1
	}
	return 2
}

// NewBudget returns a Budget without unused retries: the previous process on the VM may just have
// used the whole burst.
func NewBudget(o BudgetOptions) *Budget {
	setDefault(&o.Ratio, defaultRatio)
	setDefault(&o.MinPerSecond, defaultMinPerSecond)
	setDefault(&o.Burst, defaultBurst)
	if o.Clock == nil {
		o.Clock = newSteadyClock()
	}
	b := &Budget{
		clock: o.Clock, backoff: o.Backoff.withDefaults(), minPerSecond: o.MinPerSecond,
		retryCost: earnTime(1, o.MinPerSecond), burst: earnTime(o.Burst, o.MinPerSecond),
	}
	b.SetRatio(o.Ratio)
	b.randomState.Store(o.Seed)
	for i := range b.accounts {
		b.accounts[i].spentUntil.Store(int64(o.Clock.Now()))
	}
	b.registerMetrics(o.Registerer)
	return b
}

func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

// earnTime returns the time in which minPerSecond earns n retries.
func earnTime(n, minPerSecond float64) time.Duration {
	return time.Duration(n / minPerSecond * float64(time.Second))
}

// SetRatio changes the number of retries per first try.
func (b *Budget) SetRatio(ratio float64) { b.firstCredit.Store(int64(earnTime(ratio, b.minPerSecond))) }

// CountFirst counts the first try of a request.
func (b *Budget) CountFirst(c request.Class) {
	at := &b.accounts[classIndex(c)].spentUntil
	// spendRetry limits the credit to the burst; this only prevents an overflow if no
	// retry is ever requested.
	if at.Add(-b.firstCredit.Load()) < math.MinInt64/2 {
		at.Store(math.MinInt64 / 2)
	}
}

// Allow consumes one retry from the class's budget. If ok, the retry should start after
// wait; otherwise wait is the time until minPerSecond earns one, which is sent to the
// caller.
func (b *Budget) Allow(c request.Class) (ok bool, wait time.Duration) {
	i := classIndex(c)
	at := &b.accounts[i].spentUntil
	now := b.clock.Now()
	for {
		old := at.Load()
		next, wait := spendRetry(clock.Instant(old), now, b.retryCost, b.burst)
		if wait > 0 {
			b.decisions[i][0].Inc()
			return false, wait
		}
		if at.CompareAndSwap(old, int64(next)) {
			b.decisions[i][1].Inc()
			return true, b.backoff.Next(0, b.randomFloat())
		}
	}
}

// spendRetry consumes one retry from an account at the given instant. It returns the new
// account, or the time until a retry is available.
func spendRetry(spentUntil, now clock.Instant, cost, burst time.Duration) (next clock.Instant, wait time.Duration) {
	spentUntil = max(spentUntil, now.Add(-burst))
	next = spentUntil.Add(cost)
	if next.After(now) {
		return spentUntil, next.Sub(now)
	}
	return next, 0
}

// randomFloat returns a number in [0, 1) from the seeded sequence (SplitMix64).
func (b *Budget) randomFloat() float64 {
	const odd = 0x9e3779b97f4a7c15
	z := b.randomState.Add(odd)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	const bits = 53 // precision of a float64
	return float64((z^z>>31)>>(64-bits)) / (1 << bits)
}

func (b *Budget) registerMetrics(reg prometheus.Registerer) {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_retry_asked_total", Help: "Retries asked for, by class and whether the budget allowed them.",
	}, []string{"class", "allowed"})
	for i, c := range classes {
		b.decisions[i][0] = vec.WithLabelValues(string(c), "false")
		b.decisions[i][1] = vec.WithLabelValues(string(c), "true")
	}
	if reg != nil {
		reg.MustRegister(vec)
	}
}
