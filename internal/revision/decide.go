package revision

import (
	"slices"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// MemorySize is how many of the highest revisions a node keeps, to write them
// back into a table that lost them.
const MemorySize = 16

// HeldRevision is a revision in a node's memory. Document is nil if this node cannot
// use it, such as one written for a newer version of the program; it is still
// passed on to other nodes.
type HeldRevision struct {
	*Record
	Document *config.Document
}

// State is a node's knowledge of the revisions. The zero value is empty. Decide
// never changes a State; it returns a new one.
type State struct {
	// Joined is set once a peer has answered or the wait for one has expired.
	// Before that no revision is in force: the table may have been restored to
	// an older state than that of the peers.
	Joined      bool
	PeerReplied bool           // a peer answered with a revision of its own
	Memory      []HeldRevision // in ascending order of stamps, at most MemorySize
	InForce     HeldRevision   // the highest usable revision; Record is nil if there is none
	HighestSeen Stamp          // the highest stamp known, whether or not the revision is in memory
}

// Highest returns the stamp of the highest revision in memory, or the zero
// stamp.
func (s *State) Highest() Stamp {
	if len(s.Memory) == 0 {
		return Stamp{}
	}
	return s.Memory[len(s.Memory)-1].Stamp
}

// Find returns the revision with the given stamp, or nil if it is not in
// memory.
func (s *State) Find(stamp Stamp) *Record {
	i, ok := s.search(stamp)
	if !ok {
		return nil
	}
	return s.Memory[i].Record
}

// Records returns the revisions in memory in ascending order of stamps.
func (s *State) Records() []*Record {
	out := make([]*Record, len(s.Memory))
	for i, h := range s.Memory {
		out[i] = h.Record
	}
	return out
}

func (s *State) search(stamp Stamp) (int, bool) {
	return slices.BinarySearchFunc(s.Memory, stamp, func(h HeldRevision, t Stamp) int { return h.Stamp.Compare(t) })
}

// Event is an input of Decide.
type Event interface{ event() }

// StampReceived reports that Stamp is the highest revision of a peer.
type StampReceived struct {
	From  fleet.VM
	Stamp Stamp
	// IsReply is set if the peer replied to a request of this run of the
	// process. Only such a reply ends the wait at startup: an announcement may
	// have been in flight since before the restart, and a node that joined on
	// it could put a revision in force that is no longer the peer's highest.
	IsReply bool
}

// HeadRead reports the stamp read from the head of the table.
type HeadRead struct{ Stamp Stamp }

// RevisionReceived reports a revision that was fetched, or accepted by this node.
type RevisionReceived struct{ HeldRevision }

// JoinEnded reports that the wait for a peer's answer at startup is over.
type JoinEnded struct{}

func (StampReceived) event()    {}
func (HeadRead) event()         {}
func (RevisionReceived) event() {}
func (JoinEnded) event()        {}

// Action is an output of Decide, to be executed by the caller.
type Action interface{ action() }

// FetchPeer requests a revision from a peer.
type FetchPeer struct {
	From  fleet.VM
	Stamp Stamp
}

// FetchTable reads a revision from the table.
type FetchTable struct{ Stamp Stamp }

// Install puts a revision in force. Its stamp is higher than that of the
// previous one.
type Install struct{ HeldRevision }

// Announce broadcasts the highest revision to the peers.
type Announce struct{ Stamp Stamp }

// HealTable writes revisions that the table lost back into it.
type HealTable struct{}

// ReportClash notifies the operators of two revisions that were accepted
// independently of each other. The content of Loser is no longer in force; its
// author has to apply it again.
type ReportClash struct{ Winner, Loser Stamp }

// ReportUnusable notifies the operators that this node cannot use a revision and keeps
// the current one in force.
type ReportUnusable struct{ Stamp Stamp }

func (FetchPeer) action()      {}
func (FetchTable) action()     {}
func (Install) action()        {}
func (Announce) action()       {}
func (HealTable) action()      {}
func (ReportClash) action()    {}
func (ReportUnusable) action() {}

// Decide returns the state after the event and the actions to execute.
//
// The revision in force only increases: Install is returned only for a stamp
// above that of s.InForce, and no event takes a revision out of force. Stamps
// are totally ordered, so nodes that receive the same revisions in any order
// converge on the same one.
func Decide(s State, e Event) (State, []Action) {
	switch e := e.(type) {
	case StampReceived:
		return s.onStampReceived(e)
	case HeadRead:
		return s.onHeadRead(e)
	case RevisionReceived:
		return s.onRevisionReceived(e.HeldRevision)
	case JoinEnded:
		s.Joined = true
		return s.install(nil)
	}
	return s, nil
}

func (s State) onStampReceived(e StampReceived) (State, []Action) {
	s.PeerReplied = s.PeerReplied || (e.IsReply && e.Stamp.Number > 0)
	if e.Stamp.Compare(s.Highest()) <= 0 {
		return s, nil
	}
	s.raiseSeen(e.Stamp)
	return s, []Action{FetchPeer{From: e.From, Stamp: e.Stamp}}
}

func (s State) onHeadRead(e HeadRead) (State, []Action) {
	switch e.Stamp.Compare(s.Highest()) {
	case 0:
		return s, nil
	case -1:
		// The table was restored to an older state. Following it would revert a
		// revision that its author was told is accepted.
		return s, []Action{HealTable{}}
	}
	s.raiseSeen(e.Stamp)
	return s, []Action{FetchTable(e)}
}

func (s *State) raiseSeen(stamp Stamp) {
	if stamp.Compare(s.HighestSeen) > 0 {
		s.HighestSeen = stamp
	}
}

func (s State) onRevisionReceived(h HeldRevision) (State, []Action) {
	at, known := s.search(h.Stamp)
	if known {
		return s, nil
	}
	s.raiseSeen(h.Stamp)
	actions := s.detectClashes(h)
	top := at == len(s.Memory)
	s.Memory = slices.Insert(slices.Clone(s.Memory), at, h)
	if extra := len(s.Memory) - MemorySize; extra > 0 {
		s.Memory = s.Memory[extra:]
	}
	if h.Document == nil {
		actions = append(actions, ReportUnusable{h.Stamp})
	}
	if top {
		actions = append(actions, Announce{h.Stamp})
	}
	return s.install(actions)
}

// install puts the highest usable revision in force if it is higher than the
// current one.
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

// detectClashes returns a ReportClash for each revision in memory that was accepted
// independently of h.
func (s *State) detectClashes(h HeldRevision) []Action {
	var out []Action
	for _, m := range s.Memory {
		winner, loser := m, h
		if h.Stamp.Compare(m.Stamp) > 0 {
			winner, loser = h, m
		}
		if isIndependent(winner.Record, loser.Record) {
			out = append(out, ReportClash{Winner: winner.Stamp, Loser: loser.Stamp})
		}
	}
	return out
}

// isIndependent reports whether the higher revision does not descend from the
// lower one: both have the same number and different content, or the higher one
// is based on different content under the lower one's number, or on a number
// below it.
func isIndependent(higher, lower *Record) bool {
	switch {
	case higher.Stamp.Number == lower.Stamp.Number:
		return higher.Stamp.Hash != lower.Stamp.Hash
	case higher.Base == lower.Stamp.Number:
		return higher.BaseHash != lower.Stamp.Hash
	}
	return higher.Base < lower.Stamp.Number
}
