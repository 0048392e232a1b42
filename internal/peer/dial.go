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

// backOff returns the delay after another failed dial, with decorrelated jitter:
// it is between the base and three times the last delay, so that nodes which lost
// the same peer don't redial it simultaneously. draw is uniform in [0, 1).
func backOff(previous time.Duration, draw float64) time.Duration {
	upper := min(max(backOffGrowth*previous, backOffGrowth*backOffBase), backOffMax)
	return backOffBase + time.Duration(draw*float64(upper-backOffBase))
}

func randomFraction() float64 { return rand.Float64() }

// dial connects to the VM of the link and exchanges Hello frames.
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
		return nil, fmt.Errorf("peer: cannot connect to %s at %s: %w", l.vm, addr, err)
	}
	return c, nil
}

// dialAddr connects to the address. If vm is empty, any VM of the deployment is
// accepted there.
func (m *Mesh) dialAddr(ctx context.Context, vm fleet.VM, protocol, addr string) (*conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	q, err := m.quic.Dial(ctx, to, m.opts.Identity.clientTLS(vm, protocol), m.quicConfig(protocol))
	if err != nil {
		return nil, err
	}
	// In TLS 1.3 the handshake completes for the dialler before the other side has
	// verified the dialler's certificate; the other side's Hello shows that it
	// was accepted. Without waiting for it a rejected relay would end as unknown.
	c, err := m.exchangeHello(ctx, q)
	if err != nil {
		q.CloseWithError(closeRefused, err.Error())
		return nil, err
	}
	m.serveConn(c, protocol)
	return c, nil
}

// acceptConn serves a connection that a peer dialled.
func (m *Mesh) acceptConn(q *quic.Conn) {
	state := q.ConnectionState().TLS
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.exchangeHello(ctx, q)
	if err != nil {
		q.CloseWithError(closeRefused, err.Error())
		m.opts.Log.Warn("incoming peer connection rejected", "vm", certificateVM(q), "addr", q.RemoteAddr().String(), "error", err)
		return
	}
	if state.NegotiatedProtocol == controlProtocol {
		m.link(c.node.VM).control.adopt(c)
	}
	m.serveConn(c, state.NegotiatedProtocol)
}

// certificateVM returns the VM named in the other side's certificate, which was
// verified in the handshake.
func certificateVM(q *quic.Conn) fleet.VM {
	return fleet.VM(q.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
}

// exchangeHello sends this node's Hello and reads the other's.
func (m *Mesh) exchangeHello(ctx context.Context, q *quic.Conn) (*conn, error) {
	out, err := q.OpenUniStream()
	if err != nil {
		return nil, err
	}
	hello := helloFrame{Version: protocolVersion, Node: m.opts.Self, Zone: m.opts.Zone}
	if err := writeFrame(out, frameHello, hello, maxHelloBytes); err != nil {
		return nil, err
	}
	closeWrite(out)
	// Streams are accepted in the order in which the other side opened them, so
	// the first one carries the Hello.
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
	if vm := certificateVM(q); other.Version != protocolVersion || other.Node.VM != vm {
		return nil, fmt.Errorf("%w: %s speaks version %d for %q", errProtocol, vm, other.Version, other.Node.VM)
	}
	return &conn{Conn: q, node: other.Node, zone: other.Zone, protocol: q.ConnectionState().TLS.NegotiatedProtocol}, nil
}
