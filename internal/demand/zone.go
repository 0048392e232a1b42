package demand

import (
	"math"
	"sync"

	"chervilloom/internal/clock"
)

// Told is what a node has seen of the demand for one service.
type Told struct {
	Service string `json:"service"`
	Demand  Demand `json:"demand"`
}

// toldFor is how long, in seconds, what a node told counts: it tells every second, and
// two of its questions may be lost.
const toldFor = 3.0

// Zone sums the demand that a zone's nodes tell. Its zero value is ready for use.
//
// One node of 60 gets a few requests a second; planned for by these alone, a zone's
// groups were closed for one another by what ten requests happened to ask for.
type Zone struct {
	mu    sync.Mutex
	nodes map[string]nodeTold
}

type nodeTold struct {
	at   clock.Instant
	told []Told
}

// Note takes up what a node tells.
func (z *Zone) Note(node string, told []Told, now clock.Instant) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.nodes == nil {
		z.nodes = map[string]nodeTold{}
	}
	z.nodes[node] = nodeTold{now, told}
	for name, t := range z.nodes {
		if now.Sub(t.at).Seconds() > toldFor {
			delete(z.nodes, name)
		}
	}
}

// With returns the sum of own and of what the other nodes have told for the service.
func (z *Zone) With(service string, own Demand, now clock.Instant) Demand {
	z.mu.Lock()
	defer z.mu.Unlock()
	sum := Demand{Requests: own.Requests, Work: map[string]float64{}}
	for m, w := range own.Work {
		sum.Work[m] = w
	}
	for _, n := range z.nodes {
		age := now.Sub(n.at).Seconds()
		if age > toldFor {
			continue
		}
		weight := math.Exp(-max(0, age) / fade)
		for _, t := range n.told {
			if t.Service == service {
				sum.add(t.Demand, weight)
			}
		}
	}
	return sum
}

func (d *Demand) add(o Demand, weight float64) {
	d.Requests += weight * o.Requests
	for m, w := range o.Work {
		d.Work[m] += weight * w
	}
}

// All returns the demand for each service.
func (d *Meter) All(now clock.Instant) []Told {
	d.mu.Lock()
	services := make([]string, 0, len(d.services))
	for s := range d.services {
		services = append(services, s)
	}
	d.mu.Unlock()
	out := make([]Told, 0, len(services))
	for _, s := range services {
		out = append(out, Told{s, d.Of(s, now)})
	}
	return out
}
