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

// ListPoller reads the platform's list of VMs into the view at an interval.
type ListPoller struct {
	List  Lister
	Clock clock.Clock
	View  *Merger
	Log   *slog.Logger
	// Interval is the interval between reads in a small fleet; default 1 s. It
	// grows with the number of nodes, so that all nodes together read at most
	// maxListReadsPerSecond times a second.
	Interval time.Duration
}

// maxListReadsPerSecond is the fleet's budget for reading the list, out of the
// platform's 2000 reads a second.
const maxListReadsPerSecond = 40

// Run polls until ctx ends. A failed read leaves the state as it is.
func (p *ListPoller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.pollOnce(ctx)
		sleep(ctx, p.interval())
	}
	return nil
}

func (p *ListPoller) interval() time.Duration {
	every := p.Interval
	if every == 0 {
		every = time.Second
	}
	nodes := len(p.View.Snapshot().Nodes) + 1
	return max(every, time.Duration(nodes)*time.Second/maxListReadsPerSecond)
}

func (p *ListPoller) pollOnce(ctx context.Context) {
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
