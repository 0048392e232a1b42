package once

import (
	"sync"
	"sync/atomic"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// slot is one entry with what the adapter keeps beside it.
type slot struct {
	Entry
	expires  clock.Instant
	answer   *keptAnswer    // Ran: the first answer, when it was kept
	failure  *outcome.Error // Ran or Unresolved: the error that the first try was told
	size     int            // bytes held in answer
	recorded bool           // the row tells the outcome: the memory is not needed any more
	wake     chan Action    // Claiming: told what becomes of the claim
}

// memory is the bounded table of entries of this life. An entry is forgotten
// when it has expired or when its row tells the outcome, never for want of
// room: a forgotten entry would read as "never dispatched".
type memory struct {
	self     fleet.Node
	maxSlots int
	maxBytes int64
	held     atomic.Int64 // bytes of kept answers
	used     atomic.Int64 // slots

	shards [shardCount]shard
}

const shardCount = 32

type shard struct {
	mu    sync.Mutex
	slots map[string]*slot
}

func newMemory(self fleet.Node, maxSlots int, maxBytes int64) *memory {
	m := &memory{self: self, maxSlots: maxSlots, maxBytes: maxBytes}
	for i := range m.shards {
		m.shards[i].slots = map[string]*slot{}
	}
	return m
}

func (m *memory) shard(id string) *shard {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	return &m.shards[h%shardCount]
}

// full reports whether a new entry would be refused.
func (m *memory) full() bool { return m.used.Load() >= int64(m.maxSlots) }

// call takes a try. The returned slot is valid until the shard changes; ok is
// false when the memory is full and knows nothing of the entry.
func (m *memory) call(id string, keyed bool, body Hash, expires clock.Instant) (Action, *slot, bool) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.slots[id]
	if s == nil {
		if m.full() {
			return Action{}, nil, false
		}
		s = &slot{Entry: Entry{Keyed: keyed}}
		sh.slots[id] = s
		m.used.Add(1)
	}
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, Call{Body: body})
	switch act.Verb {
	case WriteClaim, AwaitClaim:
		s.wake = make(chan Action, 1)
		s.expires = max(s.expires, expires)
	case Dispatch:
		s.expires = max(s.expires, expires)
	}
	seen := *s
	return act, &seen, true
}

// step applies what the table said of a claim and returns the decision. Who
// waits for the claim is told the decision unless it writes another claim.
func (m *memory) step(id string, ev Event) Action {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.slots[id]
	if s == nil {
		return Action{}
	}
	waited := s.Waiting
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, ev)
	if waited && act.Verb != WriteClaim {
		s.wake <- act
	}
	if s.State == Free {
		m.drop(sh, id, s)
	}
	return act
}

// leave ends the wait for a claim and returns what the caller is told. The
// decision may have come in the meantime; wake is sent to under the same lock.
// The entry may by then be waited on by another try, which has its own wake.
func (m *memory) leave(id string, wake chan Action) Action {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	select {
	case act := <-wake:
		return act
	default:
	}
	s := sh.slots[id]
	if s == nil || s.wake != wake {
		return Action{Verb: TellNoClaim, Reason: "another try waits for the claim"}
	}
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, Left{})
	return act
}

// end stores how the dispatch ended together with what the caller is told, so
// that a repeat never sees one without the other.
func (m *memory) end(id string, o outcome.Outcome, kept *keptAnswer, size int, failure *outcome.Error) Action {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.slots[id]
	if s == nil {
		return Action{}
	}
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, Ended{Outcome: o})
	if s.State == Ran && kept != nil && m.held.Add(int64(size)) <= m.maxBytes {
		s.answer, s.size = kept, size
	} else if s.State == Ran && kept != nil {
		m.held.Add(-int64(size))
	}
	s.failure = failure
	return act
}

// recorded tells that the row at the version holds the outcome of the entry.
func (m *memory) recorded(id string) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.slots[id]; s != nil && (s.State == Ran || s.State == Unresolved) {
		s.recorded = true
	}
}

func (m *memory) drop(sh *shard, id string, s *slot) {
	delete(sh.slots, id)
	m.used.Add(-1)
	m.held.Add(-int64(s.size))
}

// sweep forgets what has expired and, when more than half of the slots are in
// use, what the table tells as well. It returns the ids whose outcome the table
// does not tell yet.
func (m *memory) sweep(now clock.Instant) (unrecorded []string) {
	for i := range m.shards {
		unrecorded = m.sweepShard(&m.shards[i], now, unrecorded)
	}
	return unrecorded
}

func (m *memory) sweepShard(sh *shard, now clock.Instant, unrecorded []string) []string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	crowded := m.used.Load() > int64(m.maxSlots)/2
	for id, s := range sh.slots {
		busy := s.State == Claiming || s.State == Running
		switch {
		case busy:
		case now.After(s.expires), crowded && s.recorded:
			m.drop(sh, id, s)
		case s.Keyed && !s.recorded && (s.State == Ran || s.State == Unresolved):
			unrecorded = append(unrecorded, id)
		}
	}
	return unrecorded
}

// outcomeOf returns what the row of an ended entry shall tell.
func (m *memory) outcomeOf(id string) (s slot, ok bool) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p := sh.slots[id]
	if p == nil || p.recorded || (p.State != Ran && p.State != Unresolved) {
		return slot{}, false
	}
	return *p, true
}
