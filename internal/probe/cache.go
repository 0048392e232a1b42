package probe

import (
	"context"

	"chervilloom/internal/fleet"
	"chervilloom/internal/prefix"
	"chervilloom/internal/view"
)

func newCache() *prefix.Index { return prefix.New(prefix.DefaultLimit) }

// updateCache applies the engine's new cache events to the target's index, which belongs
// to the worker that probes the target.
func (p *Prober) updateCache(ctx context.Context, t *target, boot fleet.BootID) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
	defer cancel()
	events, err := p.endpoints.CacheEvents(ctx, t.record.Addr, t.cache.LastSequence(t.record.VM, boot))
	if err != nil {
		return // only a hint; the next poll requests events from the same sequence number
	}
	now := p.clock.Now()
	t.cache.Apply(t.record.VM, boot, events, now)
	if set, changed := t.cache.PrefixesChanged(t.record.VM, now); changed {
		p.sink.Put(view.CacheReported{VM: t.record.VM, Boot: boot, Prefixes: set})
	}
}
