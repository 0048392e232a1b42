package route

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	second = clock.Instant(time.Second)
	start  = 1000 * second
)

func group(id string, zone fleet.AvailabilityZone, load int) view.Group {
	return view.Group{
		Group: fleet.Group{
			ID: fleet.GroupID(id), Generation: 1, Phase: fleet.PhaseServing, Zone: zone,
			Model: "m", Version: "v1", Adapters: []string{"a"},
			Members: []fleet.Member{{VM: fleet.VM("vm-" + id), Boot: "b", Addr: "127.0.0.1:1"}},
		},
		Whole: true, FreshUntil: start + 60*second,
		Load: fleet.Load{Running: load, Slots: 8}, LoadAt: start,
	}
}

func service(id string, zone fleet.AvailabilityZone, load int) view.VM {
	return view.VM{
		Record: fleet.Record{VM: fleet.VM(id), Kind: fleet.KindService, Service: "counter", Zone: zone, State: fleet.StateLive},
		Listed: true,
		Probe:  view.Probe{AnsweredAt: start},
		Load:   fleet.Load{Running: load, Slots: 8}, LoadAt: start,
	}
}

func node(vm string, zone fleet.AvailabilityZone) view.Node {
	return view.Node{Node: fleet.Node{VM: fleet.VM(vm), Incarnation: 1}, Zone: zone, State: view.NodeAlive}
}

func snapshot(policy string) *view.Snapshot {
	return &view.Snapshot{
		At: start, Self: fleet.Node{VM: "self", Incarnation: 1}, Zone: "z1", Revision: 1,
		Config: &config.Document{
			Models: []config.Model{{Name: "m", Current: "v1", Versions: []string{"v1", "v2"}, Adapters: []string{"a"}}},
			Policy: config.Policy{Routing: policy},
		},
	}
}

func modelRequest(tg fleet.Target) *request.Request {
	return &request.Request{ID: "r", Class: request.ClassModel, Target: tg}
}

func lookupRequest() *request.Request {
	return &request.Request{ID: "r", Class: request.ClassLookup, Service: "counter"}
}

func router(now *clock.Manual) *Router {
	return New(Options{Self: fleet.Node{VM: "self", Incarnation: 1}, Zone: "z1", Seed: 1, Clock: now})
}

// fleetOf returns a snapshot in which every group and endpoint is in this zone, so
// that a decision has the most candidates.
func fleetOf(groups, endpoints, nodes int) *view.Snapshot {
	s := snapshot("weighted")
	for i := range groups {
		s.Groups = append(s.Groups, group(fmt.Sprintf("g%03d", i), "z1", i%6))
	}
	for i := range endpoints {
		s.VMs = append(s.VMs, service(fmt.Sprintf("s%03d", i), "z1", i%6))
	}
	for i := range nodes {
		s.Nodes = append(s.Nodes, node(fmt.Sprintf("n%03d", i), fleet.AvailabilityZone(fmt.Sprintf("z%d", i%3+1))))
	}
	return s
}
