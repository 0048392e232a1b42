package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/view"
)

const (
	topicPressure = "pressure"
	// pressureSweep is the pause between two looks which nodes and endpoints there are.
	pressureSweep = time.Second
)

func (n *Node) buildPressure() {
	n.pressure = backpressure.New(backpressure.Options{
		Node: string(n.self.VM), Clock: n.clock, Log: n.log, Registerer: n.reg,
		Order: n.pressureOrder, Leaves: n.endpointLeaves,
		Announce: func(m backpressure.Notice) { n.broadcast(topicPressure, m) },
	})
	subscribe(n, topicPressure, n.pressure.Hear)
}

// pressureOrder returns the nodes in rendezvous order for an endpoint, those of its zone
// first: only they send there.
func (n *Node) pressureOrder(id backpressure.ID) []string {
	snap := n.view.Snapshot()
	zone := snap.Zone
	vm, _, _ := strings.Cut(string(id), "@")
	for i := range snap.VMs {
		if snap.VMs[i].Record.VM == fleet.VM(vm) {
			zone = snap.VMs[i].Record.Zone
		}
	}
	near, far := []fleet.VM{}, []fleet.VM{}
	add := func(vm fleet.VM, in fleet.AvailabilityZone) {
		if in == zone {
			near = append(near, vm)
			return
		}
		far = append(far, vm)
	}
	add(n.self.VM, n.set.Zone)
	for _, other := range snap.Nodes {
		if other.State == view.NodeAlive && other.VM != n.self.VM {
			add(other.VM, other.Zone)
		}
	}
	var out []string
	for _, vms := range [][]fleet.VM{near, far} {
		for _, vm := range membership.TopK(string(id), vms, len(vms)) {
			out = append(out, string(vm))
		}
	}
	return out
}

// runPressure keeps the guard's view of nodes and endpoints until ctx ends.
func (n *Node) runPressure(ctx context.Context) error {
	clock.Every(ctx, pressureSweep, func() { n.pressure.Sweep(n.knownLife) })
	return nil
}

// knownLife reports whether that life of an endpoint is the one that is known now.
func (n *Node) knownLife(id backpressure.ID) bool {
	vm, life, _ := strings.Cut(string(id), "@")
	boot := fleet.BootID(life)
	return slices.ContainsFunc(n.view.Snapshot().VMs, func(v view.VM) bool {
		return v.Record.VM == fleet.VM(vm) && (v.Load.Boot == boot || v.Probe.State.Boot == boot)
	})
}

// endpointLeaves has all nodes know that a life of an endpoint leaves.
func (n *Node) endpointLeaves(id backpressure.ID) {
	vm, boot, _ := strings.Cut(string(id), "@")
	n.view.Put(view.MarkLeaving{VM: fleet.VM(vm), Boot: fleet.BootID(boot), Reason: "said in an answer"})
}
