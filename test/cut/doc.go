// Package cut contains end-to-end tests in which the links between nodes are
// blocked, lossy or slow. Each node's peer listener is behind a datagram relay
// (internal/standin/netfault) whose address the node advertises. Nodes and
// stand-ins run as processes. The package contains only tests; docs/PROOFS.md
// lists them.
package cut
