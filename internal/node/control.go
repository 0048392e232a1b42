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

// defaultLease is the term of the duty leases.
const defaultLease = 6 * time.Second

func (n *Node) buildControl() {
	n.buildConfig()
	n.prober = probe.New(probe.Settings{}, n.engines, n.view, n.view, n.clock, seed(), n.reg)
	duty := group.Duty(n.set.Zone)
	n.leases = &lease.Manager{
		Duty: duty, Self: n.self, Params: lease.DefaultParams(defaultLease),
		Table: n.platform, Clock: n.clock, Log: n.log,
		Term: func() time.Duration { return n.policy().Lease.Or(defaultLease) },
		Rank: func() int { return lease.Position(duty, n.self.VM, probe.ZoneNodes(n.view.Snapshot())) },
	}
	n.capacity = capacity.NewTracker(capacity.Options{
		Zone: n.set.Zone, Clock: n.clock, Objects: n.platform, Log: n.log, Explain: n.explained, Registerer: n.reg,
	})
	n.groups = group.New(group.Deps{
		Zone: n.set.Zone, Table: n.platform, Orders: n.engines, Lease: n.leases,
		View: n.view, Sink: n.view, Clock: n.clock, Explain: n.explained, Log: n.log, Registry: n.reg,
		Targets: n.capacity.Targets,
	})
	n.buildMoves()
	n.buildGossip()
}

func (n *Node) buildMoves() {
	n.uses = kv.NewUses(n.clock)
	n.movers = engine.NewClient(engine.WithTimeout(kv.DefaultCosts().Within))
	n.moves = kv.New(kv.Options{
		View: n.view, Held: n.holdsGroups, Engines: n.movers, Objects: n.platform, Uses: n.uses,
		Clock: n.clock, Explain: n.explained, Log: n.log, Registerer: n.reg,
	})
}

// holdsGroups reports whether this node has the duty of the zone's groups now.
func (n *Node) holdsGroups() bool {
	_, held := n.leases.Held(n.clock.Now())
	return held
}

// buildGossip joins the view to those of the other nodes. It needs the lease:
// its holder tells of the groups' rows.
func (n *Node) buildGossip() {
	n.gossip = view.NewGossip(view.GossipOptions{
		View: n.view, Clock: n.clock, Send: n.mesh, First: membership.TopK, Log: n.log, Registry: n.reg,
		Holds: n.holdsGroups,
	})
	n.mesh.Subscribe(view.TopicZone, n.gossip.HandleZone)
	n.mesh.Subscribe(view.TopicRemote, n.gossip.HandleRemote)
	n.usage = usage.New(usage.Options{Peers: n.mesh, View: n.view, Clock: n.clock, Log: n.log, Registerer: n.reg})
	n.mesh.Subscribe(usage.Topic, n.usage.Handle)
}

func (n *Node) buildConfig() {
	n.config = revision.NewKeeper(revision.Options{
		Table: n.platform, Peers: n.mesh, Nodes: n.liveNodes,
		Poll: time.Duration(n.set.Timing.RevisionPoll), Seed: seed(), Log: n.log, Metrics: n.reg,
	})
	n.mesh.Subscribe(revision.TopicAnnounce, n.config.HandleAnnounce)
	n.mesh.HandleCall(revision.MethodHighest, n.config.HandleHighest)
	n.mesh.HandleCall(revision.MethodFetch, n.config.HandleFetch)
	n.mesh.HandleCall(methodExplain, n.handleExplain)
	n.mesh.HandleCall(methodAlive, n.handleAlive)
}

// policy returns the policy in force, zero while no revision is known.
func (n *Node) policy() config.Policy {
	if doc := n.view.Snapshot().Config; doc != nil {
		return doc.Policy
	}
	return config.Policy{}
}
