package membership

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/ring"
	"chervilloom/internal/view"
)

// Topic is the topic of this package's messages.
const Topic = "membership"

// Mesh is the part of the links between nodes that Service uses.
type Mesh interface {
	Send(to fleet.VM, topic string, payload []byte) error
	// SendAddr sends to the node of the deployment that listens at the address.
	SendAddr(addr, topic string, payload []byte) error
	Subscribe(topic string, f func(from fleet.Node, payload []byte))
	SetPeerAddr(vm fleet.VM, addr string)
}

const (
	// inboxSize bounds the received messages that wait for the state machine. A
	// full inbox drops new messages; pings and updates are sent again.
	inboxSize = 1024
	// commandSize bounds the queued seeds, announcements and leave commands.
	commandSize = 64
)

// Options configures a Service. State, Mesh and Log are required.
type Options struct {
	State      *State
	Mesh       Mesh
	Clock      clock.Clock // default clock.Boot
	Log        *slog.Logger
	Registerer prometheus.Registerer // nil: metrics are not registered
	// OnPause is called when this process detects that it was paused, before
	// any other decision is made. It must not block.
	OnPause func(gap time.Duration)
	// OnReplaced is called when a later incarnation of this VM has joined. This
	// process has to stop, since other nodes no longer send it requests. It
	// must not block.
	OnReplaced func(by fleet.Node)
}

// Service runs a State over the links between nodes. Its methods are safe for
// concurrent use.
type Service struct {
	opts      Options
	inbox     *ring.Queue[Received]
	commands  *ring.Queue[Event]
	nodes     atomic.Pointer[[]view.Node]
	metrics   *metrics
	leaveDone chan struct{}

	mu          sync.Mutex
	subscribers []func([]view.Node)
}

// NewService returns a Service subscribed to Topic. Its other methods require
// Run.
func NewService(o Options) (*Service, error) {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Service{
		opts: o, inbox: ring.NewQueue[Received](inboxSize),
		commands: ring.NewQueue[Event](commandSize), leaveDone: make(chan struct{}),
	}
	s.nodes.Store(&[]view.Node{})
	var err error
	if s.metrics, err = newMetrics(o.Registerer); err != nil {
		return nil, err
	}
	o.Mesh.Subscribe(Topic, s.enqueue)
	return s, nil
}

// enqueue decodes a message in the mesh's goroutine and queues it.
func (s *Service) enqueue(from fleet.Node, payload []byte) {
	m, err := Decode(payload)
	if err != nil {
		s.metrics.dropped.WithLabelValues("unreadable").Inc()
		s.opts.Log.Warn("cannot decode membership message", "from", from.String(), "error", err)
		return
	}
	if !s.inbox.Offer(Received{From: from, Message: m}) {
		s.metrics.dropped.WithLabelValues("inbox_full").Inc()
	}
}

// Nodes returns the known state of the other nodes, by VM. The slice is shared
// and must not be changed.
func (s *Service) Nodes() []view.Node { return *s.nodes.Load() }

// OnChange registers f, which is called with every new list, from one
// goroutine. It must not block.
func (s *Service) OnChange(f func([]view.Node)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// SetSeeds sets the nodes that may be members. It returns false if the command
// queue is full; the caller then retries with its next list.
func (s *Service) SetSeeds(seeds []Seed) bool { return s.commands.Offer(Seeds{Nodes: seeds}) }

// Announce publishes this node's revision, its draining state and a small
// payload to the members. It returns false if the command queue is full.
func (s *Service) Announce(revision uint64, draining bool, payload []byte) bool {
	return s.commands.Offer(Announce{Revision: revision, Draining: draining, Payload: payload})
}

// Leave announces that this process stops and waits until the messages have
// been handed to the links. The links must stay open a moment longer to deliver
// them.
func (s *Service) Leave(ctx context.Context) error {
	s.commands.Offer(Leave{})
	select {
	case <-s.leaveDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run drives the state machine until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(s.opts.State.cfg.TickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-s.inbox.C():
			s.step(r)
		case c := <-s.commands.C():
			s.step(c)
		case <-t.C:
			// Process received acks before a tick that would time out their
			// pings.
			s.drainInbox()
			s.step(Tick{})
		}
	}
}

func (s *Service) drainInbox() {
	for range s.inbox.Len() {
		select {
		case r := <-s.inbox.C():
			s.step(r)
		default:
			return
		}
	}
}

func (s *Service) step(ev Event) {
	for _, a := range s.opts.State.Step(s.opts.Clock.Now(), ev) {
		s.execute(a)
	}
	if _, ok := ev.(Leave); ok {
		s.closeLeaveDone()
	}
}

func (s *Service) closeLeaveDone() {
	select {
	case <-s.leaveDone:
	default:
		close(s.leaveDone)
	}
}

func (s *Service) execute(a Action) {
	switch a := a.(type) {
	case Send:
		s.send(a)
	case Changed:
		s.publish()
	case Paused:
		s.metrics.pauses.Inc()
		s.opts.Log.Warn("process was paused", "gap", a.Gap)
		if s.opts.OnPause != nil {
			s.opts.OnPause(a.Gap)
		}
	case Replaced:
		s.metrics.replaced.Inc()
		if s.opts.OnReplaced != nil {
			s.opts.OnReplaced(a.By)
		}
	}
}

func (s *Service) send(a Send) {
	payload, err := a.Message.Encode()
	if err != nil {
		s.opts.Log.Error("cannot encode membership message", "error", err)
		return
	}
	if err := s.sendPayload(a, payload); err != nil {
		s.opts.Log.Error("cannot send membership message", "to", a.To, "addr", a.Addr, "error", err)
		return
	}
	s.metrics.bytes.Add(float64(len(payload)))
}

func (s *Service) sendPayload(a Send, payload []byte) error {
	if a.To == "" {
		return s.opts.Mesh.SendAddr(a.Addr, Topic, payload)
	}
	if a.Addr != "" {
		s.opts.Mesh.SetPeerAddr(a.To, a.Addr)
	}
	return s.opts.Mesh.Send(a.To, Topic, payload)
}

func (s *Service) publish() {
	nodes := s.opts.State.Nodes()
	s.nodes.Store(&nodes)
	s.metrics.setNodeCounts(nodes)
	s.mu.Lock()
	subscribers := s.subscribers
	s.mu.Unlock()
	for _, f := range subscribers {
		f(nodes)
	}
}
