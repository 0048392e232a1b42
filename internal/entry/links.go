package entry

import (
	"context"
	"errors"
	"net"

	"chervilloom/internal/links"
	"chervilloom/internal/roster"
	"chervilloom/internal/tunnel"
	"chervilloom/internal/upstream"
)

// newLinkMonitor returns the monitor of this node's links to the endpoints.
func (n *Node) newLinkMonitor() *links.Monitor {
	return (&links.Monitor{
		Clock: n.Clock, Log: n.Log, Lateness: n.lateness, Dial: n.dialDirect, Listed: n.listedAddrs,
		OnAllLost: func() { n.tracker.ClearSuspicions() },
	}).Init(n.Registry)
}

// newDialer returns the dialer for connections to endpoints.
func (n *Node) newDialer() *links.Dialer {
	return (&links.Dialer{
		Clock: n.Clock, Monitor: n.links, Relay: tunnel.Dial,
		Peers: func() links.PeersByZone { return n.leaseCache.peersByZone(n.Settings.VM) },
	}).Init(n.Settings.Zone)
}

// newTunnelServer returns the server that connects other nodes to endpoints.
func (n *Node) newTunnelServer() *tunnel.Server {
	return (&tunnel.Server{
		Clock: n.Clock, Log: n.Log, Dial: n.dialForPeer, IsListed: n.isListedAddr, IsLeaving: n.leaving.Load,
		HasLinks: func() bool { return !n.links.AreAllLost() }, HasOtherLinks: n.links.HasOtherLinks, HasNoLink: n.links.IsConfirmedLost,
	}).Init(n.Registry)
}

// lacksLinks reports whether this node has lost its links to the endpoints and another node has
// some. It can't control the groups of a zone then.
func (n *Node) lacksLinks() bool { return n.links.AreAllLost() && n.dialer.KnowsPath() }

// isUsableIdle reports whether an idle connection to an endpoint may be used. Direct ones hang
// while the link is lost, and those through other nodes are given up once it is back.
func (n *Node) isUsableIdle(addr string, peer upstream.Peer) bool {
	if peer.IsDirect() {
		return !n.links.IsSilent(addr)
	}
	return n.links.IsLost(addr)
}

// dialForPeer opens a direct connection to an endpoint for another node and records whether the
// link to it works.
func (n *Node) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	started := n.Clock.Now()
	conn, err := n.dialDirect(ctx, addr)
	switch {
	case err == nil:
		n.links.RecordConnect(addr)
	case !errors.Is(ctx.Err(), context.Canceled):
		n.links.RecordFailure(links.Failure{Addr: addr, StartedAt: started, Hung: ctx.Err() != nil})
	}
	return conn, err
}

// dialDirect opens a TCP connection to an endpoint over this node's own link.
func (n *Node) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	if n.DialEndpoint != nil {
		return n.DialEndpoint(ctx, addr)
	}
	return upstream.DialTCP(ctx, addr)
}

// listedAddrs returns the addresses of the endpoints that take requests.
func (n *Node) listedAddrs() []string {
	var out []string
	n.roster.current.Load().ForEach(func(e *roster.Endpoint) {
		if e.TakesRequests() {
			out = append(out, e.Addr)
		}
	})
	return out
}

// isListedAddr reports whether an address is that of a listed endpoint.
func (n *Node) isListedAddr(addr string) bool {
	found := false
	n.roster.current.Load().ForEach(func(e *roster.Endpoint) { found = found || e.Addr == addr })
	return found
}

// checkLink has the link to an endpoint checked that may have stalled or broken a connection;
// done is called with the result.
func (n *Node) checkLink(id roster.ID, done func(links.Finding)) {
	if e := n.roster.current.Load().Get(id); e != nil {
		n.links.Check(e.Addr, done)
	}
}
