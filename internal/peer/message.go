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
	defaultQueueDepth    = 64
	subscriberQueueDepth = 1024
	messageTimeout       = 2 * time.Second // to write or to read one message
)

// SetQueueDepth sets the capacity of the topic's send queue, which exists for each
// peer. Use 1 for a topic where a newer message supersedes the older one. The
// default is 64. Call it before the topic's first Send.
func (m *Mesh) SetQueueDepth(topic string, depth int) {
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
	return defaultQueueDepth
}

// Send queues a message for the VM and returns immediately. Each topic has a
// bounded queue per peer. When the queue is full, the oldest message is dropped
// and counted, so a peer that was unreachable receives the newest ones.
// Messages may be lost or reordered. On error the message was not queued.
func (m *Mesh) Send(to fleet.VM, topic string, payload []byte) error {
	if to == m.opts.Self.VM {
		return fmt.Errorf("peer: message on topic %q is addressed to the local node; handle it locally", topic)
	}
	if len(payload) > maxMessageBytes-len(topic)-frameHeaderBytes {
		return fmt.Errorf("peer: message of %d bytes exceeds the limit of %d bytes; use Call instead", len(payload), maxMessageBytes)
	}
	m.link(to).outbox.enqueue(topic, payload)
	return nil
}

// Broadcast sends a message to every VM with a known address or with a link to
// this node.
func (m *Mesh) Broadcast(topic string, payload []byte) {
	for _, l := range m.snapshotLinks() {
		if err := m.Send(l.vm, topic, payload); err != nil {
			m.opts.Log.Error("message not sent", "topic", topic, "error", err)
			return
		}
	}
}

// Subscribe calls f for each message of the topic, from a single goroutine. Up
// to 1024 received messages wait for f; when that queue is full, new messages
// are dropped and counted. f owns the payload. A second subscriber of the same
// topic panics.
func (m *Mesh) Subscribe(name string, f func(from fleet.Node, payload []byte)) {
	t := &topic{queue: ring.NewQueue[message](subscriberQueueDepth)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topics[name] != nil {
		panic("peer: duplicate subscriber of topic " + name)
	}
	m.topics[name] = t
	m.metrics.addTopic(name)
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
		m.spawn(func() { m.readMessage(c, s) })
	}
}

func (m *Mesh) readMessage(c *conn, s *quic.ReceiveStream) {
	defer s.CancelRead(0)
	s.SetReadDeadline(time.Now().Add(messageTimeout))
	var f messageFrame
	r := frameReader{r: s}
	if err := r.expect(frameMessage, &f, maxMessageBytes); err != nil {
		m.metrics.countDropped(f.Topic, "unreadable")
		return
	}
	m.mu.Lock()
	t := m.topics[f.Topic]
	m.mu.Unlock()
	switch {
	case t == nil:
		m.metrics.countDropped(f.Topic, "no_subscriber")
	case !t.queue.Offer(message{from: c.node, payload: f.Payload}):
		m.metrics.countDropped(f.Topic, "subscriber_full")
	default:
		m.metrics.countReceived(f.Topic)
	}
}

// outbox queues the outgoing messages for one peer.
type outbox struct {
	link *link
	wake chan struct{}

	mu          sync.Mutex
	queues      map[string]*evictingQueue
	readyTopics []string // topics with queued messages, served round-robin
	running     bool     // the sending goroutine has been started
	closed      bool
}

func newOutbox(l *link) *outbox {
	return &outbox{link: l, wake: make(chan struct{}, 1), queues: map[string]*evictingQueue{}}
}

func (o *outbox) enqueue(topic string, payload []byte) {
	depth := o.link.mesh.depth(topic)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	r := o.queues[topic]
	if r == nil {
		r = &evictingQueue{capacity: depth}
		o.queues[topic] = r
	}
	if len(r.items) == 0 {
		o.readyTopics = append(o.readyTopics, topic)
	}
	if r.push(payload) {
		o.link.mesh.metrics.countDropped(topic, "ring_full")
	}
	if !o.running {
		o.running = o.link.mesh.spawn(o.run)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns the oldest message of the next topic in round-robin
// order.
func (o *outbox) dequeue() (topic string, payload []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.readyTopics) == 0 {
		return "", nil, false
	}
	topic = o.readyTopics[0]
	o.readyTopics = o.readyTopics[1:]
	r := o.queues[topic]
	payload = r.pop()
	if len(r.items) > 0 {
		o.readyTopics = append(o.readyTopics, topic)
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

func (o *outbox) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// run sends queued messages until the link is closed. While the peer is
// unreachable the messages stay in their queues, so that the newest ones are
// sent as soon as it is reachable again.
func (o *outbox) run() {
	m := o.link.mesh
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-o.wake:
		}
		if o.isClosed() {
			return
		}
		if !o.flush() && !sleep(m.ctx.Done(), backOffBase) {
			return
		}
	}
}

// flush sends all queued messages. It reports false if the peer is unreachable.
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
		topic, payload, ok := o.dequeue()
		if !ok {
			return true
		}
		if err := sendMessage(c, topic, payload); err != nil {
			o.link.mesh.metrics.countDropped(topic, "link")
			return c.isAlive()
		}
		o.link.mesh.metrics.countSent(topic)
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

// sleep waits for d and reports false if done was closed first.
func sleep(done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
		return false
	case <-t.C:
		return true
	}
}

// evictingQueue is a bounded FIFO queue that evicts its oldest item when full.
type evictingQueue struct {
	capacity int
	items    [][]byte
}

// push appends p and reports whether the oldest item was evicted.
func (r *evictingQueue) push(p []byte) bool {
	full := len(r.items) >= r.capacity
	if full {
		r.items = r.items[1:]
	}
	r.items = append(r.items, p)
	return full
}

func (r *evictingQueue) pop() []byte {
	p := r.items[0]
	r.items[0] = nil
	r.items = r.items[1:]
	return p
}
