package entry

import (
	"context"
	"errors"
	"net"

	"chervilloom/internal/links"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// newLinkMonitor returns the monitor of this node's links to the endpoints.
func (n *Node) newLinkMonitor() *links.Monitor {
	return (&links.Monitor{Clock: n.Clock, Log: n.Log, Dial: n.dialDirect, Listed: n.listedAddrs}).Init(n.Registry)
}

// dialEndpoint opens a connection to an endpoint and records whether the link to it works.
func (n *Node) dialEndpoint(ctx context.Context, addr string) (net.Conn, error) {
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

// checkLink has the link to an endpoint checked that may have stalled or broken a connection;
// done is called with the result.
func (n *Node) checkLink(id roster.ID, done func(hasLink bool)) {
	if e := n.roster.current.Load().Get(id); e != nil {
		n.links.Check(e.Addr, done)
	}
}
