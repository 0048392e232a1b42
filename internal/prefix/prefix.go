// Package prefix maintains an approximate set of the prompt prefixes in each engine's
// cache, updated by cache events that arrive late and with gaps.
//
// The set is a hint: a prefix in it is probably cached, and a missing one may be cached
// too. The set is bounded per engine, cleared when the engine restarts, and partly
// dropped after a gap. An Index must be used by one goroutine only; the maps it returns
// are never modified and may be shared.
package prefix

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

// DefaultLimit is the default maximum number of prefixes per engine.
const DefaultLimit = 2048

// Stats holds the counters of one engine since its last restart.
type Stats struct {
	Entries          int
	Events           uint64
	Gaps             uint64
	MissedEvents     uint64 // events missing in the gaps
	DroppedAfterGaps uint64 // entries dropped because of gaps
	evictions        uint64
}

// Index holds one set per engine.
type Index struct {
	limit int
	sets  map[fleet.VM]*cacheSet
}

// New returns an Index with up to limit prefixes per engine, or DefaultLimit if limit is
// 0.
func New(limit int) *Index {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Index{limit: limit, sets: make(map[fleet.VM]*cacheSet)}
}

// Apply applies events of one incarnation of an engine, in any order. A different boot ID
// clears the set first, because the cache of a restarted engine is empty.
func (x *Index) Apply(vm fleet.VM, boot fleet.BootID, events []engine.CacheEvent, now clock.Instant) {
	s, ok := x.sets[vm]
	if !ok || s.boot != boot {
		s = newCacheSet(boot, x.limit)
		x.sets[vm] = s
	}
	for _, ev := range events {
		s.apply(ev, now)
	}
	s.dropDoubted(now)
}

// Prefixes returns the prefixes that are probably in the engine's cache, or nil if the engine
// is unknown. It returns the same map until the set is rebuilt.
func (x *Index) Prefixes(vm fleet.VM, now clock.Instant) map[uint64]struct{} {
	s, ok := x.sets[vm]
	if !ok {
		return nil
	}
	s.dropDoubted(now)
	return s.publish(now)
}

// PrefixesChanged returns the prefixes of an engine and whether they differ from those of the
// previous call. The first call for an incarnation always reports a change, so that the
// prefixes published for the previous incarnation are replaced.
func (x *Index) PrefixesChanged(vm fleet.VM, now clock.Instant) (map[uint64]struct{}, bool) {
	s, ok := x.sets[vm]
	if !ok {
		return nil, false
	}
	s.dropDoubted(now)
	m := s.publish(now)
	changed := s.reportedBuild != s.builds
	s.reportedBuild = s.builds
	return m, changed
}

// LastSequence returns the highest sequence number received from the incarnation, for requesting
// later events; 0 if the incarnation is unknown.
func (x *Index) LastSequence(vm fleet.VM, boot fleet.BootID) uint64 {
	if s, ok := x.sets[vm]; ok && s.boot == boot {
		return s.lastSequence
	}
	return 0
}

// Remove removes an engine.
func (x *Index) Remove(vm fleet.VM) { delete(x.sets, vm) }

// Stats returns the counters of an engine's current incarnation.
func (x *Index) Stats(vm fleet.VM) Stats {
	s, ok := x.sets[vm]
	if !ok {
		return Stats{}
	}
	st := s.stats
	st.Entries = len(s.index)
	return st
}
