package demand

import (
	"math"
	"sync"

	"chervilloom/internal/clock"
)

// ServiceDemand is the demand for one service as observed by one node.
type ServiceDemand struct {
	Service string `json:"service"`
	Demand  Demand `json:"demand"`
}

// nodeDemandTTLSeconds is how long a node's demand counts, in seconds. Nodes send it
// every second, so two messages may be lost.
const nodeDemandTTLSeconds = 3.0

// ZoneDemand sums the demand observed by a zone's nodes. Its zero value is ready for use.
//
// A single node of 60 gets only a few requests per second. When groups were planned by
// one node's demand, ten arbitrary requests were enough to close groups in favour of
// another model.
type ZoneDemand struct {
	mu    sync.Mutex
	nodes map[string]nodeDemand
}

type nodeDemand struct {
	receivedAt clock.Instant
	services   []ServiceDemand
}

// Update replaces the demand observed by a node and drops that of nodes past the TTL.
func (z *ZoneDemand) Update(node string, services []ServiceDemand, now clock.Instant) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.nodes == nil {
		z.nodes = map[string]nodeDemand{}
	}
	z.nodes[node] = nodeDemand{now, services}
	for name, t := range z.nodes {
		if now.Sub(t.receivedAt).Seconds() > nodeDemandTTLSeconds {
			delete(z.nodes, name)
		}
	}
}

// Total returns the sum of own and the demand that the other nodes observed for the
// service, decayed by age.
func (z *ZoneDemand) Total(service string, own Demand, now clock.Instant) Demand {
	z.mu.Lock()
	defer z.mu.Unlock()
	sum := Demand{Requests: own.Requests, Work: map[string]float64{}}
	sum.add(Demand{Work: own.Work, Value: own.Value, Lost: own.Lost}, 1)
	for _, n := range z.nodes {
		age := now.Sub(n.receivedAt).Seconds()
		if age > nodeDemandTTLSeconds {
			continue
		}
		weight := math.Exp(-max(0, age) / DecaySeconds)
		for _, t := range n.services {
			if t.Service == service {
				sum.add(t.Demand, weight)
			}
		}
	}
	return sum
}

func (d *Demand) add(o Demand, weight float64) {
	d.Requests += weight * o.Requests
	d.Work = addWeights(d.Work, o.Work, weight)
	d.Value = addWeights(d.Value, o.Value, weight)
	d.Lost = addWeights(d.Lost, o.Lost, weight)
}

// addWeights adds weighted values to sum, which may be nil, and returns it.
func addWeights(sum, values map[string]float64, weight float64) map[string]float64 {
	for m, v := range values {
		if sum == nil {
			sum = map[string]float64{}
		}
		sum[m] += weight * v
	}
	return sum
}

// All returns the demand for each service.
func (d *Meter) All(now clock.Instant) []ServiceDemand {
	d.mu.Lock()
	services := make([]string, 0, len(d.services))
	for s := range d.services {
		services = append(services, s)
	}
	d.mu.Unlock()
	out := make([]ServiceDemand, 0, len(services))
	for _, s := range services {
		out = append(out, ServiceDemand{s, d.Demand(s, now)})
	}
	return out
}
