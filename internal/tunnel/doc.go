// Package tunnel connects a node to an endpoint through another node. The connecting node sends
// an HTTP CONNECT request with the endpoint's address; once the other node has connected to it,
// both sides exchange bytes. Nothing of a request is sent before, so that a tunnel that could not
// be opened leaves a request that has not run, and everything that is decided about a request
// stays with the node that took it from the client.
//
// A response may have no length and end with its connection, and the kernel closes the sockets of a
// process that has ended properly. The bytes from the endpoint are therefore sent in frames, with
// one that says how the endpoint's connection ended: without it a response is cut off. Both nodes
// name frames in their headers. A node whose program knows none gets the bytes alone.
package tunnel

// Headers of a request for a tunnel and of its response.
const (
	headerReason = "Chervilloom-Tunnel-Reason" // why a tunnel was not opened
	headerFrames = "Chervilloom-Tunnel-Frames" // version of the frames that the sender understands
	framesV1     = "1"
)

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
