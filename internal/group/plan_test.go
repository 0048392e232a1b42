package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

func TestPlacementAvoidsStranding(t *testing.T) {
	for name, c := range map[string]struct {
		sizes []int
		specs []config.GroupSpec
		want  map[string]int // free VMs left by domain
	}{
		"an exact fit is preferred to a domain of 13, which would strand 5": {[]int{13, 8}, []config.GroupSpec{spec("a", 8, 1)}, map[string]int{"z-d0": 13}},
		"a remainder that another size can use":                             {[]int{13, 12}, []config.GroupSpec{spec("a", 8, 1), spec("b", 5, 0)}, map[string]int{"z-d0": 5, "z-d1": 12}},
		"the larger replica is placed first":                                {[]int{8, 5}, []config.GroupSpec{spec("b", 4, 1), spec("a", 8, 1)}, map[string]int{"z-d1": 1}},
		"replicas are spread over domains if this strands no VM":            {[]int{16, 16}, []config.GroupSpec{spec("a", 8, 2)}, map[string]int{"z-d0": 8, "z-d1": 8}},
		"no spec gets all VMs while another has none":                       {[]int{8}, []config.GroupSpec{spec("a", 4, 2), spec("b", 4, 1)}, map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(specs(c.specs...), c.sizes...)
			w.doc.Objective = config.Objective{DowntimeWeight: 10, StrandingWeight: 1}
			p := w.plan(t)
			left := map[string]int{}
			for _, v := range w.vms {
				left[string(v.Record.Domain)]++
			}
			formed := map[string]int{}
			for _, ch := range p.Changes {
				formed[ch.Group.Spec]++
				left[string(ch.Group.Domain)] -= len(ch.Group.Members)
			}
			for d, n := range left {
				if n == 0 {
					delete(left, d)
				}
			}
			is.Equal(left, c.want)
			if name == "no spec gets all VMs while another has none" {
				is.Equal(formed, map[string]int{"a": 1, "b": 1})
			}
		})
	}
}

// The same state under two objectives. With a high weight of stranding, the second
// replica is placed beside the first, which keeps 12 VMs for two replicas of the
// other size. With a high weight of downtime, it strands four VMs, so that the
// outage of one domain does not stop both replicas.
func TestWeightsChangeThePlacement(t *testing.T) {
	for name, c := range map[string]struct {
		objective config.Objective
		domain    fleet.FabricDomain
	}{
		"stranding": {config.Objective{DowntimeWeight: 10, StrandingWeight: 1}, "z-d0"},
		"downtime":  {config.Objective{DowntimeWeight: 10000, StrandingWeight: 1}, "z-d1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(specs(spec("a", 8, 1), spec("b", 6, 0)), 16, 12)
			w.doc.Objective = c.objective
			w.settle(t, 10)
			is.Equal(w.group(0).Domain, fleet.FabricDomain("z-d0"))
			w.targets["a"] = 2
			p := w.plan(t)
			is.Equal(len(p.Changes), 1)
			is.Equal(p.Changes[0].Group.Domain, c.domain)
		})
	}
}

func TestRepair(t *testing.T) {
	t.Run("a spare replaces a dead member at its rank", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 5)
		w.settle(t, 10)
		replaced := w.group(0).Members[1].VM
		w.failProbes(replaced)
		is.Equal(kinds(w.settle(t, 10)), "[repair serve]")
		is.Equal(w.group(0).Generation, fleet.Generation(2))
		is.True(w.group(0).Members[1].VM != replaced)
		is.Equal(w.claims[replaced].Group, fleet.GroupID(""))
	})
	t.Run("a restarted member stays with its new boot id", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 5)
		w.settle(t, 10)
		m := w.group(0).Members[0]
		w.restart(m.VM, "b2")
		is.Equal(kinds(w.settle(t, 10)), "[repair serve]")
		is.Equal(w.group(0).Members[0].VM, m.VM)
		is.Equal(w.group(0).Members[0].Boot, fleet.BootID("b2"))
	})
	t.Run("a member that restarts repeatedly is replaced", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 5)
		w.settle(t, 10)
		m := w.group(0).Members[0].VM
		for _, boot := range []fleet.BootID{"b2", "b3", "b4"} {
			w.restart(m, boot)
			w.settle(t, 10)
		}
		is.True(w.group(0).Members[0].VM != m)
	})
	t.Run("no repair while another member may be dead", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 6)
		w.settle(t, 10)
		w.failProbes(w.group(0).Members[0].VM)
		dying := &w.vms[w.group(0).Members[1].VM].Probe
		dying.FailingSince, dying.Failures = w.now.Add(-300*time.Millisecond), 1
		is.Equal(kinds(w.plan(t).Changes), "[]")
	})
	t.Run("two broken groups yield one serving group", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 2)), 8)
		w.settle(t, 10)
		w.failProbes(w.group(0).Members[0].VM, w.group(1).Members[0].VM, w.group(1).Members[1].VM)
		is.Equal(kinds(w.settle(t, 10)), "[dissolve repair serve]")
		is.Equal(w.phases(), "map[dissolved:1 serving:1]")
	})
	t.Run("a group that cannot be repaired is dissolved after a delay", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 4)
		w.settle(t, 10)
		w.failProbes(w.group(0).Members[0].VM)
		is.Equal(kinds(w.plan(t).Changes), "[]")
		w.now = w.now.Add(w.tune.DissolveDelay)
		is.Equal(kinds(w.plan(t).Changes), "[dissolve]")
	})
	t.Run("a group that cannot be repaired is replaced at once if VMs are free", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 4, 4)
		w.settle(t, 10)
		w.failProbes(w.group(0).Members[0].VM)
		is.Equal(kinds(w.settle(t, 10)), "[form dissolve serve]")
	})
	t.Run("a member that lost the replica gets a new generation", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 4, 1)), 4)
		w.settle(t, 10)
		w.vms[w.group(0).Members[0].VM].Probe.State.Loaded = false
		is.Equal(kinds(w.settle(t, 10)), "[repair serve]")
	})
}

func TestDomainOutage(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 4, 2)), 8, 8)
	w.settle(t, 10)
	var dead []fleet.VM
	for vm, v := range w.vms {
		if v.Record.Domain == "z-d0" {
			dead = append(dead, vm)
		}
	}
	w.failProbes(dead...)
	is.Equal(kinds(w.settle(t, 10)), "[form serve]") // the form is in the other domain
	is.Equal(w.phases(), "map[serving:3]")           // the dead group is kept: its members may answer again
	for _, vm := range dead {
		w.vms[vm].Probe.FailingSince, w.vms[vm].Probe.Failures = 0, 0
	}
	w.setLoad(0)
	is.Equal(kinds(w.settle(t, 1)), "[drain]") // its members answer again: one group is surplus
	w.failProbes(dead...)
	for _, vm := range dead {
		w.vms[vm].Listed, w.vms[vm].UnlistedSince = false, w.now.Add(-time.Hour)
	}
	w.now = w.now.Add(time.Second)
	for _, c := range w.plan(t).Changes {
		is.Equal(c.Kind, Dissolve) // the VMs are missing from the list as well
	}
}

// A group with a leaving member is drained. Once its requests are done, a spare
// replaces the leaving member.
func TestLeavingMemberDrainsFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 4, 1)), 5)
	w.settle(t, 10)
	m := w.group(0).Members[2].VM
	w.vms[m].Leaving = true
	w.setLoad(3)
	is.Equal(kinds(w.settle(t, 10)), "[drain]")
	w.now = w.now.Add(w.tune.DrainPropagation)
	w.setLoad(1)
	is.Equal(kinds(w.settle(t, 1)), "[]")
	w.setLoad(0)
	w.now = w.now.Add(time.Second)
	w.setLoad(0)
	is.Equal(kinds(w.settle(t, 10)), "[repair serve]")
	is.True(w.group(0).Members[2].VM != m)
}

func TestSurplusIsDrainedAndDissolved(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 2, 2)), 4)
	w.settle(t, 10)
	w.targets["a"] = 1
	is.Equal(kinds(w.settle(t, 5)), "[drain]")
	w.setLoad(0) // idle, but other nodes may not know of the drain yet
	is.Equal(kinds(w.settle(t, 5)), "[]")
	w.now = w.now.Add(w.tune.DrainPropagation)
	w.setLoad(0)
	w.now = w.now.Add(time.Second)
	w.setLoad(0)
	is.Equal(kinds(w.settle(t, 5)), "[dissolve]")
	free := 0
	for _, v := range w.vms {
		if w.claims[v.Record.VM].Group == "" && v.Probe.State.Group == "" {
			free++
		}
	}
	is.Equal(free, 2)
	w.targets["a"] = 2 // the released VMs can be used again
	is.Equal(kinds(w.settle(t, 5)), "[form serve]")
	w.now = w.now.Add(2 * dissolvedRetention)
	is.Equal(kinds(w.settle(t, 5)), "[forget]")
}

// A new version replaces the old one. If VMs are free, at least the wanted number
// of replicas serves throughout; without free VMs, one group at a time is replaced.
func TestVersionRoll(t *testing.T) {
	for name, c := range map[string]struct {
		vms, least int
	}{"with free VMs": {6, 2}, "without free VMs": {4, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(specs(spec("a", 2, 2)), c.vms)
			w.settle(t, 10)
			w.doc.Groups[0].ModelVer = "v2"
			for range 100 {
				w.setLoad(0)
				w.apply(w.plan(t))
				w.now = w.now.Add(time.Second)
				serves, current := 0, 0
				for i := range w.groups {
					g := w.group(i)
					if g.Phase == fleet.PhaseServing {
						serves++
						if g.Version == "v2" {
							current++
						}
					}
				}
				is.True(serves >= c.least)
				if current == 2 && serves == 2 {
					return
				}
			}
			t.Fatal("the new version did not replace the old one")
		})
	}
}

func TestLoadsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 4, 4)), 16)
	w.tune.MaxConcurrentLoads = 8
	w.apply(w.plan(t))
	p := w.plan(t)
	is.Equal(countOrders(p, engine.VerbJoin), 8)
	for _, o := range p.Orders { // joined, not loaded yet
		w.applyOrder(o)
		w.vms[o.VM].Probe.State.Loaded = false
	}
	is.Equal(countOrders(w.plan(t), engine.VerbJoin), 0)
	for i := range 4 { // the first group is loaded
		w.vms[w.group(0).Members[i].VM].Probe.State.Loaded = true
	}
	is.Equal(countOrders(w.plan(t), engine.VerbJoin), 4)
}

func TestEnginesThatIgnoreFencesWaitAfterATakeover(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 2, 1)), 2)
	w.grant.TakenOver, w.grant.Since = true, w.now
	w.apply(w.plan(t))
	is.Equal(len(w.plan(t).Orders), 0)
	w.doc.FenceChecked = []string{"*"}
	is.Equal(len(w.plan(t).Orders), 2)
	w.doc.FenceChecked = nil
	w.now = w.now.Add(w.tune.UnfencedOrderDelay)
	is.Equal(len(w.plan(t).Orders), 2)
}

func TestStranding(t *testing.T) {
	is := is.New(t)
	is.Equal(strandedVMs(13, []int{8}), 5)
	is.Equal(strandedVMs(13, []int{8, 5}), 0)
	is.Equal(strandedVMs(7, []int{8}), 7)
	is.Equal(strandedVMs(0, []int{8}), 0)
	is.Equal(strandedVMs(5, nil), 0)
}

func TestSharesOfZonesAddUp(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 4, 1)), 8, 4)
	snap := w.snapshot()
	for i := range 4 {
		vm := snap.VMs[i]
		vm.Record.Zone, vm.Record.VM = "y", fleet.VM("y"+vm.Record.VM)
		snap.VMs = append(snap.VMs, vm)
	}
	for total, want := range map[int]int{0: 0, 2: 2, 3: 3, 4: 4, 9: 4} {
		sum := 0
		for _, z := range []fleet.AvailabilityZone{"y", "z"} {
			snap.Zone = z
			sum += ZoneShare(&w.doc.Groups[0], total, snap)
		}
		is.Equal(sum, want) // z has capacity for three and y for one
	}
}

// Guards against draining every group on incomplete input: the holder has read the
// table but not yet the list of VMs, the targets are missing, or the list is
// truncated. None of these means that a group is not wanted.
func TestIncompleteInputDrainsNothing(t *testing.T) {
	for name, lose := range map[string]func(*world){
		"no targets": func(w *world) { w.targets = nil },
		"truncated list": func(w *world) {
			for _, v := range w.vms {
				v.Listed, v.UnlistedSince = false, w.now.Add(-time.Hour)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(specs(spec("a", 2, 2)), 8)
			w.settle(t, 10)
			lose(w)
			is.Equal(kinds(w.plan(t).Changes), "[]")
		})
	}
	t.Run("no list", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 2, 2)), 8)
		w.settle(t, 10)
		snap := w.snapshot()
		snap.ListSeen = 0
		for i := range snap.VMs { // known only from claims and probes
			snap.VMs[i].Record = fleet.Record{VM: snap.VMs[i].Record.VM}
		}
		p := MakePlan(&Input{Now: w.now, Snap: snap, Claims: w.claims, Groups: w.groups, Targets: MinTargets(snap), Grant: w.grant, Params: w.tune}, w.mem)
		is.Equal(len(p.Changes)+len(p.Orders), 0)
	})
	t.Run("a single unlisted VM counts as leaving", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(specs(spec("a", 2, 2)), 8)
		w.settle(t, 10)
		v := w.vms[w.group(0).Members[0].VM]
		v.Listed, v.UnlistedSince = false, w.now.Add(-time.Hour)
		is.Equal(kinds(w.plan(t).Changes), "[drain]")
	})
}

func TestChangesIncludeFacts(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 2, 1)), 3)
	w.settle(t, 10)
	m := w.group(0).Members[1].VM
	w.failProbes(m)
	c := w.plan(t).Changes[0]
	is.Equal(c.Kind, Repair)
	is.Equal(c.Reason, "repair: "+string(m)+" is dead")
	is.Equal(len(c.Facts), 2)
	is.Equal(c.Facts[1].Name, string(m))
	is.Equal(c.Facts[1].Value, "30 probes unanswered")
	is.Equal(c.Facts[1].Age, 10*time.Second)
}

func TestObjectiveSummary(t *testing.T) {
	is := is.New(t)
	w := newWorld(specs(spec("a", 4, 2)), 5, 4)
	w.settle(t, 10)
	p := w.plan(t)
	is.Equal(p.Specs, []SpecState{{Name: "a", Wanted: 2, Serving: 2}})
	is.Equal(p.StrandedAccelerators, 8) // one spare VM with eight accelerators
	w.failProbes(w.group(0).Members[0].VM, w.group(0).Members[1].VM)
	p = w.plan(t)
	is.Equal(p.Specs, []SpecState{{Name: "a", Wanted: 2, Serving: 1, Other: 1, Down: 1}})
	is.Equal(p.StrandedAccelerators, 3*8) // the two remaining members and the spare
}
