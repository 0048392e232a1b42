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

// The protocols of the two connections between two nodes, negotiated by ALPN.
const (
	controlLane = "chervilloom-control/1" // messages and calls
	relayLane   = "chervilloom-relay/1"   // relayed requests
)

var lanes = [...]string{controlLane, relayLane}

// Codes with which a connection or stream is closed.
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
	// controlIdle is long: the control connections of a large fleet are used
	// once in minutes each, and a handshake costs as much as hundreds of pings.
	// Whether the peer lives is membership's to say.
	controlIdle      = 15 * time.Minute
	defaultSilence   = 6 * time.Second
	keepAlives       = 3 // in the time of Options.Silence
	defaultReady     = time.Second
	defaultMaxRelays = 4096
	// relayUnused is how long a relay connection stays without a relay.
	relayUnused = time.Minute

	handshakeTimeout = 3 * time.Second
	dialTimeout      = 3 * time.Second

	maxUniStreams  = 256
	streamWindow   = 256 << 10
	maxWindow      = 1 << 20
	connWindow     = 16 << 20
	maxConnWindow  = 256 << 20
	maxHops        = 3
	janitorPeriod  = 10 * time.Second
	drainedLinger  = 5 * time.Second
	requestTimeout = 30 * time.Second // for a relayed request's body to arrive
)

// Options make a Mesh. Self, Listen, Identity and Log are needed.
type Options struct {
	Self       fleet.Node
	Zone       fleet.AvailabilityZone
	Listen     string // ip:port of the UDP socket; port 0 takes a free one
	Identity   Identity
	Handler    filter.Handler // of relayed requests; may be set later by SetHandler
	Clock      clock.Clock    // default clock.Boot
	Log        *slog.Logger
	Registerer prometheus.Registerer // nil: metrics are kept but not exposed
	// Silence ends the relays over a link of which nothing is heard. The link's
	// keep-alives are answered whatever the peer's handlers do, so silence means
	// a dead, cut off or paused peer and not a slow answer. Default 6 s.
	Silence time.Duration
	// Ready is how long a peer may take to answer a dial for a relayed request,
	// and to say that the request has arrived. Default 1 s.
	Ready time.Duration
	// MaxRelays bounds the requests that one peer relays here at a time; further
	// ones are refused as not run. Default 4096.
	MaxRelays int
}

func (o *Options) fill() {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	o.Silence = cmp.Or(o.Silence, defaultSilence)
	o.Ready = cmp.Or(o.Ready, defaultReady)
	o.MaxRelays = cmp.Or(o.MaxRelays, defaultMaxRelays)
}

// Peer is another node's address.
type Peer struct {
	VM   fleet.VM
	Zone fleet.AvailabilityZone
	Addr string // ip:port
}

// Mesh is one node's links to all others. Its methods are safe for concurrent
// use.
type Mesh struct {
	opts     Options
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	metrics  *metrics
	handler  atomic.Pointer[filter.Handler]
	hops     tracker

	ctx  context.Context // ends when Run does
	stop context.CancelFunc
	wg   sync.WaitGroup

	lifeMu sync.Mutex
	over   bool // no goroutine may be started any more
	conns  map[*conn]struct{}

	mu     sync.Mutex
	links  map[fleet.VM]*link
	topics map[string]*topic
	depths map[string]int
	calls  map[string]callHandler

	strangers map[string]*stranger // by address
}

// New binds the socket. Links are served once Run runs.
func New(o Options) (*Mesh, error) {
	if o.Identity.vm != o.Self.VM {
		return nil, fmt.Errorf("peer: the certificate names %q, this VM is %q; issue a certificate for this VM", o.Identity.vm, o.Self.VM)
	}
	o.fill()
	addr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer: %q is no ip:port; correct the peer address in the settings: %w", o.Listen, err)
	}
	m := &Mesh{
		opts: o, links: map[fleet.VM]*link{}, topics: map[string]*topic{},
		depths: map[string]int{}, calls: map[string]callHandler{}, conns: map[*conn]struct{}{},
		strangers: map[string]*stranger{},
	}
	if m.metrics, err = newMetrics(o.Registerer); err != nil {
		return nil, err
	}
	if m.socket, err = net.ListenUDP("udp", addr); err != nil {
		return nil, fmt.Errorf("peer: %s can't be bound; free the port or change it in the settings: %w", o.Listen, err)
	}
	reset := o.Identity.reset
	m.quic = &quic.Transport{Conn: m.socket, StatelessResetKey: &reset}
	if m.listener, err = m.quic.Listen(o.Identity.serverTLS(), m.quicConfig(controlLane)); err != nil {
		m.socket.Close()
		return nil, fmt.Errorf("peer: QUIC can't listen on %s: %w", o.Listen, err)
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	if o.Handler != nil {
		m.SetHandler(o.Handler)
	}
	return m, nil
}

// quicConfig gives the bounds of a connection. The idle timeout in force is the
// smaller one of the two sides, so the dialler's lane decides. A stream's window
// bounds what one slow caller holds in memory; the connection's window is 256
// times as large, so that a few slow callers don't stop the other answers.
func (m *Mesh) quicConfig(lane string) *quic.Config {
	c := &quic.Config{
		Versions:                       []quic.Version{quic.Version1},
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 controlIdle,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             int64(m.opts.MaxRelays),
		MaxIncomingUniStreams:          maxUniStreams,
	}
	if lane == relayLane {
		c.MaxIdleTimeout, c.KeepAlivePeriod = m.opts.Silence, m.opts.Silence/keepAlives
	}
	return c
}

// Addr returns the bound ip:port.
func (m *Mesh) Addr() string { return m.socket.LocalAddr().String() }

// Self returns this node.
func (m *Mesh) Self() fleet.Node { return m.opts.Self }

// SetHandler sets what answers relayed requests. Until it is set they are
// refused as not run.
func (m *Mesh) SetHandler(h filter.Handler) { m.handler.Store(&h) }

// Run serves the links until ctx ends, then closes them all.
func (m *Mesh) Run(ctx context.Context) error {
	defer m.Close()
	unhook := context.AfterFunc(ctx, m.stop)
	defer unhook()
	m.spawn(m.janitor)
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			// Only Close closes the socket; the loop may find it closed before the
			// context has ended.
			if m.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("peer: the socket failed: %w", err)
		}
		m.spawn(func() { m.admit(conn) })
	}
}

// Close ends all links and waits for their goroutines. Run calls it.
func (m *Mesh) Close() error {
	m.stop()
	for _, l := range m.snapshotLinks() {
		l.close(closeShutdown, "this node stops")
	}
	// Accepted relay connections belong to no link. Without this close the peer
	// would wait out the idle timeout before it knew.
	for _, c := range m.shut() {
		c.CloseWithError(closeShutdown, "this node stops")
	}
	m.listener.Close()
	err := m.quic.Close()
	m.socket.Close()
	m.wg.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for. After Close has begun it
// runs nothing and reports false.
func (m *Mesh) spawn(f func()) bool {
	m.lifeMu.Lock()
	defer m.lifeMu.Unlock()
	if m.over {
		return false
	}
	m.wg.Go(f)
	return true
}

// keep remembers the connection until it ends, or reports false when the mesh
// is closing.
func (m *Mesh) keep(c *conn) bool {
	m.lifeMu.Lock()
	defer m.lifeMu.Unlock()
	if m.over {
		return false
	}
	m.conns[c] = struct{}{}
	return true
}

func (m *Mesh) drop(c *conn) {
	m.lifeMu.Lock()
	defer m.lifeMu.Unlock()
	delete(m.conns, c)
}

// countBytes brings the metrics of live connections up to date.
func (m *Mesh) countBytes() {
	m.lifeMu.Lock()
	live := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		live = append(live, c)
	}
	m.lifeMu.Unlock()
	for _, c := range live {
		m.metrics.countBytes(c)
	}
}

// shut lets no goroutine and connection begin any more and returns the
// connections that are left.
func (m *Mesh) shut() []*conn {
	m.lifeMu.Lock()
	defer m.lifeMu.Unlock()
	m.over = true
	out := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		out = append(out, c)
	}
	return out
}

// Drain refuses new relayed requests as not run and returns when those that
// this node answers or passes on are over, or ctx ends. A hop is over when the
// other node has taken the whole answer, so Run may be ended afterwards.
func (m *Mesh) Drain(ctx context.Context) error {
	m.hops.drain()
	if err := m.hops.wait(ctx); err != nil {
		return fmt.Errorf("peer: relayed requests are still running; give the shutdown more time: %w", err)
	}
	return nil
}

// SetPeers makes the addresses known. A VM that is not named keeps the address
// it had; a link in use stays and the new address is for its next dial.
func (m *Mesh) SetPeers(peers []Peer) {
	for _, p := range peers {
		m.Learn(p.VM, p.Addr)
	}
}

// Learn is SetPeers for one VM.
func (m *Mesh) Learn(vm fleet.VM, addr string) {
	if vm == m.opts.Self.VM || addr == "" {
		return
	}
	m.link(vm).setAddr(addr)
}

// Forget closes the links to the VM and drops its address.
func (m *Mesh) Forget(vm fleet.VM) {
	m.mu.Lock()
	l := m.links[vm]
	delete(m.links, vm)
	m.mu.Unlock()
	if l != nil {
		l.close(closeReplaced, "the VM is forgotten")
	}
}

// link returns the link to the VM, made at first use.
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

// janitor keeps the byte counts up to date and closes relay connections that no
// relay has used for a while: their keep-alives would add up in a large fleet.
func (m *Mesh) janitor() {
	t := time.NewTicker(janitorPeriod)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
			m.countBytes()
			now := m.opts.Clock.Now()
			for _, l := range m.snapshotLinks() {
				l.relay.closeUnused(now)
			}
		}
	}
}
