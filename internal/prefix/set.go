package prefix

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

const none = int32(-1)

// slot is one prefix, linked in the order in which the engine stored them.
type slot struct {
	hash     uint64
	sequence uint64
	older    int32
	newer    int32
}

// doubt marks what was believed when events were missed.
type doubt struct {
	upTo  uint64 // entries of this sequence or lower may be gone
	until clock.Instant
}

// set is what is believed of one engine's cache in one life.
type set struct {
	boot    fleet.BootID
	limit   int
	last    uint64 // highest sequence seen; 0: none
	slots   []slot
	free    []int32
	index   map[uint64]int32
	oldest  int32
	newest  int32
	evicted evictions
	doubts  []doubt
	stats   Stats

	published map[uint64]struct{}
	builtAt   clock.Instant
	dirty     bool
	builds    uint64 // of published
	told      uint64 // the build that Changed returned last
}

func newSet(boot fleet.BootID, limit int) *set {
	return &set{boot: boot, limit: limit, index: make(map[uint64]int32), oldest: none, newest: none, dirty: true}
}

func (s *set) apply(ev engine.CacheEvent, now clock.Instant) {
	s.stats.Events++
	if s.last != 0 && ev.Sequence > s.last+1 {
		s.gap(ev.Sequence-s.last-1, now)
	}
	s.last = max(s.last, ev.Sequence)
	if ev.Evicted {
		s.stats.evictions++
		s.evicted.add(ev.Prefix, ev.Sequence)
		s.removeBefore(ev.Prefix, ev.Sequence)
		return
	}
	// An event that comes late must not undo a newer eviction.
	if s.evicted.after(ev.Prefix, ev.Sequence) {
		return
	}
	s.store(ev.Prefix, ev.Sequence)
}

// gap distrusts the set after missed events. Some of them were evictions; the
// share of evictions among the events seen tells how many. Engines evict what
// was unused longest, so that many of the oldest are dropped at once. What is
// left may hold a few that are gone: it is dropped after doubtFor unless the
// engine stores it anew. A wrong hint costs the computing of one prompt.
func (s *set) gap(missed uint64, now clock.Instant) {
	s.stats.Gaps++
	s.stats.Missed += missed
	lost := uint64(float64(missed)*s.evictionShare() + 0.5)
	for ; lost > 0 && s.oldest != none; lost-- {
		s.remove(s.oldest)
		s.stats.Distrusted++
	}
	if n := len(s.doubts); n == maxDoubts {
		s.doubts[n-1].upTo = s.last
		return
	}
	s.doubts = append(s.doubts, doubt{upTo: s.last, until: now.Add(doubtFor)})
}

func (s *set) evictionShare() float64 {
	if s.stats.Events < 16 {
		return 0.5
	}
	return float64(s.stats.evictions) / float64(s.stats.Events)
}

// settle drops what was doubted for long enough.
func (s *set) settle(now clock.Instant) {
	for len(s.doubts) > 0 && !now.Before(s.doubts[0].until) {
		s.dropUpTo(s.doubts[0].upTo)
		s.doubts = append(s.doubts[:0], s.doubts[1:]...)
	}
}

func (s *set) dropUpTo(sequence uint64) {
	for i := s.oldest; i != none; {
		next := s.slots[i].newer
		if s.slots[i].sequence <= sequence {
			s.remove(i)
			s.stats.Distrusted++
		}
		i = next
	}
}

func (s *set) store(hash, sequence uint64) {
	if i, ok := s.index[hash]; ok {
		if s.slots[i].sequence >= sequence {
			return
		}
		s.unlink(i)
		s.slots[i].sequence = sequence
		s.link(i)
		return
	}
	if len(s.index) >= s.limit {
		s.remove(s.oldest)
	}
	i := s.take()
	s.slots[i] = slot{hash: hash, sequence: sequence}
	s.index[hash] = i
	s.link(i)
	s.dirty = true
}

func (s *set) take() int32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		return i
	}
	s.slots = append(s.slots, slot{})
	return int32(len(s.slots) - 1)
}

func (s *set) removeBefore(hash, sequence uint64) {
	if i, ok := s.index[hash]; ok && s.slots[i].sequence < sequence {
		s.remove(i)
	}
}

func (s *set) remove(i int32) {
	s.unlink(i)
	delete(s.index, s.slots[i].hash)
	s.free = append(s.free, i)
	s.dirty = true
}

func (s *set) link(i int32) {
	s.slots[i].older, s.slots[i].newer = s.newest, none
	if s.newest != none {
		s.slots[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}

func (s *set) unlink(i int32) {
	older, newer := s.slots[i].older, s.slots[i].newer
	if older != none {
		s.slots[older].newer = newer
	} else {
		s.oldest = newer
	}
	if newer != none {
		s.slots[newer].older = older
	} else {
		s.newest = older
	}
}

// publish returns the set as a map that is never changed again. It is rebuilt at
// most once in rebuildEvery: a rebuild copies the whole set.
func (s *set) publish(now clock.Instant) map[uint64]struct{} {
	if !s.dirty || s.published != nil && now.Sub(s.builtAt) < rebuildEvery {
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

// evictions remembers the newest evicted prefixes.
type evictions struct {
	ring [256]struct{ hash, sequence uint64 }
	next int
}

func (e *evictions) add(hash, sequence uint64) {
	e.ring[e.next].hash, e.ring[e.next].sequence = hash, sequence
	e.next = (e.next + 1) % len(e.ring)
}

// after reports whether hash was evicted by a later event than sequence.
func (e *evictions) after(hash, sequence uint64) bool {
	for i := range e.ring {
		if e.ring[i].hash == hash && e.ring[i].sequence > sequence {
			return true
		}
	}
	return false
}

const (
	maxDoubts    = 8
	doubtFor     = 2 * time.Minute
	rebuildEvery = 250 * time.Millisecond
)
