package revision

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/ring"
)

// Peers sends messages to the other nodes.
type Peers interface {
	// Broadcast sends payload to every live peer. Delivery is not guaranteed.
	Broadcast(topic string, payload []byte)
	// Call sends a request to one peer and returns its response.
	Call(ctx context.Context, to fleet.VM, method string, payload []byte) ([]byte, error)
}

// Default values of Options.
const (
	DefaultPollInterval   = 5 * time.Second
	DefaultDigestInterval = 2 * time.Second
	DefaultJoinTimeout    = 2 * time.Second
	// DefaultLostAfter is longer than the restart of a node or a short
	// partition.
	DefaultLostAfter = time.Minute
)

// Options configures a Keeper.
type Options struct {
	Table platform.Table
	Peers Peers             // nil: single node
	Nodes func() []fleet.VM // returns the other live nodes; nil: none
	Now   func() time.Time  // wall clock for the time of acceptance; nil: time.Now
	// MinPollInterval is the minimum interval between two reads of the table's head by
	// this node; it grows with the number of nodes, see PollInterval. Default
	// 5s.
	MinPollInterval time.Duration
	// MinDigestInterval is the minimum interval between two announcements of the highest
	// revision; it grows with the number of nodes, see DigestInterval. Default
	// 2s.
	MinDigestInterval time.Duration
	// JoinTimeout is how long a starting node waits for a peer's answer before it
	// relies on the table alone. Default 2s; negative: no wait.
	JoinTimeout time.Duration
	// LostAfter is how long proposals are refused after a peer announced a
	// revision that is available neither from a peer nor from the table.
	// Default 1m.
	LostAfter time.Duration
	Seed      uint64 // seed of the jitter
	Log       *slog.Logger
	Metrics   prometheus.Registerer // nil: not registered
}

func (o *Options) setDefaults() {
	if o.Nodes == nil {
		o.Nodes = func() []fleet.VM { return nil }
	}
	if o.Peers == nil {
		o.Peers, o.JoinTimeout = noPeers{}, -1
	}
	if o.MinPollInterval <= 0 {
		o.MinPollInterval = DefaultPollInterval
	}
	if o.MinDigestInterval <= 0 {
		o.MinDigestInterval = DefaultDigestInterval
	}
	if o.JoinTimeout == 0 {
		o.JoinTimeout = DefaultJoinTimeout
	}
	if o.LostAfter <= 0 {
		o.LostAfter = DefaultLostAfter
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

type noPeers struct{}

func (noPeers) Broadcast(string, []byte) {}

func (noPeers) Call(context.Context, fleet.VM, string, []byte) ([]byte, error) {
	return nil, errors.New("revision: the node has no peers")
}

// Keeper keeps the configuration in force on this node, accepts new revisions
// and replicates them to the other nodes. All methods are safe for concurrent
// use.
type Keeper struct {
	opts    Options
	store   *Store
	metrics *metrics
	current atomic.Pointer[currentRevision]

	mu          sync.Mutex // guards state, lastHeardAt and subscribers
	state       State
	lastHeardAt time.Time // last announcement of a revision that is not in memory
	subscribers []chan struct{}

	// fetches contains the latest pending fetch per peer ("" is the table).
	// When it is full a fetch is dropped; the peer's next digest requests it
	// again.
	fetches *ring.Latest[fleet.VM, pendingFetch]
	// announce and heal coalesce any number of requests into one; joined is
	// closed when the node has joined.
	announce chan struct{}
	heal     chan struct{}
	joined   chan struct{}
}

type currentRevision struct {
	stamp    Stamp
	document *config.Document
}

type pendingFetch struct {
	from  fleet.VM // empty: the table
	stamp Stamp
}

const maxPendingFetches = 256

// NewKeeper returns a keeper without any revision. Run starts replication.
func NewKeeper(opts Options) *Keeper {
	opts.setDefaults()
	k := &Keeper{
		opts: opts, store: NewStore(opts.Table, opts.Now), metrics: newMetrics(opts.Metrics),
		fetches:  ring.NewLatest[fleet.VM, pendingFetch](maxPendingFetches),
		announce: make(chan struct{}, 1), heal: make(chan struct{}, 1), joined: make(chan struct{}),
	}
	k.current.Store(&currentRevision{})
	return k
}

// Current returns the number, document and hash of the revision in force.
// Number 0 and a nil document mean that there is none. The document must not be
// modified.
func (k *Keeper) Current() (uint64, *config.Document, uint64) {
	f := k.current.Load()
	return f.stamp.Number, f.document, f.stamp.Hash
}

// Ready reports whether a revision is in force.
func (k *Keeper) Ready() bool { return k.current.Load().document != nil }

// Store returns the underlying store.
func (k *Keeper) Store() *Store { return k.store }

// Subscribe returns a channel that receives a value after the revision in force
// changed. Several changes may be coalesced into one value.
func (k *Keeper) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, c)
	return c
}

// Run replicates revisions until ctx ends. It uses one goroutine each for
// joining, polling the table, fetching, announcing and healing.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { k.runJoin(ctx); return nil })
	g.Go(func() error { k.runPoll(ctx, k.newRand(1)); return nil })
	g.Go(func() error { k.runFetch(ctx); return nil })
	g.Go(func() error { k.runAnnounce(ctx, k.newRand(2)); return nil })
	g.Go(func() error { k.runHeal(ctx); return nil })
	return g.Wait()
}

func (k *Keeper) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(k.opts.Seed, stream)) }

// applyEvent applies an event to the state and executes the resulting actions.
func (k *Keeper) applyEvent(e Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state, actions := Decide(k.state, e)
	wasJoined := k.state.Joined
	k.state = state
	k.metrics.seen.Set(float64(state.HighestSeen.Number))
	if h, ok := e.(StampReceived); ok && h.Stamp.Compare(state.Highest()) > 0 {
		k.lastHeardAt = time.Now()
	}
	if state.Joined && !wasJoined {
		close(k.joined)
	}
	for _, a := range actions {
		k.execute(a)
	}
}

// execute runs with mu locked and does not block: the document is swapped here,
// network operations are passed to their goroutines.
func (k *Keeper) execute(a Action) {
	switch a := a.(type) {
	case Install:
		k.install(a.HeldRevision)
	case FetchPeer:
		k.fetches.Put(a.From, pendingFetch{from: a.From, stamp: a.Stamp})
	case FetchTable:
		k.fetches.Put("", pendingFetch{stamp: a.Stamp})
	case Announce:
		notify(k.announce)
	case HealTable:
		notify(k.heal)
	case ReportClash:
		k.metrics.clashes.Inc()
		k.opts.Log.Error("two revisions were accepted independently of each other; apply the content of the loser again if it is still needed",
			"winner", a.Winner.String(), "loser", a.Loser.String())
	case ReportUnusable:
		k.metrics.refused.Inc()
		k.opts.Log.Error("cannot use revision, keeping the current one; run one version of the program on all nodes",
			"revision", a.Stamp.String())
	}
}

func (k *Keeper) install(h HeldRevision) {
	k.current.Store(&currentRevision{stamp: h.Stamp, document: h.Document})
	k.metrics.inForce.Set(float64(h.Stamp.Number))
	k.opts.Log.Info("configuration in force", "revision", h.Stamp.String(), "author", h.Author)
	for _, c := range k.subscribers {
		notify(c)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (k *Keeper) snapshot() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

func (k *Keeper) lastHeardTime() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastHeardAt
}

// parseRecord parses a record's document. The returned Document is nil if that
// fails.
func (k *Keeper) parseRecord(rec *Record) HeldRevision {
	d, err := config.Parse("", rec.Document)
	if err != nil {
		k.opts.Log.Error("cannot parse document of revision", "revision", rec.Stamp.String(), "error", err)
		return HeldRevision{Record: rec}
	}
	return HeldRevision{Record: rec, Document: d}
}
