package admit

import (
	"math"
	"time"

	"chervilloom/internal/clock"
)

const (
	// paceMemory is the time constant of a measured pace.
	paceMemory = 5.0 // seconds
	// paceTrust is how long a queue lasts before its pace is believed.
	paceTrust = time.Second
)

// pace measures the cost per second at which a queue is served while it lasts.
type pace struct {
	since   clock.Instant // when the queue began; 0: there is none
	served  float64       // decayed cost admitted since then
	decayed clock.Instant // when served was true
}

// begin starts the measure of a new queue.
func (p *pace) begin(now clock.Instant) { *p = pace{since: now, decayed: now} }

// end stops it.
func (p *pace) end() { p.since = 0 }

// serve counts a request that was admitted.
func (p *pace) serve(now clock.Instant, cost float64) {
	if p.since == 0 {
		return
	}
	p.served = p.served*math.Exp(-now.Sub(p.decayed).Seconds()/paceMemory) + cost
	p.decayed = now
}

// rate returns the pace; 0 when the queue has not lasted long enough to tell.
func (p *pace) rate(now clock.Instant) float64 {
	age := now.Sub(p.since)
	if p.since == 0 || age < paceTrust || p.served == 0 {
		return 0
	}
	kept := math.Exp(-now.Sub(p.decayed).Seconds() / paceMemory)
	return p.served * kept / (paceMemory * (1 - math.Exp(-age.Seconds()/paceMemory)))
}
