// Package group forms serving groups out of VMs, repairs, drains and dissolves
// them.
//
// Planning is a pure function from the view, the table rows and the time to
// transactions and orders. The Reconciler reads the table, plans, commits and
// sends orders while it holds the lease of its availability zone. Each
// transaction checks the versions of the lease row, of the group row and of every
// VM row that it writes. Of two racing planners at most one commits, and a planner
// that was paused past the end of its lease cannot commit once another node has
// acquired the lease.
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

// Params holds the timeouts and limits of the planner.
type Params struct {
	DeadAfter          time.Duration // a member is dead after its probes were unanswered for this long
	DeadProbes         int           // and after at least this many consecutive failures
	MaxProbeAge        time.Duration // age after which the last probe answer no longer gives a VM's health
	UnlistedAfter      time.Duration // a VM missing from the platform's list for this long counts as leaving
	DissolveDelay      time.Duration // a group that cannot be repaired is dissolved after this time
	DrainPropagation   time.Duration // time until all nodes have learned of a drain
	DrainTimeout       time.Duration // a drain that takes longer is ended
	LoadTimeout        time.Duration // a member that loads for longer gets a new generation
	MaxConcurrentLoads int           // VMs of the zone that may load weights concurrently
	// UnfencedOrderDelay is the time after a takeover of the lease from another node
	// in which engines that ignore fences get no orders and their groups do not
	// start to serve. Orders of the former holder that are in flight arrive within
	// this time.
	UnfencedOrderDelay time.Duration
}

// drainTimeout exceeds the longest deadline of a request (30 minutes), so that a
// drain ends no request that its caller still waits for. If a member dies earlier,
// the group is broken and the drain ends immediately.
const drainTimeout = 31 * time.Minute

// DefaultParams returns the defaults.
func DefaultParams() Params {
	return Params{
		DeadAfter: 1500 * time.Millisecond, DeadProbes: 3, MaxProbeAge: 3 * time.Second,
		UnlistedAfter: 30 * time.Second, DissolveDelay: time.Minute,
		DrainPropagation: 3 * time.Second, DrainTimeout: drainTimeout,
		LoadTimeout: 10 * time.Minute, MaxConcurrentLoads: 16, UnfencedOrderDelay: 2 * time.Second,
	}
}

// Input is the input of the planner.
type Input struct {
	Now     clock.Instant
	Snap    *view.Snapshot
	Claims  map[fleet.VM]view.Claim // rows of the claims table
	Groups  []view.TableGroup       // rows of the groups table for the zone
	Targets map[string]int          // wanted replicas in the zone, by spec name
	Grant   lease.Grant
	Params  Params
}

// Kind is the kind of a change to a group.
type Kind string

// The kinds of change.
const (
	Form     Kind = "form"     // creates a group
	Repair   Kind = "repair"   // starts a new generation of a group
	Serve    Kind = "serve"    // starts serving: every member reports the generation
	Drain    Kind = "drain"    // stops new requests to the group
	Dissolve Kind = "dissolve" // releases the group's VMs
	Forget   Kind = "forget"   // deletes the row of a dissolved group
	Release  Kind = "release"  // releases a VM whose group does not exist
)

// Change is one transaction of a plan.
type Change struct {
	Kind   Kind
	Group  fleet.Group // as written
	Txn    platform.Txn
	Reason string
	Facts  []explain.Fact
}

// Plan is the result of planning: the transactions and orders to carry out now.
type Plan struct {
	Changes   []Change
	Orders    []VMOrder
	Deferrals []Deferral
	Specs     []SpecState // one per spec of the configuration
	// StrandedAccelerators is the number of accelerators of live VMs that are in no serving
	// group.
	StrandedAccelerators int
}

// SpecState counts the replicas of a spec in the zone.
type SpecState struct {
	Name                         string
	Wanted, Serving, Other, Down int // Other: forming, broken or draining; Down: wanted but not serving
}

// Deferral is an action that the plan postpones, with the reason.
type Deferral struct {
	Subject, Decision, Reason string
}

// planner is the state of one planning run.
type planner struct {
	in           *Input
	mem          *Memory
	doc          *config.Document
	vms          map[fleet.VM]*view.VM
	freeVMs      map[fleet.FabricDomain][]*view.VM
	replicaSizes []int                  // VMs per replica of the specs that need a single fabric domain
	claimed      map[fleet.VM]bool      // VMs whose claim row this plan writes
	groups       []*assessedGroup       // by group id
	bySpec       map[string]*specGroups // by spec name: the configured specs and those of existing groups
	// listTruncated: too many VMs that answer probes are missing from the list.
	listTruncated bool
	out           Plan
}

// assessedGroup is one group with its assessment.
type assessedGroup struct {
	row     *view.TableGroup
	assess  assessment
	counted bool // included in its spec's current groups
	changed bool // this plan writes its row
}

// MakePlan returns the plan for one availability zone. The plan is empty while the
// configuration or the platform's list of VMs is unknown.
func MakePlan(in *Input, mem *Memory) Plan {
	// Without a list of VMs no zone has capacity, and every group would be
	// drained as surplus.
	if in.Snap.Config == nil || in.Snap.ListSeen == 0 {
		return Plan{}
	}
	p := newPlanner(in, mem)
	p.mem.observe(p)
	p.collectFreeVMs()
	p.assessGroups()
	for _, ag := range p.groups {
		p.stepGroup(ag)
	}
	p.repairAll()
	p.scaleSpecs()
	p.releaseOrphans()
	p.planOrders()
	p.summarize()
	p.mem.evict(p)
	return p.out
}

func newPlanner(in *Input, mem *Memory) *planner {
	p := &planner{
		in: in, mem: mem, doc: in.Snap.Config,
		vms:     make(map[fleet.VM]*view.VM, len(in.Snap.VMs)),
		claimed: map[fleet.VM]bool{},
	}
	for i := range in.Snap.VMs {
		p.vms[in.Snap.VMs[i].Record.VM] = &in.Snap.VMs[i]
	}
	p.listTruncated = p.isListTruncated()
	for i := range p.doc.Groups {
		if s := &p.doc.Groups[i]; s.OneDomain && !slices.Contains(p.replicaSizes, s.VMs) {
			p.replicaSizes = append(p.replicaSizes, s.VMs)
		}
	}
	return p
}

// collectFreeVMs collects the VMs that may join a new group, by fabric domain,
// those with the fewest recent restarts first.
func (p *planner) collectFreeVMs() {
	p.freeVMs = map[fleet.FabricDomain][]*view.VM{}
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		if p.isFree(v) {
			p.freeVMs[v.Record.Domain] = append(p.freeVMs[v.Record.Domain], v)
		}
	}
	for _, vms := range p.freeVMs {
		slices.SortStableFunc(vms, func(a, b *view.VM) int {
			return cmp.Compare(p.mem.recentRestarts(a.Record.VM, p.in.Now), p.mem.recentRestarts(b.Record.VM, p.in.Now))
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

func (p *planner) assessGroups() {
	for i := range p.in.Groups {
		row := &p.in.Groups[i]
		if len(row.Group.Members) > 0 {
			p.groups = append(p.groups, &assessedGroup{row: row, assess: p.assess(&row.Group)})
		}
	}
	slices.SortFunc(p.groups, func(a, b *assessedGroup) int { return cmp.Compare(a.row.Group.ID, b.row.Group.ID) })
	p.classifyGroups()
}

// stepGroup plans the phase changes of a group that depend only on its own state.
func (p *planner) stepGroup(ag *assessedGroup) {
	g := &ag.row.Group
	switch g.Phase {
	case fleet.PhaseDissolved:
		if p.in.Now.Sub(sinceFirst(p.mem.dissolvedSince, g.ID, p.in.Now)) > dissolvedRetention {
			p.deleteGroup(ag)
		}
		return
	case fleet.PhaseDraining:
		p.stepDraining(ag)
		return
	case fleet.PhaseForming:
		if ag.assess.state == ready && p.isSettled(g) {
			p.markServing(ag)
		}
	}
	if ag.assess.state == allDead && p.allUnlisted(g) {
		p.dissolveGroup(ag, "its VMs are dead and gone from the platform's list")
	}
}

// allUnlisted reports whether every member is missing from the platform's list
// for longer than UnlistedAfter. A group whose members are all dead is kept
// until then: after a mere network partition it is complete again.
func (p *planner) allUnlisted(g *fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m fleet.Member) bool {
		v := p.vms[m.VM]
		return v != nil && !isUnlisted(v, p.in.Now, &p.in.Params)
	})
}

// dissolvedRetention is the time for which the row of a dissolved group is kept,
// so that slow readers learn that it was dissolved.
const dissolvedRetention = time.Minute

// isSettled reports whether orders of a former holder of the lease can no longer
// affect the group's engines.
func (p *planner) isSettled(g *fleet.Group) bool {
	for i := range g.Members {
		if !p.canOrder(g.Members[i].VM) {
			return false
		}
	}
	return true
}

// canOrder reports whether the VM may get an order: always if its engine checks
// fences or the lease was not taken over, else only after UnfencedOrderDelay.
func (p *planner) canOrder(vm fleet.VM) bool {
	if !p.in.Grant.TakenOver || p.checksFence(vm) {
		return true
	}
	return p.in.Now.Sub(p.in.Grant.Since) >= p.in.Params.UnfencedOrderDelay
}

func (p *planner) checksFence(vm fleet.VM) bool {
	return p.doc.ChecksFence(string(vm))
}

func (p *planner) deferAction(subject, decision, reason string) {
	p.out.Deferrals = append(p.out.Deferrals, Deferral{subject, decision, reason})
}
