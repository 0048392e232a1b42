package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
	"chervilloom/internal/retry"
)

// retryPlay simulates the retries of a fleet whose engines fail while its processes are killed and
// start again. Every request asks for two repeats.
type retryPlay struct {
	nodes        int
	slack        float64 // the platform's slack for a window
	requestRate  float64 // requests a second of the whole fleet
	killInterval time.Duration
	killShare    float64       // of the nodes, at each kill
	readDelay    time.Duration // time from the start of a process until it has read the rows
}

const (
	retryWindow   = 10 * time.Second
	retryRatio    = 0.2
	retryStep     = 50 * time.Millisecond
	retryDuration = 30 * time.Second
	restartDelay  = 300 * time.Millisecond
)

// retryVM is a VM with its present process.
type retryVM struct {
	node   *Node
	budget *retry.WindowedBudget
	since  clock.Instant
	isUp   bool // the process answers requests
	known  bool // the process has read the rows
}

// run returns the largest excess of the repeats over the platform's limit in any window that ends
// with a repeat, and the number of repeats.
func (p retryPlay) run(seed uint64) (excess float64, sent int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := clock.NewManual(clock.Instant(time.Hour))
	var rows []table.Row
	rows = append(rows, addrRow("me", "10.0.0.1:1")) // each process has this name
	for i := range p.nodes - 1 {
		rows = append(rows, addrRow(fmt.Sprint("vm", i), "10.0.0.1:1"))
	}
	vms := make([]*retryVM, p.nodes)
	known := newTestNode(&fakeStore{}, c).leaseCache // shared: to index 985 rows takes a while
	known.applyRows(rows, 0)
	start := func(v *retryVM) {
		v.node = newTestNode(&fakeStore{}, c)
		v.node.Settings.RetrySlack, v.node.Settings.RetryRatio, v.node.Settings.RetryWindow = p.slack, retryRatio, retryWindow
		v.budget, v.since, v.isUp, v.known = v.node.newBudget(), c.Now(), false, false
	}
	for i := range vms {
		vms[i] = &retryVM{}
		start(vms[i])
	}
	var firsts, repeats []clock.Instant
	perStep := p.requestRate * retryStep.Seconds()
	pending, sinceKill := 0.0, time.Duration(0)
	for range retryDuration / retryStep {
		c.Advance(retryStep)
		if sinceKill += retryStep; p.killInterval > 0 && sinceKill >= p.killInterval {
			sinceKill = 0
			for _, i := range rng.Perm(p.nodes)[:int(p.killShare*float64(p.nodes)+0.5)] {
				start(vms[i])
			}
		}
		for _, v := range vms {
			age := c.Now().Sub(v.since)
			if !v.known && age >= restartDelay+p.readDelay {
				v.known = true
				v.node.leaseCache = known
			}
			v.isUp = age >= restartDelay
		}
		for pending += perStep; pending >= 1; pending-- {
			firsts = append(firsts, c.Now())
			v := vms[rng.IntN(p.nodes)]
			if !v.isUp {
				continue
			}
			v.budget.CountFirst()
			for range 2 {
				if v.budget.Allow() {
					repeats = append(repeats, c.Now())
				}
			}
		}
	}
	excess = -p.slack
	for _, end := range slices.Compact(slices.Clone(repeats)) {
		from := end.Add(-retryWindow)
		limit := retryRatio*float64(countAfter(firsts, from)) + p.slack
		excess = max(excess, float64(countAfter(repeats, from)-countAfter(repeats, end))-limit)
	}
	return excess, len(repeats)
}

// countAfter returns how many of the sorted instants are later than from.
func countAfter(sorted []clock.Instant, from clock.Instant) int {
	i, _ := slices.BinarySearch(sorted, from+1)
	return len(sorted) - i
}

// Guards against retries beyond the platform's limit by processes that are killed and start again
// within one window, or that don't know yet how many nodes there are.
func TestRestartedProcessesKeepToTheRetryLimit(t *testing.T) {
	const soon, late = 100 * time.Millisecond, 5 * time.Second
	const manyNodes = 500 // one seed is enough
	for _, fleet := range []struct {
		nodes       int
		slack, rate float64
	}{{6, 130, 170}, {6, 130, 5}, {71, 272, 570}, {71, 272, 20}, {985, 1040, 3000}, {985, 1040, 100}} {
		for _, kills := range []struct {
			interval time.Duration
			share    float64
			read     time.Duration
		}{{0, 0, soon}, {3500 * time.Millisecond, 0.85, soon}, {1500 * time.Millisecond, 0.5, soon}, {8 * time.Second, 1, late}, {2500 * time.Millisecond, 1, late}} {
			name := fmt.Sprintf("%d nodes, %v requests a second, %v killed every %v, rows after %v", fleet.nodes, fleet.rate, kills.share, kills.interval, kills.read)
			t.Run(name, func(t *testing.T) {
				plays := uint64(3)
				if fleet.nodes >= manyNodes {
					plays = 1
				}
				p := retryPlay{nodes: fleet.nodes, slack: fleet.slack, requestRate: fleet.rate, killInterval: kills.interval, killShare: kills.share, readDelay: kills.read}
				for seed := range plays {
					excess, sent := p.run(seed)
					t.Logf("seed %d: %d repeats, %.0f beyond the limit", seed, sent, excess)
					if excess > 0 {
						t.Errorf("seed %d: %.0f repeats beyond the limit in one window", seed, excess)
					}
				}
			})
		}
	}
}
