package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"

	"chervilloom/internal/clock"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
)

// ALPN protocols of the two connections between two nodes.
const (
	controlProtocol = "chervilloom-control/1" // messages and calls
	relayProtocol   = "chervilloom-relay/1"   // relayed requests
)

var protocols = [...]string{controlProtocol, relayProtocol}

// Application error codes for closing connections and resetting streams.
const (
	closeShutdown quic.ApplicationErrorCode = iota + 1
	closeRefused
	closeUnused
	closeReplaced
)

const (
	resetCancelled quic.StreamErrorCode = iota + 1
	resetRefused
)

const (
	// controlIdleTimeout is long because in a large fleet each control connection is
	// used once in several minutes, and a handshake costs as much as hundreds of
	// pings. Failure detection is done by the membership package.
	controlIdleTimeout   = 15 * time.Minute
	defaultIdleTimeout   = 6 * time.Second
	keepAlivesPerTimeout = 3 // keep-alives sent per relay idle timeout
	defaultReadyTimeout  = time.Second
	defaultMaxRelays     = 4096
	// relayUnusedTimeout is how long a relay connection without relays stays open.
	relayUnusedTimeout = time.Minute

	handshakeTimeout = 3 * time.Second
	dialTimeout      = 3 * time.Second

	maxUniStreams       = 256
	streamWindow        = 256 << 10
	maxStreamWindow     = 1 << 20
	connWindow          = 16 << 20
	maxConnWindow       = 256 << 20
	maxHops             = 3
	maintenanceInterval = 10 * time.Second
	finWaitTimeout      = 5 * time.Second
	requestReadTimeout  = 30 * time.Second // to receive a whole relayed request
)

// Options configure a Mesh. Self, Listen, Identity and Log are required.
type Options struct {
	Self       fleet.Node
	Zone       fleet.AvailabilityZone
	Listen     string // ip:port of the UDP socket; port 0 selects a free port
	Identity   Identity
	Handler    filter.Handler // serves relayed requests; can be set later with SetHandler
	Clock      clock.Clock    // default clock.Boot
	Log        *slog.Logger
	Registerer prometheus.Registerer // nil: metrics are counted but not exposed
	// RelayIdleTimeout is the idle timeout of relay connections: relays fail when nothing
	// was received for this long. QUIC answers keep-alives whatever the peer's
	// handlers do, so a timeout means a dead, partitioned or paused peer and not
	// a slow answer. Default 6 s.
	RelayIdleTimeout time.Duration
	// ReadyTimeout is the timeout for the peer to send Ready for a relayed request. The
	// dial of a relay connection may take twice as long. Default 1 s.
	ReadyTimeout time.Duration
	// MaxRelays limits the concurrent requests that one peer relays to this node;
	// further ones are refused as not run. Default 4096.
	MaxRelays int
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	o.RelayIdleTimeout = cmp.Or(o.RelayIdleTimeout, defaultIdleTimeout)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, defaultReadyTimeout)
	o.MaxRelays = cmp.Or(o.MaxRelays, defaultMaxRelays)
}

// Peer is the address of another node.
type Peer struct {
	VM   fleet.VM
	Zone fleet.AvailabilityZone
	Addr string // ip:port
}

// Mesh manages the links of one node to all others. Its methods are safe for
// concurrent use.
type Mesh struct {
	opts           Options
	socket         *net.UDPConn
	quic           *quic.Transport
	listener       *quic.Listener
	metrics        *metrics
	handler        atomic.Pointer[filter.Handler]
	relaysInFlight relayTracker

	ctx  context.Context // cancelled when Run returns
	stop context.CancelFunc
	wg   sync.WaitGroup

	closeMu sync.Mutex
	closing bool // no goroutine may be started and no connection registered
	conns   map[*conn]struct{}

	mu     sync.Mutex
	links  map[fleet.VM]*link
	topics map[string]*topic
	depths map[string]int
	calls  map[string]callHandler

	seeds map[string]*seed // by address
}

// New returns a Mesh with a bound socket. Incoming connections are served by Run.
func New(o Options) (*Mesh, error) {
	if o.Identity.vm != o.Self.VM {
		return nil, fmt.Errorf("peer: the certificate is for VM %q, but this VM is %q; issue a certificate for this VM", o.Identity.vm, o.Self.VM)
	}
	o.setDefaults()
	addr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer: %q is not an ip:port address; correct the peer address in the settings: %w", o.Listen, err)
	}
	m := &Mesh{
		opts: o, links: map[fleet.VM]*link{}, topics: map[string]*topic{},
		depths: map[string]int{}, calls: map[string]callHandler{}, conns: map[*conn]struct{}{},
		seeds: map[string]*seed{},
	}
	if m.metrics, err = newMetrics(o.Registerer); err != nil {
		return nil, err
	}
	if m.socket, err = net.ListenUDP("udp", addr); err != nil {
		return nil, fmt.Errorf("peer: %s can't be bound; free the port or change it in the settings: %w", o.Listen, err)
	}
	reset := o.Identity.resetKey
	m.quic = &quic.Transport{Conn: m.socket, StatelessResetKey: &reset}
	if m.listener, err = m.quic.Listen(o.Identity.serverTLS(), m.quicConfig(controlProtocol)); err != nil {
		m.socket.Close()
		return nil, fmt.Errorf("peer: cannot listen for QUIC on %s: %w", o.Listen, err)
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	if o.Handler != nil {
		m.SetHandler(o.Handler)
	}
	return m, nil
}

// quicConfig returns the limits of a connection. The effective idle timeout is
// the smaller of the two sides' values, so the protocol that the dialler chose
// determines it. The maximum stream window bounds the memory that one slow
// caller occupies; the maximum connection window is 256 times as large, so that
// a few slow callers don't block the other answers.
func (m *Mesh) quicConfig(protocol string) *quic.Config {
	c := &quic.Config{
		Versions:                       []quic.Version{quic.Version1},
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 controlIdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             int64(m.opts.MaxRelays),
		MaxIncomingUniStreams:          maxUniStreams,
	}
	if protocol == relayProtocol {
		c.MaxIdleTimeout, c.KeepAlivePeriod = m.opts.RelayIdleTimeout, m.opts.RelayIdleTimeout/keepAlivesPerTimeout
	}
	return c
}

// Addr returns the bound ip:port.
func (m *Mesh) Addr() string { return m.socket.LocalAddr().String() }

// Self returns this node.
func (m *Mesh) Self() fleet.Node { return m.opts.Self }

// SetHandler sets the handler of relayed requests. Until then they are refused
// as not run.
func (m *Mesh) SetHandler(h filter.Handler) { m.handler.Store(&h) }

// Run accepts and serves connections until ctx is cancelled, then closes the mesh.
func (m *Mesh) Run(ctx context.Context) error {
	defer m.Close()
	unhook := context.AfterFunc(ctx, m.stop)
	defer unhook()
	m.spawn(m.maintain)
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			// Only Close closes the socket, and Accept may see this before m.ctx is
			// cancelled.
			if m.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("peer: the socket failed: %w", err)
		}
		m.spawn(func() { m.acceptConn(conn) })
	}
}

// Close closes all links and waits for their goroutines. Run calls it.
func (m *Mesh) Close() error {
	m.stop()
	for _, l := range m.snapshotLinks() {
		l.close(closeShutdown, "this node stops")
	}
	// Accepted relay connections belong to no link. If they were not closed here,
	// the peer would notice only after its idle timeout.
	for _, c := range m.beginClose() {
		c.CloseWithError(closeShutdown, "this node stops")
	}
	m.listener.Close()
	err := m.quic.Close()
	m.socket.Close()
	m.wg.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for. It reports false, without
// running f, once Close was called.
func (m *Mesh) spawn(f func()) bool {
	m.closeMu.Lock()
	defer m.closeMu.Unlock()
	if m.closing {
		return false
	}
	m.wg.Go(f)
	return true
}

// registerConn registers the connection, or reports false if the mesh is closing.
func (m *Mesh) registerConn(c *conn) bool {
	m.closeMu.Lock()
	defer m.closeMu.Unlock()
	if m.closing {
		return false
	}
	m.conns[c] = struct{}{}
	return true
}

func (m *Mesh) unregisterConn(c *conn) {
	m.closeMu.Lock()
	defer m.closeMu.Unlock()
	delete(m.conns, c)
}

// updateByteCounters updates the byte counters of all open connections.
func (m *Mesh) updateByteCounters() {
	m.closeMu.Lock()
	live := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		live = append(live, c)
	}
	m.closeMu.Unlock()
	for _, c := range live {
		m.metrics.addLinkBytes(c)
	}
}

// beginClose prevents new goroutines and connections and returns the connections that
// are still open.
func (m *Mesh) beginClose() []*conn {
	m.closeMu.Lock()
	defer m.closeMu.Unlock()
	m.closing = true
	out := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		out = append(out, c)
	}
	return out
}

// Drain refuses new relayed requests as not run and waits until the relays in
// flight in both directions have finished, or ctx ends. An incoming relay is
// finished when the other node has received the whole answer, so Run can be
// stopped afterwards.
func (m *Mesh) Drain(ctx context.Context) error {
	m.relaysInFlight.drain()
	if err := m.relaysInFlight.wait(ctx); err != nil {
		return fmt.Errorf("peer: relayed requests are still in flight; allow more time for the shutdown: %w", err)
	}
	return nil
}

// SetPeers sets the addresses of the given VMs. VMs that are not in the list
// keep their address. Open connections stay; a new address applies to the next
// dial.
func (m *Mesh) SetPeers(peers []Peer) {
	for _, p := range peers {
		m.SetPeerAddr(p.VM, p.Addr)
	}
}

// SetPeerAddr sets the address of one VM; see SetPeers.
func (m *Mesh) SetPeerAddr(vm fleet.VM, addr string) {
	if vm == m.opts.Self.VM || addr == "" {
		return
	}
	m.link(vm).setAddr(addr)
}

// RemovePeer closes the link to the VM and discards its address.
func (m *Mesh) RemovePeer(vm fleet.VM) {
	m.mu.Lock()
	l := m.links[vm]
	delete(m.links, vm)
	m.mu.Unlock()
	if l != nil {
		l.close(closeReplaced, "the VM is forgotten")
	}
}

// link returns the link to the VM and creates it on first use.
func (m *Mesh) link(vm fleet.VM) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[vm]
	if l == nil {
		l = newLink(m, vm)
		m.links[vm] = l
	}
	return l
}

func (m *Mesh) snapshotLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		out = append(out, l)
	}
	return out
}

// maintain periodically updates the byte counters and closes unused relay
// connections, whose keep-alives would add up in a large fleet.
func (m *Mesh) maintain() {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
			m.updateByteCounters()
			now := m.opts.Clock.Now()
			for _, l := range m.snapshotLinks() {
				l.relay.closeUnused(now)
			}
		}
	}
}
