package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"chervilloom/internal/fleet"
)

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
	q, err := m.quic.Dial(ctx, to, m.opts.Identity.clientTLS(vm, protocol), m.quicConfig(protocol))
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
	endWrites(out)
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
	return &conn{Conn: q, node: other.Node, zone: other.Zone, protocol: q.ConnectionState().TLS.NegotiatedProtocol}, nil
}
