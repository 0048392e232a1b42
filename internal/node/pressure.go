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
	// pressureSweepInterval is the interval at which the guard drops nodes and
	// endpoints that are no longer known.
	pressureSweepInterval = time.Second
)

func (n *Node) buildPressure() {
	n.pressure = backpressure.New(backpressure.Options{
		Node: string(n.self.VM), Clock: n.clock, Log: n.log, Registerer: n.reg,
		SenderOrder: n.pressureNodeOrder, OnLeaving: n.markEndpointLeaving,
		Broadcast: func(m backpressure.Notice) { n.broadcast(topicPressure, m) },
	})
	subscribe(n, topicPressure, n.pressure.Receive)
}

// pressureNodeOrder returns the nodes in rendezvous order for an endpoint. The
// nodes of the endpoint's zone come first, because only they send to it.
func (n *Node) pressureNodeOrder(id backpressure.ID) []string {
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
	add(n.self.VM, n.settings.Zone)
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

// runPressure updates the guard's view of nodes and endpoints until ctx ends.
func (n *Node) runPressure(ctx context.Context) error {
	clock.Every(ctx, pressureSweepInterval, func() { n.pressure.Sweep(n.isCurrentBoot) })
	return nil
}

// isCurrentBoot reports whether id names the boot of an endpoint that its load
// report or last probe shows.
func (n *Node) isCurrentBoot(id backpressure.ID) bool {
	vm, life, _ := strings.Cut(string(id), "@")
	boot := fleet.BootID(life)
	return slices.ContainsFunc(n.view.Snapshot().VMs, func(v view.VM) bool {
		return v.Record.VM == fleet.VM(vm) && (v.Load.Boot == boot || v.Probe.State.Boot == boot)
	})
}

// markEndpointLeaving marks the boot of an endpoint as leaving in the view, from
// which all nodes learn it.
func (n *Node) markEndpointLeaving(id backpressure.ID) {
	vm, boot, _ := strings.Cut(string(id), "@")
	n.view.Put(view.MarkLeaving{VM: fleet.VM(vm), Boot: fleet.BootID(boot), Reason: "said in an answer"})
}
