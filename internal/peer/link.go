package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// conn is a connection on which both sides have exchanged Hello frames.
type conn struct {
	*quic.Conn
	node     fleet.Node
	zone     fleet.AvailabilityZone
	protocol string

	countMu               sync.Mutex
	countedOut, countedIn uint64 // bytes already added to the metrics
}

func (c *conn) isAlive() bool { return c.Context().Err() == nil }

// link holds the address of another VM, the connections to it and the messages
// queued for it.
type link struct {
	mesh    *Mesh
	vm      fleet.VM
	control channel
	relay   channel
	outbox  *outbox

	mu   sync.Mutex
	addr string // empty: unknown
}

func newLink(m *Mesh, vm fleet.VM) *link {
	l := &link{mesh: m, vm: vm}
	l.control = channel{link: l, protocol: controlProtocol}
	l.relay = channel{link: l, protocol: relayProtocol}
	l.outbox = newOutbox(l)
	return l
}

func (l *link) setAddr(addr string) {
	l.mu.Lock()
	changed := l.addr != addr
	l.addr = addr
	l.mu.Unlock()
	if changed {
		l.control.resetBackOff()
		l.relay.resetBackOff()
	}
}

// setAddrIfUnknown sets the address if none is known yet.
func (l *link) setAddrIfUnknown(addr string) {
	if l.address() == "" {
		l.setAddr(addr)
	}
}

func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

func (l *link) close(code quic.ApplicationErrorCode, reason string) {
	l.outbox.close()
	l.control.close(code, reason)
	l.relay.close(code, reason)
}

// channel manages one of the two connections of a link: it dials on demand and
// backs off after failed dials.
type channel struct {
	link     *link
	protocol string

	mu           sync.Mutex
	conn         *conn
	dialing      *dialAttempt
	backOff      time.Duration // back-off after the last failed dial
	retryAt      clock.Instant
	lastErr      error // error of the last failed dial
	activeRelays int   // relays in flight
	lastUsed     clock.Instant
	closed       bool
}

// dialAttempt is a dial in progress, shared by all callers of get.
type dialAttempt struct {
	startedAt time.Time
	done      chan struct{}
	conn      *conn
	err       error
}

var (
	errNoAddress   = errors.New("peer: the address of the VM is unknown; check that it is in the platform's list or among the seeds")
	errBackOff     = errors.New("peer: backing off after a failed dial")
	errClosed      = errors.New("peer: the link is closed")
	errDialTimeout = errors.New("peer: dial timed out")
)

// get returns the open connection or dials one. It fails immediately during the
// back-off after a failed dial, and also when a dial started by another caller
// has already taken longer than timeout.
func (ch *channel) get(ctx context.Context, timeout time.Duration) (*conn, error) {
	ch.mu.Lock()
	if ch.conn != nil && ch.conn.isAlive() {
		c := ch.conn
		ch.mu.Unlock()
		return c, nil
	}
	d, err := ch.dialLocked()
	ch.mu.Unlock()
	if err != nil {
		return nil, err
	}
	t := time.NewTimer(timeout - time.Since(d.startedAt))
	defer t.Stop()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.C:
		return nil, errDialTimeout
	}
}

func (ch *channel) dialLocked() (*dialAttempt, error) {
	if ch.closed || ch.link.mesh.ctx.Err() != nil {
		return nil, errClosed
	}
	if ch.dialing != nil {
		return ch.dialing, nil
	}
	if ch.link.mesh.opts.Clock.Now().Before(ch.retryAt) {
		return nil, fmt.Errorf("%w: %w", errBackOff, ch.lastErr)
	}
	d := &dialAttempt{startedAt: time.Now(), done: make(chan struct{})}
	if !ch.link.mesh.spawn(func() { ch.dial(d) }) {
		return nil, errClosed
	}
	ch.dialing = d
	return d, nil
}

func (ch *channel) dial(d *dialAttempt) {
	m := ch.link.mesh
	d.conn, d.err = m.dial(ch.link, ch.protocol)
	ch.mu.Lock()
	ch.dialing = nil
	if d.err != nil {
		ch.lastErr = d.err
		ch.backOff = backOff(ch.backOff, randomFraction())
		ch.retryAt = m.opts.Clock.Now().Add(ch.backOff)
	} else {
		ch.backOff, ch.retryAt, ch.lastErr = 0, 0, nil
		ch.conn = d.conn
		ch.lastUsed = m.opts.Clock.Now()
	}
	closed := ch.closed
	ch.mu.Unlock()
	if d.err == nil && closed {
		d.conn.CloseWithError(closeShutdown, "the link is closed")
	}
	close(d.done)
}

// adopt uses a connection that the peer dialled, unless there is an open one to
// the same or a later incarnation of the peer. A connection to an earlier
// incarnation is closed, because that process no longer exists and its answers
// will never arrive.
func (ch *channel) adopt(c *conn) {
	ch.mu.Lock()
	old := ch.conn
	switch {
	case old == nil || !old.isAlive():
		ch.conn = c
	case c.node.Incarnation > old.node.Incarnation:
		ch.conn = c
		defer old.CloseWithError(closeReplaced, "the process was restarted")
	}
	ch.backOff, ch.retryAt, ch.lastErr = 0, 0, nil
	ch.mu.Unlock()
}

func (ch *channel) isConnected() bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.conn != nil && ch.conn.isAlive()
}

func (ch *channel) resetBackOff() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.backOff, ch.retryAt, ch.lastErr = 0, 0, nil
}

func (ch *channel) close(code quic.ApplicationErrorCode, reason string) {
	ch.mu.Lock()
	c := ch.conn
	ch.conn, ch.closed = nil, true
	ch.mu.Unlock()
	if c != nil {
		c.CloseWithError(code, reason)
	}
}

// relayDialFactor is the dial timeout of a relay in multiples of the ready timeout. A
// handshake takes more round trips than Ready, and each may lose a packet.
const relayDialFactor = 2

// acquire returns a connection like get for use by a relay. The connection is not
// closed as unused until release is called.
func (ch *channel) acquire(ctx context.Context) (*conn, error) {
	ch.mu.Lock()
	ch.activeRelays++
	ch.mu.Unlock()
	c, err := ch.get(ctx, relayDialFactor*ch.link.mesh.opts.ReadyTimeout)
	if err != nil {
		ch.release()
	}
	return c, err
}

func (ch *channel) release() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.activeRelays--
	ch.lastUsed = ch.link.mesh.opts.Clock.Now()
}

// closeUnused closes the connection if no relay used it for relayUnusedTimeout. Only
// this node opens relays on a connection that it dialled, so none can be in
// flight when activeRelays is 0.
func (ch *channel) closeUnused(now clock.Instant) {
	ch.mu.Lock()
	c := ch.conn
	unused := ch.activeRelays == 0 && now.Sub(ch.lastUsed) >= relayUnusedTimeout
	if unused {
		ch.conn = nil
	}
	ch.mu.Unlock()
	if unused && c != nil {
		c.CloseWithError(closeUnused, "no relay uses the link")
	}
}

// serveConn starts the goroutines that accept the other side's streams. Relays are
// opened only by the side that dialled.
func (m *Mesh) serveConn(c *conn, protocol string) {
	if !m.registerConn(c) {
		c.CloseWithError(closeShutdown, "this node stops")
		return
	}
	m.spawn(func() {
		<-c.Context().Done()
		m.unregisterConn(c)
		m.metrics.addLinkBytes(c)
	})
	m.spawn(func() { m.acceptStreams(c, protocol) })
	if protocol == controlProtocol {
		m.spawn(func() { m.acceptMessages(c) })
	}
}

func (m *Mesh) acceptStreams(c *conn, protocol string) {
	for {
		s, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		if protocol == relayProtocol {
			m.spawn(func() { m.serveRelay(c, s) })
		} else {
			m.spawn(func() { m.serveCall(c, s) })
		}
	}
}
