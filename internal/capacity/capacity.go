// Package capacity decides how many replicas of each group spec the fleet should
// hold, and in which availability zones.
//
// Decide weighs what each user pays for: downtime_weight for each second in
// which a group that the demand needs is not up, stranding_weight for each
// second of an accelerator in a group that the demand does not need. The need
// is uncertain, and groups fail; the number of replicas with the least expected
// cost is the target. It goes up at once and down one replica at a time, after
// as long a wait as forming the replica again would cost.
//
// The package is pure: time, demand and history come in as values.
package capacity

import (
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// The defaults of Input.
const (
	DefaultLead   = 4 * time.Minute
	DefaultOutage = 0.003
	DefaultSlots  = 8
	// fill is the share of its slots that a replica is planned to use: a full
	// batch has no room for the next request.
	fill = 0.8
	// The bounds of the wait before a replica is taken.
	shortestHold = 10 * time.Minute
	longestHold  = time.Hour
)

// Input is what Decide looks at.
type Input struct {
	Wall    time.Time // local time of the operators; selects the slot of the week
	Config  *config.Document
	Zones   []Zone
	Held    []Held
	Demand  []Demand
	History *History      // nil: only the present demand counts
	Lead    time.Duration // from the decision to a serving group; 0: DefaultLead
	Outage  float64       // share of the time that a group is not whole; 0: DefaultOutage
}

// Zone is what an availability zone can hold.
type Zone struct {
	Name         fleet.AvailabilityZone
	Domains      []int // live engine VMs of each fabric domain, free or in groups; none: the zone is dark
	Accelerators int   // of one VM; 0 counts as 1
}

// Held is what exists of a spec in a zone.
type Held struct {
	Spec     string
	Zone     fleet.AvailabilityZone
	Replicas int // forming or serving
	Draining int
}

// Demand is what callers ask of a spec in a zone now.
type Demand struct {
	Spec    string
	Zone    fleet.AvailabilityZone
	Running float64 // requests in progress
	Waiting float64 // requests in queues
	Slots   float64 // of one replica; 0: DefaultSlots
}

// Target is a number of replicas for a spec in a zone.
type Target struct {
	Spec     string
	Zone     fleet.AvailabilityZone
	Replicas int
	Reason   string
}

// Decide returns one target for each spec and each zone that the spec allows, in
// the order of the configuration and of Zones. It returns nil without a
// configuration: what exists stays.
func Decide(in Input) []Target {
	if in.Config == nil {
		return nil
	}
	in = in.withDefaults()
	plans := make([]*plan, len(in.Config.Groups))
	for i := range in.Config.Groups {
		plans[i] = newPlan(&in, &in.Config.Groups[i])
	}
	f := newFloor(&in)
	f.placeMinimum(plans)
	f.placeNeeded(plans)
	f.placeHeld(plans)
	var out []Target
	for _, p := range plans {
		out = append(out, p.targets(&in)...)
	}
	return out
}

func (in Input) withDefaults() Input {
	if in.Lead <= 0 {
		in.Lead = DefaultLead
	}
	if in.Outage <= 0 {
		in.Outage = DefaultOutage
	}
	if in.History == nil {
		in.History = NewHistory()
	}
	return in
}

// accelerators returns the accelerators of one VM, averaged over the zones.
func (in *Input) accelerators() float64 {
	sum, vms := 0, 0
	for _, z := range in.Zones {
		for _, n := range z.Domains {
			sum += n * max(1, z.Accelerators)
			vms += n
		}
	}
	if vms == 0 {
		return 1
	}
	return float64(sum) / float64(vms)
}

// hold returns how long a replica that is not needed is kept: until keeping it
// has cost as much as being without it for as long as it takes to form it.
func hold(o config.Objective, accelerators float64, lead time.Duration) time.Duration {
	idle := o.StrandingWeight * accelerators
	if idle <= 0 {
		return longestHold
	}
	d := time.Duration(o.DowntimeWeight / idle * float64(lead))
	return min(max(d, shortestHold), longestHold)
}
