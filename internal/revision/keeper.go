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

// Peers carries messages to the other nodes.
type Peers interface {
	// Broadcast sends payload to every live peer, without promise.
	Broadcast(topic string, payload []byte)
	// Call asks one peer and returns its answer.
	Call(ctx context.Context, to fleet.VM, method string, payload []byte) ([]byte, error)
}

// The defaults of Options.
const (
	DefaultPoll     = 5 * time.Second
	DefaultDigest   = 2 * time.Second
	DefaultJoinWait = 2 * time.Second
	// DefaultLostAfter outlasts the restart of a node and a short partition.
	DefaultLostAfter = time.Minute
)

// Options set up a Keeper.
type Options struct {
	Table platform.Table
	Peers Peers             // nil: the node is alone
	Nodes func() []fleet.VM // the other live nodes; nil: none
	Now   func() time.Time  // wall clock for the time of acceptance; nil: time.Now
	// Poll is the shortest time between two reads of the table's head by this
	// node; with many nodes it grows, see PollInterval. Default 5s.
	Poll time.Duration
	// Digest is the shortest time between two announcements of the highest
	// revision; with many nodes it grows, see DigestInterval. Default 2s.
	Digest time.Duration
	// JoinWait is how long a starting node waits for the answer of a peer
	// before it trusts the table alone. Default 2s; negative: not at all.
	JoinWait time.Duration
	// LostAfter is how long nothing is accepted after a peer told of a revision
	// that can be had neither from a peer nor from the table. Default 1m.
	LostAfter time.Duration
	Seed      uint64 // of the jitter
	Log       *slog.Logger
	Metrics   prometheus.Registerer // nil: not registered
}

func (o *Options) setDefaults() {
	if o.Nodes == nil {
		o.Nodes = func() []fleet.VM { return nil }
	}
	if o.Peers == nil {
		o.Peers, o.JoinWait = noPeers{}, -1
	}
	if o.Poll <= 0 {
		o.Poll = DefaultPoll
	}
	if o.Digest <= 0 {
		o.Digest = DefaultDigest
	}
	if o.JoinWait == 0 {
		o.JoinWait = DefaultJoinWait
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

// Keeper holds the configuration in force on this node, takes new ones and
// passes them on. All methods are safe for concurrent use.
type Keeper struct {
	opts    Options
	store   *Store
	metrics *metrics
	force   atomic.Pointer[inForce]

	mu          sync.Mutex // guards the three below
	state       State
	heardAt     time.Time // of the last word of a revision that is not held
	subscribers []chan struct{}

	// fetches holds the newest wish per peer ("" is the table). When it is
	// full a wish is dropped; the peer's next digest brings it back.
	fetches *ring.Latest[fleet.VM, fetch]
	// announce, heal and joined each stand for any number of wishes.
	announce chan struct{}
	heal     chan struct{}
	joined   chan struct{}
}

type inForce struct {
	stamp    Stamp
	document *config.Document
}

type fetch struct {
	from  fleet.VM // empty: the table
	stamp Stamp
}

const maxFetches = 256

// NewKeeper returns a keeper that knows no revision. Run makes it learn.
func NewKeeper(opts Options) *Keeper {
	opts.setDefaults()
	k := &Keeper{
		opts: opts, store: NewStore(opts.Table, opts.Now), metrics: newMetrics(opts.Metrics),
		fetches:  ring.NewLatest[fleet.VM, fetch](maxFetches),
		announce: make(chan struct{}, 1), heal: make(chan struct{}, 1), joined: make(chan struct{}),
	}
	k.force.Store(&inForce{})
	return k
}

// Current returns the revision in force: its number, document and hash. Number
// 0 and a nil document mean that none is known. The document is never changed.
func (k *Keeper) Current() (uint64, *config.Document, uint64) {
	f := k.force.Load()
	return f.stamp.Number, f.document, f.stamp.Hash
}

// Ready reports whether a revision is in force.
func (k *Keeper) Ready() bool { return k.force.Load().document != nil }

// Store returns the store that the keeper writes to.
func (k *Keeper) Store() *Store { return k.store }

// Subscribe returns a channel that receives after the revision in force
// changed; one receive stands for any number of changes.
func (k *Keeper) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, c)
	return c
}

// Run learns and passes on revisions until ctx ends. One goroutine each looks
// at the table, fetches, announces and heals.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { k.runJoin(ctx); return nil })
	g.Go(func() error { k.runPoll(ctx, k.random(1)); return nil })
	g.Go(func() error { k.runFetch(ctx); return nil })
	g.Go(func() error { k.runAnnounce(ctx, k.random(2)); return nil })
	g.Go(func() error { k.runHeal(ctx); return nil })
	return g.Wait()
}

func (k *Keeper) random(duty uint64) *rand.Rand { return rand.New(rand.NewPCG(k.opts.Seed, duty)) }

// learn lets the state take in an event and starts what follows from it.
func (k *Keeper) learn(e Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state, actions := Decide(k.state, e)
	wasJoined := k.state.Joined
	k.state = state
	k.metrics.seen.Set(float64(state.Seen.Number))
	if h, ok := e.(Heard); ok && h.Stamp.Compare(state.Highest()) > 0 {
		k.heardAt = time.Now()
	}
	if state.Joined && !wasJoined {
		close(k.joined)
	}
	for _, a := range actions {
		k.act(a)
	}
}

// act runs under the lock and does not block: the swap of the document is done
// here, what needs the network is handed to its goroutine.
func (k *Keeper) act(a Action) {
	switch a := a.(type) {
	case Install:
		k.install(a.Held)
	case FetchPeer:
		k.fetches.Put(a.From, fetch{from: a.From, stamp: a.Stamp})
	case FetchTable:
		k.fetches.Put("", fetch{stamp: a.Stamp})
	case Announce:
		wake(k.announce)
	case HealTable:
		wake(k.heal)
	case Report:
		k.metrics.clashes.Inc()
		k.opts.Log.Error("two revisions were accepted without knowledge of each other; apply the content of the loser again if it is still wanted",
			"winner", a.Winner.String(), "loser", a.Loser.String())
	case Refuse:
		k.metrics.refused.Inc()
		k.opts.Log.Error("revision cannot be used by this node, which keeps the one in force; run one version of the program on all nodes",
			"revision", a.Stamp.String())
	}
}

func (k *Keeper) install(h Held) {
	k.force.Store(&inForce{stamp: h.Stamp, document: h.Document})
	k.metrics.inForce.Set(float64(h.Stamp.Number))
	k.opts.Log.Info("configuration in force", "revision", h.Stamp.String(), "author", h.Author)
	for _, c := range k.subscribers {
		wake(c)
	}
}

func wake(c chan struct{}) {
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

func (k *Keeper) lastHeard() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heardAt
}

// hold parses a record's document for Got.
func (k *Keeper) hold(rec *Record) Held {
	d, err := config.Parse("", rec.Document)
	if err != nil {
		k.opts.Log.Error("document of a revision cannot be read", "revision", rec.Stamp.String(), "error", err)
		return Held{Record: rec}
	}
	return Held{Record: rec, Document: d}
}
