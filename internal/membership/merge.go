package membership

import (
	"slices"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

func (s *State) receive(now clock.Instant, from fleet.Node, m *Message) {
	// The link authenticates the sender. A message that names another sender
	// comes from a faulty process.
	if m.Self.VM != from.VM || from.VM == s.self.VM {
		return
	}
	s.merge(now, &m.Self)
	if sender := s.members[from.VM]; sender != nil && sender.Incarnation == m.Self.Incarnation {
		sender.lastHeard = now
	}
	for i := range m.Entries {
		s.merge(now, &m.Entries[i])
	}
	switch m.Kind {
	case KindPing:
		s.reply(&m.Self, &Message{Kind: KindAck, Seq: m.Seq})
	case KindAck:
		s.handleAck(now, m.Seq)
	case KindPingReq:
		s.relayPing(now, m)
	case KindSync:
		if m.Digest != s.digest {
			s.reply(&m.Self, &Message{Kind: KindState, Entries: s.allEntries()})
		}
	case KindState:
		if missing := s.entriesMissingFrom(m); len(missing) > 0 {
			s.reply(&m.Self, &Message{Kind: KindRepair, Entries: missing})
		}
	}
}

// merge adopts the entry if it is newer than the known one.
func (s *State) merge(now clock.Instant, e *Entry) {
	if e.VM == s.self.VM {
		s.mergeSelf(e)
		return
	}
	m := s.members[e.VM]
	switch {
	case m == nil && !e.isLive():
		// An unknown member that is gone. Adopting it would keep dead members'
		// entries circulating for ever, from nodes that have not forgotten them
		// yet to nodes that have.
		return
	case m == nil:
		s.addMember(now, e)
	case supersedes(e, &m.Entry):
		s.updateMember(now, m, e)
	}
}

// mergeSelf refutes wrong entries about this node and detects a later
// incarnation of it.
func (s *State) mergeSelf(e *Entry) {
	switch {
	case e.Incarnation > s.self.Incarnation:
		s.addAction(Replaced{By: e.Node()})
	case e.Incarnation == s.self.Incarnation && e.Status != Alive && e.Version >= s.self.Version:
		s.digest ^= s.self.hash()
		s.self.Version = e.Version
		s.digest ^= s.self.hash()
		s.bumpVersion(urgent)
	}
}

// addMember adds a new member at a random position in the ping order.
func (s *State) addMember(now clock.Instant, e *Entry) {
	m := &member{Entry: *e, statusSince: now}
	s.members[e.VM] = m
	if i, found := slices.BinarySearch(s.sortedVMs, e.VM); !found {
		s.sortedVMs = slices.Insert(s.sortedVMs, i, e.VM)
	}
	s.liveCount++
	s.digest ^= m.hash()
	at := s.rng.IntN(len(s.pingOrder) + 1)
	s.pingOrder = slices.Insert(s.pingOrder, at, e.VM)
	if at < s.nextPing {
		s.nextPing++
	}
	s.startSuspicion(now, m)
	s.updates.add(e.VM, urgent)
	s.changed = true
}

func (s *State) updateMember(now clock.Instant, m *member, e *Entry) {
	p := updatePriority(&m.Entry, e)
	if m.isLive() != e.isLive() {
		s.updateLiveCount(e)
	}
	s.digest ^= m.hash()
	if m.Status != e.Status || m.Incarnation != e.Incarnation {
		m.statusSince = now
	}
	if e.Incarnation != m.Incarnation {
		m.lastHeard = 0
	}
	m.Entry = *e
	s.digest ^= m.hash()
	s.startSuspicion(now, m)
	s.updates.add(e.VM, p)
	s.changed = true
}

// startSuspicion starts the time for a suspect to refute. Members that are no
// longer suspect stay in the list until expireSuspects removes them.
func (s *State) startSuspicion(now clock.Instant, m *member) {
	if m.Status != Suspect {
		return
	}
	m.refuteDeadline, m.suspectPings = now.Add(s.cfg.suspicionTimeout(s.liveCount+1)), 0
	if !slices.Contains(s.suspects, m.VM) {
		s.suspects = append(s.suspects, m.VM)
	}
}

func (s *State) updateLiveCount(e *Entry) {
	if e.isLive() {
		s.liveCount++
		s.pingOrder = append(s.pingOrder, e.VM)
		return
	}
	s.liveCount--
}

// updatePriority separates updates that must reach all nodes in a second or two
// from those that may take longer.
func updatePriority(old, e *Entry) priority {
	if old.Status != e.Status || old.Incarnation != e.Incarnation || old.Draining != e.Draining || e.Status != Alive {
		return urgent
	}
	return normal
}

// allEntries returns every entry, this node's first.
func (s *State) allEntries() []Entry {
	out := make([]Entry, 0, len(s.sortedVMs)+1)
	out = append(out, s.self)
	for _, vm := range s.sortedVMs {
		out = append(out, s.members[vm].Entry)
	}
	return out
}

// entriesMissingFrom returns the entries that are missing or older in a
// received full state.
func (s *State) entriesMissingFrom(m *Message) []Entry {
	theirs := make(map[fleet.VM]*Entry, len(m.Entries))
	for i := range m.Entries {
		theirs[m.Entries[i].VM] = &m.Entries[i]
	}
	var out []Entry
	for _, vm := range s.sortedVMs {
		mine, e := s.members[vm], theirs[vm]
		if (e == nil && mine.isLive()) || (e != nil && supersedes(&mine.Entry, e)) {
			out = append(out, mine.Entry)
		}
	}
	return out
}
