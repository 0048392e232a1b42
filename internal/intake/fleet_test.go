package intake

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// skewedFleet simulates nodes behind a load balancer that sends most new connections to few of them
// for a while, each second to others. A client whose connection is turned away goes to any other node.
type skewedFleet struct {
	nodes, hot  int
	utilisation float64 // of the whole fleet
	freezes     bool
	rng         *rand.Rand

	backlogs  []Backlog[request]
	credit    []float64
	frozen    []clock.Instant // until when a node stands still
	second    int
	hotNodes  []int
	perSecond []counts
}

type request struct {
	began clock.Instant // its client's first try
	tries int
}

// counts are the requests of a second: those read and served in time at the first try that was read,
// those read late, and those that no node took.
type counts struct{ served, late, lost int }

const (
	fleetCapacity = 200 // connections a second that a node serves
	fleetDeadline = time.Second
	maxTries      = 4
	// freezesPerSecond is for each node. Clients of a node that stands still for longer than
	// longestFreeze go elsewhere by themselves.
	freezesPerSecond = 0.1
	longestFreeze    = fleetDeadline / 3
	skewFrom         = 3 // seconds
	skewUntil        = 8
	fleetSeconds     = 12
)

func (f *skewedFleet) play() {
	f.backlogs, f.credit = make([]Backlog[request], f.nodes), make([]float64, f.nodes)
	f.frozen = make([]clock.Instant, f.nodes)
	f.perSecond = make([]counts, fleetSeconds+1)
	const tick = 2 * time.Millisecond
	for t := time.Duration(0); t < fleetSeconds*time.Second; t += tick {
		now := clock.Instant(time.Hour + t)
		f.second = int(t / time.Second)
		if t%time.Second == 0 {
			f.chooseHot()
		}
		if f.freezes && f.rng.Float64() < freezesPerSecond*float64(f.nodes)*tick.Seconds() {
			f.frozen[f.rng.IntN(f.nodes)] = now.Add(time.Duration(f.rng.Int64N(int64(longestFreeze))))
		}
		for range poisson(f.rng, f.utilisation*fleetCapacity*float64(f.nodes)*tick.Seconds()) {
			f.connect(f.balance(), request{began: now}, now)
		}
		for i := range f.nodes {
			f.run(i, tick, now)
		}
	}
	for i := range f.nodes { // those that still wait
		for _, r := range f.backlogs[i].TakeAll() {
			f.perSecond[f.secondOf(r)].lost++
		}
	}
}

// chooseHot chooses the nodes that get most connections for the next second.
func (f *skewedFleet) chooseHot() { f.hotNodes = f.rng.Perm(f.nodes)[:f.hot] }

// balance returns the node of a new connection.
func (f *skewedFleet) balance() int {
	if f.second >= skewFrom && f.second < skewUntil && f.rng.Float64() < 0.9 {
		return f.hotNodes[f.rng.IntN(f.hot)]
	}
	return f.rng.IntN(f.nodes)
}

func (f *skewedFleet) connect(node int, r request, now clock.Instant) {
	r.tries++
	if excess, full := f.backlogs[node].Add(r, now); full {
		f.turnAway(node, excess, now)
	}
}

func (f *skewedFleet) turnAway(node int, r request, now clock.Instant) {
	if r.tries >= maxTries || now.Sub(r.began) > fleetDeadline {
		f.perSecond[f.secondOf(r)].lost++
		return
	}
	other := f.rng.IntN(f.nodes - 1)
	if other >= node {
		other++
	}
	f.connect(other, r, now)
}

func (f *skewedFleet) secondOf(r request) int {
	return int((time.Duration(r.began) - time.Hour) / time.Second)
}

// run lets a node serve what it can in a tick.
func (f *skewedFleet) run(node int, tick time.Duration, now clock.Instant) {
	if now.Before(f.frozen[node]) {
		return
	}
	b := &f.backlogs[node]
	for _, r := range b.Excess(now) {
		f.turnAway(node, r, now)
	}
	f.credit[node] = min(f.credit[node]+fleetCapacity*tick.Seconds(), 2)
	for f.credit[node] >= 1 {
		r, _, ok := b.Next(now)
		if !ok {
			return
		}
		f.credit[node]--
		if now.Sub(r.began) <= fleetDeadline {
			f.perSecond[f.secondOf(r)].served++
		} else {
			f.perSecond[f.secondOf(r)].late++
		}
	}
}

// share returns the share of the requests of the seconds from, to (exclusive) that were served in time.
func (f *skewedFleet) share(from, to int) float64 {
	var c counts
	for _, s := range f.perSecond[from:to] {
		c.served, c.late, c.lost = c.served+s.served, c.late+s.late, c.lost+s.lost
	}
	return float64(c.served) / float64(c.served+c.late+c.lost)
}

// poisson returns a number of arrivals with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-min(mean, 500))
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// Guards against a fleet in which few nodes get most new connections and collapse while the others
// idle: nearly as many requests as before are served at the first try that was read, and all again
// within two seconds.
func TestFleetServesSkewedConnections(t *testing.T) {
	for _, size := range []struct{ nodes, hot int }{{6, 1}, {80, 4}, {985, 10}} {
		for _, utilisation := range []float64{0.1, 0.4} {
			for _, freezes := range []bool{false, true} {
				t.Run(fmt.Sprint(size.hot, " of ", size.nodes, " at ", utilisation, " freezes ", freezes), func(t *testing.T) {
					is := is.New(t)
					for seed := range uint64(3) {
						f := skewedFleet{nodes: size.nodes, hot: size.hot, utilisation: utilisation, freezes: freezes, rng: rand.New(rand.NewPCG(seed, 7))}
						f.play()
						before, during, after := f.share(1, skewFrom), f.share(skewFrom, skewUntil), f.share(skewUntil+2, fleetSeconds-1)
						t.Logf("seed %d: before %.3f, during %.3f, 2 s after %.3f", seed, before, during, after)
						is.True(during >= 0.9*before)
						is.True(after >= 0.99*before)
					}
				})
			}
		}
	}
}
