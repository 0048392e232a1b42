// Package probe requests the state, load and cache events of the endpoints in this node's
// availability zone, and puts the results into the view.
//
// Each endpoint is watched by two nodes, the two with the highest rendezvous rank for it,
// so that the number of probes does not grow with the number of nodes. One goroutine runs
// the schedule; a bounded pool of workers sends the probes.
package probe

import (
	"context"
	"math/rand/v2"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Endpoints is the part of the endpoint client used for probes. Plain services report in
// State only their VM, boot ID and whether they are leaving.
type Endpoints interface {
	State(ctx context.Context, addr string) (fleet.EngineState, error)
	LoadReport(ctx context.Context, addr string) (fleet.Load, error)
	CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error)
}

// Sink receives the results. Put must not block.
type Sink interface{ Put(view.Event) }

// Settings configures a Prober. Zero values are replaced by the defaults.
type Settings struct {
	Period    time.Duration // interval between probes of one endpoint; default 300 ms
	Timeout   time.Duration // timeout of one probe; default 250 ms
	LoadEvery time.Duration // interval between load reports of one endpoint; default 600 ms
	Watchers  int           // number of nodes that watch an endpoint; default 2
	Workers   int           // maximum probes in flight; default 96
}

func (s Settings) withDefaults() Settings {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.Period, 300*time.Millisecond)
	def(&s.Timeout, 250*time.Millisecond)
	def(&s.LoadEvery, 600*time.Millisecond)
	if s.Watchers == 0 {
		s.Watchers = 2
	}
	if s.Workers == 0 {
		s.Workers = 96
	}
	return s
}

// jitter returns a random duration between 0.8 d and 1.2 d, so that probes of many
// endpoints and nodes do not synchronize.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rng.Float64()))
}
