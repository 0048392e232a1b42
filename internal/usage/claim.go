package usage

import (
	"math"
	"time"

	"chervilloom/internal/clock"
)

// level is a claim in quarter octaves: 0 stands for the least claim.
type level uint8

const (
	// leastClaim is what a node without callers keeps, in even parts: the first
	// callers that come get through while the claim is raised.
	leastClaim = 1.0 / 8
	// evenLevel is the level of a claim of one even part.
	evenLevel level = 12
	// topLevel bounds claims at about 4,000 even parts.
	topLevel level = 60
	// tolerance is by how many levels demand and claim may differ before the
	// claim is changed: about 40 per cent, well over the noise of the demand.
	tolerance = 2
)

// evenClaim is the claim of one even part. Claims are whole numbers, so that
// sums of them that are kept up to date carry no rounding errors.
const evenClaim = 1 << 20

// claimOf is the claim of each level.
var claimOf = func() (c [topLevel + 1]int64) {
	for l := range c {
		c[l] = int64(math.Round(evenClaim * leastClaim * math.Exp2(float64(l)/4)))
	}
	return c
}()

// levelOf returns the level nearest to a claim.
func levelOf(claim float64) level {
	if claim <= leastClaim {
		return 0
	}
	l := math.Round(4 * math.Log2(claim/leastClaim))
	return level(min(l, float64(topLevel)))
}

func apart(a, b level) bool {
	d := int(a) - int(b)
	return d >= tolerance || -d >= tolerance
}

const (
	// Holdoff is how long after it was told a raised claim is used. It covers
	// the way of the message and the quarter of a second in which admission
	// takes up a new share.
	Holdoff = time.Second
	// TickEvery is how often demand is measured and claims are told.
	TickEvery = 500 * time.Millisecond
	// leastMemory and mostMemory bound the time constant of the measured
	// demand; in between it is long enough to see memorySamples requests of an
	// even part.
	leastMemory   = 3.0 // seconds
	mostMemory    = 60.0
	memorySamples = 16.0
)

// meter measures the demand of one organisation in one lane at this node, and
// holds this node's claim on its cap.
type meter struct {
	cap     float64       // requests a second over all nodes; 0: none
	demand  float64       // requests a second at this node, decayed
	used    level         // claim that this node's share is worked out from
	told    level         // newest claim that the others were told
	toldAt  clock.Instant // of the message that told it
	pending bool          // told has changed and is not sent yet
	share   float64       // of the cap
}

// measure takes the requests of the last dt seconds.
func (m *meter) measure(count, dt float64, nodes int) {
	memory := mostMemory
	if m.cap > 0 {
		memory = min(mostMemory, max(leastMemory, memorySamples*float64(nodes)/m.cap))
	}
	m.demand += (count/dt - m.demand) * (1 - math.Exp(-dt/memory))
}

// wanted returns the claim that fits the demand. Nobody is asked to give way
// (contended) as long as nobody wants more than an even part: claims then stay
// even, and no message is needed.
func (m *meter) wanted(nodes int, contended bool) level {
	want := levelOf(m.demand * float64(nodes) / m.cap)
	if want < evenLevel && !contended {
		return evenLevel
	}
	return want
}
