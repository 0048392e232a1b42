// Package node assembles the request path and the background duties of an entry
// node. It contains no decision logic of its own.
package node

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/accept"
	"chervilloom/internal/admit"
	"chervilloom/internal/backpressure"
	"chervilloom/internal/capacity"
	"chervilloom/internal/clock"
	"chervilloom/internal/discovery"
	"chervilloom/internal/dispatch"
	"chervilloom/internal/engine"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/group"
	"chervilloom/internal/kv"
	"chervilloom/internal/lease"
	"chervilloom/internal/membership"
	"chervilloom/internal/once"
	"chervilloom/internal/operator"
	"chervilloom/internal/peer"
	"chervilloom/internal/platform"
	"chervilloom/internal/probe"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/retry"
	"chervilloom/internal/revision"
	"chervilloom/internal/route"
	"chervilloom/internal/settings"
	"chervilloom/internal/usage"
	"chervilloom/internal/view"
)

const (
	explainSubjects = 20000 // subjects whose decisions a node keeps
	explainSteps    = 32    // steps kept per subject
)

// Options configures a node.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Registry *prometheus.Registry
	Clock    clock.Clock
}

// Addrs contains the addresses that a node listens on, as ip:port.
type Addrs struct {
	Caller   string
	Operator string
	Peer     string
}

// Node is an entry node: its listeners, request path and background duties.
type Node struct {
	settings *settings.Settings
	self     fleet.Node
	clock    clock.Clock
	log      *slog.Logger
	reg      *prometheus.Registry

	platform     *platform.Client
	engines      *engine.Client
	mesh         *peer.Mesh
	members      *membership.Service
	replacement  chan fleet.Node
	directory    *discovery.Directory
	view         *view.Merger
	listPoller   *view.ListPoller
	gossip       *view.Gossip
	usage        *usage.Tracker
	prober       *probe.Prober
	leases       *lease.Manager
	groups       *group.Reconciler
	capacity     *capacity.Tracker
	prefixUses   *kv.Uses
	mover        *kv.Mover
	moveEngines  *engine.Client // client for KV moves, with their longer timeout
	config       *revision.Keeper
	explainStore *explain.Store

	once       *once.Keeper
	admit      *admit.Admitter
	router     *route.Router
	retries    *retry.Budget
	ejector    *retry.Ejector
	dispatcher *dispatch.Dispatcher
	quarantine *quarantine.Guard
	pressure   *backpressure.Guard
	// quarantineRows stores quarantined requests in the platform's table.
	quarantineRows *quarantine.Rows
	accept         *accept.Server

	caller, operator net.Listener
}

// New opens the node's listeners and builds its parts; Run starts them. It
// returns an error if a listener cannot be opened or a part cannot be built.
func New(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings, clock: o.Clock, log: o.Log, reg: o.Registry,
		replacement: make(chan fleet.Node, 1),
		// The incarnation must grow with every start of this VM's process.
		// Wall time in nanoseconds suffices, since two starts never share one.
		self: fleet.Node{VM: o.Settings.VM, Incarnation: fleet.Incarnation(time.Now().UnixNano())},
	}
	n.explainStore = explain.NewStore(n.self.String(), explainSubjects, explainSteps)
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.build(); err != nil {
		return nil, errors.Join(err, n.closeListeners())
	}
	return n, nil
}

func (n *Node) listen() (err error) {
	if n.caller, err = listen(n.settings.Listen.Caller.String(), n.settings.CallerTLS); err != nil {
		return merry.Errorf("caller listener: %w", err)
	}
	if n.operator, err = listen(n.settings.Listen.Operator.String(), n.settings.OperatorTLS); err != nil {
		return errors.Join(merry.Errorf("operator listener: %w", err), n.caller.Close())
	}
	return nil
}

func listen(addr string, t settings.TLS) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil || !t.Enabled() {
		return l, err
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return tls.NewListener(l, &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}), nil
}

func (n *Node) closeListeners() error {
	return errors.Join(n.caller.Close(), n.operator.Close())
}

func (n *Node) build() error {
	n.platform = platform.NewClient(n.settings.Platform.URL,
		platform.WithLogger(n.log), platform.WithRegisterer(n.reg),
		platform.WithRequestTimeout(time.Duration(n.settings.Timing.PlatformTimeout)))
	n.engines = engine.NewClient(engine.WithRegisterer(n.reg))
	n.view = view.NewMerger(n.self, n.settings.Zone, n.clock)
	if err := n.buildPeers(); err != nil {
		return err
	}
	n.buildControl()
	return n.buildPath()
}

// Addrs returns the addresses that the node listens on.
func (n *Node) Addrs() Addrs {
	return Addrs{n.caller.Addr().String(), n.operator.Addr().String(), n.mesh.Addr()}
}

// Self returns the node's VM and incarnation.
func (n *Node) Self() fleet.Node { return n.self }

// seed returns a random seed for choices that are not security-sensitive.
func seed() uint64 { return rand.Uint64() }

// Ready reports whether the node accepts requests, and the reason if not.
func (n *Node) Ready() (bool, string) { return n.accept.Ready() }

var _ operator.Fleet = (*Node)(nil)
