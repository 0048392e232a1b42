// Package tunnel connects a node to an endpoint through another node. The connecting node sends
// an HTTP CONNECT request with the endpoint's address; once the other node has connected to it,
// both sides exchange bytes unchanged. Nothing of a request is sent before, so that a tunnel that
// could not be opened leaves a request that has not run, and everything that is decided about a
// request stays with the node that took it from the client.
package tunnel

// headerReason is the response header that names why a tunnel was not opened.
const headerReason = "Chervilloom-Tunnel-Reason"

// reason is why a tunnel was not opened.
type reason string

// The reasons.
const (
	reasonRefused     reason = "endpoint-refuses" // the endpoint refuses connections
	reasonUnreachable reason = "endpoint-silent"  // the endpoint doesn't answer, others do
	reasonNoLink      reason = "no-link"          // this node has no link to this endpoint, which is alive
	reasonNoLinks     reason = "no-links"         // this node has no links to endpoints either
	reasonFull        reason = "full"             // this node has as many tunnels as it may
	reasonLeaving     reason = "leaving"          // this node shuts down
	reasonUnknown     reason = "unknown-endpoint" // the address is not that of a listed endpoint
)
