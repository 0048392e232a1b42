// Package cut proves what holds when the nodes' links to each other are cut,
// lossy or slow: each node's peer listener stands behind a relay of datagrams
// (internal/standin/netfault) whose address the node advertises. Nodes and
// stand-ins are processes. It holds tests only; docs/PROOFS.md lists them.
package cut
