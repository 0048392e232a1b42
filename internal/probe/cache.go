package probe

import (
	"context"
	"maps"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// maxPrefixes bounds the prefixes that are remembered for one engine. The set
// is a hint for routing: a missing prefix costs a cache miss, nothing else.
const maxPrefixes = 1024

// cacheTracker folds an engine's cache events into a set of prefixes.
type cacheTracker struct {
	boot     fleet.BootID
	sequence uint64
	order    []uint64 // oldest first
	set      map[uint64]struct{}
}

// apply folds events in and reports whether the set changed. A gap means that
// evictions may have been missed: what was known before is forgotten, because
// a prefix wrongly believed cached draws load for nothing.
func (c *cacheTracker) apply(boot fleet.BootID, events []engine.CacheEvent) bool {
	changed := false
	if boot != c.boot {
		changed = len(c.set) > 0
		*c = cacheTracker{boot: boot}
	}
	if c.set == nil {
		c.set = map[uint64]struct{}{}
	}
	for _, e := range events {
		if e.Sequence <= c.sequence {
			continue // came late
		}
		if c.sequence != 0 && e.Sequence != c.sequence+1 {
			clear(c.set)
			c.order = c.order[:0]
		}
		c.sequence = e.Sequence
		c.one(e)
		changed = true
	}
	return changed
}

func (c *cacheTracker) one(e engine.CacheEvent) {
	if e.Evicted {
		delete(c.set, e.Prefix)
		return
	}
	if _, ok := c.set[e.Prefix]; ok {
		return
	}
	c.set[e.Prefix] = struct{}{}
	c.order = append(c.order, e.Prefix)
	for len(c.set) > maxPrefixes {
		delete(c.set, c.order[0])
		c.order = c.order[1:]
	}
	if len(c.order) > 2*maxPrefixes {
		c.compact()
	}
}

// compact drops evicted prefixes from the order.
func (c *cacheTracker) compact() {
	kept := c.order[:0]
	for _, p := range c.order {
		if _, ok := c.set[p]; ok {
			kept = append(kept, p)
		}
	}
	c.order = kept
}

func (p *Prober) cacheEvents(ctx context.Context, t *target, boot fleet.BootID) {
	after := t.cache.sequence
	if boot != t.cache.boot {
		after = 0
	}
	ctx, cancel := context.WithTimeout(ctx, p.set.Timeout)
	defer cancel()
	events, err := p.endpoints.CacheEvents(ctx, t.rec.Addr, after)
	if err != nil {
		return // a hint; the next poll asks from the same sequence on
	}
	if t.cache.apply(boot, events) {
		p.sink.Put(view.Cached{VM: t.rec.VM, Boot: boot, Prefixes: maps.Clone(t.cache.set)})
	}
}
