// Package capacity computes how many replicas of each group spec the fleet should
// have, and in which availability zones.
//
// Decide minimises the expected cost under the configured objective:
// downtime_weight for each second in which a replica that the demand requires is
// not serving, and stranding_weight for each second of an accelerator in a
// replica that the demand does not require. The demand is uncertain and replicas
// fail, so the target is the number of replicas with the least expected cost. It
// rises immediately and falls one replica at a time, once keeping a replica has
// cost as much as lacking it while it is formed again.
//
// Decide is pure: time, demand and history are inputs.
package capacity

import (
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// Defaults of Input, and limits of the decision.
const (
	DefaultLeadTime        = 4 * time.Minute
	DefaultOutageFraction  = 0.003
	DefaultSlotsPerReplica = 8
	// targetUtilization is the planned fraction of a replica's slots in use: at
	// full use the next request has to wait.
	targetUtilization = 0.8
	// Bounds of the time for which a replica that is not required is kept.
	minRetention = 10 * time.Minute
	maxRetention = time.Hour
)

// Input is the input of Decide.
type Input struct {
	WallTime         time.Time // wall time in the operators' time zone; selects the slot of the week
	Config           *config.Document
	Zones            []Zone
	ExistingReplicas []ExistingReplicas
	Demand           []Demand
	History          *History      // nil: only the current demand is used
	LeadTime         time.Duration // time from a decision until the group serves; 0: DefaultLeadTime
	OutageFraction   float64       // fraction of time for which a replica is down; 0: DefaultOutageFraction
}

// Zone is the capacity of an availability zone.
type Zone struct {
	Name              fleet.AvailabilityZone
	VMsPerDomain      []int // live engine VMs per fabric domain, free or in groups; empty if the zone has none
	AcceleratorsPerVM int   // per VM; 0 counts as 1
}

// ExistingReplicas is the number of existing replicas of a spec in a zone.
type ExistingReplicas struct {
	Spec     string
	Zone     fleet.AvailabilityZone
	Active   int // forming or serving
	Draining int
}

// Demand is the current demand for a spec in a zone.
type Demand struct {
	Spec            string
	Zone            fleet.AvailabilityZone
	Running         float64 // requests in progress
	Waiting         float64 // requests in queues
	SlotsPerReplica float64 // request slots per replica; 0: DefaultSlotsPerReplica
}

// Target is the wanted number of replicas of a spec in a zone.
type Target struct {
	Spec     string
	Zone     fleet.AvailabilityZone
	Replicas int
	Reason   string
}

// Decide returns one target for each spec and each zone that the spec allows, in
// the order of the configuration and of Zones. Without a configuration it returns
// nil: existing replicas stay.
func Decide(in Input) []Target {
	if in.Config == nil {
		return nil
	}
	in = in.withDefaults()
	plans := make([]*plan, len(in.Config.Groups))
	for i := range in.Config.Groups {
		plans[i] = newPlan(&in, &in.Config.Groups[i])
	}
	f := newFreeCapacity(&in)
	f.placeMinimum(plans)
	f.placeNeeded(plans)
	f.placeExisting(plans)
	var out []Target
	for _, p := range plans {
		out = append(out, p.targets(&in)...)
	}
	return out
}

func (in Input) withDefaults() Input {
	if in.LeadTime <= 0 {
		in.LeadTime = DefaultLeadTime
	}
	if in.OutageFraction <= 0 {
		in.OutageFraction = DefaultOutageFraction
	}
	if in.History == nil {
		in.History = NewHistory()
	}
	return in
}

// meanAccelerators returns the accelerators per VM, averaged over the VMs of all
// zones.
func (in *Input) meanAccelerators() float64 {
	sum, vms := 0, 0
	for _, z := range in.Zones {
		for _, n := range z.VMsPerDomain {
			sum += n * max(1, z.AcceleratorsPerVM)
			vms += n
		}
	}
	if vms == 0 {
		return 1
	}
	return float64(sum) / float64(vms)
}

// retention returns how long a replica that is not required is kept: until
// keeping it has cost as much as lacking it for the lead time, within bounds.
func retention(o config.Objective, accelerators float64, lead time.Duration) time.Duration {
	idleCost := o.StrandingWeight * accelerators
	if idleCost <= 0 {
		return maxRetention
	}
	d := time.Duration(o.DowntimeWeight / idleCost * float64(lead))
	return min(max(d, minRetention), maxRetention)
}
