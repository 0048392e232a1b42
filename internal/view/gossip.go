package view

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Sender sends a message to a node; it never blocks.
type Sender interface {
	Send(to fleet.VM, topic string, payload []byte) error
}

// GossipOptions configures a Gossip.
type GossipOptions struct {
	View   *Merger
	Clock  clock.Clock
	Sender Sender
	// First returns the first k nodes for a subject in rendezvous order.
	First      func(subject string, nodes []fleet.VM, k int) []fleet.VM
	HoldsLease func() bool // whether this node holds the lease of the zone's groups
	Log        *slog.Logger
	Registry   prometheus.Registerer
	Watchers   int // number of nodes that watch each subject; default 2
}

// Gossip sends digests of what this node watches to its peers and merges the
// digests that they send.
type Gossip struct {
	opt        GossipOptions
	zone       *DigestProducer
	remote     *DigestProducer
	fullSentTo map[fleet.Node]bool // peers that have been sent the full state
	assignment Assignment
	// nextListRequest is when the VM list may be requested again, listRequests
	// the number of requests so far.
	nextListRequest clock.Instant
	listRequests    int
	fullRequestedAt map[fleet.VM]clock.Instant
	bytes           *prometheus.CounterVec
	unreadable      prometheus.Counter

	mu           sync.Mutex
	reader       *DigestReader
	fullRequests map[fleet.VM]bool // peers that requested the full state
}

const (
	gossipInterval      = 100 * time.Millisecond
	listRequestInterval = 500 * time.Millisecond
	fullRequestInterval = time.Second
	defaultWatchers     = 2
	// The interval between regular digests grows with the number of peers, so
	// that the traffic of a node stays about the same.
	minZoneInterval, maxZoneInterval     = 300 * time.Millisecond, time.Second
	zoneIntervalPerPeer                  = 25 * time.Millisecond
	minRemoteInterval, maxRemoteInterval = 500 * time.Millisecond, 2 * time.Second
	remoteIntervalPerPeer                = 8 * time.Millisecond
)

// NewGossip returns a Gossip. Run sends digests; HandleZone and HandleRemote
// process received ones.
func NewGossip(o GossipOptions) *Gossip {
	if o.Watchers == 0 {
		o.Watchers = defaultWatchers
	}
	now := o.Clock.Now()
	g := &Gossip{
		opt: o, zone: NewDigestProducer(false, now), remote: NewDigestProducer(true, now),
		fullSentTo: map[fleet.Node]bool{}, reader: NewDigestReader(),
		fullRequestedAt: map[fleet.VM]clock.Instant{}, fullRequests: map[fleet.VM]bool{},
		assignment: Assignment{First: o.First, Watchers: o.Watchers},
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_view_gossip_bytes_total",
			Help: "Bytes of digests, by direction and topic, without the transport's.",
		}, []string{"direction", "topic"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_view_gossip_unreadable_total",
			Help: "Digests of peers that could not be read.",
		}),
	}
	o.Registry.MustRegister(g.bytes, g.unreadable)
	return g
}

// HandleZone processes a message received on TopicZone.
func (g *Gossip) HandleZone(from fleet.Node, payload []byte) { g.handle(TopicZone, from, payload) }

// HandleRemote processes a message received on TopicRemote.
func (g *Gossip) HandleRemote(from fleet.Node, payload []byte) { g.handle(TopicRemote, from, payload) }

func (g *Gossip) handle(topic string, from fleet.Node, payload []byte) {
	g.bytes.WithLabelValues("received", topic).Add(float64(len(payload)))
	g.mu.Lock()
	received, err := g.reader.Read(from, payload, g.opt.Clock.Now())
	g.mu.Unlock()
	if err != nil {
		g.unreadable.Inc()
		g.opt.Log.Warn("digest dropped; do all nodes run the same release?", "from", from, "err", err)
		return
	}
	for _, e := range received.Events {
		g.opt.View.Put(e)
	}
	if received.WantList {
		g.sendList(from.VM)
	}
	if received.WantFull {
		g.mu.Lock()
		g.fullRequests[from.VM] = true
		g.mu.Unlock()
	}
}

// answerFullRequests sends the full state to the peers that requested it since
// the last tick.
func (g *Gossip) answerFullRequests(s *Snapshot, d Duties, now clock.Instant) {
	g.mu.Lock()
	requests := g.fullRequests
	g.fullRequests = map[fleet.VM]bool{}
	g.mu.Unlock()
	for i := range s.Nodes {
		if n := &s.Nodes[i]; requests[n.VM] {
			g.sendFull(n, s, d, now)
		}
	}
}

func (g *Gossip) sendFull(n *Node, s *Snapshot, d Duties, now clock.Instant) {
	t, topic := g.zone, TopicZone
	if n.Zone != s.Zone {
		t, topic = g.remote, TopicRemote
	}
	g.send([]fleet.VM{n.VM}, topic, t.Full(s, d, now))
}

// requestFull requests the full state from the peers that referred to state
// this node lacks. Without it the endpoints and groups concerned would stay
// unused for up to half a minute, until the peers' slow refresh.
func (g *Gossip) requestFull(s *Snapshot, now clock.Instant) {
	for peer, at := range s.resyncPeers {
		if now.Sub(at) > resyncPeerTTL || now.Sub(g.fullRequestedAt[peer]) < fullRequestInterval {
			continue
		}
		g.fullRequestedAt[peer] = now
		g.send([]fleet.VM{peer}, TopicRemote, [][]byte{encode(&digest{Uptime: g.uptime(), WantFull: true})})
	}
}

// sendList sends the VM list to a peer that has none.
func (g *Gossip) sendList(to fleet.VM) {
	s := g.opt.View.Snapshot()
	if s.ListSeen == 0 {
		return
	}
	d := digest{Uptime: g.uptime(), ListAge: ageMillis(g.opt.Clock.Now(), s.ListSeen)}
	for i := range s.VMs {
		if s.VMs[i].Listed {
			d.Records = append(d.Records, toWireRecord(&s.VMs[i].Record))
		}
	}
	g.send([]fleet.VM{to}, TopicRemote, [][]byte{encode(&d)})
}

func (g *Gossip) uptime() uint64 {
	return uint64(g.opt.Clock.Now().Sub(g.remote.startedAt) / time.Millisecond)
}

// requestList requests the VM list from one peer after the other until this
// node has one: the platform may be down, and without the list no endpoint is
// known.
func (g *Gossip) requestList(s *Snapshot, peers []fleet.VM, now clock.Instant) {
	if s.ListSeen != 0 || len(peers) == 0 || now.Before(g.nextListRequest) {
		return
	}
	g.nextListRequest = now.Add(listRequestInterval)
	g.listRequests++
	g.send([]fleet.VM{peers[g.listRequests%len(peers)]}, TopicRemote, [][]byte{encode(&digest{Uptime: g.uptime(), WantList: true})})
}

// Run sends digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.sendDigests(g.opt.View.Snapshot(), g.opt.Clock.Now())
		}
	}
}

func (g *Gossip) sendDigests(s *Snapshot, now clock.Instant) {
	zonePeers, remotePeers := g.peers(s)
	// Watchers are assigned among the nodes that share the probing, not among
	// those that receive digests: a node must report exactly what its own
	// probes watch.
	g.assignment.Update(append(s.ZoneNodes(), s.Self.VM))
	d := &nodeDuties{self: s.Self.VM, assignment: &g.assignment, holdsLease: g.opt.HoldsLease}
	g.sendFullToNewPeers(s, d, now)
	g.requestList(s, append(zonePeers, remotePeers...), now)
	g.requestFull(s, now)
	g.answerFullRequests(s, d, now)
	g.send(zonePeers, TopicZone, g.zone.Next(s, d, now, ZoneInterval(len(zonePeers))))
	g.send(remotePeers, TopicRemote, g.remote.Next(s, d, now, RemoteInterval(len(remotePeers))))
}

// ZoneInterval returns the interval between regular digests to the peers of the
// node's own zone.
func ZoneInterval(peers int) time.Duration {
	return min(max(time.Duration(peers)*zoneIntervalPerPeer, minZoneInterval), maxZoneInterval)
}

// RemoteInterval returns the interval between regular digests to the peers of
// other zones.
func RemoteInterval(peers int) time.Duration {
	return min(max(time.Duration(peers)*remoteIntervalPerPeer, minRemoteInterval), maxRemoteInterval)
}

// peers returns the nodes of the own zone and of other zones that receive
// digests.
func (g *Gossip) peers(s *Snapshot) (zonePeers, remotePeers []fleet.VM) {
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.State != NodeAlive && n.State != NodeSuspect {
			continue
		}
		if n.Zone == s.Zone {
			zonePeers = append(zonePeers, n.VM)
		} else {
			remotePeers = append(remotePeers, n.VM)
		}
	}
	return zonePeers, remotePeers
}

// sendFullToNewPeers sends a new peer the full state, so that it need not wait
// for the slow refresh of each item.
func (g *Gossip) sendFullToNewPeers(s *Snapshot, d Duties, now clock.Instant) {
	present := make(map[fleet.Node]bool, len(s.Nodes))
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.State != NodeAlive {
			continue
		}
		present[n.Node] = true
		if g.fullSentTo[n.Node] {
			continue
		}
		g.sendFull(n, s, d, now)
	}
	g.fullSentTo = present
}

func (g *Gossip) send(to []fleet.VM, topic string, messages [][]byte) {
	for _, m := range messages {
		for _, vm := range to {
			if err := g.opt.Sender.Send(vm, topic, m); err != nil {
				g.opt.Log.Debug("digest not sent", "to", vm, "err", err)
				continue
			}
			g.bytes.WithLabelValues("sent", topic).Add(float64(len(m)))
		}
	}
}

// nodeDuties implements Duties for this node.
type nodeDuties struct {
	self       fleet.VM
	assignment *Assignment
	holdsLease func() bool
}

// Watches implements Duties.
func (d *nodeDuties) Watches(subject string) bool { return d.assignment.Watches(d.self, subject) }

// IsFirstWatcher implements Duties.
func (d *nodeDuties) IsFirstWatcher(subject string) bool {
	return d.assignment.IsFirstWatcher(d.self, subject)
}

// HoldsLease implements Duties.
func (d *nodeDuties) HoldsLease() bool { return d.holdsLease != nil && d.holdsLease() }
