package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

const (
	defaultProbeFresh = 1500 * time.Millisecond
	// remoteGrace extends the freshness of remote entries when their free slots are
	// counted. The remote node checks freshness itself, close to the members; the
	// grace period only limits how long data of a disconnected zone is used.
	remoteGrace = 15 * time.Second
	// defaultSlots is assumed for an endpoint that reports no slots.
	defaultSlots = 8
)

// Table is a snapshot indexed for decisions. It is read-only after Compile.
type Table struct {
	snap     *view.Snapshot
	policy   Policy
	peers    int // other live nodes in this zone, which send to the same endpoints
	entries  []entry
	nodes    []nodeEntry
	zones    []zoneEntry
	classes  []classKey
	peerSets int // number of peer sets
	pools    []pool
	targets  map[fleet.Target]int32
	services map[string]int32
}

// entry is a group or endpoint that can be chosen until freshUntil.
type entry struct {
	group      *view.Group // nil for an endpoint
	vm         *view.VM    // nil for a group
	instance   instance
	hash       uint64
	class      int32
	peerSet    int32
	freshUntil clock.Instant
	load       fleet.Load
	loadAt     clock.Instant
	slots      float64
}

// instance identifies the process that an entry's counters describe. When it
// changes, the counters are reset.
type instance struct {
	boot       fleet.BootID
	generation fleet.Generation
}

type nodeEntry struct {
	vm   fleet.VM
	hash uint64
}

type zoneEntry struct {
	name  fleet.AvailabilityZone
	nodes []int32 // alive and not draining
}

// classKey identifies a set of endpoints whose speeds are compared.
type classKey struct {
	kind Kind
	name string // model or plain service
}

// peerSetKey identifies a set of entries that share the same requests.
type peerSetKey struct {
	class   int32
	zone    fleet.AvailabilityZone
	version string
}

// pool lists the entries that serve one target or plain service.
type pool struct {
	kind     Kind
	name     string
	carriers int      // destinations that carry it, in any state
	ready    int      // number of those that are able to serve
	local    []int32  // entries in this zone
	hashes   []uint64 // name hashes of the local entries
	remote   []remotePool
}

type remotePool struct {
	zone    int32
	entries []int32
}

// Compile indexes a snapshot by target, zone and plain service.
func Compile(snap *view.Snapshot) *Table {
	t := &Table{
		snap:     snap,
		targets:  make(map[fleet.Target]int32),
		services: make(map[string]int32),
	}
	fresh := defaultProbeFresh
	if snap.Config != nil {
		t.policy = ParsePolicy(snap.Config.Policy.Routing)
		fresh = snap.Config.Policy.ProbeFresh.Or(defaultProbeFresh)
	}
	t.addNodes(snap)
	c := compiler{table: t, classes: make(map[classKey]int32), peerSets: make(map[peerSetKey]int32), probeFresh: fresh}
	for i := range snap.Groups {
		c.addGroup(&snap.Groups[i])
	}
	for i := range snap.VMs {
		c.addVM(&snap.VMs[i])
	}
	return t
}

func (t *Table) addNodes(snap *view.Snapshot) {
	for i := range snap.Nodes {
		n := &snap.Nodes[i]
		if n.State != view.NodeAlive || n.VM == snap.Self.VM {
			continue
		}
		if n.Zone == snap.Zone {
			t.peers++
		}
		if n.Draining {
			continue
		}
		z := &t.zones[t.zoneIndex(n.Zone)]
		z.nodes = append(z.nodes, int32(len(t.nodes)))
		t.nodes = append(t.nodes, nodeEntry{vm: n.VM, hash: xxhash.Sum64String(string(n.VM))})
	}
}

func (t *Table) zoneIndex(name fleet.AvailabilityZone) int32 {
	for i := range t.zones {
		if t.zones[i].name == name {
			return int32(i)
		}
	}
	t.zones = append(t.zones, zoneEntry{name: name})
	return int32(len(t.zones) - 1)
}

// compiler holds the state needed only during compilation.
type compiler struct {
	table      *Table
	classes    map[classKey]int32
	peerSets   map[peerSetKey]int32
	probeFresh time.Duration
}

func (c *compiler) classIndex(k classKey) int32 {
	if i, ok := c.classes[k]; ok {
		return i
	}
	i := int32(len(c.table.classes))
	c.table.classes = append(c.table.classes, k)
	c.classes[k] = i
	return i
}

func (c *compiler) peerSetIndex(k peerSetKey) int32 {
	i, ok := c.peerSets[k]
	if !ok {
		i = int32(len(c.peerSets))
		c.peerSets[k] = i
		c.table.peerSets = len(c.peerSets)
	}
	return i
}

func (c *compiler) addGroup(g *view.Group) {
	if g.Phase == fleet.PhaseDissolved {
		return
	}
	index := int32(-1)
	if g.Phase == fleet.PhaseServing && g.Whole && len(g.Members) > 0 {
		index = int32(len(c.table.entries))
		class := c.classIndex(classKey{ToGroup, g.Model})
		c.table.entries = append(c.table.entries, entry{
			group:      g,
			instance:   instance{g.Members[0].Boot, g.Generation},
			hash:       xxhash.Sum64String(string(g.ID)),
			class:      class,
			peerSet:    c.peerSetIndex(peerSetKey{class, g.Zone, g.Version}),
			freshUntil: g.FreshUntil,
			load:       g.Load,
			loadAt:     g.LoadAt,
			slots:      slotsOf(g.Load),
		})
	}
	c.addTarget(fleet.Target{Model: g.Model, Version: g.Version}, g, index)
	for _, a := range g.Adapters {
		c.addTarget(fleet.Target{Model: g.Model, Adapter: a, Version: g.Version}, g, index)
	}
}

// addTarget adds the group to the pool of its version and, if that is the model's
// current version, also to the pool of the empty version.
func (c *compiler) addTarget(tg fleet.Target, g *view.Group, index int32) {
	c.addToPool(c.targetPool(tg), g.Zone, index)
	if c.currentVersion(tg.Model) != tg.Version {
		return
	}
	tg.Version = ""
	c.addToPool(c.targetPool(tg), g.Zone, index)
}

func (c *compiler) currentVersion(model string) string {
	if c.table.snap.Config == nil {
		return ""
	}
	m := c.table.snap.Config.Model(model)
	if m == nil {
		return ""
	}
	return m.Current
}

func (c *compiler) addVM(v *view.VM) {
	if v.Record.Kind != fleet.KindService {
		return
	}
	index := int32(-1)
	if !v.Leaving && v.Record.State != fleet.StateLeaving && v.Probe.AnsweredAt != 0 && v.Probe.FailingSince == 0 {
		index = int32(len(c.table.entries))
		class := c.classIndex(classKey{ToEndpoint, v.Record.Service})
		c.table.entries = append(c.table.entries, entry{
			vm:         v,
			instance:   instance{boot: v.Load.Boot},
			hash:       xxhash.Sum64String(string(v.Record.VM)),
			class:      class,
			peerSet:    c.peerSetIndex(peerSetKey{class, v.Record.Zone, ""}),
			freshUntil: v.Probe.AnsweredAt.Add(c.probeFresh + 1), // Probe.Fresh includes the limit
			load:       v.Load,
			loadAt:     v.LoadAt,
			slots:      slotsOf(v.Load),
		})
	}
	c.addToPool(c.servicePool(v.Record.Service), v.Record.Zone, index)
}

func slotsOf(l fleet.Load) float64 {
	if l.Slots <= 0 {
		return defaultSlots
	}
	return float64(l.Slots)
}

func (c *compiler) targetPool(tg fleet.Target) *pool {
	i, ok := c.table.targets[tg]
	if !ok {
		i = c.newPool(ToGroup, tg.String())
		c.table.targets[tg] = i
	}
	return &c.table.pools[i]
}

func (c *compiler) servicePool(name string) *pool {
	i, ok := c.table.services[name]
	if !ok {
		i = c.newPool(ToEndpoint, name)
		c.table.services[name] = i
	}
	return &c.table.pools[i]
}

func (c *compiler) newPool(k Kind, name string) int32 {
	c.table.pools = append(c.table.pools, pool{kind: k, name: name})
	return int32(len(c.table.pools) - 1)
}

// addToPool adds an entry to the pool. An index of -1 stands for a destination
// that carries the target but cannot serve now.
func (c *compiler) addToPool(p *pool, zone fleet.AvailabilityZone, index int32) {
	p.carriers++
	if index < 0 {
		return
	}
	p.ready++
	if zone == c.table.snap.Zone {
		p.local = append(p.local, index)
		p.hashes = append(p.hashes, c.table.entries[index].hash)
		return
	}
	z := c.table.zoneIndex(zone)
	for i := range p.remote {
		if p.remote[i].zone == z {
			p.remote[i].entries = append(p.remote[i].entries, index)
			return
		}
	}
	p.remote = append(p.remote, remotePool{zone: z, entries: []int32{index}})
}

// pool returns the pool for the request and its index, or nil if there is none.
func (t *Table) pool(f *Facts) (*pool, int32) {
	var (
		i  int32
		ok bool
	)
	if f.Service != "" {
		i, ok = t.services[f.Service]
	} else {
		i, ok = t.targets[f.Target]
	}
	if !ok {
		return nil, 0
	}
	return &t.pools[i], i
}

// Policy is a routing policy.
type Policy int

// Routing policies. Weighted is the default; the others are baselines.
const (
	Weighted Policy = iota
	Random
	RoundRobin
	LeastReported
	TwoChoices
)

var policyNames = [...]string{"weighted", "random", "round-robin", "least-reported", "two-choices"}

// String returns the name used in the configuration document.
func (p Policy) String() string { return policyNames[p] }

// ParsePolicy parses config.Policy.Routing. It returns Weighted for an unknown
// name; validation of the document rejects those earlier.
func ParsePolicy(name string) Policy {
	for i, n := range policyNames {
		if n == name {
			return Policy(i)
		}
	}
	return Weighted
}
