package retry

import (
	"container/heap"
	"flag"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/request"
)

// The driver sends requests to 48 endpoints in virtual time. From second 2 to
// 12 a third of them, one fabric domain, does not answer, which the router
// learns 1.5 s late, at both ends. An endpoint refuses at once when a try would
// wait too long, and goes on working on a try that was given up on. The
// endpoints that are left have a little less capacity than the load.

const (
	endpoints    = 48
	dark         = endpoints / 3
	slots        = 4
	meanService  = 40 * time.Millisecond
	load         = 3400.0 // requests a second; capacity is 4800 whole and 3200 dark
	tryTimeout   = 250 * time.Millisecond
	longestWait  = 100 * time.Millisecond
	deadline     = time.Second
	maxTries     = 4
	faultFrom    = 2 * time.Second
	faultTo      = 12 * time.Second
	lag          = 1500 * time.Millisecond
	driverLength = 17 * time.Second
)

// variant says which safeguards a run has.
type variant struct {
	name                      string
	retries, budget, ejection bool
}

// tallyOf counts what happened to requests that arrived during the fault.
type tallyOf struct{ firsts, sends, good int }

func (t tallyOf) amplification() float64 { return float64(t.sends) / float64(t.firsts) }
func (t tallyOf) goodput() float64       { return float64(t.good) / float64(t.firsts) }

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type driver struct {
	variant
	rng     *rand.Rand
	clock   *clock.Manual
	queue   events
	seq     int
	now     time.Duration
	names   []ID
	free    [endpoints][slots]time.Duration // when each slot is free
	budget  *Budget
	ejector *Ejector
	fault   tallyOf // requests that arrived while the domain was dark
	blind   tallyOf // those that arrived before the router knew
	after   tallyOf // those of the five seconds after the fault
}

func (d *driver) at(t time.Duration, do func()) {
	d.seq++
	heap.Push(&d.queue, event{t, d.seq, do})
}

// drive runs one variant and returns its counts.
func drive(v variant, seed uint64) *driver {
	c := clock.NewManual(clock.Instant(time.Hour))
	d := &driver{variant: v, rng: rand.New(rand.NewPCG(seed, 1)), clock: c, names: ids(endpoints)}
	d.budget = NewBudget(BudgetOptions{Clock: c, Seed: seed})
	d.ejector = NewEjector(OutlierOptions{}, c, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	d.ejector.SetCandidates(d.names)
	d.at(0, d.arrive)
	for len(d.queue) > 0 {
		e := heap.Pop(&d.queue).(event)
		c.Advance(e.at - d.now)
		d.now = e.at
		e.do()
	}
	return d
}

// call is one request.
type call struct {
	arrived time.Duration
	tries   int
	last    time.Duration // wait before the newest retry
	counts  []*tallyOf
}

func (d *driver) arrive() {
	if d.now > driverLength {
		return
	}
	d.at(d.now+time.Duration(d.rng.ExpFloat64()/load*float64(time.Second)), d.arrive)
	c := &call{arrived: d.now}
	switch {
	case d.now >= faultFrom && d.now < faultFrom+lag:
		c.counts = []*tallyOf{&d.fault, &d.blind}
	case d.now >= faultFrom && d.now < faultTo:
		c.counts = []*tallyOf{&d.fault}
	case d.now >= faultTo && d.now < faultTo+5*time.Second:
		c.counts = []*tallyOf{&d.after}
	}
	for _, t := range c.counts {
		t.firsts++
	}
	d.budget.First(request.ClassModel)
	d.try(c)
}

func (d *driver) try(c *call) {
	c.tries++
	for _, t := range c.counts {
		t.sends++
	}
	i := d.pick()
	if isDark(i, d.now) {
		d.at(d.now+tryTimeout, func() { d.failed(c, i) })
		return
	}
	if d.wait(i) > longestWait {
		d.at(d.now+time.Millisecond, func() { d.again(c) })
		return
	}
	done := d.serve(i)
	if done-d.now > tryTimeout {
		d.at(d.now+tryTimeout, func() { d.failed(c, i) })
		return
	}
	d.at(done, func() { d.succeeded(c, i) })
}

// pick chooses the less loaded of two endpoints that are not known to be dark.
func (d *driver) pick() int {
	a, b := d.candidate(), d.candidate()
	if d.wait(b) < d.wait(a) {
		a = b
	}
	if d.ejection {
		d.ejector.Usable(d.names[a]) // takes the trial when it is due
	}
	return a
}

func (d *driver) candidate() int {
	for range 1000 {
		i := d.rng.IntN(endpoints)
		known := d.now >= faultFrom+lag && d.now < faultTo+lag && i < dark
		if !known && (!d.ejection || !d.ejector.Ejected(d.names[i]) || d.rng.IntN(20) == 0 && d.ejector.Usable(d.names[i])) {
			return i
		}
	}
	return endpoints - 1
}

// wait is how long a try would wait. A dark endpoint looks idle.
func (d *driver) wait(i int) time.Duration {
	if isDark(i, d.now) {
		return 0
	}
	return max(0, d.free[i][d.soonest(i)]-d.now)
}

func (d *driver) soonest(i int) int {
	best := 0
	for s := range slots {
		if d.free[i][s] < d.free[i][best] {
			best = s
		}
	}
	return best
}

func (d *driver) serve(i int) time.Duration {
	s := d.soonest(i)
	start := max(d.now, d.free[i][s])
	d.free[i][s] = start + time.Duration(d.rng.ExpFloat64()*float64(meanService))
	return d.free[i][s]
}

func isDark(i int, now time.Duration) bool { return i < dark && now >= faultFrom && now < faultTo }

func (d *driver) succeeded(c *call, i int) {
	d.ejector.Report(d.names[i], false)
	if d.now-c.arrived > deadline {
		return
	}
	for _, t := range c.counts {
		t.good++
	}
}

func (d *driver) failed(c *call, i int) {
	d.ejector.Report(d.names[i], true)
	d.again(c)
}

// again retries when the safeguards let it.
func (d *driver) again(c *call) {
	if !d.retries || c.tries == maxTries || d.now-c.arrived >= deadline {
		return
	}
	if d.variant.budget {
		if ok, _ := d.budget.Allow(request.ClassModel); !ok {
			return
		}
	}
	c.last = Backoff{}.Next(c.last, d.rng.Float64())
	d.at(d.now+c.last, func() { d.try(c) })
}

var variants = []variant{
	{name: "no retries"},
	{name: "unbounded", retries: true},
	{name: "budget", retries: true, budget: true},
	{name: "unbounded, ejection", retries: true, ejection: true},
	{name: "budget, ejection", retries: true, budget: true, ejection: true},
}

var seeds = flag.Uint64("seeds", 1, "how many seeds TestDarkDomain runs")

func TestDarkDomain(t *testing.T) {
	// A third of the endpoints stops answering at once, and the router learns
	// of it 1.5 s later. Without a budget the failed tries come back on top of
	// the load and hold the endpoints that are left over their capacity; with
	// it, sends stay within a tenth of the requests.
	for seed := range *seeds {
		is := is.New(t)
		results := map[string]*driver{}
		for _, v := range variants {
			d := drive(v, seed)
			results[v.name] = d
			t.Logf("seed %d %-20s sends/request: fault %.3f, blind %.3f; good: fault %.3f, blind %.3f, after %.3f", seed, v.name,
				d.fault.amplification(), d.blind.amplification(), d.fault.goodput(), d.blind.goodput(), d.after.goodput())
		}
		is.True(results["budget"].fault.amplification() <= 1.1)
		is.True(results["budget, ejection"].fault.amplification() <= 1.1)
		is.True(results["unbounded"].fault.amplification() > 1.2)
		is.True(results["budget, ejection"].blind.goodput() > results["budget"].blind.goodput())
	}
}
