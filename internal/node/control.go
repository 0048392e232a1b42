package node

import (
	"time"

	"chervilloom/internal/capacity"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/group"
	"chervilloom/internal/kv"
	"chervilloom/internal/lease"
	"chervilloom/internal/membership"
	"chervilloom/internal/probe"
	"chervilloom/internal/revision"
	"chervilloom/internal/usage"
	"chervilloom/internal/view"
)

// defaultLeaseTerm is the term of the duty leases if the policy sets none.
const defaultLeaseTerm = 6 * time.Second

func (n *Node) buildControl() {
	n.buildConfig()
	n.prober = probe.New(probe.Settings{}, n.engines, n.view, n.view, n.clock, seed(), n.reg)
	duty := group.Duty(n.settings.Zone)
	n.leases = &lease.Manager{
		Duty: duty, Self: n.self, Params: lease.DefaultParams(defaultLeaseTerm),
		Table: n.platform, Clock: n.clock, Log: n.log,
		Term: func() time.Duration { return n.policy().Lease.Or(defaultLeaseTerm) },
		Rank: func() int { return lease.Position(duty, n.self.VM, probe.ZoneNodes(n.view.Snapshot())) },
	}
	n.capacity = capacity.NewTracker(capacity.Options{
		Zone: n.settings.Zone, Clock: n.clock, Objects: n.platform, Log: n.log, Explain: n.explainStore, Registerer: n.reg,
	})
	n.groups = group.New(group.Deps{
		Zone: n.settings.Zone, Table: n.platform, Orders: n.engines, Lease: n.leases,
		View: n.view, Sink: n.view, Clock: n.clock, Explain: n.explainStore, Log: n.log, Registry: n.reg,
		Targets: n.capacity.Targets,
	})
	n.buildMover()
	n.buildGossip()
}

func (n *Node) buildMover() {
	n.prefixUses = kv.NewUses(n.clock)
	n.moveEngines = engine.NewClient(engine.WithTimeout(kv.DefaultCosts().Timeout))
	n.mover = kv.New(kv.Options{
		View: n.view, HoldsDuty: n.holdsGroupLease, Engines: n.moveEngines, Objects: n.platform, Uses: n.prefixUses,
		Clock: n.clock, Explain: n.explainStore, Log: n.log, Registerer: n.reg,
	})
}

// holdsGroupLease reports whether this node holds the lease of the zone's group
// duty now.
func (n *Node) holdsGroupLease() bool {
	_, held := n.leases.Held(n.clock.Now())
	return held
}

// buildGossip connects the view to those of the other nodes. It needs the lease,
// because the lease holder publishes the groups' rows.
func (n *Node) buildGossip() {
	n.gossip = view.NewGossip(view.GossipOptions{
		View: n.view, Clock: n.clock, Sender: n.mesh, First: membership.TopK, Log: n.log, Registry: n.reg,
		HoldsLease: n.holdsGroupLease,
	})
	n.mesh.Subscribe(view.TopicZone, n.gossip.HandleZone)
	n.mesh.Subscribe(view.TopicRemote, n.gossip.HandleRemote)
	n.usage = usage.New(usage.Options{Peers: n.mesh, View: n.view, Clock: n.clock, Log: n.log, Registerer: n.reg})
	n.mesh.Subscribe(usage.Topic, n.usage.Handle)
}

func (n *Node) buildConfig() {
	n.config = revision.NewKeeper(revision.Options{
		Table: n.platform, Peers: n.mesh, Nodes: n.liveNodes,
		MinPollInterval: time.Duration(n.settings.Timing.RevisionPoll), Seed: seed(), Log: n.log, Metrics: n.reg,
	})
	n.mesh.Subscribe(revision.TopicAnnounce, n.config.HandleAnnounce)
	n.mesh.HandleCall(revision.MethodHighest, n.config.HandleHighest)
	n.mesh.HandleCall(revision.MethodFetch, n.config.HandleFetch)
	n.mesh.HandleCall(methodExplain, n.handleExplain)
	n.mesh.HandleCall(methodAlive, n.handleAlive)
}

// policy returns the policy in force, or the zero policy while no revision is
// known.
func (n *Node) policy() config.Policy {
	if doc := n.view.Snapshot().Config; doc != nil {
		return doc.Policy
	}
	return config.Policy{}
}
