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

// ErrGroupIncomplete is wrapped by the errors of Check.
var ErrGroupIncomplete = errors.New("probe: the group is not whole")

// Probe probes all members immediately. It returns the time until which the results are
// fresh, and whether every member reports the group's generation and its expected boot
// ID. Concurrent calls for the same generation share one round of probes, because many
// requests may find a group stale at once. The results are also put into the view.
func (p *Prober) Probe(ctx context.Context, g *view.Group) (clock.Instant, bool) {
	until, err := p.check(ctx, &g.Group)
	return until, err == nil
}

// Check is like Probe but returns the reason as an error.
func (p *Prober) Check(ctx context.Context, g *fleet.Group) error {
	_, err := p.check(ctx, g)
	return err
}

func (p *Prober) check(ctx context.Context, g *fleet.Group) (clock.Instant, error) {
	if len(g.Members) == 0 {
		return 0, fmt.Errorf("%w: %s has no members", ErrGroupIncomplete, g.ID)
	}
	key := fmt.Sprintf("%s/%d", g.ID, g.Generation)
	shared := p.checks.DoChan(key, func() (any, error) {
		// Not cancelled with the first caller: the other callers need the result.
		return p.probeMembers(context.WithoutCancel(ctx), g)
	})
	select {
	case r := <-shared:
		return r.Val.(clock.Instant), r.Err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %s: %w", ErrGroupIncomplete, g.ID, ctx.Err())
	}
}

// probeMembers probes all members concurrently and returns the time until which the
// oldest result is fresh.
func (p *Prober) probeMembers(ctx context.Context, g *fleet.Group) (clock.Instant, error) {
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
	return oldest.Add(p.freshDuration()), err
}

func (p *Prober) checkMember(ctx context.Context, g *fleet.Group, m *fleet.Member) (clock.Instant, error) {
	sent := p.clock.Now()
	st, err := p.fetchState(ctx, fleet.Record{VM: m.VM, Addr: m.Addr})
	if err != nil {
		// Failures stays 0: the checks of many requests may fail at once, and must not
		// count as consecutive probe failures.
		p.sink.Put(view.Probed{VM: m.VM, Sent: sent, FailingSince: sent})
		return sent, fmt.Errorf("%w: %s: %w", ErrGroupIncomplete, m.VM, err)
	}
	p.sink.Put(view.Probed{VM: m.VM, Sent: sent, RTT: p.clock.Now().Sub(sent), Answered: true, State: st})
	if fault := view.MemberFault(g, m, &st); fault != "" {
		return sent, fmt.Errorf("%w: %s %s", ErrGroupIncomplete, m.VM, fault)
	}
	return sent, nil
}

// freshDuration returns the maximum age of a probe result with which a group may serve.
func (p *Prober) freshDuration() time.Duration {
	if doc := p.source.Snapshot().Config; doc != nil {
		return doc.Policy.ProbeFresh.Or(view.DefaultProbeFresh)
	}
	return view.DefaultProbeFresh
}
