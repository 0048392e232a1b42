package node

import (
	"net/http"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/console"
	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/view"
)

const (
	// platformSilenceTimeout is the age of the platform's last answer at which
	// the status reports it as unreachable. It is polled about once a second.
	platformSilenceTimeout = 5 * time.Second
	never                  = time.Duration(-1)
)

func (n *Node) operatorHandler() http.Handler {
	var tokens []operator.Token
	for _, o := range n.settings.Operators {
		tokens = append(tokens, operator.Token{Name: o.Name, Hash: o.TokenHash})
	}
	auth := operator.NewAuthenticator(tokens)
	return operator.New(operator.Options{
		Fleet: n, Auth: auth, Registry: n.reg, Log: n.log,
		Console: console.New(console.Options{Fleet: n, Auth: auth, Secret: n.consoleSecret(), Log: n.log}),
	})
}

// consoleSecret returns the peer secret, so that all nodes accept an operator's
// console session. Without one it returns nil and sessions are valid at this
// node only.
func (n *Node) consoleSecret() []byte {
	secret, err := n.settings.PeerSecret()
	if err != nil {
		n.log.Warn("console sessions are valid at this node only", "error", err)
	}
	return secret
}

// Status returns this node's view of the fleet.
func (n *Node) Status() operator.Status {
	snap, now := n.view.Snapshot(), n.clock.Now()
	ready, why := n.Ready()
	s := operator.Status{
		Node: n.self.String(), Zone: string(n.settings.Zone), Ready: ready, NotReady: why,
		Revision: snap.Revision, ViewAge: now.Sub(snap.At),
		Platform: platformStatus(snap, now),
		Nodes:    nodeStatus(snap, now),
		Groups:   groupStatus(snap, now),
		Duties:   n.dutyStatus(now),
		Limits:   n.limitStatus(snap),
	}
	s.Endpoints, s.FreeEngines = endpointStatus(snap, now)
	return s
}

func ageSince(now, then clock.Instant) time.Duration {
	if then == 0 {
		return never
	}
	return now.Sub(then)
}

func platformStatus(snap *view.Snapshot, now clock.Instant) operator.PlatformStatus {
	seen := ageSince(now, snap.PlatformSeen)
	return operator.PlatformStatus{Reachable: seen != never && seen < platformSilenceTimeout, LastSeen: seen}
}

func nodeStatus(snap *view.Snapshot, now clock.Instant) []operator.NodeStatus {
	var out []operator.NodeStatus
	for _, m := range snap.Nodes {
		out = append(out, operator.NodeStatus{
			Node: m.Node.String(), Zone: string(m.Zone), State: string(m.State),
			Heard: ageSince(now, m.LastHeard), Revision: m.Revision, Draining: m.Draining,
		})
	}
	return out
}

func groupStatus(snap *view.Snapshot, now clock.Instant) []operator.GroupStatus {
	var out []operator.GroupStatus
	for i := range snap.Groups {
		g := &snap.Groups[i]
		st := operator.GroupStatus{
			Group: string(g.ID), Generation: uint64(g.Generation), Phase: string(g.Phase),
			Zone: string(g.Zone), Domain: string(g.Domain), Model: g.Model + "@" + g.Version,
			Whole: g.Whole, Reason: g.Reason, Running: g.Load.Running, Waiting: g.Load.Waiting,
			LoadAge: ageSince(now, g.LoadAt),
		}
		for _, m := range g.Members {
			st.VMs = append(st.VMs, string(m.VM))
		}
		if g.Whole && !now.Before(g.FreshUntil) {
			st.Whole, st.Reason = false, "the newest probes are too old"
		}
		out = append(out, st)
	}
	return out
}

func endpointStatus(snap *view.Snapshot, now clock.Instant) (out []operator.EndpointStatus, free int) {
	for i := range snap.VMs {
		vm := &snap.VMs[i]
		st := operator.EndpointStatus{
			VM: string(vm.Record.VM), Kind: string(vm.Record.Kind), Zone: string(vm.Record.Zone),
			Domain: string(vm.Record.Domain), State: endpointState(snap, vm), SeenAgo: ageSince(now, vm.Probe.AnsweredAt),
		}
		if vm.Claim != nil {
			st.Group = string(vm.Claim.Group)
		}
		if vm.Record.Kind == fleet.KindEngine && st.Group == "" && st.State == "present" {
			free++
		}
		out = append(out, st)
	}
	return out, free
}

func endpointState(snap *view.Snapshot, vm *view.VM) string {
	switch {
	case vm.Record.Zone != snap.Zone:
		return "elsewhere"
	case vm.Leaving:
		return "leaving"
	case vm.Probe.AnsweredAt == 0 && vm.Probe.FailingSince == 0:
		return "unseen"
	case vm.Probe.FailingSince != 0:
		return "failing"
	}
	return "present"
}

func (n *Node) dutyStatus(now clock.Instant) []operator.DutyStatus {
	st := operator.DutyStatus{Duty: n.leases.Duty}
	if grant, held := n.leases.Held(now); held {
		st.Owner, st.Held = n.self.String(), true
		st.Fence, st.Left = grant.Fence, grant.Remaining(now)
	}
	return []operator.DutyStatus{st}
}

func (n *Node) limitStatus(snap *view.Snapshot) []operator.LimitStatus {
	if snap.Config == nil {
		return nil
	}
	var out []operator.LimitStatus
	for _, o := range snap.Config.Organisations {
		models, lookups := n.usage.Shares(fleet.Organisation(o.Name))
		out = append(out, operator.LimitStatus{
			Organisation: o.Name, Weight: o.Weight, Rate: o.Rate, Lookups: o.Lookups,
			RateShare: models, LookupsShare: lookups,
		})
	}
	return out
}
