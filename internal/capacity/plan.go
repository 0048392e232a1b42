package capacity

import (
	"fmt"
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// plan is one spec on its way to targets.
type plan struct {
	spec     *config.GroupSpec
	zones    []int // indexes into Input.Zones that the spec allows
	share    []float64
	held     []int
	draining int
	placed   []int
	total    int
	need     []float64 // expected cost of 0..Max replicas soon
	least    float64   // cost of an idle or of a missing replica per second, the lesser
	keep     int       // replicas that are worth keeping if they exist
	soon     forecast
	usual    bool // the forecast rests on history
	asked    float64
	why      string
}

func newPlan(in *Input, spec *config.GroupSpec) *plan {
	p := &plan{spec: spec}
	for i := range in.Zones {
		if len(spec.Zones) == 0 || slices.Contains(spec.Zones, string(in.Zones[i].Name)) {
			p.zones = append(p.zones, i)
		}
	}
	p.held = make([]int, len(p.zones))
	p.placed = make([]int, len(p.zones))
	p.share = make([]float64, len(p.zones))
	p.readHeld(in)
	slots := p.readDemand(in)
	p.weigh(in, slots)
	return p
}

func (p *plan) zoneAt(in *Input, name fleet.AvailabilityZone) int {
	return slices.IndexFunc(p.zones, func(i int) bool { return in.Zones[i].Name == name })
}

func (p *plan) readHeld(in *Input) {
	for _, h := range in.Held {
		if h.Spec != p.spec.Name {
			continue
		}
		p.draining += h.Draining
		if z := p.zoneAt(in, h.Zone); z >= 0 {
			p.held[z] += h.Replicas
		}
	}
}

// readDemand sums the demand and shares the zones by it, half and half with an
// equal share: a zone that asks little now may be cut off and ask for itself.
func (p *plan) readDemand(in *Input) float64 {
	slots := float64(DefaultSlots)
	by := make([]float64, len(p.zones))
	for _, d := range in.Demand {
		if d.Spec != p.spec.Name {
			continue
		}
		if d.Slots > 0 {
			slots = d.Slots
		}
		asks := d.asks()
		p.asked += asks
		if z := p.zoneAt(in, d.Zone); z >= 0 {
			by[z] += asks
		}
	}
	for z := range p.share {
		p.share[z] = 1 / float64(len(p.zones))
		if p.asked > 0 {
			p.share[z] = p.share[z]/2 + by[z]/p.asked/2
		}
	}
	return slots
}

// asks returns the requests of a demand; what cannot be true counts as none.
func (d *Demand) asks() float64 {
	n := d.Running + d.Waiting
	if !within(n, maxDemand) {
		return 0
	}
	return n
}

// weigh computes the expected cost of each number of replicas.
func (p *plan) weigh(in *Input, slots float64) {
	per := in.accelerators() * float64(max(1, p.spec.VMs))
	c := costs{
		downtime: in.Config.Objective.DowntimeWeight,
		idle:     in.Config.Objective.StrandingWeight * per,
		outage:   in.Outage,
		serves:   max(1, slots*fill),
	}
	p.least = min(c.idle, c.downtime)
	s := in.History.series(p.spec.Name)
	span := hold(in.Config.Objective, per, in.Lead)
	p.soon = s.soon(in.Wall, in.Lead, p.asked)
	_, p.usual = s.usual(WeekSlot(in.Wall))
	most := c.serves * float64(p.spec.Max+2)
	p.need = c.curve(p.spec.Max, p.soon.atMost(most))
	for _, f := range s.around(in.Wall, in.Lead, span, p.asked) {
		p.keep = max(p.keep, cheapest(c.curve(p.spec.Max, f.atMost(most))))
	}
	p.why = fmt.Sprintf("least expected cost of downtime %g/s against %g/s for an idle replica, kept for %v",
		c.downtime, c.idle, span)
}

// cheapest returns the least number of replicas with the least cost.
func cheapest(curve []float64) int {
	best := 0
	for n, cost := range curve {
		if cost < curve[best] {
			best = n
		}
	}
	return best
}

// upMargin is what a replica that does not exist yet must save, as a share of
// what an idle or a missing one costs, whichever is less: forming it loads
// weights and starts with a cold cache, and noise about a boundary would do so
// often.
const upMargin = 0.2

// gain returns what one more replica saves, for each of its VMs.
func (p *plan) gain() float64 {
	if p.total >= p.spec.Max {
		return 0
	}
	saves := p.need[p.total] - p.need[p.total+1]
	if p.total >= p.heldTotal() {
		saves -= upMargin * p.least
	}
	return saves / float64(max(1, p.spec.VMs))
}

func (p *plan) heldTotal() int {
	n := 0
	for _, h := range p.held {
		n += h
	}
	return n
}

// kept returns how many of the held replicas stay. They go one at a time, and
// the next only when the last one has drained.
func (p *plan) kept() int {
	held := p.heldTotal()
	if held <= p.keep || p.draining > 0 {
		return min(held, p.spec.Max)
	}
	return min(max(held-1, p.keep), p.spec.Max)
}

func (p *plan) targets(in *Input) []Target {
	basis := "asked now"
	if p.usual {
		basis = "usual at this hour and asked now"
	}
	reason := fmt.Sprintf("demand %.1f (%s %.1f) in %v; %d replicas held; %s",
		p.soon.mean, basis, p.asked, in.Lead, p.heldTotal(), p.why)
	out := make([]Target, 0, len(p.zones))
	for k, z := range p.zones {
		out = append(out, Target{Spec: p.spec.Name, Zone: in.Zones[z].Name, Replicas: p.placed[k], Reason: reason})
	}
	return out
}
