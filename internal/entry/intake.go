package entry

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/intake"
	"chervilloom/internal/memory"
)

const (
	// connsPerRequest is the number of descriptors that a client's connection takes: its own and
	// that of the endpoint's.
	connsPerRequest = 2
	// reservedDescriptors are those for files and connections to other nodes and the store.
	reservedDescriptors = 500
	// probeTimeout bounds a probe or a poll of another node, from its head to its response.
	probeTimeout = 10 * time.Second
)

// defaultLimits apply where the operator's configuration has none.
var defaultLimits = catalog.Limits{
	HeaderBytes: intake.DefaultLimits.HeaderBytes, HeaderTimeout: intake.DefaultLimits.HeaderTimeout, IdleTimeout: intake.DefaultLimits.IdleTimeout,
}

// newIntake returns the listener for clients on a listening socket.
func (n *Node) newIntake(front *net.TCPListener) *intake.Listener {
	return (&intake.Listener{
		TCPListener: front, Clock: n.Clock, Log: n.Log, MaxPending: n.plan.Pending,
		ConnLimiter: intake.ConnLimiter{Name: "clients", MaxOpen: n.maxOpenConns(), Limits: n.clientLimits, Budget: &n.forwarder.Memory},
	}).Init(n.Registry)
}

// clientLimits returns the limits for the heads and connections of clients that are in force.
func (n *Node) clientLimits() intake.Limits {
	var set catalog.Limits
	if c := n.config.current.Load(); c != nil {
		set = c.Limits
	}
	set = set.Or(defaultLimits)
	return intake.Limits{HeaderBytes: set.HeaderBytes, HeaderTimeout: set.HeaderTimeout, IdleTimeout: set.IdleTimeout}
}

// listenBounded opens a listener for others than clients, with at most maxOpen connections; 0: any
// number.
func (n *Node) listenBounded(ctx context.Context, name, addr string, maxOpen int) (*intake.BoundedListener, error) {
	ln, err := intake.Listen(ctx, addr, maxOpen)
	if err != nil {
		return nil, err
	}
	l := &intake.BoundedListener{TCPListener: ln, ConnLimiter: intake.ConnLimiter{Name: name, MaxOpen: maxOpen, Budget: &n.forwarder.Memory}}
	return l.Init(n.Clock, n.Log, n.Registry), nil
}

// newServer returns a server for a listener of package intake, which bounds heads and idle
// connections.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ConnState: intake.TrackState,
		DisableGeneralOptionsHandler: true, // net/http would answer "OPTIONS *" with a success of its own
		ReadHeaderTimeout:            intake.ServerTimeout, IdleTimeout: intake.ServerTimeout, MaxHeaderBytes: intake.ServerHeaderBytes,
	}
}

// probeConns returns the number of connections that a listener for probes may have; 0: any number.
func (n *Node) probeConns() int {
	if n.plan == (memory.Plan{}) {
		return 0
	}
	return memory.ProbeConns
}

// evictForMemory closes connections of clients whose stalled requests hold the missing memory.
func (n *Node) evictForMemory(missing int64) {
	if in := n.intake.Load(); in != nil {
		in.EvictForMemory(missing)
	}
}

// maxOpenConns returns how many connections of clients the node's memory and descriptors allow;
// 0: unknown.
func (n *Node) maxOpenConns() int {
	limit := n.plan.Conns
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
