// Package engine is a small stand-in for one engine VM: it takes orders, loads
// models, batches requests, caches prefixes, streams deterministic answers and
// reports its load late. Its faults can be switched while it runs.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/standin/pressure"
)

// Defaults of the options.
const (
	DefaultSlots                  = 8
	DefaultTokensPerSecond        = 50
	DefaultPrefillPerSecond       = 5000
	DefaultQueueLimit             = 256
	DefaultCachePrefixes          = 1024
	DefaultLoadLag                = 500 * time.Millisecond
	DefaultCacheEventLag          = time.Second
	DefaultLoadTime               = time.Second
	DefaultPeerInterval           = 100 * time.Millisecond
	DefaultPeerLost               = 10 * time.Second
	DefaultStreamKept             = time.Minute
	DefaultOrphanAfter            = 10 * time.Second
	minPeerTimeout                = 250 * time.Millisecond
	peerDialTimeout               = time.Second
	peerIdleTimeout               = 10 * time.Second
	streamsKept                   = 1024
	shutdownCause           cause = "the engine was closed"
	restartCause            cause = "the engine restarted"
)

// cause is why a life or a replica ended.
type cause string

// Error implements error.
func (c cause) Error() string { return string(c) }

// Options describe a stand-in engine. Zero values stand for the defaults.
type Options struct {
	VM                     fleet.VM               `yaml:"vm"`
	Zone                   fleet.AvailabilityZone `yaml:"zone"`
	Domain                 fleet.FabricDomain     `yaml:"domain"`
	Accelerators           int                    `yaml:"accelerators"`
	Slots                  int                    `yaml:"slots"`                     // requests that run at once
	QueueLimit             int                    `yaml:"queue_limit"`               // requests that may wait
	TokensPerSecond        float64                `yaml:"tokens_per_second"`         // of one request
	PrefillTokensPerSecond float64                `yaml:"prefill_tokens_per_second"` // prompt tokens that are not cached
	CachePrefixes          int                    `yaml:"cache_prefixes"`            // size of the prefix cache, in blocks
	LoadLag                config.Duration        `yaml:"load_lag"`
	CacheEventLag          config.Duration        `yaml:"cache_event_lag"`
	CacheGapEvery          int                    `yaml:"cache_gap_every"` // every n-th cache event is lost; 0: none
	CheckFence             bool                   `yaml:"check_fence"`     // refuse orders with an old fence
	LoadTime               config.Duration        `yaml:"load_time"`       // to load weights; Immediately: none
	PeerInterval           config.Duration        `yaml:"peer_interval"`   // between checks of the other members
	PeerLost               config.Duration        `yaml:"peer_lost"`       // silence of a member that kills the replica
	StreamKept             config.Duration        `yaml:"stream_kept"`     // how long an ended stream can be resumed
	OrphanAfter            config.Duration        `yaml:"orphan_after"`    // a stream that nobody reads is cancelled
	Objects                platform.Objects       `yaml:"-"`               // for KV moves; nil: they are refused
	Clock                  clock.Clock            `yaml:"-"`               // for lags and loading; default clock.Boot
}

// Immediately as Options.LoadTime, LoadLag or CacheEventLag stands for no time.
const Immediately = config.Duration(-1)

func (o *Options) setDefaults() {
	o.Slots = orInt(o.Slots, DefaultSlots)
	o.QueueLimit = orInt(o.QueueLimit, DefaultQueueLimit)
	o.CachePrefixes = orInt(o.CachePrefixes, DefaultCachePrefixes)
	if o.TokensPerSecond == 0 {
		o.TokensPerSecond = DefaultTokensPerSecond
	}
	if o.PrefillTokensPerSecond == 0 {
		o.PrefillTokensPerSecond = DefaultPrefillPerSecond
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}

func orInt(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// lagOr returns d, the default when it is zero, or none when it is negative.
func lagOr(d config.Duration, def time.Duration) time.Duration {
	return max(d.Or(def), 0)
}

// Faults are the switches of a stand-in engine.
type Faults struct {
	fault.Stages
	// Stall pauses the process: it answers nothing and generates nothing.
	Stall bool `json:"stall"`
	// Straggle makes each token take that many times as long; 0 stands for 1.
	Straggle float64 `json:"straggle"`
	// CutStreams cuts that many streamed answers after CutAfter tokens.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// CleanEOF makes a cut stream, and the streams of a replica that lost a
	// member, end like a whole answer but without the end marker.
	CleanEOF bool `json:"clean_eof"`
	// CacheGapEvery loses every n-th cache event; 0: none.
	CacheGapEvery int `json:"cache_gap_every"`
}

// Engine is the stand-in of one engine VM. It is an http.Handler and safe for
// concurrent use. Close ends its goroutines.
type Engine struct {
	opts   Options
	clock  clock.Clock
	mux    *http.ServeMux
	peers  *http.Transport
	slots  *slots
	stages fault.Switch
	gate   fault.Gate // shut while stalled
	runs   *fault.Executions
	work   sync.WaitGroup

	// Pressure is what the engine says of how much it takes, and who kept to it.
	Pressure pressure.Endpoint

	mu       sync.Mutex
	life     context.Context // ends at a restart
	endLife  context.CancelCauseFunc
	state    fleet.EngineState // Loaded is worked out from loadedAt and replica
	loadedAt clock.Instant
	replica  *replica // nil: in no group
	streams  map[string]*stream
	ended    []endedStream // in order of their end
	cache    *prefixCache
	load     *loadHistory
	faults   Faults
	order    engine.Order // the newest accepted
}

type endedStream struct {
	id string
	at clock.Instant
}

// New returns an engine in no group, with a fresh boot id.
func New(o Options) *Engine {
	o.setDefaults()
	e := &Engine{
		opts:  o,
		clock: o.Clock,
		peers: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			IdleConnTimeout: peerIdleTimeout,
		},
		runs: fault.NewExecutions(),
	}
	e.faults.CacheGapEvery = o.CacheGapEvery
	e.slots = newSlots(o.Slots, o.QueueLimit, e.recordLoad)
	e.mu.Lock()
	e.boot()
	e.mu.Unlock()
	e.mux = e.routes()
	return e
}

// boot starts a life that knows nothing of those before. e.mu is held.
func (e *Engine) boot() {
	e.life, e.endLife = context.WithCancelCause(context.Background())
	e.state = fleet.EngineState{VM: e.opts.VM, Boot: fleet.BootID(uuid.NewString())}
	e.replica = nil
	e.order = engine.Order{}
	e.streams = make(map[string]*stream)
	e.ended = nil
	e.cache = newPrefixCache(e.opts.CachePrefixes)
	e.cache.gapEvery = e.faults.CacheGapEvery
	e.load = &loadHistory{lag: lagOr(e.opts.LoadLag, DefaultLoadLag)}
	e.load.record(e.clock.Now(), e.loadNow(0, 0))
}

// Restart ends the engine's life and begins another: running streams break, all
// is forgotten, and the same address answers with a new boot id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLife(restartCause)
	e.boot()
}

// Close breaks what runs and waits until the engine's goroutines have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.endLife(shutdownCause)
	e.mu.Unlock()
	e.gate.Set(false)
	e.work.Wait()
	e.peers.CloseIdleConnections()
}

// Record returns the engine's row for the platform's list of VMs.
func (e *Engine) Record(addr string) fleet.Record {
	return fleet.Record{
		VM: e.opts.VM, Kind: fleet.KindEngine, Addr: addr, Zone: e.opts.Zone,
		Domain: e.opts.Domain, Accelerators: orInt(e.opts.Accelerators, 1), State: fleet.StateLive,
	}
}

// State returns what the engine reports of itself.
func (e *Engine) State() fleet.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateNow()
}

// stateNow returns the state with Loaded worked out. A replica that lost a
// member reports that nothing is loaded. e.mu is held.
func (e *Engine) stateNow() fleet.EngineState {
	s := e.state
	s.Loaded = e.replica != nil && e.replica.ctx.Err() == nil && !e.clock.Now().Before(e.loadedAt)
	return s
}

// Leave makes the engine refuse new requests until it restarts.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = true
}

// Faults returns the faults with what is left of their counts.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	f.Stages = e.stages.Get()
	return f
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.stages.Set(f.Stages)
	e.gate.Set(f.Stall)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.cache.gapEvery = f.CacheGapEvery
}

// Executions returns how often the request with the given X-Request-Id ran.
func (e *Engine) Executions(id string) int { return e.runs.Count(id) }

// recordLoad is told of each change by the slots.
func (e *Engine) recordLoad(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.record(e.clock.Now(), e.loadNow(running, waiting))
}

// loadNow returns the present load. TokensPerSecond is the speed of one request.
func (e *Engine) loadNow(running, waiting int) fleet.Load {
	return fleet.Load{
		VM: e.opts.VM, Boot: e.state.Boot, Running: running, Waiting: waiting,
		CacheUsed: e.cache.used(), TokensPerSecond: e.opts.TokensPerSecond / straggleOf(e.faults),
		Slots: e.opts.Slots,
	}
}

func straggleOf(f Faults) float64 {
	if f.Straggle == 0 {
		return 1
	}
	return f.Straggle
}
