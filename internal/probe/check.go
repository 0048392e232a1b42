package probe

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// ErrNotWhole is wrapped by the errors of Check.
var ErrNotWhole = errors.New("probe: the group is not whole")

// Probe probes the members now and returns until when the answers are fresh, and
// whether every member reports the group's generation and the boot id that it
// names. Calls for the same generation at the same time share one round of
// probes: many requests may find a group stale at once. The answers go into the
// view as well.
func (p *Prober) Probe(ctx context.Context, g *view.Group) (clock.Instant, bool) {
	until, err := p.check(ctx, &g.Group)
	return until, err == nil
}

// Check is Probe for callers that need the reason.
func (p *Prober) Check(ctx context.Context, g *fleet.Group) error {
	_, err := p.check(ctx, g)
	return err
}

func (p *Prober) check(ctx context.Context, g *fleet.Group) (clock.Instant, error) {
	if len(g.Members) == 0 {
		return 0, fmt.Errorf("%w: %s has no members", ErrNotWhole, g.ID)
	}
	key := fmt.Sprintf("%s/%d", g.ID, g.Generation)
	shared := p.checks.DoChan(key, func() (any, error) {
		// Not ended with the first caller: the others wait for it too.
		return p.round(context.WithoutCancel(ctx), g)
	})
	select {
	case r := <-shared:
		return r.Val.(clock.Instant), r.Err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %s: %w", ErrNotWhole, g.ID, ctx.Err())
	}
}

// round probes all members at once and returns until when the oldest answer is
// fresh.
func (p *Prober) round(ctx context.Context, g *fleet.Group) (clock.Instant, error) {
	var mu sync.Mutex
	oldest := p.clock.Now()
	var eg errgroup.Group
	for i := range g.Members {
		m := &g.Members[i]
		eg.Go(func() error {
			sent, err := p.checkMember(ctx, g, m)
			mu.Lock()
			defer mu.Unlock()
			oldest = min(oldest, sent)
			return err
		})
	}
	err := eg.Wait()
	return oldest.Add(p.fresh()), err
}

func (p *Prober) checkMember(ctx context.Context, g *fleet.Group, m *fleet.Member) (clock.Instant, error) {
	sent := p.clock.Now()
	st, err := p.state(ctx, fleet.Record{VM: m.VM, Addr: m.Addr})
	if err != nil {
		// Failures stays 0: checks of many requests may fail at once, which
		// must not look like many probes in a row.
		p.sink.Put(view.Probed{VM: m.VM, Sent: sent, Failing: sent})
		return sent, fmt.Errorf("%w: %s: %w", ErrNotWhole, m.VM, err)
	}
	p.sink.Put(view.Probed{VM: m.VM, Sent: sent, RTT: p.clock.Now().Sub(sent), Answered: true, State: st})
	if why := view.StateFault(g, m, &st); why != "" {
		return sent, fmt.Errorf("%w: %s %s", ErrNotWhole, m.VM, why)
	}
	return sent, nil
}

// fresh is the age up to which a probe lets a group serve.
func (p *Prober) fresh() time.Duration {
	if doc := p.source.Snapshot().Config; doc != nil {
		return doc.Policy.ProbeFresh.Or(view.DefaultProbeFresh)
	}
	return view.DefaultProbeFresh
}
