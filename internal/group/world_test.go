package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// world holds the input of the planner and applies its plans.
type world struct {
	now     clock.Instant
	doc     *config.Document
	vms     map[fleet.VM]*view.VM
	claims  map[fleet.VM]view.Claim
	groups  []view.TableGroup
	targets map[string]int
	grant   lease.Grant
	tune    Params
	mem     *Memory
}

func newWorld(d *config.Document, sizes ...int) *world {
	_, list := newFleet("z", sizes...)
	w := &world{
		now: clock.Instant(time.Hour), doc: d, vms: map[fleet.VM]*view.VM{}, claims: map[fleet.VM]view.Claim{},
		targets: map[string]int{}, grant: lease.Grant{Duty: Duty("z"), Fence: 1, Version: 1},
		tune: DefaultParams(), mem: NewMemory(),
	}
	for _, s := range d.Groups {
		w.targets[s.Name] = s.Min
	}
	for _, r := range list {
		v := &view.VM{Record: r, Listed: true}
		v.Probe = view.Probe{State: fleet.EngineState{VM: r.VM, Boot: fleet.BootID("b1-" + string(r.VM))}, AnsweredAt: w.now}
		w.vms[r.VM] = v
	}
	return w
}

func (w *world) snapshot() *view.Snapshot {
	s := &view.Snapshot{At: w.now, Self: fleet.Node{VM: "n", Incarnation: 1}, Zone: "z", Revision: 1, Config: w.doc, ListSeen: w.now}
	for _, v := range w.vms {
		if v.Probe.FailingSince == 0 {
			v.Probe.AnsweredAt = w.now
		}
		s.VMs = append(s.VMs, *v)
	}
	slices.SortFunc(s.VMs, func(a, b view.VM) int {
		if a.Record.VM < b.Record.VM {
			return -1
		}
		return 1
	})
	return s
}

// plan makes a plan and checks that each transaction is conditional on the lease
// row and on every row that it writes.
func (w *world) plan(t testing.TB) Plan {
	t.Helper()
	p := MakePlan(&Input{
		Now: w.now, Snap: w.snapshot(), Claims: w.claims, Groups: w.groups, Targets: w.targets, Grant: w.grant, Params: w.tune,
	}, w.mem)
	written := map[string]bool{}
	for _, c := range p.Changes {
		if k := c.Txn.Checks[0]; k.Table != platform.TableLeases || k.Key != w.grant.Duty || k.Version != w.grant.Version {
			t.Fatalf("%s of %s does not check the lease first", c.Kind, c.Group.ID)
		}
		for _, wr := range c.Txn.Writes {
			key := wr.Table + "/" + wr.Key
			if written[key] {
				t.Fatalf("two changes of one plan write %s", key)
			}
			written[key] = true
			if !slices.ContainsFunc(c.Txn.Checks, func(k platform.Check) bool {
				return k.Table == wr.Table && k.Key == wr.Key && k.Version == w.version(wr.Table, wr.Key)
			}) {
				t.Fatalf("%s of %s writes %s without checking its version", c.Kind, c.Group.ID, key)
			}
		}
	}
	return p
}

func (w *world) version(table, key string) uint64 {
	if table == platform.TableVMs {
		return w.claims[fleet.VM(key)].Version
	}
	for i := range w.groups {
		if string(w.groups[i].Group.ID) == key {
			return w.groups[i].Version
		}
	}
	return 0
}

// apply carries out the plan: every transaction commits and every engine accepts
// its orders.
func (w *world) apply(p Plan) {
	r := &rows{claims: w.claims, groups: map[fleet.GroupID]view.TableGroup{}}
	for _, g := range w.groups {
		r.groups[g.Group.ID] = g
	}
	for _, c := range p.Changes {
		for _, wr := range c.Txn.Writes {
			if wr.Delete {
				delete(r.groups, fleet.GroupID(wr.Key))
				continue
			}
			r.put(&platform.Row{Table: wr.Table, Key: wr.Key, Value: wr.Value, Version: w.version(wr.Table, wr.Key) + 1}, nil)
		}
	}
	w.groups = r.groupList()
	slices.SortFunc(w.groups, func(a, b view.TableGroup) int {
		if a.Group.ID < b.Group.ID {
			return -1
		}
		return 1
	})
	for _, o := range p.Orders {
		w.applyOrder(o)
	}
}

func (w *world) applyOrder(o VMOrder) {
	e := fakeEngine{state: w.vms[o.VM].Probe.State, checksFence: true}
	e.order(o.Order, 0)
	w.vms[o.VM].Probe.State = e.state
}

// settle plans and applies until the plan is empty, at most n times, and returns
// the changes.
func (w *world) settle(t testing.TB, n int) []Change {
	t.Helper()
	var all []Change
	for range n {
		p := w.plan(t)
		if len(p.Changes)+len(p.Orders) == 0 {
			break
		}
		w.apply(p)
		all = append(all, p.Changes...)
		w.now = w.now.Add(200 * time.Millisecond)
	}
	return all
}

func (w *world) failProbes(vms ...fleet.VM) {
	for _, vm := range vms {
		p := &w.vms[vm].Probe
		p.FailingSince, p.Failures = w.now.Add(-10*time.Second), 30
	}
}

func (w *world) restart(vm fleet.VM, boot fleet.BootID) {
	w.vms[vm].Probe.State = fleet.EngineState{VM: vm, Boot: boot}
}

// setLoad gives every VM a current load report with the number of running
// requests.
func (w *world) setLoad(running int) {
	for vm, v := range w.vms {
		v.Load = fleet.Load{VM: vm, Boot: v.Probe.State.Boot, Running: running}
		v.LoadAt = w.now
	}
}

func (w *world) group(i int) *fleet.Group { return &w.groups[i].Group }

func kinds(changes []Change) string {
	var out []string
	for _, c := range changes {
		out = append(out, string(c.Kind))
	}
	return fmt.Sprint(out)
}

func (w *world) phases() string {
	n := map[fleet.Phase]int{}
	for i := range w.groups {
		n[w.groups[i].Group.Phase]++
	}
	return fmt.Sprint(n)
}

func countOrders(p Plan, v engine.Verb) int {
	n := 0
	for _, o := range p.Orders {
		if o.Order.Verb == v {
			n++
		}
	}
	return n
}

func spec(name string, vms, count int) config.GroupSpec {
	return config.GroupSpec{Name: name, Model: name, ModelVer: "v1", VMs: vms, Min: count, Max: count, OneDomain: true}
}

func specs(s ...config.GroupSpec) *config.Document { return &config.Document{Version: 1, Groups: s} }
