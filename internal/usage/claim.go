package usage

import (
	"math"
	"time"

	"chervilloom/internal/clock"
)

// level encodes a claim in quarter octaves (steps of 2^(1/4)) above minClaim.
type level uint8

const (
	// minClaim is the claim of a node without requests, in even shares. It
	// admits the first requests that arrive until the claim has been raised.
	minClaim = 1.0 / 8
	// evenLevel is the level of a claim of one even share.
	evenLevel level = 12
	// maxLevel limits claims to about 4,000 even shares.
	maxLevel level = 60
	// levelTolerance is the difference in levels between demand and claim at
	// which the claim changes: about 40 per cent, well above the noise of the
	// demand.
	levelTolerance = 2
)

// evenClaim is the claim of one even share. Claims are integers, so that
// running sums have no rounding errors.
const evenClaim = 1 << 20

// claimOfLevel is the claim at each level.
var claimOfLevel = func() (c [maxLevel + 1]int64) {
	for l := range c {
		c[l] = int64(math.Round(evenClaim * minClaim * math.Exp2(float64(l)/4)))
	}
	return c
}()

// levelOf returns the level nearest to a claim in even shares.
func levelOf(claim float64) level {
	if claim <= minClaim {
		return 0
	}
	l := math.Round(4 * math.Log2(claim/minClaim))
	return level(min(l, float64(maxLevel)))
}

func differsBeyondTolerance(a, b level) bool {
	d := int(a) - int(b)
	return d >= levelTolerance || -d >= levelTolerance
}

const (
	// Holdoff is the delay between announcing a raised claim and using it. It
	// covers message delivery and the quarter of a second in which admission
	// adopts a new share.
	Holdoff = time.Second
	// TickInterval is the interval at which demand is measured and claims are
	// announced.
	TickInterval = 500 * time.Millisecond
	// minTimeConstant and maxTimeConstant bound the time constant of the
	// measured demand, in seconds. Between them it covers timeConstantRequests
	// requests of an even share.
	minTimeConstant      = 3.0
	maxTimeConstant      = 60.0
	timeConstantRequests = 16.0
)

// meter measures an organisation's demand on one cap at this node and keeps
// this node's claim on that cap.
type meter struct {
	cap            float64       // requests per second over all nodes; 0: no cap
	demand         float64       // requests per second at this node, exponentially averaged
	activeLevel    level         // claim from which this node's share is computed
	announcedLevel level         // newest claim announced or to be announced to the peers
	announcedAt    clock.Instant // send time of the message that announced it
	isUnsent       bool          // announcedLevel has changed and was not sent yet
	share          float64       // part of the cap, 0 to 1
}

// updateDemand adds the requests of the last dt seconds to the average.
func (m *meter) updateDemand(count, dt float64, nodes int) {
	timeConstant := maxTimeConstant
	if m.cap > 0 {
		timeConstant = min(maxTimeConstant, max(minTimeConstant, timeConstantRequests*float64(nodes)/m.cap))
	}
	m.demand += (count/dt - m.demand) * (1 - math.Exp(-dt/timeConstant))
}

// targetLevel returns the claim that fits the demand. While no node claims more
// than an even share (contended is false), low claims stay even and need no
// message.
func (m *meter) targetLevel(nodes int, contended bool) level {
	target := levelOf(m.demand * float64(nodes) / m.cap)
	if target < evenLevel && !contended {
		return evenLevel
	}
	return target
}
