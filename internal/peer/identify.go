package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"

	"chervilloom/internal/fleet"
)

// Identify asks who listens at addr (ip:port), for an address whose VM is not
// known, such as a seed of the settings. The other side must belong to the
// deployment; the connection then serves as the link to its VM.
func (m *Mesh) Identify(ctx context.Context, addr string) (Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return Peer{}, fmt.Errorf("peer: %q is no ip:port; correct the seeds in the settings: %w", addr, err)
	}
	q, err := m.quic.Dial(ctx, to, m.opts.Identity.anyTLS(controlLane), quicConfig(controlLane))
	if err != nil {
		return Peer{}, fmt.Errorf("peer: nobody of this deployment answers at %s: %w", addr, err)
	}
	vm := fleet.VM(q.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
	c, err := m.greet(ctx, q, vm)
	if err != nil {
		q.CloseWithError(closeRefused, err.Error())
		return Peer{}, err
	}
	m.Learn(vm, addr)
	m.link(vm).control.adopt(c)
	m.serve(c, controlLane)
	return Peer{VM: vm, Zone: c.zone, Addr: addr}, nil
}

// anyTLS is for a connection to whichever VM of the deployment answers.
func (id Identity) anyTLS(protocol string) *tls.Config {
	c := id.baseTLS(protocol)
	c.VerifyConnection = func(s tls.ConnectionState) error {
		vm, err := id.verify(s, x509.ExtKeyUsageServerAuth)
		if err == nil && vm == id.vm {
			return fmt.Errorf("peer: this VM %q itself answers; leave it out of its own seeds", vm)
		}
		return err
	}
	return c
}
