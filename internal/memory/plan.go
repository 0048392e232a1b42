// Package memory divides a node's memory among its uses and bounds what clients make it hold.
package memory

const (
	// programBytes are the program's own pages.
	programBytes = 20 << 20
	// stateShare is the part for what the node knows of the fleet, whatever clients do.
	stateShare = 1.0 / 8
	// heldShare is the part for the heads and bodies of requests and responses.
	heldShare = 1.0 / 4
	// connShare and pendingShare are the parts of the rest for open connections and for those of
	// clients that wait to be served. peerShare of the open ones are for other nodes. What is left is
	// for garbage and for what the runtime can't use.
	connShare    = 0.505
	pendingShare = 0.137
	peerShare    = 1.0 / 3
	// ProbeConns is the number of open connections at each of the listeners for probes and metrics.
	ProbeConns = 32

	// connHeap is the memory of an open connection with a request: stacks, buffers, state.
	connHeap = 24 << 10
	// ReceiveBuffer is the receive buffer of a connection as it is set. The kernel holds up to
	// receiveBytes of payload in one. A client's request takes two: the endpoint's too.
	ReceiveBuffer = 8 << 10
	receiveBytes  = 12 << 10

	// minPending is how many connections may wait at any node.
	minPending = 32
	// queuedPerPending is how many connections may be in the kernel's queue for each that waits in the
	// process: that queue has to last while the process stands still.
	queuedPerPending = 7
)

// Plan divides a node's memory.
type Plan struct {
	Total int64
	// Runtime is the soft limit for the runtime: heap, stacks and garbage.
	Runtime int64
	// Held is for the heads and bodies of requests and responses, in bytes.
	Held int64
	// Conns is the number of open connections of clients.
	Conns int
	// Peers is the number of open connections of other nodes.
	Peers int
	// Pending is the number of connections of clients that wait to be served in the process, Queued
	// that in the kernel's queue.
	Pending, Queued int
}

// Divide returns the plan for the given number of bytes; for 0, which means that the memory isn't
// known, the zero Plan.
func Divide(total int64) Plan {
	if total <= 0 {
		return Plan{}
	}
	all := float64(total)
	rest := max(0, all*(1-stateShare-heldShare)-programBytes)
	conns := max(1, connShare*rest/(connHeap+2*receiveBytes)-2*ProbeConns)
	p := Plan{
		Total: total, Held: int64(heldShare * all),
		Conns:   max(1, int((1-peerShare)*conns)),
		Peers:   max(1, int(peerShare*conns)),
		Pending: max(minPending, int(pendingShare*rest/(1+queuedPerPending)/receiveBytes)),
	}
	p.Queued = queuedPerPending * p.Pending
	p.Runtime = total - programBytes - p.unread()
	return p
}

// unread returns the most bytes that connections hold in the kernel, unread.
func (p Plan) unread() int64 { return int64(2*p.open()+p.Pending+p.Queued) * receiveBytes }

// open returns the most open connections at all listeners.
func (p Plan) open() int { return p.Conns + p.Peers + 2*ProbeConns }

// live returns the most bytes that the process needs beside its program and garbage.
func (p Plan) live() int64 {
	return int64(stateShare*float64(p.Total)) + p.Held + int64(p.open())*connHeap
}
