// Package demand measures the demand for services with engines, as the group time that
// the requests for each model need. Requests that found no endpoint are included, so that
// a model without groups still has demand.
package demand

import (
	"maps"
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
	value     map[string]float64
	lost      map[string]float64
}

// DecaySeconds is the time constant of the decay: a burst of one kind of request shows
// within two seconds, and at ten requests per second a node's demand still comprises fifty
// requests.
const DecaySeconds = 5.0

// minWeight is the weight below which the decayed value of a model is dropped, so that
// messages do not contain it after contention was switched off.
const minWeight = 1e-3

// Record adds a request for a model. work is the group time that it needs, in seconds.
func (d *Meter) Record(service, model string, work float64, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.decayed(service, now)
	a.requests++
	a.work[model] += work
}

// RecordValue adds the weight of a request for a model.
func (d *Meter) RecordValue(service, model string, weight float64, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decayed(service, now).value[model] += weight
}

// RecordLost adds the weight of a request for a model that was refused or late.
func (d *Meter) RecordLost(service, model string, weight float64, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decayed(service, now).lost[model] += weight
}

// decayed returns the demand for a service, decayed up to now.
func (d *Meter) decayed(service string, now clock.Instant) *decayedDemand {
	if d.services == nil {
		d.services = map[string]*decayedDemand{}
	}
	a := d.services[service]
	if a == nil {
		a = &decayedDemand{work: map[string]float64{}, value: map[string]float64{}, lost: map[string]float64{}}
		d.services[service] = a
	}
	a.decay(now)
	return a
}

func (a *decayedDemand) decay(now clock.Instant) {
	if a.updatedAt != 0 {
		f := math.Exp(-max(0, now.Sub(a.updatedAt).Seconds()) / DecaySeconds)
		a.requests *= f
		for m := range a.work {
			a.work[m] *= f
		}
		decayWeights(a.value, f)
		decayWeights(a.lost, f)
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
	return Demand{
		Requests: a.requests, Work: maps.Clone(a.work),
		Value: cloneWeights(a.value), Lost: cloneWeights(a.lost),
	}
}

func decayWeights(w map[string]float64, f float64) {
	for m := range w {
		if w[m] *= f; w[m] < minWeight {
			delete(w, m)
		}
	}
}

// cloneWeights returns a copy; nil without weights.
func cloneWeights(w map[string]float64) map[string]float64 {
	if len(w) == 0 {
		return nil
	}
	return maps.Clone(w)
}

// BusyGroups returns the number of groups of a model that the demand keeps at full batches.
func (d *Demand) BusyGroups(model string) float64 { return d.Work[model] / DecaySeconds }
