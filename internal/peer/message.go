package peer

import (
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"chervilloom/internal/fleet"
	"chervilloom/internal/ring"
)

const (
	defaultDepth    = 64
	subscriberDepth = 1024
	messageTimeout  = 2 * time.Second // to hand a message to the connection, and to read one
)

// SetDepth bounds how many messages of the topic wait for one peer. A topic
// whose messages replace each other has depth 1. The default is 64. It is to be
// called before the topic's first Send.
func (m *Mesh) SetDepth(topic string, depth int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.depths[topic] = max(depth, 1)
}

func (m *Mesh) depth(topic string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.depths[topic]; ok {
		return d
	}
	return defaultDepth
}

// Send queues a message for the VM and returns at once. Each topic has a ring
// for each peer; when it is full the oldest message is dropped and counted, so
// the newest reaches a peer that was out of reach. Messages may be lost and may
// overtake each other. An error means that the message was not queued.
func (m *Mesh) Send(to fleet.VM, topic string, payload []byte) error {
	if to == m.opts.Self.VM {
		return fmt.Errorf("peer: a message of topic %q to this node itself; handle it in place", topic)
	}
	if len(payload) > maxMessageBytes-len(topic)-frameHead {
		return fmt.Errorf("peer: a message of %d bytes is over the limit of %d; send it by Call", len(payload), maxMessageBytes)
	}
	m.link(to).outbox.put(topic, payload)
	return nil
}

// Broadcast sends a message to every VM whose address is known or that has a
// link to this node.
func (m *Mesh) Broadcast(topic string, payload []byte) {
	for _, l := range m.snapshotLinks() {
		if err := m.Send(l.vm, topic, payload); err != nil {
			m.opts.Log.Error("message not sent", "topic", topic, "error", err)
			return
		}
	}
}

// Subscribe gives the topic's messages to f, from one goroutine. Between the
// links and f lies a ring of 1024; when it is full new messages are dropped and
// counted. f owns the payload. A topic has one subscriber.
func (m *Mesh) Subscribe(name string, f func(from fleet.Node, payload []byte)) {
	t := &topic{queue: ring.NewQueue[message](subscriberDepth)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topics[name] != nil {
		panic("peer: two subscribers of topic " + name)
	}
	m.topics[name] = t
	m.metrics.knowTopic(name)
	m.spawn(func() { m.deliver(t, f) })
}

type message struct {
	from    fleet.Node
	payload []byte
}

type topic struct{ queue *ring.Queue[message] }

func (m *Mesh) deliver(t *topic, f func(from fleet.Node, payload []byte)) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case msg := <-t.queue.C():
			f(msg.from, msg.payload)
		}
	}
}

func (m *Mesh) acceptMessages(c *conn) {
	for {
		s, err := c.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.takeMessage(c, s) })
	}
}

func (m *Mesh) takeMessage(c *conn, s *quic.ReceiveStream) {
	defer s.CancelRead(0)
	s.SetReadDeadline(time.Now().Add(messageTimeout))
	var f messageFrame
	r := frameReader{r: s}
	if err := r.expect(frameMessage, &f, maxMessageBytes); err != nil {
		m.metrics.dropped(f.Topic, "unreadable")
		return
	}
	m.mu.Lock()
	t := m.topics[f.Topic]
	m.mu.Unlock()
	switch {
	case t == nil:
		m.metrics.dropped(f.Topic, "no_subscriber")
	case !t.queue.Offer(message{from: c.node, payload: f.Payload}):
		m.metrics.dropped(f.Topic, "subscriber_full")
	default:
		m.metrics.received(f.Topic)
	}
}

// outbox holds the messages that wait for one peer.
type outbox struct {
	link *link
	wake chan struct{}

	mu      sync.Mutex
	rings   map[string]*dropOldest
	order   []string // topics with messages, in the order in which they came
	running bool     // the sending goroutine lives
	closed  bool
}

func newOutbox(l *link) *outbox {
	return &outbox{link: l, wake: make(chan struct{}, 1), rings: map[string]*dropOldest{}}
}

func (o *outbox) put(topic string, payload []byte) {
	depth := o.link.mesh.depth(topic)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	r := o.rings[topic]
	if r == nil {
		r = &dropOldest{size: depth}
		o.rings[topic] = r
	}
	if len(r.items) == 0 {
		o.order = append(o.order, topic)
	}
	if r.push(payload) {
		o.link.mesh.metrics.dropped(topic, "ring_full")
	}
	if !o.running {
		o.running = o.link.mesh.spawn(o.run)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns the oldest message of the topic that has waited longest.
func (o *outbox) take() (topic string, payload []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.order) == 0 {
		return "", nil, false
	}
	topic = o.order[0]
	o.order = o.order[1:]
	r := o.rings[topic]
	payload = r.pop()
	if len(r.items) > 0 {
		o.order = append(o.order, topic)
	}
	return topic, payload, true
}

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) over() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// run sends until the link closes. Messages stay in their rings while the peer
// can't be reached, so that the newest ones go out first thing afterwards.
func (o *outbox) run() {
	m := o.link.mesh
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-o.wake:
		}
		if o.over() {
			return
		}
		if !o.flush() && !pause(m.ctx.Done(), backOffBase) {
			return
		}
	}
}

// flush sends what waits. It reports false when the peer can't be reached.
func (o *outbox) flush() bool {
	c, err := o.link.control.get(o.link.mesh.ctx, dialTimeout)
	if err != nil {
		select {
		case o.wake <- struct{}{}:
		default:
		}
		return false
	}
	for {
		topic, payload, ok := o.take()
		if !ok {
			return true
		}
		if err := sendMessage(c, topic, payload); err != nil {
			o.link.mesh.metrics.dropped(topic, "link")
			return c.alive()
		}
		o.link.mesh.metrics.sent(topic)
	}
}

func sendMessage(c *conn, topic string, payload []byte) error {
	s, err := c.OpenUniStream()
	if err != nil {
		return err
	}
	s.SetWriteDeadline(time.Now().Add(messageTimeout))
	if err := writeFrame(s, frameMessage, messageFrame{Topic: topic, Payload: payload}, maxMessageBytes); err != nil {
		s.CancelWrite(resetCancelled)
		return err
	}
	return s.Close()
}

// pause waits for d and reports false when done closed first.
func pause(done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
		return false
	case <-t.C:
		return true
	}
}

// dropOldest is a first-in-first-out ring that makes room by dropping its
// oldest item.
type dropOldest struct {
	size  int
	items [][]byte
}

// push adds p and reports whether another item was dropped for it.
func (r *dropOldest) push(p []byte) bool {
	full := len(r.items) >= r.size
	if full {
		r.items = r.items[1:]
	}
	r.items = append(r.items, p)
	return full
}

func (r *dropOldest) pop() []byte {
	p := r.items[0]
	r.items[0] = nil
	r.items = r.items[1:]
	return p
}
