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

// young is how long before an export a group may have begun to serve and still
// get it: a replacement is often formed before the old group drains.
const young = 10 * time.Minute

// Kind is what an Action does.
type Kind string

// The kinds.
const (
	Export Kind = "export" // the leader writes the prefixes to the object
	Import Kind = "import" // the leader reads the object
	Empty  Kind = "empty"  // the object is overwritten with nothing
	Skip   Kind = "skip"   // nothing, for the reason given
)

// Action is one decision.
type Action struct {
	Kind       Kind
	Key        Key
	Group      fleet.GroupID
	Generation fleet.Generation
	Leader     fleet.Member
	Prefixes   []uint64
	Saves      time.Duration // expected engine time; exports
	Reason     string
}

// Input is what Decide looks at.
type Input struct {
	Now   clock.Instant
	Snap  *view.Snapshot
	Uses  func(fleet.GroupID) []Use // as this node sees them
	Costs Costs
}

// The reasons of an Action that are not capacity.AdviseExport's.
const (
	reasonUnwanted = "no group spec asks for this model, version and adapters any more"
	reasonUnfenced = "the leader's engine does not check what a move is meant for"
	reasonAway     = "the leader does not answer as this generation"
	reasonFixed    = "the saving is less than the fixed cost of an export and an import"
	reasonOld      = "the object is older than its prefixes are likely to be used"
	reasonMany     = "more objects are kept than allowed and this is the oldest"
)

// Decide returns what is to be done now, and why.
func Decide(in *Input, m *Memory) []Action {
	d := decision{in: in, m: m}
	present := map[place]bool{}
	for i := range in.Snap.Groups {
		g := &in.Snap.Groups[i]
		if g.Zone != in.Snap.Zone || len(g.Members) == 0 {
			continue
		}
		present[placeOf(&g.Group)] = true
		switch g.Phase {
		case fleet.PhaseServing:
			d.serving(g)
		case fleet.PhaseDraining:
			d.draining(g)
		}
	}
	d.expire()
	m.sweep(present)
	m.begun = true
	return d.out
}

type decision struct {
	in    *Input
	m     *Memory
	out   []Action
	moves int
}

func (d *decision) add(a Action) {
	if a.Kind == Export || a.Kind == Import {
		d.moves++
	}
	d.out = append(d.out, a)
}

func action(kind Kind, g *view.Group, reason string) Action {
	return Action{Kind: kind, Key: KeyOf(&g.Group), Group: g.ID, Generation: g.Generation, Leader: g.Members[0], Reason: reason}
}

// serving has a new group import what a group of the same key exported.
func (d *decision) serving(g *view.Group) {
	p := placeOf(&g.Group)
	since, known := d.m.serving[p]
	if !known {
		// Groups that serve when the duty comes here may have done so for long:
		// their caches are warm.
		if d.m.begun {
			since = d.in.Now
		}
		d.m.serving[p] = since
	}
	key := KeyOf(&g.Group)
	obj, ok := d.m.objects[key]
	switch {
	case !ok || since == 0 || d.moves >= maxMoves || !d.fenced(g):
		return
	case d.m.imported[p] >= obj.at || since.Add(young) < obj.at:
		return
	case d.in.Now.Sub(obj.at) > d.in.Costs.Useful || !g.Whole:
		return
	}
	d.m.imported[p] = obj.at // tried once: a failed import costs no more than a cold cache
	a := action(Import, g, fmt.Sprintf("%s drained with prefixes that are used", obj.from))
	a.Prefixes = obj.prefixes
	d.add(a)
}

// fenced reports whether the leader refuses a move that is meant for another
// place. One that does not could be given to another model between the look at
// it and the move, and would then answer from the cache of the wrong weights.
func (d *decision) fenced(g *view.Group) bool {
	doc := d.in.Snap.Config
	return doc != nil && doc.ChecksFence(string(g.Members[0].VM))
}

// draining decides once for each drain whether the group exports. A leader that
// misses a probe is waited for as long as the drain goes on.
func (d *decision) draining(g *view.Group) {
	p := placeOf(&g.Group)
	before := d.m.drained[p]
	if before == decided || d.moves >= maxMoves {
		return
	}
	if !d.fenced(g) {
		d.m.drained[p] = decided
		d.add(action(Skip, g, reasonUnfenced))
		return
	}
	if !d.answers(g) {
		d.m.drained[p] = silent
		if before != silent {
			d.add(action(Skip, g, reasonAway))
		}
		return
	}
	d.m.drained[p] = decided
	switch {
	case !d.wanted(KeyOf(&g.Group)):
		d.add(action(Skip, g, reasonUnwanted))
	default:
		d.add(d.advise(g))
	}
}

// wanted reports whether the configuration asks for groups of the key.
func (d *decision) wanted(k Key) bool {
	if d.in.Snap.Config == nil {
		return false
	}
	for i := range d.in.Snap.Config.Groups {
		s := &d.in.Snap.Config.Groups[i]
		if keyOf(k.Zone, s.Model, s.ModelVer, s.Adapters) == k {
			return true
		}
	}
	return false
}

// answers reports whether the leader's newest probe was answered by the life and
// generation that drains. A leader that is leaving still answers.
func (d *decision) answers(g *view.Group) bool {
	i := slices.IndexFunc(d.in.Snap.VMs, func(v view.VM) bool { return v.Record.VM == g.Members[0].VM })
	if i < 0 {
		return false
	}
	pr := &d.in.Snap.VMs[i].Probe
	st := &pr.State
	return pr.Answered != 0 && pr.Failing == 0 && st.Boot == g.Members[0].Boot &&
		st.Group == g.ID && st.Generation == g.Generation
}

// advise weighs the export of the group's prefixes. All go into one object, so
// that the fixed cost is weighed once against the sum.
func (d *decision) advise(g *view.Group) Action {
	c := &d.in.Costs
	uses := d.in.Uses(g.ID)
	e := capacity.Export{
		Group: g.ID, Heat: d.heat(g, uses), PrefillPerTok: c.PrefillPerTok,
		BytesPerSecond: c.BytesPerSecond, Within: c.Within - c.PerObject, Useful: c.Useful,
	}
	best := capacity.AdviseExport(e)
	chosen := connected(uses, best.Prefixes)
	e.Heat = slices.DeleteFunc(e.Heat, func(h capacity.Heat) bool { return !chosen[h.Prefix] })
	a := capacity.AdviseExport(e)
	saves := a.Saves - 2*c.PerObject
	switch {
	case len(a.Prefixes) == 0:
		return action(Skip, g, best.Reason)
	case saves <= 0:
		return action(Skip, g, reasonFixed)
	}
	out := action(Export, g, a.Reason)
	out.Prefixes, out.Saves = a.Prefixes, saves
	return out
}

// heat turns uses into what capacity weighs. The balancer spreads the calls over
// the zone's nodes: this node's repeats stand for as many at each of the others.
func (d *decision) heat(g *view.Group, uses []Use) []capacity.Heat {
	nodes := float64(len(d.in.Snap.ZoneNodes()) + 1)
	held := d.held(g)
	out := make([]capacity.Heat, 0, len(uses))
	for i := range uses {
		tokens := blockTokens(uses[i].Depth)
		_, stays := held[uses[i].Prefix]
		out = append(out, capacity.Heat{
			Prefix: uses[i].Prefix, Tokens: tokens, PerHour: uses[i].PerHour * nodes,
			Bytes: int64(float64(tokens) * d.in.Costs.BytesPerToken), Held: stays,
		})
	}
	return out
}

// held returns the prefixes that are cached at groups that stay: their caches as
// far as this node watches them, and what this node sent there lately.
func (d *decision) held(drains *view.Group) map[uint64]struct{} {
	out := map[uint64]struct{}{}
	key := KeyOf(&drains.Group)
	for i := range d.in.Snap.Groups {
		g := &d.in.Snap.Groups[i]
		if g.Phase != fleet.PhaseServing || !g.Whole || KeyOf(&g.Group) != key {
			continue
		}
		for h := range g.Prefixes {
			out[h] = struct{}{}
		}
		for _, u := range d.in.Uses(g.ID) {
			if d.in.Now.Sub(u.Last) <= d.in.Costs.Useful {
				out[u.Prefix] = struct{}{}
			}
		}
	}
	return out
}

// connected returns those of the chosen prefixes all of whose shorter prefixes
// are chosen as well: an engine can use no others. Uses has the shorter ones
// first.
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

// expire empties the objects that are too old or too many, oldest first.
func (d *decision) expire() {
	keys := slices.SortedFunc(maps.Keys(d.m.objects), func(a, b Key) int {
		return cmp.Or(cmp.Compare(d.m.objects[a].at, d.m.objects[b].at), cmp.Compare(a.Object(), b.Object()))
	})
	for i, k := range keys {
		o := d.m.objects[k]
		a := Action{Kind: Empty, Key: k, Group: o.from}
		switch {
		case d.in.Now.Sub(o.at) > d.in.Costs.Useful:
			a.Reason = reasonOld
		case len(keys)-i > maxObjects:
			a.Reason = reasonMany
		default:
			continue
		}
		d.add(a)
	}
}
