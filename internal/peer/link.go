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

// conn is a connection whose two sides know each other.
type conn struct {
	*quic.Conn
	node     fleet.Node
	zone     fleet.AvailabilityZone
	protocol string

	countMu               sync.Mutex
	countedOut, countedIn uint64 // bytes that the metrics hold already
}

func (c *conn) alive() bool { return c.Context().Err() == nil }

// link is what this node has towards one other VM.
type link struct {
	mesh    *Mesh
	vm      fleet.VM
	control lane
	relay   lane
	outbox  *outbox

	mu   sync.Mutex
	addr string // empty: unknown
}

func newLink(m *Mesh, vm fleet.VM) *link {
	l := &link{mesh: m, vm: vm}
	l.control = lane{link: l, protocol: controlLane}
	l.relay = lane{link: l, protocol: relayLane}
	l.outbox = newOutbox(l)
	return l
}

func (l *link) setAddr(addr string) {
	l.mu.Lock()
	changed := l.addr != addr
	l.addr = addr
	l.mu.Unlock()
	if changed {
		l.control.retryNow()
		l.relay.retryNow()
	}
}

// learnAddr sets the address unless one is known.
func (l *link) learnAddr(addr string) {
	if l.address() == "" {
		l.setAddr(addr)
	}
}

func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

func (l *link) close(code quic.ApplicationErrorCode, why string) {
	l.outbox.close()
	l.control.close(code, why)
	l.relay.close(code, why)
}

// lane is one of the link's two connections.
type lane struct {
	link     *link
	protocol string

	mu      sync.Mutex
	conn    *conn
	dialing *dialing
	wait    time.Duration // back-off after the newest failure
	retryAt clock.Instant
	cause   error // of the newest failure
	users   int   // relays that use conn
	used    clock.Instant
	closed  bool
}

// dialing is a dial in progress, shared by all who wait for it.
type dialing struct {
	began time.Time
	done  chan struct{}
	conn  *conn
	err   error
}

var (
	errNoAddress = errors.New("peer: the VM's address is not known; check that it is in the platform's list or among the seeds")
	errBackOff   = errors.New("peer: the last dial failed and the next one is not due")
	errClosed    = errors.New("peer: the link is closed")
	errSlowDial  = errors.New("peer: the other node doesn't answer the dial")
)

// get returns the live connection or dials one. While the back-off after a
// failed dial lasts it fails at once, and so it does when a dial that others
// began has already run for longer than patience.
func (la *lane) get(ctx context.Context, patience time.Duration) (*conn, error) {
	la.mu.Lock()
	if la.conn != nil && la.conn.alive() {
		c := la.conn
		la.mu.Unlock()
		return c, nil
	}
	d, err := la.dialLocked()
	la.mu.Unlock()
	if err != nil {
		return nil, err
	}
	t := time.NewTimer(patience - time.Since(d.began))
	defer t.Stop()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.C:
		return nil, errSlowDial
	}
}

func (la *lane) dialLocked() (*dialing, error) {
	if la.closed || la.link.mesh.ctx.Err() != nil {
		return nil, errClosed
	}
	if la.dialing != nil {
		return la.dialing, nil
	}
	if la.link.mesh.opts.Clock.Now().Before(la.retryAt) {
		return nil, fmt.Errorf("%w: %w", errBackOff, la.cause)
	}
	d := &dialing{began: time.Now(), done: make(chan struct{})}
	if !la.link.mesh.spawn(func() { la.dial(d) }) {
		return nil, errClosed
	}
	la.dialing = d
	return d, nil
}

func (la *lane) dial(d *dialing) {
	m := la.link.mesh
	d.conn, d.err = m.dial(la.link, la.protocol)
	la.mu.Lock()
	la.dialing = nil
	if d.err != nil {
		la.cause = d.err
		la.wait = backOff(la.wait, draw())
		la.retryAt = m.opts.Clock.Now().Add(la.wait)
	} else {
		la.wait, la.retryAt, la.cause = 0, 0, nil
		la.conn = d.conn
		la.used = m.opts.Clock.Now()
	}
	closed := la.closed
	la.mu.Unlock()
	if d.err == nil && closed {
		d.conn.CloseWithError(closeShutdown, "the link is closed")
	}
	close(d.done)
}

// adopt takes a connection that the peer dialled, unless there is a live one
// with the same or a later life of the peer. A connection to an earlier life is
// closed: that process is gone and its answers will not come.
func (la *lane) adopt(c *conn) {
	la.mu.Lock()
	old := la.conn
	switch {
	case old == nil || !old.alive():
		la.conn = c
	case c.node.Incarnation > old.node.Incarnation:
		la.conn = c
		defer old.CloseWithError(closeReplaced, "the process was restarted")
	}
	la.wait, la.retryAt, la.cause = 0, 0, nil
	la.mu.Unlock()
}

func (la *lane) live() bool {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.conn != nil && la.conn.alive()
}

func (la *lane) retryNow() {
	la.mu.Lock()
	defer la.mu.Unlock()
	la.wait, la.retryAt, la.cause = 0, 0, nil
}

func (la *lane) close(code quic.ApplicationErrorCode, why string) {
	la.mu.Lock()
	c := la.conn
	la.conn, la.closed = nil, true
	la.mu.Unlock()
	if c != nil {
		c.CloseWithError(code, why)
	}
}

// relayDial is how many times Options.Ready a relay waits for a new connection: a
// handshake takes more round trips than Ready, and each may lose a packet.
const relayDial = 2

// acquire is get for a relay: the connection isn't closed as unused before
// release.
func (la *lane) acquire(ctx context.Context) (*conn, error) {
	la.mu.Lock()
	la.users++
	la.mu.Unlock()
	c, err := la.get(ctx, relayDial*la.link.mesh.opts.Ready)
	if err != nil {
		la.release()
	}
	return c, err
}

func (la *lane) release() {
	la.mu.Lock()
	defer la.mu.Unlock()
	la.users--
	la.used = la.link.mesh.opts.Clock.Now()
}

// closeUnused closes the connection when no relay used it of late. Only this
// node opens relays on a connection that it dialled, so none can be on its way
// when users is 0.
func (la *lane) closeUnused(now clock.Instant) {
	la.mu.Lock()
	c := la.conn
	unused := la.users == 0 && now.Sub(la.used) >= relayUnused
	if unused {
		la.conn = nil
	}
	la.mu.Unlock()
	if unused && c != nil {
		c.CloseWithError(closeUnused, "no relay uses the link")
	}
}

// serve starts the goroutines that take what the other side opens. Relays come
// only from the side that dialled.
func (m *Mesh) serve(c *conn, protocol string) {
	if !m.keep(c) {
		c.CloseWithError(closeShutdown, "this node stops")
		return
	}
	m.spawn(func() {
		<-c.Context().Done()
		m.drop(c)
		m.metrics.countBytes(c)
	})
	m.spawn(func() { m.acceptStreams(c, protocol) })
	if protocol == controlLane {
		m.spawn(func() { m.acceptMessages(c) })
	}
}

func (m *Mesh) acceptStreams(c *conn, protocol string) {
	for {
		s, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		if protocol == relayLane {
			m.spawn(func() { m.serveRelay(c, s) })
		} else {
			m.spawn(func() { m.serveCall(c, s) })
		}
	}
}
