package kv

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"chervilloom/internal/capacity"
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// maxServingBeforeExport is how long before an export a group may have started to serve
// and still import it: a replacement is often formed before the old group drains.
const maxServingBeforeExport = 10 * time.Minute

// Kind is the kind of an Action.
type Kind string

// Kinds of actions.
const (
	Export Kind = "export" // the leader writes the prefixes to the object
	Import Kind = "import" // the leader reads the object
	Empty  Kind = "empty"  // the object is overwritten with empty data
	Skip   Kind = "skip"   // no action; see Reason
)

// Action is one decision of Decide.
type Action struct {
	Kind       Kind
	Key        Key
	Group      fleet.GroupID
	Generation fleet.Generation
	Leader     fleet.Member
	Prefixes   []uint64
	Savings    time.Duration // expected engine time saved; exports only
	Reason     string
}

// Input is the input of Decide.
type Input struct {
	Now      clock.Instant
	Snapshot *view.Snapshot
	Uses     func(fleet.GroupID) []Use // uses counted on this node
	Costs    Costs
}

// Reasons of an Action, in addition to those of capacity.AdviseExport.
const (
	reasonNotConfigured     = "no group spec asks for this model, version and adapters any more"
	reasonNoFenceCheck      = "the leader's engine does not check what a move is meant for"
	reasonLeaderUnavailable = "the leader does not answer as this generation"
	reasonFixedCost         = "the saving is less than the fixed cost of an export and an import"
	reasonExpired           = "the object is older than its prefixes are likely to be used"
	reasonTooManyObjects    = "more objects are kept than allowed and this is the oldest"
)

// Decide returns the actions to execute now with their reasons, and updates memory.
func Decide(input *Input, memory *Memory) []Action {
	d := decision{input: input, memory: memory}
	present := map[groupGeneration]bool{}
	for i := range input.Snapshot.Groups {
		g := &input.Snapshot.Groups[i]
		if g.Zone != input.Snapshot.Zone || len(g.Members) == 0 {
			continue
		}
		present[generationOf(&g.Group)] = true
		switch g.Phase {
		case fleet.PhaseServing:
			d.considerImport(g)
		case fleet.PhaseDraining:
			d.considerExport(g)
		}
	}
	d.expireObjects()
	memory.forgetMissing(present)
	memory.hasRun = true
	return d.actions
}

type decision struct {
	input   *Input
	memory  *Memory
	actions []Action
	moves   int
}

func (d *decision) add(a Action) {
	if a.Kind == Export || a.Kind == Import {
		d.moves++
	}
	d.actions = append(d.actions, a)
}

func newAction(kind Kind, g *view.Group, reason string) Action {
	return Action{Kind: kind, Key: KeyOf(&g.Group), Group: g.ID, Generation: g.Generation, Leader: g.Members[0], Reason: reason}
}

// considerImport adds an import if a group of the same key has exported its cache
// recently and g is new, whole, and checks the generation of a move.
func (d *decision) considerImport(g *view.Group) {
	p := generationOf(&g.Group)
	since, known := d.memory.servingSince[p]
	if !known {
		// Groups that already serve when this node acquires the duty may have served
		// for long: their caches are assumed to be warm.
		if d.memory.hasRun {
			since = d.input.Now
		}
		d.memory.servingSince[p] = since
	}
	key := KeyOf(&g.Group)
	obj, ok := d.memory.objects[key]
	switch {
	case !ok || since == 0 || d.moves >= maxMoves || !d.checksFence(g):
		return
	case d.memory.lastImported[p] >= obj.exportedAt || since.Add(maxServingBeforeExport) < obj.exportedAt:
		return
	case d.input.Now.Sub(obj.exportedAt) > d.input.Costs.CacheLifetime || !g.Whole:
		return
	}
	d.memory.lastImported[p] = obj.exportedAt // no retry: a failed import costs no more than a cold cache
	a := newAction(Import, g, fmt.Sprintf("%s drained with prefixes that are used", obj.source))
	a.Prefixes = obj.prefixes
	d.add(a)
}

// checksFence reports whether the leader rejects a move for another generation. A leader
// that doesn't could be assigned to another model between the check and the move, and
// would then respond from a KV cache of the wrong weights.
func (d *decision) checksFence(g *view.Group) bool {
	doc := d.input.Snapshot.Config
	return doc != nil && doc.ChecksFence(string(g.Members[0].VM))
}

// considerExport decides once per drain whether the group exports its cache. If the
// leader doesn't respond to probes, the decision is postponed until it does or the drain
// ends.
func (d *decision) considerExport(g *view.Group) {
	p := generationOf(&g.Group)
	before := d.memory.drainStates[p]
	if before == decided || d.moves >= maxMoves {
		return
	}
	if !d.checksFence(g) {
		d.memory.drainStates[p] = decided
		d.add(newAction(Skip, g, reasonNoFenceCheck))
		return
	}
	if !d.leaderResponds(g) {
		d.memory.drainStates[p] = unresponsive
		if before != unresponsive {
			d.add(newAction(Skip, g, reasonLeaderUnavailable))
		}
		return
	}
	d.memory.drainStates[p] = decided
	switch {
	case !d.isConfigured(KeyOf(&g.Group)):
		d.add(newAction(Skip, g, reasonNotConfigured))
	default:
		d.add(d.adviseExport(g))
	}
}

// isConfigured reports whether the configuration has a group spec with the key.
func (d *decision) isConfigured(k Key) bool {
	if d.input.Snapshot.Config == nil {
		return false
	}
	for i := range d.input.Snapshot.Config.Groups {
		s := &d.input.Snapshot.Config.Groups[i]
		if keyOf(k.Zone, s.Model, s.ModelVer, s.Adapters) == k {
			return true
		}
	}
	return false
}

// leaderResponds reports whether the latest probe of the leader was answered by the
// same process in the draining generation. A leader that is leaving still responds.
func (d *decision) leaderResponds(g *view.Group) bool {
	i := slices.IndexFunc(d.input.Snapshot.VMs, func(v view.VM) bool { return v.Record.VM == g.Members[0].VM })
	if i < 0 {
		return false
	}
	pr := &d.input.Snapshot.VMs[i].Probe
	st := &pr.State
	return pr.AnsweredAt != 0 && pr.FailingSince == 0 && st.Boot == g.Members[0].Boot &&
		st.Group == g.ID && st.Generation == g.Generation
}

// adviseExport compares the cost and the savings of exporting the group's prefixes. All
// prefixes go into one object, so the fixed costs of one export and one import are
// subtracted from the sum.
func (d *decision) adviseExport(g *view.Group) Action {
	c := &d.input.Costs
	uses := d.input.Uses(g.ID)
	e := capacity.ExportInput{
		Group: g.ID, PrefixUsage: d.prefixUsage(g, uses), PrefillPerToken: c.PrefillPerToken,
		BytesPerSecond: c.BytesPerSecond, TimeLimit: c.Timeout - c.FixedCost, CacheLifetime: c.CacheLifetime,
	}
	best := capacity.AdviseExport(e)
	chosen := connected(uses, best.Prefixes)
	e.PrefixUsage = slices.DeleteFunc(e.PrefixUsage, func(h capacity.PrefixUsage) bool { return !chosen[h.Prefix] })
	a := capacity.AdviseExport(e)
	saves := a.NetSaving - 2*c.FixedCost
	switch {
	case len(a.Prefixes) == 0:
		return newAction(Skip, g, best.Reason)
	case saves <= 0:
		return newAction(Skip, g, reasonFixedCost)
	}
	out := newAction(Export, g, a.Reason)
	out.Prefixes, out.Savings = a.Prefixes, saves
	return out
}

// prefixUsage converts uses into the input of capacity.AdviseExport. The load balancer
// spreads requests over the zone's nodes, so this node's count is multiplied by their
// number.
func (d *decision) prefixUsage(g *view.Group, uses []Use) []capacity.PrefixUsage {
	nodes := float64(len(d.input.Snapshot.ZoneNodes()) + 1)
	cachedElsewhere := d.cachedElsewhere(g)
	out := make([]capacity.PrefixUsage, 0, len(uses))
	for i := range uses {
		tokens := blockTokens(uses[i].Depth)
		_, isCachedElsewhere := cachedElsewhere[uses[i].Prefix]
		out = append(out, capacity.PrefixUsage{
			Prefix: uses[i].Prefix, Tokens: tokens, UsesPerHour: uses[i].PerHour * nodes,
			Bytes: int64(float64(tokens) * d.input.Costs.BytesPerToken), Held: isCachedElsewhere,
		})
	}
	return out
}

// cachedElsewhere returns the prefixes that are cached by serving groups of the same key:
// those in the caches that this node watches, and those that it sent there no longer ago
// than a prefix is likely to stay cached.
func (d *decision) cachedElsewhere(draining *view.Group) map[uint64]struct{} {
	out := map[uint64]struct{}{}
	key := KeyOf(&draining.Group)
	for i := range d.input.Snapshot.Groups {
		g := &d.input.Snapshot.Groups[i]
		if g.Phase != fleet.PhaseServing || !g.Whole || KeyOf(&g.Group) != key {
			continue
		}
		for h := range g.Prefixes {
			out[h] = struct{}{}
		}
		for _, u := range d.input.Uses(g.ID) {
			if d.input.Now.Sub(u.LastUsed) <= d.input.Costs.CacheLifetime {
				out[u.Prefix] = struct{}{}
			}
		}
	}
	return out
}

// connected returns the chosen prefixes whose shorter prefixes are all chosen too, since
// an engine can't use any others. uses must be sorted with shorter prefixes first.
func connected(uses []Use, chosen []uint64) map[uint64]bool {
	in := make(map[uint64]bool, len(chosen))
	for _, h := range chosen {
		in[h] = true
	}
	out := make(map[uint64]bool, len(chosen))
	for i := range uses {
		u := &uses[i]
		if in[u.Prefix] && (u.Depth == 1 || out[u.Parent]) {
			out[u.Prefix] = true
		}
	}
	return out
}

// expireObjects empties objects whose prefixes are no longer likely to be used, and the
// oldest objects beyond maxObjects.
func (d *decision) expireObjects() {
	keys := slices.SortedFunc(maps.Keys(d.memory.objects), func(a, b Key) int {
		return cmp.Or(cmp.Compare(d.memory.objects[a].exportedAt, d.memory.objects[b].exportedAt), cmp.Compare(a.ObjectName(), b.ObjectName()))
	})
	for i, k := range keys {
		o := d.memory.objects[k]
		a := Action{Kind: Empty, Key: k, Group: o.source}
		switch {
		case d.input.Now.Sub(o.exportedAt) > d.input.Costs.CacheLifetime:
			a.Reason = reasonExpired
		case len(keys)-i > maxObjects:
			a.Reason = reasonTooManyObjects
		default:
			continue
		}
		d.add(a)
	}
}
