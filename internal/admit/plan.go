package admit

import (
	"slices"
	"strings"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

const (
	// defaultQueueLimit is used if the policy sets none.
	defaultQueueLimit = 256
	// assumedSlots is used for a group that has not reported its load yet.
	assumedSlots = 8
	// assumedServiceSlots is used for a plain-service VM that reports no slots.
	assumedServiceSlots = 64
)

// Plan holds the limits of both lanes, computed from one snapshot.
type Plan struct {
	Revision      uint64
	QueueLimit    int
	Organisations []Organisation
	Pools         []Pool // model lane
	Services      []Pool // lookup lane, by Name
	Targets       []TargetPool
}

// TargetPool maps a target to the pool that serves it.
type TargetPool struct {
	Target fleet.Target
	Pool   int // index into Plan.Pools
}

// Organisation is an organisation's weight and its rate caps at this node.
type Organisation struct {
	Name    fleet.Organisation
	Weight  float64
	Rate    float64 // model requests per second at this node; 0: no cap
	Lookups float64 // plain-service calls per second at this node; 0: no cap
}

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Name       string
	ShareSlots float64       // this node's slots if all nodes are equally loaded
	TotalSlots float64       // slots available to this node
	Waiting    int           // requests queued inside the endpoints, as reported
	ReportedAt clock.Instant // time of the newest report
}

// Shares returns the shares of an organisation's rate caps that this node may use.
type Shares func(org fleet.Organisation) (model, lookups float64)

// ComputePlan computes the limits from a snapshot. It returns nil if the snapshot has no
// configuration.
func ComputePlan(s *view.Snapshot, shares Shares) *Plan {
	if s.Config == nil {
		return nil
	}
	p := &Plan{Revision: s.Revision, QueueLimit: s.Config.Policy.QueueLimit}
	if p.QueueLimit <= 0 {
		p.QueueLimit = defaultQueueLimit
	}
	for i := range s.Config.Organisations {
		p.Organisations = append(p.Organisations, organisationOf(&s.Config.Organisations[i], shares))
	}
	nodes := countNodes(s)
	p.addPools(s, nodes)
	for i := range s.Config.Services {
		p.Services = append(p.Services, servicePool(s, s.Config.Services[i].Name, nodes))
	}
	return p
}

func organisationOf(c *config.Organisation, shares Shares) Organisation {
	name := fleet.Organisation(c.Name)
	model, lookups := shares(name)
	return Organisation{
		Name:    name,
		Weight:  float64(max(1, c.Weight)),
		Rate:    scaledCap(c.Rate, model),
		Lookups: scaledCap(c.Lookups, lookups),
	}
}

// minRate keeps a cap from becoming 0, which would mean no cap.
const minRate = 0.001

func scaledCap(limit, share float64) float64 {
	if limit <= 0 {
		return 0
	}
	return max(minRate, limit*share)
}

// nodeCount is the number of entry nodes that share the endpoints, including this
// one.
type nodeCount struct {
	all    int
	byZone map[fleet.AvailabilityZone]int
}

// countNodes counts the nodes that accept requests. A zone without one is
// unreachable, because its endpoints are called only through its own nodes.
func countNodes(s *view.Snapshot) nodeCount {
	c := nodeCount{all: 1, byZone: map[fleet.AvailabilityZone]int{s.Zone: 1}}
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.State != view.NodeAlive || n.Draining {
			continue
		}
		c.all++
		c.byZone[n.Zone]++
	}
	return c
}

// addPools adds one pool for each set of group specifications that can serve
// some target. Targets with the same set compete for the same slots. Overlapping
// sets are separate pools; the adaptive limit accounts for the slots they take
// from each other.
func (p *Plan) addPools(s *view.Snapshot, nodes nodeCount) {
	byKey := make(map[string]int)
	for i := range s.Config.Models {
		m := &s.Config.Models[i]
		for _, version := range m.Versions {
			p.addTarget(s, nodes, byKey, fleet.Target{Model: m.Name, Version: version}, m.Current)
			for _, adapter := range m.Adapters {
				p.addTarget(s, nodes, byKey, fleet.Target{Model: m.Name, Adapter: adapter, Version: version}, m.Current)
			}
		}
	}
}

func (p *Plan) addTarget(s *view.Snapshot, nodes nodeCount, byKey map[string]int, t fleet.Target, current string) {
	key := poolName(s.Config, t)
	i, ok := byKey[key]
	if !ok {
		i = len(p.Pools)
		byKey[key] = i
		pool := groupPool(s, t, nodes)
		pool.Name = key
		p.Pools = append(p.Pools, pool)
	}
	p.Targets = append(p.Targets, TargetPool{Target: t, Pool: i})
	if t.Version == current {
		t.Version = ""
		p.Targets = append(p.Targets, TargetPool{Target: t, Pool: i})
	}
}

// poolName joins the names of the group specifications that can serve t. A target
// that none can serve gets a pool of its own, without specifications.
func poolName(d *config.Document, t fleet.Target) string {
	var names []string
	for i := range d.Groups {
		g := &d.Groups[i]
		if g.Model != t.Model || g.ModelVer != t.Version {
			continue
		}
		if t.Adapter == "" || slices.Contains(g.Adapters, t.Adapter) {
			names = append(names, g.Name)
		}
	}
	if names == nil {
		return "none:" + t.String()
	}
	return strings.Join(names, ",")
}

func groupPool(s *view.Snapshot, t fleet.Target, nodes nodeCount) Pool {
	var p Pool
	for i := range s.Groups {
		g := &s.Groups[i]
		if !g.Carries(t, t.Version) || !isUsable(s, g, nodes) {
			continue
		}
		slots := g.Load.Slots
		if slots <= 0 {
			slots = assumedSlots
		}
		p.TotalSlots += float64(slots)
		p.Waiting += g.Load.Waiting
		p.ReportedAt = max(p.ReportedAt, g.LoadAt)
	}
	p.ShareSlots = p.TotalSlots / float64(nodes.all)
	return p
}

// isUsable reports whether this node can send requests to the group. A group of
// another zone is reached through that zone's nodes.
func isUsable(s *view.Snapshot, g *view.Group, nodes nodeCount) bool {
	return g.Whole && (g.Zone == s.Zone || nodes.byZone[g.Zone] > 0)
}

func servicePool(s *view.Snapshot, name string, nodes nodeCount) Pool {
	p := Pool{Name: name}
	for i := range s.VMs {
		v := &s.VMs[i]
		if v.Record.Kind != fleet.KindService || v.Record.Service != name || v.Leaving || isLost(s, v) {
			continue
		}
		slots := v.Load.Slots
		if slots <= 0 {
			slots = assumedServiceSlots
		}
		p.TotalSlots += float64(slots)
		p.Waiting += v.Load.Waiting
		p.ReportedAt = max(p.ReportedAt, v.LoadAt)
	}
	p.ShareSlots = p.TotalSlots / float64(nodes.all)
	return p
}

// isLost reports whether probes of the VM have failed for longer than a late answer
// explains. VMs that other zones watch are not probed from here.
func isLost(s *view.Snapshot, v *view.VM) bool {
	return v.Probe.FailingSince != 0 && s.At.Sub(v.Probe.FailingSince) >= capacityGrace
}
