// Package probe asks the endpoints of this node's availability zone for their
// state, load and cache events, and puts the answers into the view.
//
// Each endpoint is watched by two nodes, the highest in rendezvous order for
// it, so that the number of probes does not grow with the number of nodes. One
// goroutine keeps the schedule; a bounded pool of workers sends the probes.
package probe

import (
	"context"
	"math/rand/v2"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Endpoints is the part of the endpoints' client that probes need. Plain
// services answer State with their VM, boot id and whether they are leaving.
type Endpoints interface {
	State(ctx context.Context, addr string) (fleet.EngineState, error)
	LoadReport(ctx context.Context, addr string) (fleet.Load, error)
	CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error)
}

// Sink takes the results; it never blocks.
type Sink interface{ Put(view.Event) }

// Settings tune the prober; zero values stand for the defaults.
type Settings struct {
	Period    time.Duration // between probes of one endpoint; default 300 ms
	Timeout   time.Duration // of one probe; default 250 ms
	LoadEvery time.Duration // between load reports of one endpoint; default 600 ms
	Watchers  int           // nodes that watch an endpoint; default 2
	Workers   int           // probes in flight at once; default 96
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

// jitter spreads d over 0.8 d .. 1.2 d, so that probes of many endpoints and
// nodes do not fall into step.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rng.Float64()))
}
