// Package engine is a stand-in for one engine VM: it executes orders, simulates
// loading models, batches requests, caches prefixes, streams deterministic answers
// and reports its load with a lag. Faults can be injected while it runs.
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

// Defaults of Options, limits and timeouts of the engine, and the causes with which
// a boot ends.
const (
	DefaultSlots                        = 8
	DefaultTokensPerSecond              = 50
	DefaultPrefillTokensPerSecond       = 5000
	DefaultQueueLimit                   = 256
	DefaultCachePrefixes                = 1024
	DefaultLoadLag                      = 500 * time.Millisecond
	DefaultCacheEventLag                = time.Second
	DefaultLoadTime                     = time.Second
	DefaultPeerInterval                 = 100 * time.Millisecond
	DefaultPeerLossTimeout              = 10 * time.Second
	DefaultStreamRetention              = time.Minute
	DefaultOrphanTimeout                = 10 * time.Second
	minPeerTimeout                      = 250 * time.Millisecond
	peerDialTimeout                     = time.Second
	peerIdleTimeout                     = 10 * time.Second
	maxEndedStreams                     = 1024
	shutdownCause                 cause = "the engine was closed"
	restartCause                  cause = "the engine restarted"
)

// cause is the reason for the end of a boot of the engine, as an error.
type cause string

// Error implements error.
func (c cause) Error() string { return string(c) }

// Options configures a stand-in engine. Zero values select the defaults.
type Options struct {
	VM                     fleet.VM               `yaml:"vm"`
	Zone                   fleet.AvailabilityZone `yaml:"zone"`
	Domain                 fleet.FabricDomain     `yaml:"domain"`
	Accelerators           int                    `yaml:"accelerators"`
	Slots                  int                    `yaml:"slots"`                     // requests that run concurrently
	QueueLimit             int                    `yaml:"queue_limit"`               // requests that may wait for a slot
	TokensPerSecond        float64                `yaml:"tokens_per_second"`         // decode speed of one request
	PrefillTokensPerSecond float64                `yaml:"prefill_tokens_per_second"` // speed for prompt tokens that are not cached
	CachePrefixes          int                    `yaml:"cache_prefixes"`            // capacity of the prefix cache, in blocks
	LoadLag                config.Duration        `yaml:"load_lag"`
	CacheEventLag          config.Duration        `yaml:"cache_event_lag"`
	CacheGapEvery          int                    `yaml:"cache_gap_every"` // every n-th cache event is lost; 0 loses none
	CheckFence             bool                   `yaml:"check_fence"`     // refuse orders with an outdated fence
	LoadTime               config.Duration        `yaml:"load_time"`       // time to load weights
	PeerInterval           config.Duration        `yaml:"peer_interval"`   // between health checks of the other members
	PeerLossTimeout        config.Duration        `yaml:"peer_lost"`       // time without a reply from a member that ends the replica
	StreamRetention        config.Duration        `yaml:"stream_kept"`     // how long an ended stream can be resumed
	OrphanTimeout          config.Duration        `yaml:"orphan_after"`    // time without a reader that cancels a stream
	Objects                platform.Objects       `yaml:"-"`               // store for KV transfers; nil refuses them
	Clock                  clock.Clock            `yaml:"-"`               // for lags and loading; default clock.Boot
}

// NoDelay as Options.LoadTime, LoadLag, CacheEventLag or OrphanTimeout means no
// delay; zero would select the default.
const NoDelay = config.Duration(-1)

func (o *Options) setDefaults() {
	o.Slots = intOrDefault(o.Slots, DefaultSlots)
	o.QueueLimit = intOrDefault(o.QueueLimit, DefaultQueueLimit)
	o.CachePrefixes = intOrDefault(o.CachePrefixes, DefaultCachePrefixes)
	if o.TokensPerSecond == 0 {
		o.TokensPerSecond = DefaultTokensPerSecond
	}
	if o.PrefillTokensPerSecond == 0 {
		o.PrefillTokensPerSecond = DefaultPrefillTokensPerSecond
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}

func intOrDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// delayOrDefault returns d, or def if d is zero, or 0 if d is negative.
func delayOrDefault(d config.Duration, def time.Duration) time.Duration {
	return max(d.Or(def), 0)
}

// Faults are the faults that can be injected into a stand-in engine.
type Faults struct {
	fault.Stages
	// Stall simulates a paused process: no calls are answered and no tokens are
	// generated.
	Stall bool `json:"stall"`
	// Straggle multiplies the time per token; 0 means 1.
	Straggle float64 `json:"straggle"`
	// CutStreams cuts the next CutStreams streamed answers after CutAfter tokens;
	// a negative value cuts all of them.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// CleanEOF ends cut streams, and the streams of a replica that lost a member,
	// with a regular end of the response, but without the end marker.
	CleanEOF bool `json:"clean_eof"`
	// CacheGapEvery loses every n-th cache event; 0 loses none.
	CacheGapEvery int `json:"cache_gap_every"`
}

// Engine is the stand-in for one engine VM. It is an http.Handler and safe for
// concurrent use. Close stops its goroutines.
type Engine struct {
	opts          Options
	clock         clock.Clock
	mux           *http.ServeMux
	peerTransport *http.Transport
	slots         *slots
	stages        fault.Injector
	gate          fault.Gate // shut while stalled
	executions    *fault.Executions
	work          sync.WaitGroup

	// Pressure adds rate limits, backoffs and leaving notices to the answers and
	// checks that callers comply with them.
	Pressure pressure.Monitor

	mu         sync.Mutex
	bootCtx    context.Context // done at a restart
	cancelBoot context.CancelCauseFunc
	state      fleet.EngineState // without Loaded, which currentState computes
	loadedAt   clock.Instant     // end of loading
	replica    *replica          // nil while in no group
	streams    map[string]*stream
	ended      []endedStream // in order of their end
	cache      *prefixCache
	load       *loadHistory
	faults     Faults
	joinOrder  engine.Order // the join order in force
}

type endedStream struct {
	id string
	at clock.Instant
}

// New returns an engine in no group, with a new boot id.
func New(o Options) *Engine {
	o.setDefaults()
	e := &Engine{
		opts:  o,
		clock: o.Clock,
		peerTransport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			IdleConnTimeout: peerIdleTimeout,
		},
		executions: fault.NewExecutions(),
	}
	e.faults.CacheGapEvery = o.CacheGapEvery
	e.slots = newSlots(o.Slots, o.QueueLimit, e.recordLoad)
	e.mu.Lock()
	e.startBoot()
	e.mu.Unlock()
	e.mux = e.routes()
	return e
}

// startBoot starts a new boot with a new boot id and empty state. The caller holds e.mu.
func (e *Engine) startBoot() {
	e.bootCtx, e.cancelBoot = context.WithCancelCause(context.Background())
	e.state = fleet.EngineState{VM: e.opts.VM, Boot: fleet.BootID(uuid.NewString())}
	e.replica = nil
	e.joinOrder = engine.Order{}
	e.streams = make(map[string]*stream)
	e.ended = nil
	e.cache = newPrefixCache(e.opts.CachePrefixes)
	e.cache.gapEvery = e.faults.CacheGapEvery
	e.load = &loadHistory{lag: delayOrDefault(e.opts.LoadLag, DefaultLoadLag)}
	e.load.record(e.clock.Now(), e.currentLoad(0, 0))
}

// Restart simulates a restart of the VM: running streams are cut off, all state is
// lost, and the same address answers with a new boot id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelBoot(restartCause)
	e.startBoot()
}

// Close cuts off running streams and waits until the engine's goroutines have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancelBoot(shutdownCause)
	e.mu.Unlock()
	e.gate.Set(false)
	e.work.Wait()
	e.peerTransport.CloseIdleConnections()
}

// Record returns the engine's row for the platform's list of VMs.
func (e *Engine) Record(addr string) fleet.Record {
	return fleet.Record{
		VM: e.opts.VM, Kind: fleet.KindEngine, Addr: addr, Zone: e.opts.Zone,
		Domain: e.opts.Domain, Accelerators: intOrDefault(e.opts.Accelerators, 1), State: fleet.StateLive,
	}
}

// State returns the state that the engine reports.
func (e *Engine) State() fleet.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentState()
}

// currentState returns the state with Loaded computed; Loaded is false for a replica
// that lost a member. The caller holds e.mu.
func (e *Engine) currentState() fleet.EngineState {
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

// Faults returns the faults with their remaining counts.
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
func (e *Engine) Executions(id string) int { return e.executions.Count(id) }

// recordLoad records the load after each change of the slots.
func (e *Engine) recordLoad(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.record(e.clock.Now(), e.currentLoad(running, waiting))
}

// currentLoad returns the load at this moment. TokensPerSecond is the decode speed of
// one request.
func (e *Engine) currentLoad(running, waiting int) fleet.Load {
	return fleet.Load{
		VM: e.opts.VM, Boot: e.state.Boot, Running: running, Waiting: waiting,
		CacheUsed: e.cache.usage(), TokensPerSecond: e.opts.TokensPerSecond / straggleFactor(e.faults),
		Slots: e.opts.Slots,
	}
}

func straggleFactor(f Faults) float64 {
	if f.Straggle == 0 {
		return 1
	}
	return f.Straggle
}
