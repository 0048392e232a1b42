package revision

import (
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// MemorySize is how many of the highest revisions a node keeps, to write them
// again into a table that lost them.
const MemorySize = 16

// Held is a revision in a node's memory. Document is nil when this node cannot
// use it, such as one of a newer program; it is passed on all the same.
type Held struct {
	*Record
	Document *config.Document
}

// State is what a node knows of the revisions. The zero value knows nothing.
// Decide never changes a State; it returns a new one.
type State struct {
	// Joined is set once a peer has answered or the node has waited long
	// enough for one. Until then nothing is in force: the table alone may have
	// been put back to an older state than the peers are in.
	Joined    bool
	PeerHeard bool   // a peer that was asked told of a revision that it holds
	Memory    []Held // by stamp, at most MemorySize
	InForce   Held   // the highest usable revision; its Record is nil when there is none
	Seen      Stamp  // the highest stamp heard of, held or not
}

// Highest returns the stamp of the highest revision in memory.
func (s *State) Highest() Stamp {
	if len(s.Memory) == 0 {
		return Stamp{}
	}
	return s.Memory[len(s.Memory)-1].Stamp
}

// Find returns the revision with the stamp, nil when it is not in memory.
func (s *State) Find(stamp Stamp) *Record {
	i, ok := s.search(stamp)
	if !ok {
		return nil
	}
	return s.Memory[i].Record
}

// Records returns the revisions in memory by stamp.
func (s *State) Records() []*Record {
	out := make([]*Record, len(s.Memory))
	for i, h := range s.Memory {
		out[i] = h.Record
	}
	return out
}

func (s *State) search(stamp Stamp) (int, bool) {
	return slices.BinarySearchFunc(s.Memory, stamp, func(h Held, t Stamp) int { return h.Stamp.Compare(t) })
}

// Event is what a node learns.
type Event interface{ event() }

// Heard is the word of a peer that Stamp is its highest revision.
type Heard struct {
	From  fleet.VM
	Stamp Stamp
	// Answer is set when the peer was asked by this life of the node. Only an
	// answer ends the wait at the start: an announcement may have been on its
	// way since before, and a node that joined on it would put a revision in
	// force that the peer no longer holds the highest.
	Answer bool
}

// HeadRead is the head of the table.
type HeadRead struct{ Stamp Stamp }

// Got is a revision that was fetched or accepted here.
type Got struct{ Held }

// Joined ends the wait for a first answer of a peer.
type Joined struct{}

func (Heard) event()    {}
func (HeadRead) event() {}
func (Got) event()      {}
func (Joined) event()   {}

// Action is what a node does about an event.
type Action interface{ action() }

// FetchPeer asks a peer for a revision.
type FetchPeer struct {
	From  fleet.VM
	Stamp Stamp
}

// FetchTable reads a revision from the table.
type FetchTable struct{ Stamp Stamp }

// Install puts a revision in force. Its stamp is above that of the one before.
type Install struct{ Held }

// Announce tells the peers of the highest revision.
type Announce struct{ Stamp Stamp }

// HealTable writes into the table what it lost.
type HealTable struct{}

// Report tells the operators of two revisions that were accepted without
// knowledge of each other. The content of Loser is no longer in force; its
// author has to apply it again.
type Report struct{ Winner, Loser Stamp }

// Refuse tells the operators that this node cannot use a revision and keeps
// the one in force.
type Refuse struct{ Stamp Stamp }

func (FetchPeer) action()  {}
func (FetchTable) action() {}
func (Install) action()    {}
func (Announce) action()   {}
func (HealTable) action()  {}
func (Report) action()     {}
func (Refuse) action()     {}

// Decide returns the state after the event and what to do.
//
// The revision in force only goes up: Install is returned for a stamp above
// that of s.InForce alone, and no event takes a revision out of force. As
// stamps are totally ordered, nodes that hear of the same revisions end with
// the same one in force, whatever the order.
func Decide(s State, e Event) (State, []Action) {
	switch e := e.(type) {
	case Heard:
		return s.heard(e)
	case HeadRead:
		return s.headRead(e)
	case Got:
		return s.got(e.Held)
	case Joined:
		s.Joined = true
		return s.install(nil)
	}
	return s, nil
}

func (s State) heard(e Heard) (State, []Action) {
	s.PeerHeard = s.PeerHeard || (e.Answer && e.Stamp.Number > 0)
	if e.Stamp.Compare(s.Highest()) <= 0 {
		return s, nil
	}
	s.see(e.Stamp)
	return s, []Action{FetchPeer{From: e.From, Stamp: e.Stamp}}
}

func (s State) headRead(e HeadRead) (State, []Action) {
	switch e.Stamp.Compare(s.Highest()) {
	case 0:
		return s, nil
	case -1:
		// The table was put back to an older state. Following it would take a
		// revision back that an operator was told is accepted.
		return s, []Action{HealTable{}}
	}
	s.see(e.Stamp)
	return s, []Action{FetchTable(e)}
}

func (s *State) see(stamp Stamp) {
	if stamp.Compare(s.Seen) > 0 {
		s.Seen = stamp
	}
}

func (s State) got(h Held) (State, []Action) {
	at, known := s.search(h.Stamp)
	if known {
		return s, nil
	}
	s.see(h.Stamp)
	actions := s.clashes(h)
	top := at == len(s.Memory)
	s.Memory = slices.Insert(slices.Clone(s.Memory), at, h)
	if extra := len(s.Memory) - MemorySize; extra > 0 {
		s.Memory = s.Memory[extra:]
	}
	if h.Document == nil {
		actions = append(actions, Refuse{h.Stamp})
	}
	if top {
		actions = append(actions, Announce{h.Stamp})
	}
	return s.install(actions)
}

// install puts the highest usable revision in force if it is above the present one.
func (s State) install(actions []Action) (State, []Action) {
	if !s.Joined {
		return s, actions
	}
	for _, h := range slices.Backward(s.Memory) {
		if h.Document == nil {
			continue
		}
		if s.InForce.Record == nil || h.Stamp.Compare(s.InForce.Stamp) > 0 {
			s.InForce = h
			actions = append(actions, Install{h})
		}
		break
	}
	return s, actions
}

// clashes reports the revisions in memory whose author and the author of h did
// not know of each other.
func (s *State) clashes(h Held) []Action {
	var out []Action
	for _, m := range s.Memory {
		winner, loser := m, h
		if h.Stamp.Compare(m.Stamp) > 0 {
			winner, loser = h, m
		}
		if unaware(winner.Record, loser.Record) {
			out = append(out, Report{Winner: winner.Stamp, Loser: loser.Stamp})
		}
	}
	return out
}

// unaware reports whether the higher revision is known not to descend from the
// lower one: it has the same number and other content, or is based on other
// content of the lower one's number, or on a revision below it.
func unaware(higher, lower *Record) bool {
	switch {
	case higher.Stamp.Number == lower.Stamp.Number:
		return higher.Stamp.Hash != lower.Stamp.Hash
	case higher.Base == lower.Stamp.Number:
		return higher.BaseHash != lower.Stamp.Hash
	}
	return higher.Base < lower.Stamp.Number
}
