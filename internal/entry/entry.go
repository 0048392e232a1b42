// Package entry assembles a node on the platform. The node follows the configuration and
// the endpoint list, serves clients, reports its readiness to the load balancer, and
// controls the engine groups of the zones whose lease it holds.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/feed"
	"chervilloom/internal/fleet"
	"chervilloom/internal/formation"
	"chervilloom/internal/forward"
	"chervilloom/internal/intake"
	"chervilloom/internal/lateness"
	"chervilloom/internal/lease"
	"chervilloom/internal/links"
	"chervilloom/internal/memory"
	"chervilloom/internal/news"
	table "chervilloom/internal/platform"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
	"chervilloom/internal/tunnel"
	"chervilloom/internal/upstream"
)

// Store is the platform's store: configuration, endpoints and lease rows.
type Store interface {
	ConfigurationSource
	EndpointSource
	leaseStore
}

// Options are the settings and dependencies of a node.
type Options struct {
	Settings *Settings
	Store    Store
	// NewEngines returns the client of the engines' control API, which opens its connections with
	// dial; nil: none.
	NewEngines func(dial func(ctx context.Context, network, addr string) (net.Conn, error)) formation.Engines
	Codec      forward.Codec
	Clock      clock.Clock
	Log        *slog.Logger
	// Registry is where the node registers its metrics.
	Registry *prometheus.Registry
	// DialEndpoint opens a TCP connection to an endpoint; nil: upstream.DialTCP.
	DialEndpoint func(ctx context.Context, addr string) (net.Conn, error)
	// MetricsPort is the port on the clients' address that serves the metrics; 0 disables
	// it.
	MetricsPort int
	// Contention determines for which services rank and expected time decide.
	Contention Contention
}

// Node is a node of the system, created by New and started by Run.
type Node struct {
	Options
	storeGate         *storeGate
	config            *configWatcher
	evacuations       *evacuations
	eras              *eraTracker
	rowWritten        atomic.Bool // the node's row has been written
	roster            *rosterWatcher
	tracker           *balance.Tracker
	pool              *upstream.Pool
	lateness          *lateness.Monitor
	links             *links.Monitor
	dialer            *links.Dialer
	tunnels           *tunnel.Server
	plan              memory.Plan                     // of this VM's memory
	intake            atomic.Pointer[intake.Listener] // nil before Run
	engines           formation.Engines
	forwarder         *forward.Forwarder
	controllers       []*formation.Controller
	leases            []*lease.Manager
	leaseCache        *leaseCache
	follower          *follower
	lookup            *startLookup
	announcer         *rowAnnouncer
	mesh              *news.Mesh
	send              func(m news.Message, to ...string) // sends through mesh; replaced by tests
	loads             *loadExchange
	quarantineGuard   *quarantine.Guard
	backpressureGuard *backpressure.Guard
	quarantineRows    *quarantine.Rows
	peerDemand        demand.ZoneDemand // demand reported by the zone's other nodes
	conversions       prometheus.Counter
	startedAt         clock.Instant
	stateKnown        chan struct{}          // closed once the configuration and the endpoints are known
	holdsDuty         func(zone string) bool // reports whether this node holds the zone's duty now
	leaving           atomic.Bool            // SIGTERM was received
	requestSeen       atomic.Bool            // a client request was received
	nodePeak          recentPeak             // of the number of nodes
	slackKnown        atomic.Bool            // the number of nodes has been known once
}

// Timing constants and limits of a node.
const (
	// leaseTerm bounds how long a zone is without an owner after a failure: term, margin
	// and one polling interval.
	leaseTerm         = 1500 * time.Millisecond
	leasePollInterval = 700 * time.Millisecond
	// streamStallTimeout is how long the head of a group may send nothing on any of its open
	// streams before it is suspected. One decoding pass of a loaded group takes 50 ms to
	// 330 ms by the engines' published times.
	streamStallTimeout = 350 * time.Millisecond
	// firstEventTimeout is the same limit before the first event. Clients give up after two
	// seconds without an event; a second attempt needs some 0.3 s of these.
	firstEventTimeout = time.Second
	// crossZoneCost keeps requests in their zone while the slot utilisation of its groups
	// exceeds that of other zones by at most 15 percentage points.
	crossZoneCost = 0.15
	// promptCost gives a waiting prompt of 1000 tokens the weight of a quarter of the
	// engine's slots. Prompt processing blocks the engine's streams for 20 ms, a slot in
	// use costs 0.3 ms.
	promptCost = 0.25
	// engineQueueShare leaves 4% of an engine's slots unused by this node, because other nodes
	// send to the engine on equally old information. Requests should not queue at an
	// engine, where they become late and delay those behind them.
	engineQueueShare = -0.04
	// engineSampleSize is the number of heads of the local zone, and of the other zones, that
	// are compared for each request if loads come from a board. With more candidates, nodes
	// that have the same board choose the same head.
	engineSampleSize = 2
	// plainQueueShare allows as many queued calls as running ones at a plain endpoint; each
	// takes some 30 ms.
	plainQueueShare = 1.0
	// engineLoadDecay is how long a load reported by an engine takes to decay: somewhat
	// longer than the longest streams run.
	engineLoadDecay = 4 * time.Second
	// plainLoadDecay is the duration of five calls of 30 ms.
	plainLoadDecay = 150 * time.Millisecond
	sweepInterval  = time.Second
	// startPollInterval is the interval at which a starting node checks whether its first
	// reads have completed; they take 10 to 30 ms.
	startPollInterval = 5 * time.Millisecond
	// drainNotice is how long a node that shuts down accepts new connections: the load
	// balancer probes once a second and removes the node after two failures.
	drainNotice = 2300 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process.
	exitMargin = 600 * time.Millisecond
	// retryBudgetShare is the fraction of the platform's retry limit that is used, because the
	// nodes' time windows and the platform's are not aligned.
	retryBudgetShare = 0.8
)

// ejectionOptions is tuned for few requests per endpoint: a node sends each one to three a
// second.
var ejectionOptions = retry.OutlierOptions{
	Consecutive: 3, MinRequests: 8, Margin: 0.3, MaxShare: 0.4,
	BaseEjection: 1500 * time.Millisecond, MaxEjection: 6 * time.Second, TrialTimeout: 2 * time.Second,
}

// New returns a node that is started by Run.
func New(o Options) *Node {
	gate := newStoreGate(o)
	o.Store = gate
	n := &Node{Options: o, plan: memory.Divide(o.Settings.Memory), storeGate: gate, startedAt: o.Clock.Now(), stateKnown: make(chan struct{})}
	n.lateness = &lateness.Monitor{Clock: o.Clock}
	n.links = n.newLinkMonitor()
	n.dialer, n.tunnels = n.newDialer(), n.newTunnelServer()
	n.pool = &upstream.Pool{Clock: o.Clock, Dial: n.dialer.Dial, IsUsable: n.isUsableIdle}
	if o.NewEngines != nil {
		n.engines = o.NewEngines(n.dialer.DialContext)
	}
	n.eras = newEraTracker(n)
	n.evacuations = &evacuations{zones: o.Settings.Zones, log: o.Log, clock: o.Clock}
	n.config = &configWatcher{
		source: o.Store, clock: o.Clock, log: o.Log, lateness: n.lateness, askDutyHolders: n.askDutyHolders, onEvacuations: n.evacuations.apply,
		regions: slices.Sorted(maps.Values(o.Settings.Regions)),
	}
	n.roster = newRosterWatcher(&endpointReader{node: n, store: o.Store}, o.Clock, o.Log)
	n.roster.lateness = n.lateness
	n.tracker = &balance.Tracker{
		Clock:        o.Clock,
		Silence:      func(roster.ID) time.Duration { return streamStallTimeout },
		FirstSilence: firstEventTimeout,
		OnSuspect:    n.handleSuspect,
		OnDoubt:      n.handleDoubt,

		IgnoresSilence: n.links.AreAllLost,
		OwnDelay:       n.lateness.Allowance,
	}
	n.quarantineGuard = n.newQuarantineGuard()
	n.backpressureGuard = n.newBackpressureGuard()
	n.forwarder = &forward.Forwarder{
		Codec: o.Codec, Clock: o.Clock, Log: o.Log, Metrics: forward.NewMetrics(o.Registry), Pool: n.pool, Tracker: n.tracker,
		Zone: o.Settings.Zone, Regions: o.Settings.Regions,
		PlainProfile:  forward.Profile{Bounds: balance.Bounds{RemotePenalty: crossZoneCost, QueueShare: plainQueueShare}, Turnover: plainLoadDecay},
		EngineProfile: forward.Profile{Bounds: balance.Bounds{RemotePenalty: crossZoneCost, QueueShare: engineQueueShare, UnreadWeight: promptCost}, Turnover: engineLoadDecay},
		Ejector:       retry.NewEjector(ejectionOptions, o.Clock, o.Log, o.Registry),
		View:          n.view, NewBudget: n.newBudget, OnStaleEndpoint: n.refreshSoon, OnNoResponse: n.handleNoResponse, OnResponse: n.links.RecordResponse,
		Started: n.stateKnown, OnSent: n.sendPlacement, SampleSize: n.sampleSize, ZoneLoad: func(zone, model string) board.MeanLoad { return n.loads.meanOf(zone, model) },
		Quarantine: n.quarantineGuard, Backpressure: n.backpressureGuard,
		NodeCount: func() int { return n.leaseCache.listedNodeCount() },
		Contended: n.isContended, ZoneNodeCount: func() int { return n.leaseCache.zoneNodeCount(n.Settings.Zone) },
		Memory: memory.Budget{Limit: n.plan.Held, OnShort: n.evictForMemory},
	}
	n.follower = &follower{node: n, client: feed.NewClient(), clock: o.Clock, log: o.Log, wake: make(chan struct{}, 1)}
	n.lookup = &startLookup{node: n}
	n.roster.onLeaving = n.broadcastLeaving
	n.config.isFedByPeer, n.roster.isFedByPeer = n.isConfigFed, n.isRosterFed
	failures := backoff{usesFullRate: n.usesFullRate, peerAsks: n.follower.isAnswered}
	n.config.backoff, n.roster.backoff = failures, failures
	n.leaseCache = &leaseCache{
		Table: o.Store, clock: o.Clock, self: o.Settings.VM, isFedByPeer: n.areLeasesFed, defersRead: n.defersLeaseRead, backoff: failures,
		onRows: func(rows []table.Row) { n.quarantineGuard.ApplyPersisted(n.quarantineRows.ParseVerdicts(rows)) },
	}
	n.announcer = &rowAnnouncer{cache: n.leaseCache, log: o.Log, wake: make(chan struct{}, 1)}
	n.quarantineRows = &quarantine.Rows{
		Get: n.leaseCache.Table.Get, Commit: n.leaseCache.Commit, Table: table.TableLeases, Prefix: quarantinePrefix, Log: o.Log,
	}
	n.mesh = &news.Mesh{Log: o.Log, OnMessage: n.handleMessage}
	n.send = n.mesh.Send
	n.holdsDuty = n.holdsLease
	n.loads = newLoadExchange(n)
	for _, zone := range o.Settings.Zones {
		n.addZone(zone)
	}
	n.registerGauges(o.Registry)
	return n
}

// addZone adds the lease manager and the group controller of an availability zone.
func (n *Node) addZone(zone string) {
	m := &lease.Manager{
		Duty: zone, Self: fleet.Node{VM: fleet.VM(n.Settings.VM), Incarnation: fleet.Incarnation(time.Now().UnixNano())},
		Params: lease.DefaultParams(leaseTerm), Table: n.leaseCache, Clock: n.Clock, Log: n.Log,
		Era: n.tableEra, TableIsNew: n.Settings.Bootstrap, Contact: n.ownContact,
		Rank: func() int { return n.rank(zone) }, MaxRanks: rankNever, PollInterval: leasePollInterval,
		Unfit: n.lacksLinks,
	}
	n.leases = append(n.leases, m)
	c := (&formation.Controller{
		Zone: zone, Lease: m, Table: n.Store, Engines: n.engines, Clock: n.Clock, Log: n.Log,
		Params: n.formationParams, Catalog: n.config.current.Load, Roster: n.roster.current.Load,
		BeforeFirstRequest: func() bool { return n.Settings.Bootstrap && !n.requestSeen.Load() },
		Activity:           n.tracker.LastSign,
		Announce:           n.announceHint,
		Demand:             n.zoneDemand,
		Elsewhere:          func(s *catalog.Service) map[string]float64 { return n.freeGroupsElsewhere(zone, s) },
		CountConversions:   func(k int) { n.conversions.Add(float64(k)) },
		ManyNodes:          func() bool { return n.usesBoard(zone) },
		Evacuated:          func() bool { return n.evacuations.contains(zone) },
	}).Init()
	m.Acquired = func() {
		c.TriggerTick()
		n.roster.refreshSoon() // a list received from another node contains only endpoints that accept requests
		n.follower.pollSoon()
	}
	n.controllers = append(n.controllers, c)
}

// holdsLease reports whether this node holds the lease of the zone's duty now.
func (n *Node) holdsLease(zone string) bool {
	for _, m := range n.leases {
		if m.Duty == zone {
			_, held := m.Held(n.Clock.Now())
			return held
		}
	}
	return false
}

// newPeerServer returns the server that answers the polls of other nodes and connects them to
// endpoints.
func (n *Node) newPeerServer() *http.Server {
	polls := n.newFeedServer()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			n.tunnels.ServeHTTP(w, r)
			return
		}
		polls.ServeHTTP(w, r)
	})
	s := newServer(handler)
	s.ReadTimeout = probeTimeout
	return s
}

// newFeedServer returns the handler of the polls of other nodes.
func (n *Node) newFeedServer() *feed.Server {
	return &feed.Server{
		Source: feed.Source{
			Catalog:     n.config.current.Load,
			ConfirmedAt: func() clock.Instant { return clock.Instant(n.config.confirmed.Load()) },
			Roster:      n.roster.current.Load,
			Rows:        n.leaseCache.allRows,
			Era:         n.tableEra,
			Evacuated:   n.evacuations.list,
		},
		Journal: &feed.Journal{Incarnation: uuid.NewString()},
		Clock:   n.Clock, Log: n.Log, OnPoll: n.recordPoll,
		Serving:           func() bool { return !n.leaving.Load() && !n.follower.isFollowing() && !n.leavesStoreToPeer() },
		ReadsAllEndpoints: n.roster.readsStore.Load,
	}
}

// recordPoll records the configuration version and, from nodes of the local zone, the demand
// in a poll.
func (n *Node) recordPoll(q feed.PollRequest) {
	n.config.recordPeerVersion(q.Config)
	n.announcer.recordPoll(q)
	if q.Zone == n.Settings.Zone && q.Node != n.Settings.VM {
		n.peerDemand.Update(q.Node, q.Demand, n.Clock.Now())
	}
}

// zoneDemand returns the demand for a service from all nodes of the zone.
func (n *Node) zoneDemand(service string) demand.Demand {
	return n.peerDemand.Total(service, n.forwarder.Demand(service), n.Clock.Now())
}

func (n *Node) formationParams(e *catalog.Engine) formation.Params {
	s := n.Settings
	zones := float64(len(s.Zones))
	loads := e.LoadsPerSecond * s.LoadWindow.Seconds() / zones
	atOnce := math.Ceil(float64(e.LoadsAtOnce) / zones)
	return formation.DefaultParams(s.LoadWindow, max(1, int(loads)), max(1, int(atOnce)))
}

// newBudget returns this node's share of the retry budget of a service. A node that isn't listed
// among the others yet has no share of the slack.
func (n *Node) newBudget() *retry.WindowedBudget {
	s := n.Settings
	return &retry.WindowedBudget{
		Clock: n.Clock, Window: s.RetryWindow, Ratio: s.RetryRatio * retryBudgetShare, Since: n.startedAt,
		Slack: func() float64 {
			if nodes := n.budgetNodes(); nodes > 0 {
				return s.RetrySlack * retryBudgetShare / float64(nodes)
			}
			return 0
		},
	}
}

// budgetNodes returns among how many nodes the slack of the retry budget is divided; 0: unknown.
// Nodes that have left since count for a window more: they may have used their share.
func (n *Node) budgetNodes() int {
	now := n.Clock.Now()
	nodes := n.nodePeak.observe(n.leaseCache.listedNodeCount(), now, n.Settings.RetryWindow)
	if nodes > 0 && !n.slackKnown.Swap(true) {
		n.Log.Info("share of the retry slack known", "nodes", nodes, "ms", now.Sub(n.startedAt).Milliseconds())
	}
	return nodes
}

func (n *Node) view() forward.View {
	n.requestSeen.Store(true)
	return forward.View{
		Catalog: n.config.current.Load(), Fresh: n.acceptsKeys(), Current: n.isConfigCurrent(), Roster: n.roster.current.Load(),
		ConfigAge: n.config.age(n.Clock.Now()), Evacuated: n.evacuations.evacuated(), PresumedCold: n.evacuations.presumedCold(),
	}
}

// acceptsKeys reports whether API keys may be accepted. A key that was revoked while this node
// could not read the configuration must not be accepted for longer than the revocation
// bound.
func (n *Node) acceptsKeys() bool {
	if n.config.current.Load() == nil {
		return false
	}
	return !n.Settings.StrictRevocation || n.config.age(n.Clock.Now()) < n.Settings.RevokeAfter-revokeMargin
}

// isConfigCurrent reports whether the configuration is recent enough to reject what it does
// not contain. Without this check a node following one that had lost the store answered 404
// on a route that had been in force for two seconds.
func (n *Node) isConfigCurrent() bool {
	within := n.Settings.MaxConfigDelay
	return n.acceptsKeys() && (within <= 0 || n.config.age(n.Clock.Now()) < within)
}

// refreshSoon fetches newer endpoints before the next poll is due.
func (n *Node) refreshSoon() {
	if n.follower.isFollowing() {
		n.follower.pollSoon()
		return
	}
	n.roster.refreshSoon()
}

// address returns the address, zone and size that this node announces.
func (n *Node) address() nodeAddr {
	return nodeAddr{n.Settings.PeerAddr, n.Settings.Zone, n.Settings.Cores}
}

// Run serves until ctx ends, then shuts down within the grace period.
func (n *Node) Run(ctx context.Context) error {
	front, err := intake.Listen(ctx, n.Settings.ClientAddr, n.plan.Queued)
	if err != nil {
		return merry.Prepend(err, "listen on the clients' address; check the settings' listen address")
	}
	ready, err := n.listenBounded(ctx, "readiness", n.Settings.ReadinessAddr, n.probeConns())
	if err != nil {
		return merry.Prepend(err, "listen on the readiness address; check the settings' listen address")
	}
	if err := n.mesh.Listen(n.Settings.PeerAddr); err != nil {
		return merry.Prepend(err, "listen on the address for other nodes (datagrams); check the settings' port range")
	}
	peers, err := n.listenBounded(ctx, "peers", n.Settings.PeerAddr, n.plan.Peers)
	if err != nil {
		return merry.Prepend(err, "listen on the address for other nodes (TCP); check the settings' port range")
	}
	if n.plan.Runtime > 0 {
		debug.SetMemoryLimit(n.plan.Runtime)
	}
	n.Log.Info("node starts", "zone", n.Settings.Zone, "front", n.Settings.ClientAddr, "bootstrap", n.Settings.Bootstrap)

	// Request handling continues after ctx has ended, until the requests in flight are
	// complete.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer n.quarantineGuard.Close()
	defer n.links.Close()
	g, _ := errgroup.WithContext(work)
	g.Go(func() error { n.awaitState(work); return nil })
	g.Go(func() error { return n.config.run(work) })
	g.Go(func() error { return n.roster.run(work) })
	g.Go(func() error { return n.follower.run(work) })
	g.Go(func() error { return n.watchRequests(work) })
	g.Go(func() error { clock.Every(work, sweepInterval, n.sweep); return nil })
	g.Go(func() error { return n.mesh.Run(work) })
	g.Go(func() error { return n.links.Run(work) })
	g.Go(func() error { return n.runAnnounce(ctx) })
	g.Go(func() error { return n.announcer.run(work) })
	n.startDuties(ctx, g)

	clients := n.newIntake(front)
	n.intake.Store(clients)
	server := newServer(http.HandlerFunc(n.serve))
	server.ConnContext, server.ErrorLog = forward.WithClientConn, slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug)
	readiness := newServer(http.HandlerFunc(n.serveReady))
	readiness.ReadTimeout = probeTimeout
	peerServer := n.newPeerServer()
	metrics := n.serveMetrics(ctx, n.Registry)
	failed := make(chan error, 3)
	go func() { failed <- peerServer.Serve(peers) }()
	go func() { failed <- server.Serve(clients) }()
	go func() { failed <- readiness.Serve(ready) }()
	select {
	case err := <-failed:
		stop()
		return errors.Join(err, g.Wait())
	case <-ctx.Done():
	}
	err = n.shutdown(server)
	stop()
	n.tunnels.Close()
	return errors.Join(err, readiness.Close(), peerServer.Close(), metrics.Close(), g.Wait())
}

// watchRequests checks the requests in flight and exchanges load and quarantine data with
// other nodes until ctx ends. In a zone with many nodes, where each has few requests, the
// interval is doubled; otherwise these checks would wake the process 66 times a second.
func (n *Node) watchRequests(ctx context.Context) error {
	for {
		pause := balance.SilenceCheckInterval
		if n.usesBoard(n.Settings.Zone) {
			pause *= 2
		}
		due := n.Clock.Now().Add(pause)
		if !clock.Sleep(ctx, pause) {
			return nil
		}
		n.lateness.Observe(n.Clock.Now().Sub(due))
		n.tracker.CheckSilence()
		n.loads.tick()
		n.quarantineGuard.Tick()
	}
}

// awaitState closes stateKnown once the configuration and the endpoints are known.
func (n *Node) awaitState(ctx context.Context) {
	for n.config.current.Load() == nil || !n.roster.current.Load().IsLoaded() {
		if !clock.Sleep(ctx, startPollInterval) {
			return
		}
	}
	close(n.stateKnown)
}

// startDuties runs lease managers and group controllers until ctx ends. The leases are
// released at the beginning of the shutdown, so that other nodes take the duties over
// without delay.
func (n *Node) startDuties(ctx context.Context, g *errgroup.Group) {
	for _, m := range n.leases {
		g.Go(func() error { return m.Run(ctx) })
	}
	for _, c := range n.controllers {
		g.Go(func() error { return c.Run(ctx) })
	}
}

// shutdown shuts the node down: it first reports not ready, then accepts no new connections,
// and then waits for the requests in flight.
func (n *Node) shutdown(server *http.Server) error {
	began := n.Clock.Now()
	n.leaving.Store(true)
	n.Log.Info("node leaves", "grace", n.Settings.GracePeriod)
	n.tunnels.AnnounceLeaving()
	time.Sleep(min(drainNotice, n.Settings.GracePeriod/3))
	left := n.Settings.GracePeriod - exitMargin - n.Clock.Now().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.Log.Warn("requests in flight aborted at the end of the grace period", "err", err)
		return server.Close()
	}
	n.Log.Debug("node waits for tunnels in use", "open", n.tunnels.OpenCount())
	n.tunnels.AwaitUnused(ctx)
	n.Log.Info("node shut down", "took_ms", n.Clock.Now().Sub(began).Milliseconds())
	return nil
}

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() || !n.intake.Load().Keeps(forward.ClientConn(r.Context())) {
		w.Header().Set("Connection", "close")
	}
	n.forwarder.ServeHTTP(w, r)
}

// serveReady answers the load balancer's readiness probe.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.acceptsKeys() || !n.roster.current.Load().IsLoaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
