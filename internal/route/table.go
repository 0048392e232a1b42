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
	// remoteSlack is how long past its freshness a destination of another zone
	// still counts as room there. The node that is asked checks the freshness
	// itself, next to the members; the slack only keeps facts of a zone that
	// was cut off from being believed for ever.
	remoteSlack = 15 * time.Second
	// defaultSlots stands for an endpoint that reports no slots.
	defaultSlots = 8
)

// Table is a snapshot compiled for decisions. It is read-only once compiled.
type Table struct {
	snap     *view.Snapshot
	policy   Policy
	peers    int // other entry nodes that send to this zone's endpoints
	entries  []entry
	nodes    []nodeEntry
	zones    []zoneEntry
	classes  []classKey
	kins     int // sets of entries that share their load
	pools    []pool
	targets  map[fleet.Target]int32
	services map[string]int32
}

// entry is a group or endpoint that may be chosen while it is fresh.
type entry struct {
	group      *view.Group // nil for an endpoint
	vm         *view.VM    // nil for a group
	life       life
	hash       uint64
	class      int32
	kin        int32
	freshUntil clock.Instant
	load       fleet.Load
	loadAt     clock.Instant
	slots      float64
}

// life is what an entry's counters are about; with another one they start afresh.
type life struct {
	boot       fleet.BootID
	generation fleet.Generation
}

type nodeEntry struct {
	vm   fleet.VM
	hash uint64
}

type zoneEntry struct {
	name  fleet.AvailabilityZone
	nodes []int32 // alive, not draining
}

// classKey names the endpoints whose speeds are compared with each other.
type classKey struct {
	kind Kind
	name string // model or plain service
}

// kinKey names the entries among which the same requests are shared out.
type kinKey struct {
	class   int32
	zone    fleet.AvailabilityZone
	version string
}

// pool is everything that can answer one target or plain service.
type pool struct {
	kind   Kind
	name   string
	known  int      // destinations that carry it, whole or not
	ready  int      // of those, whole and not leaving
	local  []int32  // entries of the own zone
	hashes []uint64 // of the names of local
	remote []remotePool
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
	c := compiler{table: t, classes: make(map[classKey]int32), kins: make(map[kinKey]int32), fresh: fresh}
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

// compiler holds what is needed only while a table is made.
type compiler struct {
	table   *Table
	classes map[classKey]int32
	kins    map[kinKey]int32
	fresh   time.Duration
}

func (c *compiler) class(k classKey) int32 {
	if i, ok := c.classes[k]; ok {
		return i
	}
	i := int32(len(c.table.classes))
	c.table.classes = append(c.table.classes, k)
	c.classes[k] = i
	return i
}

func (c *compiler) kin(k kinKey) int32 {
	i, ok := c.kins[k]
	if !ok {
		i = int32(len(c.kins))
		c.kins[k] = i
		c.table.kins = len(c.kins)
	}
	return i
}

func (c *compiler) addGroup(g *view.Group) {
	if g.Phase == fleet.PhaseDissolved {
		return
	}
	at := int32(-1)
	if g.Phase == fleet.PhaseServing && g.Whole && len(g.Members) > 0 {
		at = int32(len(c.table.entries))
		class := c.class(classKey{ToGroup, g.Model})
		c.table.entries = append(c.table.entries, entry{
			group:      g,
			life:       life{g.Members[0].Boot, g.Generation},
			hash:       xxhash.Sum64String(string(g.ID)),
			class:      class,
			kin:        c.kin(kinKey{class, g.Zone, g.Version}),
			freshUntil: g.FreshUntil,
			load:       g.Load,
			loadAt:     g.LoadAt,
			slots:      slotsOf(g.Load),
		})
	}
	c.addTarget(fleet.Target{Model: g.Model, Version: g.Version}, g, at)
	for _, a := range g.Adapters {
		c.addTarget(fleet.Target{Model: g.Model, Adapter: a, Version: g.Version}, g, at)
	}
}

// addTarget files the group under the version it carries and, when that is the
// model's current one, under the empty version as well.
func (c *compiler) addTarget(tg fleet.Target, g *view.Group, at int32) {
	c.file(c.targetPool(tg), g.Zone, at)
	if c.current(tg.Model) != tg.Version {
		return
	}
	tg.Version = ""
	c.file(c.targetPool(tg), g.Zone, at)
}

func (c *compiler) current(model string) string {
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
	at := int32(-1)
	if !v.Leaving && v.Record.State != fleet.StateLeaving && v.Probe.Answered != 0 && v.Probe.Failing == 0 {
		at = int32(len(c.table.entries))
		class := c.class(classKey{ToEndpoint, v.Record.Service})
		c.table.entries = append(c.table.entries, entry{
			vm:         v,
			life:       life{boot: v.Load.Boot},
			hash:       xxhash.Sum64String(string(v.Record.VM)),
			class:      class,
			kin:        c.kin(kinKey{class, v.Record.Zone, ""}),
			freshUntil: v.Probe.Answered.Add(c.fresh + 1), // Fresh holds at the limit itself
			load:       v.Load,
			loadAt:     v.LoadAt,
			slots:      slotsOf(v.Load),
		})
	}
	c.file(c.servicePool(v.Record.Service), v.Record.Zone, at)
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

// file puts entry at (-1: carried but not able to serve) into the pool.
func (c *compiler) file(p *pool, zone fleet.AvailabilityZone, at int32) {
	p.known++
	if at < 0 {
		return
	}
	p.ready++
	if zone == c.table.snap.Zone {
		p.local = append(p.local, at)
		p.hashes = append(p.hashes, c.table.entries[at].hash)
		return
	}
	z := c.table.zoneIndex(zone)
	for i := range p.remote {
		if p.remote[i].zone == z {
			p.remote[i].entries = append(p.remote[i].entries, at)
			return
		}
	}
	p.remote = append(p.remote, remotePool{zone: z, entries: []int32{at}})
}

// pool returns what can answer the request, or nil.
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

// Policy names a way of choosing.
type Policy int

// The policies. Weighted is the default; the others are baselines.
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

// ParsePolicy reads config.Policy.Routing. Unknown names stand for the default;
// the document's check refuses them before they get here.
func ParsePolicy(name string) Policy {
	for i, n := range policyNames {
		if n == name {
			return Policy(i)
		}
	}
	return Weighted
}
