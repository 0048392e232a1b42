package membership

import (
	"cmp"
	"slices"

	"chervilloom/internal/fleet"
)

// priority says which news goes first when a message has no room for all.
type priority uint8

const (
	minor  priority = iota // may wait: a revision, a payload
	urgent                 // goes first: who lives, who takes work
)

// item is a member whose newest entry is to be told.
type item struct {
	vm    fleet.VM
	told  int
	level priority
}

// newsQueue holds the members of whom there is news, the least told first.
type newsQueue struct{ items []item }

// add puts the member's news at the front; what was told of it before is old.
func (q *newsQueue) add(vm fleet.VM, p priority) {
	for i := range q.items {
		if q.items[i].vm == vm {
			p = max(p, q.items[i].level)
			q.items = slices.Delete(q.items, i, i+1)
			break
		}
	}
	q.items = slices.Insert(q.items, 0, item{vm: vm, level: p})
}

// take returns up to n members to tell of, urgent and least told first, and
// drops those that were told limit times.
func (q *newsQueue) take(n, limit int) []fleet.VM {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.told, b.told))
	})
	n = min(n, len(q.items))
	out := make([]fleet.VM, 0, n)
	for i := range n {
		out = append(out, q.items[i].vm)
		q.items[i].told++
	}
	q.items = slices.DeleteFunc(q.items, func(it item) bool { return it.told >= limit })
	return out
}

// send completes the message with this node's entry and news, and asks for it
// to be sent. A member that others take for gone is told so first: its
// refutation is the quickest way to put it right.
func (s *State) send(to *member, m *Message) { s.sendTo(to.VM, to.Addr, m) }

func (s *State) answer(to *Entry, m *Message) { s.sendTo(to.VM, to.Addr, m) }

func (s *State) sendTo(vm fleet.VM, addr string, m *Message) {
	m.Self = s.self
	if m.Kind != KindState && m.Kind != KindRepair {
		m.Entries = s.newsFor(vm)
	}
	s.do(Send{To: vm, Addr: addr, Message: m})
}

func (s *State) newsFor(vm fleet.VM) []Entry {
	var out []Entry
	if m := s.members[vm]; m != nil && m.Status != Alive {
		out = append(out, m.Entry)
	}
	for _, about := range s.news.take(s.cfg.NewsPerPacket, s.cfg.tellings(s.live+1)) {
		m := s.members[about]
		if m == nil || about == vm {
			continue // self goes with every message anyway
		}
		out = append(out, m.Entry)
	}
	return out
}

// gossip sends news to a few members.
func (s *State) gossip() {
	if len(s.news.items) == 0 {
		return
	}
	for _, m := range s.pick(s.cfg.GossipFanout, "") {
		s.send(m, &Message{Kind: KindGossip})
	}
}

// pick draws up to n alive members other than the one named.
func (s *State) pick(n int, except fleet.VM) []*member {
	out := make([]*member, 0, n)
	if len(s.round) == 0 {
		return out
	}
	// Neighbours in the round were shuffled already, by this node alone.
	at := s.rng.IntN(len(s.round))
	for range s.round {
		m := s.members[s.round[at]]
		if m != nil && m.Status == Alive && m.VM != except && !slices.Contains(out, m) {
			out = append(out, m)
		}
		if len(out) == n {
			break
		}
		at = (at + 1) % len(s.round)
	}
	return out
}
