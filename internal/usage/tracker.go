package usage

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
	"chervilloom/internal/ring"
	"chervilloom/internal/view"
)

// inboxSize bounds the messages that wait for the tracker's goroutine. A full
// queue drops the newest message; senders repeat claims that are not even.
const inboxSize = 1024

// Broadcaster sends messages to the other nodes.
type Broadcaster interface {
	Broadcast(topic string, payload []byte)
}

// Options configures a Tracker.
type Options struct {
	Peers      Broadcaster
	View       view.Source
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer // nil: no metrics
}

// Tracker maintains this node's shares of the organisations' rate caps.
type Tracker struct {
	opts     Options
	state    *State // used by Run only
	revision uint64
	inbox    *ring.Queue[receivedMessage]
	orgs     atomic.Pointer[map[fleet.Organisation]*orgShare]
	metrics  *metrics
}

type receivedMessage struct {
	from    fleet.Node
	payload []byte
}

// orgShare holds the counters and shares that the request path accesses.
type orgShare struct {
	model, lookups           atomic.Int64 // requests since the last tick
	modelShare, lookupsShare atomic.Uint64
}

// New returns a Tracker. Shares are even until Run is running.
func New(o Options) *Tracker {
	t := &Tracker{
		opts:    o,
		state:   NewState(),
		inbox:   ring.NewQueue[receivedMessage](inboxSize),
		metrics: newMetrics(o.Registerer),
	}
	t.orgs.Store(&map[fleet.Organisation]*orgShare{})
	t.updateFromSnapshot()
	t.publish()
	return t
}

// Handle queues a message of another node; it never blocks.
func (t *Tracker) Handle(from fleet.Node, payload []byte) {
	if !t.inbox.Offer(receivedMessage{from, payload}) {
		t.metrics.dropped.Inc()
	}
}

// Run measures demand and exchanges claims until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-t.inbox.C():
			t.receive(l)
		case <-tick.C:
			t.tick()
		}
	}
}

func (t *Tracker) receive(l receivedMessage) {
	m, err := decode(l.payload)
	if err != nil {
		t.metrics.unreadable.Inc()
		t.opts.Log.Warn("cannot decode usage message", "from", l.from.String(), "error", err)
		return
	}
	t.state.Receive(t.opts.Clock.Now(), l.from, m)
	t.publish()
}

func (t *Tracker) tick() {
	t.updateFromSnapshot()
	m := t.state.Tick(t.opts.Clock.Now(), t.takeCounts)
	t.publish()
	if m == nil {
		return
	}
	payload, err := m.encode()
	if err != nil {
		t.opts.Log.Error("cannot encode usage message", "error", err)
		return
	}
	t.metrics.sent.Inc()
	t.metrics.sentBytes.Add(float64(len(payload)))
	t.opts.Peers.Broadcast(Topic, payload)
}

// takeCounts returns and resets the organisation's request counts at this node.
func (t *Tracker) takeCounts(name fleet.Organisation) Count {
	s := (*t.orgs.Load())[name]
	if s == nil {
		return Count{}
	}
	return Count{Model: int(s.model.Swap(0)), Lookups: int(s.lookups.Swap(0))}
}

// updateFromSnapshot applies the nodes and organisations of the newest
// snapshot.
func (t *Tracker) updateFromSnapshot() {
	s := t.opts.View.Snapshot()
	var peers []Peer
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.State != view.NodeLeft {
			peers = append(peers, Peer{Node: n.Node, Dead: n.State == view.NodeDead})
		}
	}
	t.state.SetPeers(peers)
	if s.Config == nil || s.Revision == t.revision {
		return
	}
	t.revision = s.Revision
	var orgs []Organisation
	for i := range s.Config.Organisations {
		c := &s.Config.Organisations[i]
		orgs = append(orgs, Organisation{Name: fleet.Organisation(c.Name), Rate: c.Rate, Lookups: c.Lookups})
	}
	t.state.Configure(orgs)
	t.replaceShares(orgs)
}

// replaceShares builds the map for the request path, keeping the counters of
// organisations that remain.
func (t *Tracker) replaceShares(orgs []Organisation) {
	old := *t.orgs.Load()
	shares := make(map[fleet.Organisation]*orgShare, len(orgs))
	for _, o := range orgs {
		s := old[o.Name]
		if s == nil {
			s = &orgShare{}
		}
		shares[o.Name] = s
	}
	t.orgs.Store(&shares)
}

func (t *Tracker) publish() {
	for name, s := range *t.orgs.Load() {
		model, lookups := t.state.Shares(name)
		s.modelShare.Store(math.Float64bits(model))
		s.lookupsShare.Store(math.Float64bits(lookups))
	}
}

// Shares returns the parts, 0 to 1, of the organisation's caps on model
// requests and lookups that this node may use.
func (t *Tracker) Shares(name fleet.Organisation) (model, lookups float64) {
	s := (*t.orgs.Load())[name]
	if s == nil {
		return 1, 1 // not configured: no cap
	}
	return math.Float64frombits(s.modelShare.Load()), math.Float64frombits(s.lookupsShare.Load())
}

// Count records one request of the organisation at this node.
func (t *Tracker) Count(name fleet.Organisation, class request.Class) {
	s := (*t.orgs.Load())[name]
	switch {
	case s == nil:
	case class == request.ClassModel:
		s.model.Add(1)
	default:
		s.lookups.Add(1)
	}
}

type metrics struct {
	sent, sentBytes, dropped, unreadable prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	return &metrics{
		sent:       counter("chervilloom_usage_messages_sent_total", "Messages broadcast to the other nodes."),
		sentBytes:  counter("chervilloom_usage_sent_bytes_total", "Bytes of these messages, once for all nodes."),
		dropped:    counter("chervilloom_usage_messages_dropped_total", "Messages of other nodes dropped because the ring was full."),
		unreadable: counter("chervilloom_usage_messages_unreadable_total", "Messages of other nodes that could not be read."),
	}
}
