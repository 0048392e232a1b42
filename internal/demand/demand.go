// Package demand measures the demand for services with engines, as the group time that
// the requests for each model need. Requests that found no endpoint are included, so that
// a model without groups still has demand.
package demand

import (
	"math"
	"sync"

	"chervilloom/internal/clock"
)

// Demand is the recent demand for a service.
type Demand struct {
	Requests float64            // number of requests, decayed by age
	Work     map[string]float64 // group time needed at full batches by model, in seconds, decayed by age
	// Value and Lost are recorded for services under contention only, and decayed by age:
	// by model, the requests weighted by rank and size, and the same weights of those that
	// were refused or late.
	Value map[string]float64 `json:",omitempty"`
	Lost  map[string]float64 `json:",omitempty"`
}

// Meter measures the demand for each service. Its zero value is ready for use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*decayedDemand
}

// decayedDemand is the demand for one service, decayed up to updatedAt.
type decayedDemand struct {
	updatedAt clock.Instant
	requests  float64
	work      map[string]float64
}

// decaySeconds is the time constant of the decay: a burst of one kind of request shows
// within two seconds, and at ten requests per second a node's demand still comprises fifty
// requests.
const decaySeconds = 5.0

// Record adds a request for a model. work is the group time that it needs, in seconds.
func (d *Meter) Record(service, model string, work float64, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = map[string]*decayedDemand{}
	}
	a := d.services[service]
	if a == nil {
		a = &decayedDemand{work: map[string]float64{}}
		d.services[service] = a
	}
	a.decay(now)
	a.requests++
	a.work[model] += work
}

func (a *decayedDemand) decay(now clock.Instant) {
	if a.updatedAt != 0 {
		f := math.Exp(-max(0, now.Sub(a.updatedAt).Seconds()) / decaySeconds)
		a.requests *= f
		for m := range a.work {
			a.work[m] *= f
		}
	}
	a.updatedAt = now
}

// Demand returns the demand for a service at now.
func (d *Meter) Demand(service string, now clock.Instant) Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.services[service]
	if a == nil {
		return Demand{}
	}
	a.decay(now)
	out := Demand{Requests: a.requests, Work: make(map[string]float64, len(a.work))}
	for m, w := range a.work {
		out.Work[m] = w
	}
	return out
}
