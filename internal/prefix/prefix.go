// Package prefix keeps an approximate set of the prompt prefixes in each
// engine's cache, fed by cache events that come late and with gaps.
//
// The set is a hint: a prefix in it is probably cached, one that is missing may
// be cached all the same. It is bounded per engine, it is emptied when the
// engine restarts, and it is distrusted after a gap. An Index belongs to one
// goroutine; the maps that it hands out are never changed and may be shared.
package prefix

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

// DefaultLimit is the number of prefixes kept for an engine.
const DefaultLimit = 2048

// Stats counts what was seen of one engine in its present life.
type Stats struct {
	Entries    int
	Events     uint64
	Gaps       uint64
	Missed     uint64 // events that the gaps swallowed
	Distrusted uint64 // entries dropped for gaps
	evictions  uint64
}

// Index holds one set for each engine.
type Index struct {
	limit int
	sets  map[fleet.VM]*set
}

// New returns an index that keeps up to limit prefixes for each engine; 0 stands
// for DefaultLimit.
func New(limit int) *Index {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Index{limit: limit, sets: make(map[fleet.VM]*set)}
}

// Apply takes the events of one life of an engine, in any order. Events of
// another life empty the set first: a restarted engine's cache is cold.
func (x *Index) Apply(vm fleet.VM, boot fleet.BootID, events []engine.CacheEvent, now clock.Instant) {
	s, ok := x.sets[vm]
	if !ok || s.boot != boot {
		s = newSet(boot, x.limit)
		x.sets[vm] = s
	}
	for _, ev := range events {
		s.apply(ev, now)
	}
	s.settle(now)
}

// Set returns the prefixes believed to be in the engine's cache, or nil when
// nothing is known. The same map comes back until the set has changed.
func (x *Index) Set(vm fleet.VM, now clock.Instant) map[uint64]struct{} {
	s, ok := x.sets[vm]
	if !ok {
		return nil
	}
	s.settle(now)
	return s.publish(now)
}

// Changed returns what Set returns and whether it differs from what the last
// call returned. The first call in a life of the engine counts as a change: what
// was told of the life before must be replaced.
func (x *Index) Changed(vm fleet.VM, now clock.Instant) (map[uint64]struct{}, bool) {
	s, ok := x.sets[vm]
	if !ok {
		return nil, false
	}
	s.settle(now)
	m := s.publish(now)
	changed := s.told != s.builds
	s.told = s.builds
	return m, changed
}

// Last returns the highest sequence seen of the engine's life, to ask for the
// events after it; 0 when the life is not known.
func (x *Index) Last(vm fleet.VM, boot fleet.BootID) uint64 {
	if s, ok := x.sets[vm]; ok && s.boot == boot {
		return s.last
	}
	return 0
}

// Forget drops an engine that is gone.
func (x *Index) Forget(vm fleet.VM) { delete(x.sets, vm) }

// Stats returns the counts of an engine's present life.
func (x *Index) Stats(vm fleet.VM) Stats {
	s, ok := x.sets[vm]
	if !ok {
		return Stats{}
	}
	st := s.stats
	st.Entries = len(s.index)
	return st
}
