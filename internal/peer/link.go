package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// conn is a connection whose two sides know each other.
type conn struct {
	*quic.Conn
	node fleet.Node
	zone fleet.AvailabilityZone
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
	done chan struct{}
	conn *conn
	err  error
}

var (
	errNoAddress = errors.New("peer: the VM's address is not known; check that it is in the platform's list or among the seeds")
	errBackOff   = errors.New("peer: the last dial failed and the next one is not due")
	errClosed    = errors.New("peer: the link is closed")
)

// get returns the live connection or dials one. While the back-off after a
// failed dial lasts it fails at once.
func (la *lane) get(ctx context.Context) (*conn, error) {
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
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
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
	d := &dialing{done: make(chan struct{})}
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

// acquire is get for a relay: the connection isn't closed as unused before
// release.
func (la *lane) acquire(ctx context.Context) (*conn, error) {
	la.mu.Lock()
	la.users++
	la.mu.Unlock()
	c, err := la.get(ctx)
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

const (
	backOffBase   = 50 * time.Millisecond
	backOffMax    = 5 * time.Second
	backOffGrowth = 3
)

// backOff returns how long to wait after one more failed dial. draw is uniform
// in [0, 1). The wait is drawn between the base and three times the last one,
// so that nodes that lost the same peer don't dial it in step when it is back.
func backOff(last time.Duration, draw float64) time.Duration {
	top := min(max(backOffGrowth*last, backOffGrowth*backOffBase), backOffMax)
	return backOffBase + time.Duration(draw*float64(top-backOffBase))
}

func draw() float64 { return rand.Float64() }

// dial connects to the link's VM and exchanges Hellos.
func (m *Mesh) dial(l *link, protocol string) (*conn, error) {
	addr := l.address()
	if addr == "" {
		return nil, errNoAddress
	}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.dialAddr(ctx, l.vm, protocol, addr)
	if err != nil {
		m.metrics.dialFailures.WithLabelValues(laneLabel(protocol)).Inc()
		return nil, fmt.Errorf("peer: %s at %s can't be reached: %w", l.vm, addr, err)
	}
	return c, nil
}

// dialAddr connects to the address. An empty VM stands for whoever of the
// deployment answers there.
func (m *Mesh) dialAddr(ctx context.Context, vm fleet.VM, protocol, addr string) (*conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	q, err := m.quic.Dial(ctx, to, m.opts.Identity.clientTLS(vm, protocol), quicConfig(protocol))
	if err != nil {
		return nil, err
	}
	// The handshake is over for the dialler before the other side has looked at
	// the dialler's certificate. Its Hello is the proof that it let us in;
	// without waiting for it a refused relay would end as unknown.
	c, err := m.greet(ctx, q)
	if err != nil {
		q.CloseWithError(closeRefused, err.Error())
		return nil, err
	}
	m.serve(c, protocol)
	return c, nil
}

// admit takes a connection that a peer dialled.
func (m *Mesh) admit(q *quic.Conn) {
	state := q.ConnectionState().TLS
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.greet(ctx, q)
	if err != nil {
		q.CloseWithError(closeRefused, err.Error())
		m.opts.Log.Warn("peer refused", "vm", certifiedVM(q), "addr", q.RemoteAddr().String(), "error", err)
		return
	}
	if state.NegotiatedProtocol == controlLane {
		m.link(c.node.VM).control.adopt(c)
	}
	m.serve(c, state.NegotiatedProtocol)
}

// certifiedVM returns the VM that the other side's certificate names. The
// certificate was verified in the handshake.
func certifiedVM(q *quic.Conn) fleet.VM {
	return fleet.VM(q.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
}

// greet sends this node's Hello and reads the other's.
func (m *Mesh) greet(ctx context.Context, q *quic.Conn) (*conn, error) {
	out, err := q.OpenUniStream()
	if err != nil {
		return nil, err
	}
	hello := helloFrame{Version: protocolVersion, Node: m.opts.Self, Zone: m.opts.Zone}
	if err := writeFrame(out, frameHello, hello, maxHelloBytes); err != nil {
		return nil, err
	}
	if err := out.Close(); err != nil {
		return nil, err
	}
	// Streams are accepted in the order in which the other side opened them, so
	// the first is the Hello.
	in, err := q.AcceptUniStream(ctx)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		in.SetReadDeadline(deadline)
	}
	var other helloFrame
	r := frameReader{r: in}
	if err := r.expect(frameHello, &other, maxHelloBytes); err != nil {
		return nil, err
	}
	in.CancelRead(0)
	if vm := certifiedVM(q); other.Version != protocolVersion || other.Node.VM != vm {
		return nil, fmt.Errorf("%w: %s speaks version %d for %q", errFrame, vm, other.Version, other.Node.VM)
	}
	return &conn{Conn: q, node: other.Node, zone: other.Zone}, nil
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
		m.metrics.countBytes(c, protocol)
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
