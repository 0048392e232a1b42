package membership

import (
	"cmp"
	"slices"

	"chervilloom/internal/fleet"
)

// priority decides which updates go first when a message has no room for all.
type priority uint8

const (
	normal priority = iota // may wait: a revision, a payload
	urgent                 // first: changes of status, incarnation or draining
)

// updateItem is a member whose newest entry has to be sent.
type updateItem struct {
	vm       fleet.VM
	sends    int
	priority priority
}

// updateQueue holds the members with unsent updates.
type updateQueue struct{ items []updateItem }

// add puts the member at the front of the queue and resets its send count,
// because earlier sends carried an older entry.
func (q *updateQueue) add(vm fleet.VM, p priority) {
	for i := range q.items {
		if q.items[i].vm == vm {
			p = max(p, q.items[i].priority)
			q.items = slices.Delete(q.items, i, i+1)
			break
		}
	}
	q.items = slices.Insert(q.items, 0, updateItem{vm: vm, priority: p})
}

// next returns up to n members, urgent and least sent first, and drops those
// that have been sent maxSends times.
func (q *updateQueue) next(n, maxSends int) []fleet.VM {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b updateItem) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.sends, b.sends))
	})
	n = min(n, len(q.items))
	out := make([]fleet.VM, 0, n)
	for i := range n {
		out = append(out, q.items[i].vm)
		q.items[i].sends++
	}
	q.items = slices.DeleteFunc(q.items, func(it updateItem) bool { return it.sends >= maxSends })
	return out
}

// send adds this node's entry and pending updates to the message and queues it
// for sending. If the recipient is not considered alive, its own entry goes
// first: its refutation is the quickest correction.
func (s *State) send(to *member, m *Message) { s.sendTo(to.VM, to.Addr, m) }

func (s *State) reply(to *Entry, m *Message) { s.sendTo(to.VM, to.Addr, m) }

func (s *State) sendTo(vm fleet.VM, addr string, m *Message) {
	m.Self = s.self
	if m.Kind != KindState && m.Kind != KindRepair {
		m.Entries = s.entriesFor(vm)
	}
	s.addAction(Send{To: vm, Addr: addr, Message: m})
}

func (s *State) entriesFor(vm fleet.VM) []Entry {
	var out []Entry
	if m := s.members[vm]; m != nil && m.Status != Alive {
		out = append(out, m.Entry)
	}
	for _, about := range s.updates.next(s.cfg.UpdatesPerMessage, s.cfg.maxSends(s.liveCount+1)) {
		m := s.members[about]
		if m == nil || about == vm {
			continue // this node's entry is in every message already
		}
		out = append(out, m.Entry)
	}
	return out
}

// gossip sends pending updates to a few random members.
func (s *State) gossip() {
	if len(s.updates.items) == 0 {
		return
	}
	for _, m := range s.randomAlive(s.cfg.GossipFanout, "") {
		s.send(m, &Message{Kind: KindGossip})
	}
}

// randomAlive returns up to n random alive members other than except.
func (s *State) randomAlive(n int, except fleet.VM) []*member {
	out := make([]*member, 0, n)
	if len(s.pingOrder) == 0 {
		return out
	}
	// The order is already a random shuffle private to this node, so neighbours
	// in it are random too.
	at := s.rng.IntN(len(s.pingOrder))
	for range s.pingOrder {
		m := s.members[s.pingOrder[at]]
		if m != nil && m.Status == Alive && m.VM != except && !slices.Contains(out, m) {
			out = append(out, m)
		}
		if len(out) == n {
			break
		}
		at = (at + 1) % len(s.pingOrder)
	}
	return out
}
