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
	// defaultQueueLimit is used when the policy gives none.
	defaultQueueLimit = 256
	// assumedSlots stands for the slots of a group or service VM that has not
	// reported its load yet.
	assumedSlots = 8
	// assumedServiceSlots stands for the slots of a plain service's VM that
	// does not report any.
	assumedServiceSlots = 64
)

// Plan is the limits of both lanes, worked out from one snapshot.
type Plan struct {
	Revision      uint64
	QueueLimit    int
	Organisations []Organisation
	Pools         []Pool // model lane
	Services      []Pool // lookup lane, by Name
	Targets       []TargetPool
}

// TargetPool says which of a plan's pools serves a target.
type TargetPool struct {
	Target fleet.Target
	Pool   int // index into Plan.Pools
}

// Organisation is a customer's share at this node.
type Organisation struct {
	Name    fleet.Organisation
	Weight  float64
	Rate    float64 // model requests a second at this node; 0: no cap
	Lookups float64 // plain calls a second at this node; 0: no cap
}

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Name     string
	Share    float64       // slots that are this node's when all nodes are equally busy
	Total    float64       // slots in reach of this node
	Waiting  int           // requests that wait inside the endpoints, by their own reports
	Reported clock.Instant // when the newest of these reports was true
}

// Shares gives the part of an organisation's rate caps that this node may use.
type Shares func(org fleet.Organisation) (model, lookups float64)

// PlanOf works out the limits from a snapshot. It returns nil when the snapshot
// holds no configuration.
func PlanOf(s *view.Snapshot, shares Shares) *Plan {
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
	nodes := reachable(s)
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
		Rate:    part(c.Rate, model),
		Lookups: part(c.Lookups, lookups),
	}
}

// leastRate keeps a cap from becoming 0, which would stand for no cap.
const leastRate = 0.001

func part(limit, share float64) float64 {
	if limit <= 0 {
		return 0
	}
	return max(leastRate, limit*share)
}

// nodeCount is the entry nodes that share the endpoints, this one included.
type nodeCount struct {
	all    int
	byZone map[fleet.AvailabilityZone]int
}

// reachable counts the nodes that take requests. A zone without one cannot be
// reached: its endpoints are asked through its own nodes only.
func reachable(s *view.Snapshot) nodeCount {
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

// addPools makes one pool for each set of group specifications that some target
// can be served by. Two targets with the same set compete for the same slots;
// sets that overlap are kept apart, and what they take from each other is seen
// by the limit's adaptation.
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
	key := specsOf(s.Config, t)
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

// specsOf names the set of group specifications that can serve t. A target that
// none can serve has a pool of its own, without slots.
func specsOf(d *config.Document, t fleet.Target) string {
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
		if !g.Carries(t, t.Version) || !serves(s, g, nodes) {
			continue
		}
		slots := g.Load.Slots
		if slots <= 0 {
			slots = assumedSlots
		}
		p.Total += float64(slots)
		p.Waiting += g.Load.Waiting
		p.Reported = max(p.Reported, g.LoadAt)
	}
	p.Share = p.Total / float64(nodes.all)
	return p
}

// serves reports whether the group takes requests from this node. A group of
// another zone is reached through that zone's nodes.
func serves(s *view.Snapshot, g *view.Group, nodes nodeCount) bool {
	return g.Whole && (g.Zone == s.Zone || nodes.byZone[g.Zone] > 0)
}

func servicePool(s *view.Snapshot, name string, nodes nodeCount) Pool {
	p := Pool{Name: name}
	for i := range s.VMs {
		v := &s.VMs[i]
		if v.Record.Kind != fleet.KindService || v.Record.Service != name || v.Leaving || lost(s, v) {
			continue
		}
		slots := v.Load.Slots
		if slots <= 0 {
			slots = assumedServiceSlots
		}
		p.Total += float64(slots)
		p.Waiting += v.Load.Waiting
		p.Reported = max(p.Reported, v.LoadAt)
	}
	p.Share = p.Total / float64(nodes.all)
	return p
}

// lost reports whether the VM has not answered probes for longer than a late
// answer explains. VMs that other zones watch are not probed from here.
func lost(s *view.Snapshot, v *view.VM) bool {
	return v.Probe.Failing != 0 && s.At.Sub(v.Probe.Failing) >= capacityGrace
}
