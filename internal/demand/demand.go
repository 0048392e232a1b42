// Package demand measures what the requests of services with engines ask for: the
// time of a group that each model's requests would take. Those that found no place
// count too, so that a model without groups doesn't seem unwanted.
package demand

import (
	"math"
	"sync"

	"chervilloom/internal/clock"
)

// Demand is what the requests for a service have asked for of late.
type Demand struct {
	Requests float64            // how many the figures are of; older ones count less
	Work     map[string]float64 // by model: a group's time that they need at full batches, in seconds
}

// Meter keeps the demand for each service. Its zero value is ready for use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*asked
}

// asked is the demand for one service as of at.
type asked struct {
	at       clock.Instant
	requests float64
	work     map[string]float64
}

// fade is the time in which what was asked for loses two thirds of its weight: a
// burst of one kind of request shows within two seconds, and a node with ten
// requests a second still counts fifty of them.
const fade = 5.0 // seconds

// Note counts a request for a model that needs the given time of a group.
func (d *Meter) Note(service, model string, work float64, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = map[string]*asked{}
	}
	a := d.services[service]
	if a == nil {
		a = &asked{work: map[string]float64{}}
		d.services[service] = a
	}
	a.fade(now)
	a.requests++
	a.work[model] += work
}

func (a *asked) fade(now clock.Instant) {
	if a.at != 0 {
		f := math.Exp(-max(0, now.Sub(a.at).Seconds()) / fade)
		a.requests *= f
		for m := range a.work {
			a.work[m] *= f
		}
	}
	a.at = now
}

// Of returns the demand for a service.
func (d *Meter) Of(service string, now clock.Instant) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.services[service]
	if a == nil {
		return Demand{}
	}
	a.fade(now)
	out := Demand{Requests: a.requests, Work: make(map[string]float64, len(a.work))}
	for m, w := range a.work {
		out.Work[m] = w
	}
	return out
}
