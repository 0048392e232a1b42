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

// Topic is the topic of the membership's messages.
const Topic = "membership"

// Mesh is what Service needs of the links between nodes.
type Mesh interface {
	Send(to fleet.VM, topic string, payload []byte) error
	// SendAddr sends to whoever of the deployment answers at the address.
	SendAddr(addr, topic string, payload []byte) error
	Subscribe(topic string, f func(from fleet.Node, payload []byte))
	Learn(vm fleet.VM, addr string)
}

const (
	// inboxSize bounds the messages that wait for the state machine. A full
	// inbox drops the new one; pings and news are sent again.
	inboxSize = 1024
	// commandSize bounds seeds, announcements and the leave.
	commandSize = 64
)

// Options make a Service. State, Mesh and Log are needed.
type Options struct {
	State      *State
	Mesh       Mesh
	Clock      clock.Clock // default clock.Boot
	Log        *slog.Logger
	Registerer prometheus.Registerer // nil: metrics are kept but not exposed
	// OnPause is called, before anything else is decided, when this process
	// finds that it did not run for a while. It must not block.
	OnPause func(gap time.Duration)
	// OnReplaced is called when a later process with this VM's name is a member.
	// This process has to stop: the others send it no work. It must not block.
	OnReplaced func(by fleet.Node)
}

// Service runs a State over the links. Its methods are safe for concurrent use.
type Service struct {
	opts     Options
	inbox    *ring.Queue[Received]
	commands *ring.Queue[Event]
	nodes    atomic.Pointer[[]view.Node]
	metrics  *metrics
	left     chan struct{}

	mu       sync.Mutex
	watchers []func([]view.Node)
}

// NewService subscribes to the topic. Run has to be running for the rest.
func NewService(o Options) (*Service, error) {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Service{
		opts: o, inbox: ring.NewQueue[Received](inboxSize),
		commands: ring.NewQueue[Event](commandSize), left: make(chan struct{}),
	}
	s.nodes.Store(&[]view.Node{})
	var err error
	if s.metrics, err = newMetrics(o.Registerer); err != nil {
		return nil, err
	}
	o.Mesh.Subscribe(Topic, s.take)
	return s, nil
}

// take decodes a message in the mesh's goroutine and queues it.
func (s *Service) take(from fleet.Node, payload []byte) {
	m, err := Decode(payload)
	if err != nil {
		s.metrics.dropped.WithLabelValues("unreadable").Inc()
		s.opts.Log.Warn("membership message unreadable", "from", from.String(), "error", err)
		return
	}
	if !s.inbox.Offer(Received{From: from, Message: m}) {
		s.metrics.dropped.WithLabelValues("inbox_full").Inc()
	}
}

// Nodes returns what is believed of the other nodes, by VM. The slice is shared
// and must not be changed.
func (s *Service) Nodes() []view.Node { return *s.nodes.Load() }

// OnChange adds f, which is called with every new list, from one goroutine. It
// must not block.
func (s *Service) OnChange(f func([]view.Node)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// SetSeeds names nodes that may be members. It reports false when too many
// commands wait; the caller repeats it with its next list.
func (s *Service) SetSeeds(seeds []Seed) bool { return s.commands.Offer(Seeds{Nodes: seeds}) }

// Announce tells the members this node's revision, whether it is draining and a
// small payload. It reports false when too many commands wait.
func (s *Service) Announce(revision uint64, draining bool, payload []byte) bool {
	return s.commands.Offer(Announce{Revision: revision, Draining: draining, Payload: payload})
}

// Leave tells the members that this process ends and waits until that is handed
// to the links. The links need a moment afterwards before they are closed.
func (s *Service) Leave(ctx context.Context) error {
	s.commands.Offer(Leave{})
	select {
	case <-s.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run drives the state until ctx ends.
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
			// Acks that are here already must count before the tick that would
			// find them missing.
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
		s.act(a)
	}
	if _, ok := ev.(Leave); ok {
		s.closeLeft()
	}
}

func (s *Service) closeLeft() {
	select {
	case <-s.left:
	default:
		close(s.left)
	}
}

func (s *Service) act(a Action) {
	switch a := a.(type) {
	case Send:
		s.send(a)
	case Changed:
		s.publish()
	case Paused:
		s.metrics.pauses.Inc()
		s.opts.Log.Warn("this process did not run", "gap", a.Gap)
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
		s.opts.Log.Error("membership message not encoded", "error", err)
		return
	}
	if err := s.hand(a, payload); err != nil {
		s.opts.Log.Error("membership message not sent", "to", a.To, "addr", a.Addr, "error", err)
		return
	}
	s.metrics.bytes.Add(float64(len(payload)))
}

func (s *Service) hand(a Send, payload []byte) error {
	if a.To == "" {
		return s.opts.Mesh.SendAddr(a.Addr, Topic, payload)
	}
	if a.Addr != "" {
		s.opts.Mesh.Learn(a.To, a.Addr)
	}
	return s.opts.Mesh.Send(a.To, Topic, payload)
}

func (s *Service) publish() {
	nodes := s.opts.State.Nodes()
	s.nodes.Store(&nodes)
	s.metrics.count(nodes)
	s.mu.Lock()
	watchers := s.watchers
	s.mu.Unlock()
	for _, f := range watchers {
		f(nodes)
	}
}
