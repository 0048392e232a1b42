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

// inboxSize is how many messages may wait for the tracker's goroutine. A full
// ring drops the newest: claims that are not even are told again by their
// senders.
const inboxSize = 1024

// Peers carries messages to the other nodes.
type Peers interface {
	Broadcast(topic string, payload []byte)
}

// Options is what a Tracker needs.
type Options struct {
	Peers      Peers
	View       view.Source
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer // nil: no metrics
}

// Tracker keeps this node's shares of the organisations' rate caps.
type Tracker struct {
	opts     Options
	state    *State // touched by Run only
	revision uint64
	inbox    *ring.Queue[letter]
	orgs     atomic.Pointer[map[fleet.Organisation]*share]
	metrics  *metrics
}

type letter struct {
	from    fleet.Node
	payload []byte
}

// share is what the request path reads and counts.
type share struct {
	model, lookups           atomic.Int64 // requests since the last tick
	modelShare, lookupsShare atomic.Uint64
}

// New returns a Tracker that gives even parts until Run runs.
func New(o Options) *Tracker {
	t := &Tracker{
		opts:    o,
		state:   NewState(),
		inbox:   ring.NewQueue[letter](inboxSize),
		metrics: newMetrics(o.Registerer),
	}
	t.orgs.Store(&map[fleet.Organisation]*share{})
	t.follow()
	t.publish()
	return t
}

// Handle takes a message of another node. It returns at once.
func (t *Tracker) Handle(from fleet.Node, payload []byte) {
	if !t.inbox.Offer(letter{from, payload}) {
		t.metrics.dropped.Inc()
	}
}

// Run measures, tells and listens until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(TickEvery)
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

func (t *Tracker) receive(l letter) {
	m, err := decode(l.payload)
	if err != nil {
		t.metrics.unreadable.Inc()
		t.opts.Log.Warn("usage message not read", "from", l.from.String(), "error", err)
		return
	}
	t.state.Receive(t.opts.Clock.Now(), l.from, m)
	t.publish()
}

func (t *Tracker) tick() {
	t.follow()
	m := t.state.Tick(t.opts.Clock.Now(), t.counted)
	t.publish()
	if m == nil {
		return
	}
	payload, err := m.encode()
	if err != nil {
		t.opts.Log.Error("usage message not written", "error", err)
		return
	}
	t.metrics.sent.Inc()
	t.metrics.sentBytes.Add(float64(len(payload)))
	t.opts.Peers.Broadcast(Topic, payload)
}

// counted returns and resets what the organisation asked of this node.
func (t *Tracker) counted(name fleet.Organisation) Count {
	s := (*t.orgs.Load())[name]
	if s == nil {
		return Count{}
	}
	return Count{Model: int(s.model.Swap(0)), Lookups: int(s.lookups.Swap(0))}
}

// follow takes nodes and organisations from the newest snapshot.
func (t *Tracker) follow() {
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
	t.renew(orgs)
}

// renew makes the map that the request path reads, with the counters that live
// on.
func (t *Tracker) renew(orgs []Organisation) {
	old := *t.orgs.Load()
	shares := make(map[fleet.Organisation]*share, len(orgs))
	for _, o := range orgs {
		s := old[o.Name]
		if s == nil {
			s = &share{}
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
		return 1, 1 // not configured: it has no cap
	}
	return math.Float64frombits(s.modelShare.Load()), math.Float64frombits(s.lookupsShare.Load())
}

// Count adds one request that the organisation made at this node.
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
