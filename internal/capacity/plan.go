package capacity

import (
	"fmt"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// plan is the state of the decision for one spec.
type plan struct {
	spec        *config.GroupSpec
	zoneIndexes []int // indexes into Input.Zones of the zones that the spec allows
	zoneShares  []float64
	existing    []int
	draining    int
	placed      []int
	totalPlaced int
	costs       []float64 // expected cost of 0..Max replicas after the lead time
	minUnitCost float64   // the lower of the costs per second of an idle and of a missing replica
	minKept     int       // existing replicas are not reduced below this number
	forecast    forecast
	hasBaseline bool // the forecast is based on history
	demand      float64
	costReason  string
}

func newPlan(in *Input, spec *config.GroupSpec) *plan {
	p := &plan{spec: spec}
	for i := range in.Zones {
		if len(spec.Zones) == 0 || slices.Contains(spec.Zones, string(in.Zones[i].Name)) {
			p.zoneIndexes = append(p.zoneIndexes, i)
		}
	}
	p.existing = make([]int, len(p.zoneIndexes))
	p.placed = make([]int, len(p.zoneIndexes))
	p.zoneShares = make([]float64, len(p.zoneIndexes))
	p.readExisting(in)
	slots := p.readDemand(in)
	p.computeCosts(in, slots)
	return p
}

func (p *plan) zoneIndex(in *Input, name fleet.AvailabilityZone) int {
	return slices.IndexFunc(p.zoneIndexes, func(i int) bool { return in.Zones[i].Name == name })
}

func (p *plan) readExisting(in *Input) {
	for _, h := range in.ExistingReplicas {
		if h.Spec != p.spec.Name {
			continue
		}
		p.draining += h.Draining
		if z := p.zoneIndex(in, h.Zone); z >= 0 {
			p.existing[z] += h.Active
		}
	}
}

// readDemand sums the demand, sets each zone's share and returns the slots per
// replica. A zone's share is the mean of its share of the demand and an equal share:
// a zone with little demand now needs its own replicas if it is partitioned.
func (p *plan) readDemand(in *Input) float64 {
	slots := float64(DefaultSlotsPerReplica)
	byZone := make([]float64, len(p.zoneIndexes))
	for _, d := range in.Demand {
		if d.Spec != p.spec.Name {
			continue
		}
		if d.SlotsPerReplica > 0 {
			slots = d.SlotsPerReplica
		}
		requests := d.requests()
		p.demand += requests
		if z := p.zoneIndex(in, d.Zone); z >= 0 {
			byZone[z] += requests
		}
	}
	for z := range p.zoneShares {
		p.zoneShares[z] = 1 / float64(len(p.zoneIndexes))
		if p.demand > 0 {
			p.zoneShares[z] = p.zoneShares[z]/2 + byZone[z]/p.demand/2
		}
	}
	return slots
}

// requests returns the number of requests of a demand; an invalid one counts as 0.
func (d *Demand) requests() float64 {
	n := d.Running + d.Waiting
	if !isWithin(n, maxDemand) {
		return 0
	}
	return n
}

// computeCosts computes the expected cost of each number of replicas and the number
// of existing replicas to keep.
func (p *plan) computeCosts(in *Input, slots float64) {
	accelerators := in.meanAccelerators() * float64(max(1, p.spec.VMs))
	c := costModel{
		missingCost:        in.Config.Objective.DowntimeWeight,
		idleCost:           in.Config.Objective.StrandingWeight * accelerators,
		outageFraction:     in.OutageFraction,
		requestsPerReplica: max(1, slots*targetUtilization),
	}
	p.minUnitCost = min(c.idleCost, c.missingCost)
	s := in.History.seriesOf(p.spec.Name)
	span := retention(in.Config.Objective, accelerators, in.LeadTime)
	p.forecast = s.forecastAfterLead(in.WallTime, in.LeadTime, p.demand)
	_, p.hasBaseline = s.baseline(WeekSlot(in.WallTime))
	maxServed := c.requestsPerReplica * float64(p.spec.Max+2)
	p.costs = c.expectedCosts(p.spec.Max, p.forecast.capped(maxServed))
	for _, f := range s.retentionForecasts(in.WallTime, in.LeadTime, span, p.demand) {
		p.minKept = max(p.minKept, cheapest(c.expectedCosts(p.spec.Max, f.capped(maxServed))))
	}
	p.costReason = fmt.Sprintf("least expected cost of downtime %g/s against %g/s for an idle replica, kept for %v",
		c.missingCost, c.idleCost, span)
}

// cheapest returns the smallest number of replicas with the least cost.
func cheapest(costs []float64) int {
	best := 0
	for n, cost := range costs {
		if cost < costs[best] {
			best = n
		}
	}
	return best
}

// scaleUpMargin is the minimum saving of a replica that does not exist yet, as a
// fraction of the lower of the costs of an idle and of a missing one. Forming a
// replica loads weights and starts with a cold cache; without a margin, noise
// around a threshold would cause it often.
const scaleUpMargin = 0.2

// savingPerVM returns the saving of one more replica, per VM.
func (p *plan) savingPerVM() float64 {
	if p.totalPlaced >= p.spec.Max {
		return 0
	}
	saving := p.costs[p.totalPlaced] - p.costs[p.totalPlaced+1]
	if p.totalPlaced >= p.totalExisting() {
		saving -= scaleUpMargin * p.minUnitCost
	}
	return saving / float64(max(1, p.spec.VMs))
}

func (p *plan) totalExisting() int {
	n := 0
	for _, h := range p.existing {
		n += h
	}
	return n
}

// replicasToKeep returns how many of the existing replicas are kept. At most one is
// removed at a time, and the next only after the previous one has drained.
func (p *plan) replicasToKeep() int {
	existing := p.totalExisting()
	if existing <= p.minKept || p.draining > 0 {
		return min(existing, p.spec.Max)
	}
	return min(max(existing-1, p.minKept), p.spec.Max)
}

func (p *plan) targets(in *Input) []Target {
	basis := "asked now"
	if p.hasBaseline {
		basis = "usual at this hour and asked now"
	}
	reason := fmt.Sprintf("demand %.1f (%s %.1f) in %v; %d replicas held; %s",
		p.forecast.mean, basis, p.demand, in.LeadTime, p.totalExisting(), p.costReason)
	out := make([]Target, 0, len(p.zoneIndexes))
	for k, z := range p.zoneIndexes {
		out = append(out, Target{Spec: p.spec.Name, Zone: in.Zones[z].Name, Replicas: p.placed[k], Reason: reason})
	}
	return out
}
