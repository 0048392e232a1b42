package prefix

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

const noSlot = int32(-1)

// entry is one prefix, linked in the order in which the engine stored them.
type entry struct {
	hash     uint64
	sequence uint64
	older    int32
	newer    int32
}

// doubt marks the entries that may have been evicted by missed events.
type doubt struct {
	upTo  uint64 // entries up to this sequence number may be evicted
	until clock.Instant
}

// cacheSet is the estimated cache content of one incarnation of an engine.
type cacheSet struct {
	boot            fleet.BootID
	limit           int
	lastSequence    uint64 // highest sequence number received; 0: none
	entries         []entry
	freeSlots       []int32
	index           map[uint64]int32
	oldest          int32
	newest          int32
	recentEvictions evictionLog
	doubts          []doubt
	stats           Stats

	published     map[uint64]struct{}
	builtAt       clock.Instant
	dirty         bool
	builds        uint64 // number of rebuilds of published
	reportedBuild uint64 // value of builds at the last call of PrefixesChanged
}

func newCacheSet(boot fleet.BootID, limit int) *cacheSet {
	return &cacheSet{boot: boot, limit: limit, index: make(map[uint64]int32), oldest: noSlot, newest: noSlot, dirty: true}
}

func (s *cacheSet) apply(ev engine.CacheEvent, now clock.Instant) {
	s.stats.Events++
	if s.lastSequence != 0 && ev.Sequence > s.lastSequence+1 {
		s.recordGap(ev.Sequence-s.lastSequence-1, now)
	}
	s.lastSequence = max(s.lastSequence, ev.Sequence)
	if ev.Evicted {
		s.stats.evictions++
		s.recentEvictions.add(ev.Prefix, ev.Sequence)
		s.removeBefore(ev.Prefix, ev.Sequence)
		return
	}
	// A late event must not undo a newer eviction.
	if s.recentEvictions.hasAfter(ev.Prefix, ev.Sequence) {
		return
	}
	s.store(ev.Prefix, ev.Sequence)
}

// recordGap handles missed events. Their number of evictions is estimated from the share
// of evictions among the received events; engines evict the least recently used prefixes,
// so this number of the oldest entries is dropped immediately. The remaining entries may
// still include evicted ones and are dropped after doubtDuration unless the engine stores
// them again. A wrong hint costs the computation of one prompt.
func (s *cacheSet) recordGap(missed uint64, now clock.Instant) {
	s.stats.Gaps++
	s.stats.MissedEvents += missed
	lost := uint64(float64(missed)*s.evictionShare() + 0.5)
	for ; lost > 0 && s.oldest != noSlot; lost-- {
		s.remove(s.oldest)
		s.stats.DroppedAfterGaps++
	}
	if n := len(s.doubts); n == maxDoubts {
		s.doubts[n-1].upTo = s.lastSequence
		return
	}
	s.doubts = append(s.doubts, doubt{upTo: s.lastSequence, until: now.Add(doubtDuration)})
}

func (s *cacheSet) evictionShare() float64 {
	if s.stats.Events < 16 {
		return 0.5
	}
	return float64(s.stats.evictions) / float64(s.stats.Events)
}

// dropDoubted drops the entries whose doubt has expired.
func (s *cacheSet) dropDoubted(now clock.Instant) {
	for len(s.doubts) > 0 && !now.Before(s.doubts[0].until) {
		s.dropUpTo(s.doubts[0].upTo)
		s.doubts = append(s.doubts[:0], s.doubts[1:]...)
	}
}

func (s *cacheSet) dropUpTo(sequence uint64) {
	for i := s.oldest; i != noSlot; {
		next := s.entries[i].newer
		if s.entries[i].sequence <= sequence {
			s.remove(i)
			s.stats.DroppedAfterGaps++
		}
		i = next
	}
}

func (s *cacheSet) store(hash, sequence uint64) {
	if i, ok := s.index[hash]; ok {
		if s.entries[i].sequence >= sequence {
			return
		}
		s.unlink(i)
		s.entries[i].sequence = sequence
		s.link(i)
		return
	}
	if len(s.index) >= s.limit {
		s.remove(s.oldest)
	}
	i := s.allocateSlot()
	s.entries[i] = entry{hash: hash, sequence: sequence}
	s.index[hash] = i
	s.link(i)
	s.dirty = true
}

func (s *cacheSet) allocateSlot() int32 {
	if n := len(s.freeSlots); n > 0 {
		i := s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
		return i
	}
	s.entries = append(s.entries, entry{})
	return int32(len(s.entries) - 1)
}

func (s *cacheSet) removeBefore(hash, sequence uint64) {
	if i, ok := s.index[hash]; ok && s.entries[i].sequence < sequence {
		s.remove(i)
	}
}

func (s *cacheSet) remove(i int32) {
	s.unlink(i)
	delete(s.index, s.entries[i].hash)
	s.freeSlots = append(s.freeSlots, i)
	s.dirty = true
}

func (s *cacheSet) link(i int32) {
	s.entries[i].older, s.entries[i].newer = s.newest, noSlot
	if s.newest != noSlot {
		s.entries[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}

func (s *cacheSet) unlink(i int32) {
	older, newer := s.entries[i].older, s.entries[i].newer
	if older != noSlot {
		s.entries[older].newer = newer
	} else {
		s.oldest = newer
	}
	if newer != noSlot {
		s.entries[newer].older = older
	} else {
		s.newest = older
	}
}

// publish returns the set as a map that is never modified afterwards. The map is rebuilt
// at most once per rebuildInterval, because a rebuild copies the whole set.
func (s *cacheSet) publish(now clock.Instant) map[uint64]struct{} {
	if !s.dirty || s.published != nil && now.Sub(s.builtAt) < rebuildInterval {
		return s.published
	}
	m := make(map[uint64]struct{}, len(s.index))
	for h := range s.index {
		m[h] = struct{}{}
	}
	s.published, s.builtAt, s.dirty = m, now, false
	s.builds++
	return m
}

// evictionLog keeps the latest evicted prefixes.
type evictionLog struct {
	ring [256]struct{ hash, sequence uint64 }
	next int
}

func (e *evictionLog) add(hash, sequence uint64) {
	e.ring[e.next].hash, e.ring[e.next].sequence = hash, sequence
	e.next = (e.next + 1) % len(e.ring)
}

// hasAfter reports whether hash was evicted by an event after sequence.
func (e *evictionLog) hasAfter(hash, sequence uint64) bool {
	for i := range e.ring {
		if e.ring[i].hash == hash && e.ring[i].sequence > sequence {
			return true
		}
	}
	return false
}

const (
	maxDoubts       = 8
	doubtDuration   = 2 * time.Minute
	rebuildInterval = 250 * time.Millisecond
)
