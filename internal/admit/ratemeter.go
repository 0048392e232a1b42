package admit

import (
	"math"
	"time"

	"chervilloom/internal/clock"
)

const (
	// rateTimeConstant is the time constant of the average rate.
	rateTimeConstant = 5.0 // seconds
	// minQueueAge is the age of a queue from which its measured rate is used.
	minQueueAge = time.Second
)

// rateMeter measures the cost per second at which a queue is served.
type rateMeter struct {
	since       clock.Instant // when the queue became non-empty; 0: it is empty
	decayedCost float64       // decayed cost admitted since then
	lastDecay   clock.Instant // time at which decayedCost was updated
}

// begin starts the measurement of a new queue.
func (p *rateMeter) begin(now clock.Instant) { *p = rateMeter{since: now, lastDecay: now} }

// end stops the measurement.
func (p *rateMeter) end() { p.since = 0 }

// add adds an admitted request.
func (p *rateMeter) add(now clock.Instant, cost float64) {
	if p.since == 0 {
		return
	}
	p.decayedCost = p.decayedCost*math.Exp(-now.Sub(p.lastDecay).Seconds()/rateTimeConstant) + cost
	p.lastDecay = now
}

// rate returns the cost per second, or 0 if the queue is too young for a
// measurement.
func (p *rateMeter) rate(now clock.Instant) float64 {
	age := now.Sub(p.since)
	if p.since == 0 || age < minQueueAge || p.decayedCost == 0 {
		return 0
	}
	kept := math.Exp(-now.Sub(p.lastDecay).Seconds() / rateTimeConstant)
	return p.decayedCost * kept / (rateTimeConstant * (1 - math.Exp(-age.Seconds()/rateTimeConstant)))
}
