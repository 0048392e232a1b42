package membership

import (
	"slices"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

func (s *State) receive(now clock.Instant, from fleet.Node, m *Message) {
	// The link vouches for the sender. A message that tells another sender was
	// put together by a faulty process.
	if m.Self.VM != from.VM || from.VM == s.self.VM {
		return
	}
	s.merge(now, &m.Self)
	if sender := s.members[from.VM]; sender != nil && sender.Incarnation == m.Self.Incarnation {
		sender.heard = now
	}
	for i := range m.Entries {
		s.merge(now, &m.Entries[i])
	}
	switch m.Kind {
	case KindPing:
		s.answer(&m.Self, &Message{Kind: KindAck, Seq: m.Seq})
	case KindAck:
		s.acked(now, m.Seq)
	case KindPingReq:
		s.pingFor(now, m)
	case KindSync:
		if m.Digest != s.digest {
			s.answer(&m.Self, &Message{Kind: KindState, Entries: s.all()})
		}
	case KindState:
		if missing := s.lackedBy(m); len(missing) > 0 {
			s.answer(&m.Self, &Message{Kind: KindRepair, Entries: missing})
		}
	}
}

// merge takes the entry when it is newer than what is known.
func (s *State) merge(now clock.Instant, e *Entry) {
	if e.VM == s.self.VM {
		s.mergeSelf(e)
		return
	}
	m := s.members[e.VM]
	switch {
	case m == nil && !e.live():
		// A stranger that is gone. Taking it in would keep the entries of dead
		// members alive for ever, passed from those who haven't forgotten yet to
		// those who have.
		return
	case m == nil:
		s.admit(now, e)
	case supersedes(e, &m.Entry):
		s.apply(now, m, e)
	}
}

// mergeSelf refutes what others say of this node when it isn't true.
func (s *State) mergeSelf(e *Entry) {
	switch {
	case e.Incarnation > s.self.Incarnation:
		s.do(Replaced{By: e.Node()})
	case e.Incarnation == s.self.Incarnation && e.Status != Alive && e.Version >= s.self.Version:
		s.digest ^= s.self.digest()
		s.self.Version = e.Version
		s.digest ^= s.self.digest()
		s.raise(urgent)
	}
}

// admit takes in a new member at a random place of the ping round.
func (s *State) admit(now clock.Instant, e *Entry) {
	m := &member{Entry: *e, since: now}
	s.members[e.VM] = m
	if i, found := slices.BinarySearch(s.names, e.VM); !found {
		s.names = slices.Insert(s.names, i, e.VM)
	}
	s.live++
	s.digest ^= m.digest()
	at := s.rng.IntN(len(s.round) + 1)
	s.round = slices.Insert(s.round, at, e.VM)
	if at < s.next {
		s.next++
	}
	s.watch(now, m)
	s.news.add(e.VM, urgent)
	s.changed = true
}

func (s *State) apply(now clock.Instant, m *member, e *Entry) {
	p := importance(&m.Entry, e)
	if m.live() != e.live() {
		s.countLive(e)
	}
	s.digest ^= m.digest()
	if m.Status != e.Status || m.Incarnation != e.Incarnation {
		m.since = now
	}
	if e.Incarnation != m.Incarnation {
		m.heard = 0
	}
	m.Entry = *e
	s.digest ^= m.digest()
	s.watch(now, m)
	s.news.add(e.VM, p)
	s.changed = true
}

// watch starts a suspect's time to refute. Members that are no suspects any more
// leave the list when their time is up.
func (s *State) watch(now clock.Instant, m *member) {
	if m.Status != Suspect {
		return
	}
	m.refute, m.asked = now.Add(s.cfg.suspicion(s.live+1)), 0
	if !slices.Contains(s.suspects, m.VM) {
		s.suspects = append(s.suspects, m.VM)
	}
}

func (s *State) countLive(e *Entry) {
	if e.live() {
		s.live++
		s.round = append(s.round, e.VM)
		return
	}
	s.live--
}

// importance tells news that must be everywhere in a second or two from news
// that may take longer.
func importance(old, e *Entry) priority {
	if old.Status != e.Status || old.Incarnation != e.Incarnation || old.Draining != e.Draining || e.Status != Alive {
		return urgent
	}
	return minor
}

// all returns every entry, this node's first.
func (s *State) all() []Entry {
	out := make([]Entry, 0, len(s.names)+1)
	out = append(out, s.self)
	for _, vm := range s.names {
		out = append(out, s.members[vm].Entry)
	}
	return out
}

// lackedBy returns the entries that the sender of a whole state doesn't have.
func (s *State) lackedBy(m *Message) []Entry {
	theirs := make(map[fleet.VM]*Entry, len(m.Entries))
	for i := range m.Entries {
		theirs[m.Entries[i].VM] = &m.Entries[i]
	}
	var out []Entry
	for _, vm := range s.names {
		mine, e := s.members[vm], theirs[vm]
		if (e == nil && mine.live()) || (e != nil && supersedes(&mine.Entry, e)) {
			out = append(out, mine.Entry)
		}
	}
	return out
}
