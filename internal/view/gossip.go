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

// GossipOptions is what a Gossip works with.
type GossipOptions struct {
	View  *Merger
	Clock clock.Clock
	Send  Sender
	// First returns the k nodes that come first for a subject in rendezvous
	// order.
	First    func(subject string, nodes []fleet.VM, k int) []fleet.VM
	Holds    func() bool // whether this node holds the lease of the zone's groups
	Log      *slog.Logger
	Registry prometheus.Registerer
	Watchers int // nodes that watch a subject; default 2
}

// Gossip tells the peers what this node watches and takes in what they tell.
type Gossip struct {
	opt    GossipOptions
	zone   *Teller
	remote *Teller
	met    map[fleet.Node]bool // peers that were told everything once
	share  Assignment
	// askAgain is when the list is asked for again, asked how often it was.
	askAgain clock.Instant
	asked    int
	askedAll map[fleet.VM]clock.Instant
	bytes    *prometheus.CounterVec
	broken   prometheus.Counter

	mu     sync.Mutex
	hearer *Hearer
	wants  map[fleet.VM]bool // peers that asked for everything
}

const (
	gossipTick     = 100 * time.Millisecond
	askEvery       = 500 * time.Millisecond
	askAllEvery    = time.Second
	defaultWatches = 2
	// The intervals between regular digests grow with the number of peers, so
	// that what a node sends and receives stays about the same.
	zoneEveryLeast, zoneEveryMost     = 300 * time.Millisecond, time.Second
	zonePerPeer                       = 25 * time.Millisecond
	remoteEveryLeast, remoteEveryMost = 500 * time.Millisecond, 2 * time.Second
	remotePerPeer                     = 8 * time.Millisecond
)

// NewGossip returns a gossip; Run starts telling, Handle takes messages.
func NewGossip(o GossipOptions) *Gossip {
	if o.Watchers == 0 {
		o.Watchers = defaultWatches
	}
	now := o.Clock.Now()
	g := &Gossip{
		opt: o, zone: NewTeller(false, now), remote: NewTeller(true, now),
		met: map[fleet.Node]bool{}, hearer: NewHearer(),
		askedAll: map[fleet.VM]clock.Instant{}, wants: map[fleet.VM]bool{},
		share: Assignment{First: o.First, Watchers: o.Watchers},
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_view_gossip_bytes_total",
			Help: "Bytes of digests, by direction and topic, without the transport's.",
		}, []string{"direction", "topic"}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_view_gossip_unreadable_total",
			Help: "Digests of peers that could not be read.",
		}),
	}
	o.Registry.MustRegister(g.bytes, g.broken)
	return g
}

// HandleZone takes a message of TopicZone.
func (g *Gossip) HandleZone(from fleet.Node, payload []byte) { g.handle(TopicZone, from, payload) }

// HandleRemote takes a message of TopicRemote.
func (g *Gossip) HandleRemote(from fleet.Node, payload []byte) { g.handle(TopicRemote, from, payload) }

func (g *Gossip) handle(topic string, from fleet.Node, payload []byte) {
	g.bytes.WithLabelValues("received", topic).Add(float64(len(payload)))
	g.mu.Lock()
	heard, err := g.hearer.Hear(from, payload, g.opt.Clock.Now())
	g.mu.Unlock()
	if err != nil {
		g.broken.Inc()
		g.opt.Log.Warn("digest dropped; do all nodes run the same release?", "from", from, "err", err)
		return
	}
	for _, e := range heard.Events {
		g.opt.View.Put(e)
	}
	if heard.WantList {
		g.answerList(from.VM)
	}
	if heard.WantAll {
		g.mu.Lock()
		g.wants[from.VM] = true
		g.mu.Unlock()
	}
}

// answerAll tells everything to the peers that asked for it since the last tick.
func (g *Gossip) answerAll(s *Snapshot, d Duties, now clock.Instant) {
	g.mu.Lock()
	wants := g.wants
	g.wants = map[fleet.VM]bool{}
	g.mu.Unlock()
	for i := range s.Nodes {
		if n := &s.Nodes[i]; wants[n.VM] {
			g.tellAll(n, s, d, now)
		}
	}
}

func (g *Gossip) tellAll(n *Node, s *Snapshot, d Duties, now clock.Instant) {
	t, topic := g.zone, TopicZone
	if n.Zone != s.Zone {
		t, topic = g.remote, TopicRemote
	}
	g.spread([]fleet.VM{n.VM}, topic, t.All(s, d, now))
}

// askAll asks the peers that spoke of what this node does not know to tell all
// again: waiting for their slow refresh would leave endpoints and groups unused
// for half a minute.
func (g *Gossip) askAll(s *Snapshot, now clock.Instant) {
	for peer, at := range s.missed {
		if now.Sub(at) > missKept || now.Sub(g.askedAll[peer]) < askAllEvery {
			continue
		}
		g.askedAll[peer] = now
		g.spread([]fleet.VM{peer}, TopicRemote, [][]byte{encode(&digest{Uptime: g.uptime(), WantAll: true})})
	}
}

// answerList sends the list of VMs to a peer that has none.
func (g *Gossip) answerList(to fleet.VM) {
	s := g.opt.View.Snapshot()
	if s.ListSeen == 0 {
		return
	}
	d := digest{Uptime: g.uptime(), ListAge: millis(g.opt.Clock.Now(), s.ListSeen)}
	for i := range s.VMs {
		if s.VMs[i].Listed {
			d.Records = append(d.Records, toWireRecord(&s.VMs[i].Record))
		}
	}
	g.spread([]fleet.VM{to}, TopicRemote, [][]byte{encode(&d)})
}

func (g *Gossip) uptime() uint64 {
	return uint64(g.opt.Clock.Now().Sub(g.remote.born) / time.Millisecond)
}

// askList asks one peer after the other for the list of VMs while this node has
// none: the platform may be down, and without the list no endpoint is known.
func (g *Gossip) askList(s *Snapshot, peers []fleet.VM, now clock.Instant) {
	if s.ListSeen != 0 || len(peers) == 0 || now.Before(g.askAgain) {
		return
	}
	g.askAgain = now.Add(askEvery)
	g.asked++
	g.spread([]fleet.VM{peers[g.asked%len(peers)]}, TopicRemote, [][]byte{encode(&digest{Uptime: g.uptime(), WantList: true})})
}

// Run tells until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	tick := time.NewTicker(gossipTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.tell(g.opt.View.Snapshot(), g.opt.Clock.Now())
		}
	}
}

func (g *Gossip) tell(s *Snapshot, now clock.Instant) {
	near, far := g.peers(s)
	// The nodes that share the watching, not those that are told: a node must
	// tell of what its own probes watch.
	g.share.Update(append(s.ZoneNodes(), s.Self.VM))
	d := &duties{self: s.Self.VM, share: &g.share, holds: g.opt.Holds}
	g.greet(s, d, now)
	g.askList(s, append(near, far...), now)
	g.askAll(s, now)
	g.answerAll(s, d, now)
	g.spread(near, TopicZone, g.zone.Next(s, d, now, ZoneEvery(len(near))))
	g.spread(far, TopicRemote, g.remote.Next(s, d, now, RemoteEvery(len(far))))
}

// ZoneEvery is the interval between regular digests to the own zone's peers.
func ZoneEvery(peers int) time.Duration {
	return min(max(time.Duration(peers)*zonePerPeer, zoneEveryLeast), zoneEveryMost)
}

// RemoteEvery is the interval between regular digests to other zones' peers.
func RemoteEvery(peers int) time.Duration {
	return min(max(time.Duration(peers)*remotePerPeer, remoteEveryLeast), remoteEveryMost)
}

// peers returns the nodes of the own zone and of the others that can be told.
func (g *Gossip) peers(s *Snapshot) (near, far []fleet.VM) {
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.State != NodeAlive && n.State != NodeSuspect {
			continue
		}
		if n.Zone == s.Zone {
			near = append(near, n.VM)
		} else {
			far = append(far, n.VM)
		}
	}
	return near, far
}

// greet tells a new peer everything that this node watches: it must not wait for
// the slow refresh of each fact.
func (g *Gossip) greet(s *Snapshot, d Duties, now clock.Instant) {
	present := make(map[fleet.Node]bool, len(s.Nodes))
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.State != NodeAlive {
			continue
		}
		present[n.Node] = true
		if g.met[n.Node] {
			continue
		}
		g.tellAll(n, s, d, now)
	}
	g.met = present
}

func (g *Gossip) spread(to []fleet.VM, topic string, messages [][]byte) {
	for _, m := range messages {
		for _, vm := range to {
			if err := g.opt.Send.Send(vm, topic, m); err != nil {
				g.opt.Log.Debug("digest not sent", "to", vm, "err", err)
				continue
			}
			g.bytes.WithLabelValues("sent", topic).Add(float64(len(m)))
		}
	}
}

// duties answers for this node.
type duties struct {
	self  fleet.VM
	share *Assignment
	holds func() bool
}

// Watches implements Duties.
func (d *duties) Watches(subject string) bool { return d.share.Watches(d.self, subject) }

// Leads implements Duties.
func (d *duties) Leads(subject string) bool { return d.share.Leads(d.self, subject) }

// Holds implements Duties.
func (d *duties) Holds() bool { return d.holds != nil && d.holds() }
