package view

import (
	"context"
	"log/slog"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Lister reads the platform's list of VMs.
type Lister interface {
	VMs(ctx context.Context) ([]fleet.Record, error)
}

// ListPoller reads the platform's list of VMs into the view.
type ListPoller struct {
	List  Lister
	Clock clock.Clock
	View  *Merger
	Log   *slog.Logger
	// Every is the interval between reads when there are few nodes; default
	// 1 s. With many nodes it grows, so that all nodes together read at most
	// listReads times a second.
	Every time.Duration
}

// listReads is the share of the platform's two thousand reads a second that
// reading the list may use.
const listReads = 40

// Run polls until ctx ends. A read that fails changes nothing: what was known
// stays known.
func (p *ListPoller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.once(ctx)
		pause(ctx, p.interval())
	}
	return nil
}

func (p *ListPoller) interval() time.Duration {
	every := p.Every
	if every == 0 {
		every = time.Second
	}
	nodes := len(p.View.Snapshot().Nodes) + 1
	return max(every, time.Duration(nodes)*time.Second/listReads)
}

func (p *ListPoller) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	sent := p.Clock.Now()
	records, err := p.List.VMs(ctx)
	if err != nil {
		p.Log.Debug("list of VMs not read", "err", err)
		return
	}
	p.View.Put(List{At: sent, Records: records})
}
