package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

func planGroup(id fleet.GroupID, zone fleet.AvailabilityZone, version string, slots int, whole bool, adapters ...string) view.Group {
	g := fleet.Group{ID: id, Zone: zone, Phase: fleet.PhaseServing, Model: "m", Version: version, Adapters: adapters}
	return view.Group{Group: g, Whole: whole, Load: fleet.Load{Slots: slots, Waiting: 1}, LoadAt: clock.Instant(slots)}
}

func planService(vm fleet.VM, slots int, change func(*view.VM)) view.VM {
	v := view.VM{Record: fleet.Record{VM: vm, Kind: fleet.KindService, Service: "fees"}, Load: fleet.Load{Slots: slots}}
	if change != nil {
		change(&v)
	}
	return v
}

// threeZoneSnapshot returns a snapshot with many entries that a plan must ignore.
func threeZoneSnapshot() *view.Snapshot {
	now := clock.Instant(time.Minute)
	node := func(vm fleet.VM, zone fleet.AvailabilityZone, state view.NodeState, draining bool) view.Node {
		return view.Node{Node: fleet.Node{VM: vm, Incarnation: 1}, Zone: zone, State: state, Draining: draining}
	}
	return &view.Snapshot{
		At: now, Zone: "a", Revision: 7,
		Config: &config.Document{
			Organisations: []config.Organisation{{Name: "north", Weight: 3, Rate: 10, Lookups: 100}, {Name: "south", Weight: 1}},
			Models:        []config.Model{{Name: "m", Current: "2", Versions: []string{"1", "2"}, Adapters: []string{"ad"}}},
			Groups: []config.GroupSpec{
				{Name: "plain", Model: "m", ModelVer: "2"},
				{Name: "adapted", Model: "m", ModelVer: "2", Adapters: []string{"ad"}},
			},
			Services: []config.Service{{Name: "fees"}, {Name: "gone"}},
		},
		Nodes: []view.Node{
			node("n2", "a", view.NodeAlive, false), node("n3", "b", view.NodeAlive, false), node("n4", "b", view.NodeAlive, true),
			node("n5", "c", view.NodeDead, false), node("n6", "c", view.NodeSuspect, false),
		},
		Groups: []view.Group{
			planGroup("g1", "a", "2", 8, true), planGroup("g2", "a", "2", 16, true, "ad"), planGroup("g3", "b", "2", 4, true),
			planGroup("broken", "a", "2", 100, false), planGroup("cut-off", "c", "2", 100, true), planGroup("old", "a", "1", 0, true),
		},
		VMs: []view.VM{
			planService("s1", 30, nil),
			planService("s2", 0, nil), // has not reported yet
			planService("s3", 100, func(v *view.VM) { v.Leaving = true }),
			planService("s4", 100, func(v *view.VM) { v.Probe.FailingSince = now.Add(-capacityGrace) }),
			planService("s5", 20, func(v *view.VM) { v.Probe.FailingSince = now.Add(-capacityGrace / 2) }),
			planService("s6", 100, func(v *view.VM) { v.Record.Service = "other" }),
		},
	}
}

// A plan must count whole groups in zones with a node that accepts requests, and
// service VMs that answer probes, divided among the nodes that accept requests.
func TestPlan(t *testing.T) {
	is := is.New(t)
	p := ComputePlan(threeZoneSnapshot(), func(fleet.Organisation) (float64, float64) { return 0.5, 0 })
	is.Equal(p.Organisations, []Organisation{{"north", 3, 5, minRate}, {"south", 1, 0, 0}}) // a share of 0 must not remove the cap
	pool := func(target string) Pool {
		for _, e := range p.Targets {
			if e.Target.String() == target {
				return p.Pools[e.Pool]
			}
		}
		t.Fatalf("no pool for %s", target)
		return Pool{}
	}
	const nodes = 3.0
	plain := Pool{Name: "plain,adapted", ShareSlots: 28 / nodes, TotalSlots: 28, Waiting: 3, ReportedAt: 16}
	is.Equal(pool("m"), plain)
	is.Equal(pool("m@2"), plain)
	is.Equal(pool("m+ad"), Pool{Name: "adapted", ShareSlots: 16 / nodes, TotalSlots: 16, Waiting: 1, ReportedAt: 16})
	is.Equal(pool("m@1"), Pool{Name: "none:m@1", ShareSlots: assumedSlots / nodes, TotalSlots: assumedSlots, Waiting: 1})
	is.Equal(pool("m+ad@1").TotalSlots, 0.0)
	is.Equal(p.Services[0], Pool{Name: "fees", ShareSlots: (30 + assumedServiceSlots + 20) / nodes, TotalSlots: 30 + assumedServiceSlots + 20})
	is.Equal(p.Services[1], Pool{Name: "gone"})
	is.Equal(p.QueueLimit, defaultQueueLimit)
	is.Equal(ComputePlan(&view.Snapshot{}, nil), (*Plan)(nil))
}
