// Package group forms serving groups out of VMs, repairs, drains and dissolves
// them.
//
// Plan is pure: belief, table rows and time in, transactions and orders out.
// The Reconciler reads the table, plans, commits and sends orders, under the
// lease of its availability zone. Each transaction checks the rows of the
// lease, of the group and of every VM that it writes, so two planners that race
// cannot both win, and a planner that was paused past its lease cannot win at
// all once another has acquired it.
package group

import (
	"cmp"
	"fmt"
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
	LoadsAtOnce   int           // VMs of the zone that load weights at once
}

// DefaultTune returns the defaults.
func DefaultTune() Tune {
	return Tune{
		DeadAfter: 1500 * time.Millisecond, DeadProbes: 3, StaleAfter: 3 * time.Second,
		MissingAfter: 30 * time.Second, DissolveAfter: 10 * time.Second,
		DrainSettle: 3 * time.Second, DrainLimit: 10 * time.Minute, LoadsAtOnce: 16,
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
	Notes   []Note // decisions to do nothing that an operator may ask about
}

// Note is a decision without a transaction.
type Note struct {
	Subject, Decision, Reason string
}

// Memory is what the planner remembers between plans. It is lost with the
// process; then the times it holds start anew, which delays and never hastens.
type Memory struct {
	draining  map[fleet.GroupID]clock.Instant
	broken    map[fleet.GroupID]clock.Instant
	dissolved map[fleet.GroupID]clock.Instant
	formed    uint64
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		draining:  map[fleet.GroupID]clock.Instant{},
		broken:    map[fleet.GroupID]clock.Instant{},
		dissolved: map[fleet.GroupID]clock.Instant{},
	}
}

// since returns when the group was first put into m.
func since(m map[fleet.GroupID]clock.Instant, id fleet.GroupID, now clock.Instant) clock.Instant {
	if at, ok := m[id]; ok {
		return at
	}
	m[id] = now
	return now
}

// planner holds one run of Make.
type planner struct {
	in    *Input
	mem   *Memory
	doc   *config.Document
	vms   map[fleet.VM]*view.VM
	free  map[fleet.FabricDomain][]*view.VM
	taken map[fleet.VM]bool // changed by this plan
	out   Plan
}

// Make plans for one availability zone. It returns an empty plan while too
// little is known.
func Make(in *Input, mem *Memory) Plan {
	if in.Snap.Config == nil || len(in.Snap.VMs) == 0 {
		return Plan{}
	}
	p := &planner{
		in: in, mem: mem, doc: in.Snap.Config,
		vms: make(map[fleet.VM]*view.VM, len(in.Snap.VMs)), taken: map[fleet.VM]bool{},
	}
	for i := range in.Snap.VMs {
		p.vms[in.Snap.VMs[i].Record.VM] = &in.Snap.VMs[i]
	}
	p.collectFree()
	groups := slices.Clone(in.Groups)
	slices.SortFunc(groups, func(a, b view.TableGroup) int { return cmp.Compare(a.Group.ID, b.Group.ID) })
	for i := range groups {
		p.one(&groups[i])
	}
	p.releaseOrphans(groups)
	p.scale(groups)
	p.orders(groups)
	return p.out
}

// collectFree finds the VMs that a group may be formed of, by fabric domain.
func (p *planner) collectFree() {
	p.free = map[fleet.FabricDomain][]*view.VM{}
	for i := range p.in.Snap.VMs {
		v := &p.in.Snap.VMs[i]
		if p.isFree(v) {
			p.free[v.Record.Domain] = append(p.free[v.Record.Domain], v)
		}
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
	return healthOf(v, p.in.Now, &p.in.Tune) == alive
}

// one plans for one group.
func (p *planner) one(row *view.TableGroup) {
	g := &row.Group
	switch g.Phase {
	case fleet.PhaseDissolved:
		if p.in.Now.Sub(since(p.mem.dissolved, g.ID, p.in.Now)) > forgetDissolved {
			p.forget(row)
		}
		return
	case fleet.PhaseDraining:
		p.drainStep(row)
		return
	}
	a := p.assess(g)
	if a.state != broken {
		delete(p.mem.broken, g.ID)
	}
	switch a.state {
	case whole:
		if g.Phase == fleet.PhaseForming {
			p.serve(row)
		}
	case broken:
		p.repair(row, &a)
	}
}

// forgetDissolved is how long the row of a dissolved group is kept, so that
// slow readers learn that it was dissolved.
const forgetDissolved = time.Minute

// drainStep dissolves a draining group once its leader has nothing left to do.
func (p *planner) drainStep(row *view.TableGroup) {
	g := &row.Group
	began := since(p.mem.draining, g.ID, p.in.Now)
	took := p.in.Now.Sub(began)
	leader := p.vms[g.Members[0].VM]
	switch {
	case leader == nil || healthOf(leader, p.in.Now, &p.in.Tune) == dead:
		p.dissolve(row, "draining and its leader is dead")
	case leader.Probe.State.Boot != "" && leader.Probe.State.Boot != g.Members[0].Boot:
		p.dissolve(row, "draining and its leader restarted")
	case took > p.in.Tune.DrainLimit:
		p.dissolve(row, "the drain took too long")
	case leader.LoadAt.After(began.Add(p.in.Tune.DrainSettle)) && leader.Load.Boot == g.Members[0].Boot &&
		leader.Load.Running == 0 && leader.Load.Waiting == 0:
		p.dissolve(row, fmt.Sprintf("drained in %v", took.Round(time.Millisecond)))
	}
}
