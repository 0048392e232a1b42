package once

import (
	"sync"
	"sync/atomic"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// memoryEntry is an entry of the memory: the state machine's Entry with its expiry and
// the data for replays.
type memoryEntry struct {
	Entry
	expires     clock.Instant
	answer      *keptAnswer    // Ran: the first answer, if stored
	failure     *outcome.Error // Ran or Unresolved: the error returned to the first try
	answerBytes int            // bytes of answer
	recorded    bool           // the row contains the outcome, so the entry may be evicted
	decided     chan Action    // Claiming: receives the decision on the claim
}

// memory is the bounded table of entries of this incarnation. An entry is evicted
// only if it has expired or its row contains the outcome, never just to make
// room: an evicted entry would be taken for "never dispatched".
type memory struct {
	self        fleet.Node
	maxEntries  int
	maxBytes    int64
	answerBytes atomic.Int64 // bytes of stored answers
	entryCount  atomic.Int64 // number of entries

	shards [shardCount]shard
}

const shardCount = 32

type shard struct {
	mu      sync.Mutex
	entries map[string]*memoryEntry
}

func newMemory(self fleet.Node, maxEntries int, maxBytes int64) *memory {
	m := &memory{self: self, maxEntries: maxEntries, maxBytes: maxBytes}
	for i := range m.shards {
		m.shards[i].entries = map[string]*memoryEntry{}
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

// isFull reports whether a new entry would be rejected.
func (m *memory) isFull() bool { return m.entryCount.Load() >= int64(m.maxEntries) }

// beginCall applies the Call event of a try, creating the entry if needed. It returns
// the decision and a copy of the entry. ok is false if there is no such entry and
// the memory is full.
func (m *memory) beginCall(id string, keyed bool, body Hash, expires clock.Instant) (Action, *memoryEntry, bool) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	if s == nil {
		if m.isFull() {
			return Action{}, nil, false
		}
		s = &memoryEntry{Entry: Entry{Keyed: keyed}}
		sh.entries[id] = s
		m.entryCount.Add(1)
	}
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, Call{Body: body})
	switch act.Verb {
	case WriteClaim, AwaitClaim:
		s.decided = make(chan Action, 1)
		s.expires = max(s.expires, expires)
	case Dispatch:
		s.expires = max(s.expires, expires)
	}
	snapshot := *s
	return act, &snapshot, true
}

// applyEvent applies the result of a claim and returns the decision. A caller that
// waits for the claim receives the decision too, unless it is to write another
// claim.
func (m *memory) applyEvent(id string, ev Event) Action {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	if s == nil {
		return Action{}
	}
	waiting := s.Waiting
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, ev)
	if waiting && act.Verb != WriteClaim {
		s.decided <- act
	}
	if s.State == Free {
		m.evict(sh, id, s)
	}
	return act
}

// cancelWait ends a caller's wait for a claim and returns the decision for the caller.
// The decision on the claim may have arrived meanwhile; decided is sent to under the
// same lock. By then another try with its own channel may wait on the entry.
func (m *memory) cancelWait(id string, decided chan Action) Action {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	select {
	case act := <-decided:
		return act
	default:
	}
	s := sh.entries[id]
	if s == nil || s.decided != decided {
		return Action{Verb: RefuseNoClaim, Reason: "another try waits for the claim"}
	}
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, CallerLeft{})
	return act
}

// endDispatch stores the outcome of the dispatch together with the answer or error that
// the caller receives, so that a repeat never sees one without the other.
func (m *memory) endDispatch(id string, o outcome.Outcome, kept *keptAnswer, answerBytes int, failure *outcome.Error) Action {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.entries[id]
	if s == nil {
		return Action{}
	}
	var act Action
	s.Entry, act = Decide(m.self, s.Entry, Ended{Outcome: o})
	if s.State == Ran && kept != nil && m.answerBytes.Add(int64(answerBytes)) <= m.maxBytes {
		s.answer, s.answerBytes = kept, answerBytes
	} else if s.State == Ran && kept != nil {
		m.answerBytes.Add(-int64(answerBytes))
	}
	s.failure = failure
	return act
}

// markRecorded marks the entry's outcome as contained in its row.
func (m *memory) markRecorded(id string) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.entries[id]; s != nil && (s.State == Ran || s.State == Unresolved) {
		s.recorded = true
	}
}

func (m *memory) evict(sh *shard, id string, s *memoryEntry) {
	delete(sh.entries, id)
	m.entryCount.Add(-1)
	m.answerBytes.Add(-int64(s.answerBytes))
}

// sweep evicts expired entries and, if the memory is more than half full, those
// whose outcome is in the table. It returns the IDs of the entries whose outcome
// is not in the table yet.
func (m *memory) sweep(now clock.Instant) (unrecorded []string) {
	for i := range m.shards {
		unrecorded = m.sweepShard(&m.shards[i], now, unrecorded)
	}
	return unrecorded
}

func (m *memory) sweepShard(sh *shard, now clock.Instant, unrecorded []string) []string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	overHalf := m.entryCount.Load() > int64(m.maxEntries)/2
	for id, s := range sh.entries {
		active := s.State == Claiming || s.State == Running
		switch {
		case active:
		case now.After(s.expires), overHalf && s.recorded:
			m.evict(sh, id, s)
		case s.Keyed && !s.recorded && (s.State == Ran || s.State == Unresolved):
			unrecorded = append(unrecorded, id)
		}
	}
	return unrecorded
}

// unrecordedOutcome returns a finished entry whose outcome is not in the table yet.
func (m *memory) unrecordedOutcome(id string) (s memoryEntry, ok bool) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p := sh.entries[id]
	if p == nil || p.recorded || (p.State != Ran && p.State != Unresolved) {
		return memoryEntry{}, false
	}
	return *p, true
}
