package entry

import (
	"net"
	"syscall"

	"chervilloom/internal/intake"
)

const (
	// connMemory is the memory of an open connection of a client, in bytes: stack and buffers.
	connMemory = 20 << 10
	// connMemoryDivisor gives open connections a quarter of the memory.
	connMemoryDivisor = 4
	// connsPerRequest is the number of descriptors that a client's connection takes: its own and
	// that of the endpoint's.
	connsPerRequest = 2
	// reservedDescriptors are those for files and connections to other nodes and the store.
	reservedDescriptors = 500
)

// newIntake returns the listener for clients on a listening socket.
func (n *Node) newIntake(front *net.TCPListener) *intake.Listener {
	return (&intake.Listener{
		TCPListener: front, Clock: n.Clock, Log: n.Log, MaxOpen: n.maxOpenConns(),
	}).Init(n.Registry)
}

// maxOpenConns returns how many connections of clients the node's memory and descriptors allow;
// 0: unknown.
func (n *Node) maxOpenConns() int {
	limit := int(n.Settings.Memory / connMemoryDivisor / connMemory)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		n.Log.Warn("limit of descriptors not read; connections are bounded by memory alone", "err", err)
		return limit
	}
	const unlimited = 1 << 20
	if files.Cur >= unlimited {
		return limit
	}
	byFiles := max(1, (int(files.Cur)-reservedDescriptors)/connsPerRequest)
	if limit == 0 {
		return byFiles
	}
	return min(limit, byFiles)
}
