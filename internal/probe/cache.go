package probe

import (
	"context"

	"chervilloom/internal/fleet"
	"chervilloom/internal/prefix"
	"chervilloom/internal/view"
)

func newCache() *prefix.Index { return prefix.New(prefix.DefaultLimit) }

// cacheEvents folds the engine's newest cache events into the target's index,
// which belongs to the worker that probes the target.
func (p *Prober) cacheEvents(ctx context.Context, t *target, boot fleet.BootID) {
	ctx, cancel := context.WithTimeout(ctx, p.set.Timeout)
	defer cancel()
	events, err := p.endpoints.CacheEvents(ctx, t.rec.Addr, t.cache.Last(t.rec.VM, boot))
	if err != nil {
		return // a hint; the next poll asks from the same sequence on
	}
	now := p.clock.Now()
	t.cache.Apply(t.rec.VM, boot, events, now)
	if set, changed := t.cache.Changed(t.rec.VM, now); changed {
		p.sink.Put(view.Cached{VM: t.rec.VM, Boot: boot, Prefixes: set})
	}
}
