// Package group forms serving groups out of VMs, repairs, drains and dissolves
// them.
//
// Make is pure: belief, table rows and time in, transactions and orders out.
// The Reconciler reads the table, plans, commits and sends orders, under the
// lease of its availability zone. Each transaction checks the rows of the
// lease, of the group and of every VM that it writes, so two planners that race
// cannot both win, and a planner that was paused past its lease cannot win at
// all once another has acquired it.
package group

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// Tune holds the times and bounds of the planner.
type Tune struct {
	DeadAfter     time.Duration // probes unanswered for this long: the member is dead
	DeadProbes    int           // and at least this many in a row
	StaleAfter    time.Duration // without a newer word nothing is concluded
	MissingAfter  time.Duration // gone from the platform's list for this long: treated as leaving
	DissolveAfter time.Duration // a group that cannot be repaired is dissolved after this
	DrainSettle   time.Duration // all nodes know of a drain after this
	DrainLimit    time.Duration // a drain that takes longer is cut
	LoadLimit     time.Duration // a member that has loaded for longer is started anew
	LoadsAtOnce   int           // VMs of the zone that load weights at once
	// UnfencedSettle is how long after taking a lease over from another node
	// engines that ignore fences get no order and no group of them serves: an
	// order that the former holder still had on its way arrives before that.
	UnfencedSettle time.Duration
}

// drainLimit is longer than the longest deadline that a request may have (30
// minutes), so that a drain cuts nothing that its caller still waits for. A VM
// that is gone before that ends the drain at once: its group is broken.
const drainLimit = 31 * time.Minute

// DefaultTune returns the defaults.
func DefaultTune() Tune {
	return Tune{
		DeadAfter: 1500 * time.Millisecond, DeadProbes: 3, StaleAfter: 3 * time.Second,
		MissingAfter: 30 * time.Second, DissolveAfter: time.Minute,
		DrainSettle: 3 * time.Second, DrainLimit: drainLimit,
		LoadLimit: 10 * time.Minute, LoadsAtOnce: 16, UnfencedSettle: 2 * time.Second,
	}
}

// Input is what a plan is made of.
type Input struct {
	Now     clock.Instant
	Snap    *view.Snapshot
	Claims  map[fleet.VM]view.Claim // rows of the claims table
	Groups  []view.TableGroup       // rows of the zone's groups
	Targets map[string]int          // replicas that the zone should hold, by spec name
	Grant   lease.Grant
	Tune    Tune
}

// Kind names what a change does to a group.
type Kind string

// The kinds of change.
const (
	Form     Kind = "form"     // a new group
	Repair   Kind = "repair"   // a new generation of a group
	Serve    Kind = "serve"    // every member has reported the generation
	Drain    Kind = "drain"    // no new request
	Dissolve Kind = "dissolve" // the VMs are free again
	Forget   Kind = "forget"   // the row of a dissolved group is deleted
	Release  Kind = "release"  // a VM whose group does not exist is free again
)

// Change is one transaction of a plan.
type Change struct {
	Kind   Kind
	Group  fleet.Group // as written
	Txn    platform.Txn
	Reason string
	Facts  []explain.Fact
}

// Plan is what is to be done now.
type Plan struct {
	Changes []Change
	Orders  []VMOrder
	Notes   []Note
	Specs   []SpecState // one for each spec of the configuration
	// Stranded counts the accelerators of VMs that are alive and in no group that
	// takes requests.
	Stranded int
}

// SpecState is how a spec fares in the zone.
type SpecState struct {
	Name                         string
	Wanted, Serving, Other, Down int // Other: forming, broken or draining; Down: wanted and not serving
}

// Note is a decision to do nothing yet, and why.
type Note struct {
	Subject, Decision, Reason string
}

// planner holds one run of Make.
type planner struct {
	in     *Input
	mem    *Memory
	doc    *config.Document
	vms    map[fleet.VM]*view.VM
	free   map[fleet.FabricDomain][]*view.VM
	sizes  []int              // VMs of the replicas that need one fabric domain
	taken  map[fleet.VM]bool  // rows written by this plan
	items  []*item            // by group id
	bySpec map[string]*census // every spec and every spec name that a group has
	// listFault: the list misses too many VMs that answer to be believed.
	listFault bool
	out       Plan
}

// item is one group with what is concluded about it.
type item struct {
	row     *view.TableGroup
	assess  assessment
	counted bool // among its spec's current groups
	changed bool // this plan writes its row
}

// Make plans for one availability zone. It returns an empty plan while too
// little is known.
func Make(in *Input, mem *Memory) Plan {
	// Without a list of VMs no zone seems to have room for anything, and every
	// group would be drained as one too many.
	if in.Snap.Config == nil || in.Snap.ListSeen == 0 {
		return Plan{}
	}
	p := newPlanner(in, mem)
	p.mem.watch(p)
	p.collectFree()
	p.collectItems()
	for _, it := range p.items {
		p.step(it)
	}
	p.repairAll()
	p.scale()
	p.releaseOrphans()
	p.orders()
	p.account()
	p.mem.sweep(p)
	return p.out
}

func newPlanner(in *Input, mem *Memory) *planner {
	p := &planner{
		in: in, mem: mem, doc: in.Snap.Config,
		vms:   make(map[fleet.VM]*view.VM, len(in.Snap.VMs)),
		taken: map[fleet.VM]bool{},
	}
	for i := range in.Snap.VMs {
		p.vms[in.Snap.VMs[i].Record.VM] = &in.Snap.VMs[i]
	}
	p.listFault = p.listMisses()
	for i := range p.doc.Groups {
		if s := &p.doc.Groups[i]; s.OneDomain && !slices.Contains(p.sizes, s.VMs) {
			p.sizes = append(p.sizes, s.VMs)
		}
	}
	return p
}

// collectFree finds the VMs that a group may be formed of, by fabric domain,
// the steadiest first.
func (p *planner) collectFree() {
	p.free = map[fleet.FabricDomain][]*view.VM{}
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		if p.isFree(v) {
			p.free[v.Record.Domain] = append(p.free[v.Record.Domain], v)
		}
	}
	for _, vms := range p.free {
		slices.SortStableFunc(vms, func(a, b *view.VM) int {
			return cmp.Compare(p.mem.restarts(a.Record.VM, p.in.Now), p.mem.restarts(b.Record.VM, p.in.Now))
		})
	}
}

func (p *planner) isFree(v *view.VM) bool {
	r := &v.Record
	if r.Kind != fleet.KindEngine || r.Zone != p.in.Snap.Zone || !v.Listed {
		return false
	}
	if p.in.Claims[r.VM].Group != "" || v.Probe.State.Boot == "" {
		return false
	}
	return p.health(v) == alive
}

func (p *planner) collectItems() {
	for i := range p.in.Groups {
		row := &p.in.Groups[i]
		if len(row.Group.Members) > 0 {
			p.items = append(p.items, &item{row: row, assess: p.assess(&row.Group)})
		}
	}
	slices.SortFunc(p.items, func(a, b *item) int { return cmp.Compare(a.row.Group.ID, b.row.Group.ID) })
	p.takeCensus()
}

// step plans what a group needs by itself.
func (p *planner) step(it *item) {
	g := &it.row.Group
	switch g.Phase {
	case fleet.PhaseDissolved:
		if p.in.Now.Sub(since(p.mem.dissolved, g.ID, p.in.Now)) > forgetDissolved {
			p.forget(it)
		}
		return
	case fleet.PhaseDraining:
		p.drainStep(it)
		return
	case fleet.PhaseForming:
		if it.assess.state == whole && p.settled(g) {
			p.serve(it)
		}
	}
	if it.assess.state == dark && p.allMissing(g) {
		p.dissolve(it, "its VMs are dead and gone from the platform's list")
	}
}

// allMissing reports whether the platform has listed no member for long. A dark
// group is kept until then: when it was only cut off, it comes back whole.
func (p *planner) allMissing(g *fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m fleet.Member) bool {
		v := p.vms[m.VM]
		return v != nil && !missing(v, p.in.Now, &p.in.Tune)
	})
}

// forgetDissolved is how long the row of a dissolved group is kept, so that
// slow readers learn that it was dissolved.
const forgetDissolved = time.Minute

// settled reports whether orders of a former holder of the lease can no longer
// reach the group's engines.
func (p *planner) settled(g *fleet.Group) bool {
	for i := range g.Members {
		if !p.mayOrder(g.Members[i].VM) {
			return false
		}
	}
	return true
}

// mayOrder reports whether the VM may get an order: at any time when it checks
// fences, else once the former holder's orders have run out.
func (p *planner) mayOrder(vm fleet.VM) bool {
	if !p.in.Grant.TakenOver || p.checksFence(vm) {
		return true
	}
	return p.in.Now.Sub(p.in.Grant.Since) >= p.in.Tune.UnfencedSettle
}

func (p *planner) checksFence(vm fleet.VM) bool {
	return p.doc.ChecksFence(string(vm))
}

func (p *planner) note(subject, decision, reason string) {
	p.out.Notes = append(p.out.Notes, Note{subject, decision, reason})
}
