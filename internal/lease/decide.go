// Package lease decides which node holds a duty and for how long.
//
// A lease is a row of the platform's table. Rendezvous hashing only says who
// tries first; the conditional write of the row decides. The holder counts its
// term on CLOCK_BOOTTIME from before it sent the write; every other node counts
// from when it first saw the row's version and waits the term and a margin
// out. No clocks are compared between VMs.
package lease

import (
	"fmt"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// Row is the value of a lease row.
type Row struct {
	Owner    fleet.Node    `json:"owner"`
	Fence    uint64        `json:"fence"` // grows by one with each acquisition
	Term     time.Duration `json:"term"`
	Released bool          `json:"released,omitempty"` // the owner gave it up itself
	// Era is the table's era in which the row was written. Read in a later one it is a
	// copy of before, or a late write of before has replaced the newest row.
	Era uint64 `json:"era,omitempty"`
	// Over is the table's clock when the term is surely over, in ms; 0: not known.
	Over int64 `json:"over,omitempty"`
}

// Seen is what a node knows of the lease row.
type Seen struct {
	Row     Row
	Version uint64        // 0: the row does not exist
	First   clock.Instant // when this node first saw this version
	Known   bool          // the row was read at least once
	Era     uint64        // of the table, in which the version holds
	Clock   int64         // the table's clock at First or before, in ms; 0: not known
	// EraFirst is when this node first saw the era; 0: the table has always been in it.
	EraFirst clock.Instant
}

// Grant is a lease that this node holds.
type Grant struct {
	Duty    string
	Fence   uint64
	Version uint64 // of the lease row; the check of every write made under the lease
	Era     uint64 // of the table, in which the version holds
	// TakenOver: the holder before was another node that had not released it.
	TakenOver bool
	Since     clock.Instant // when the first write of this tenure was sent
	Until     clock.Instant // the end of the term, counted from before the newest write was sent
}

// Check returns the condition that the lease is still this one.
func (g Grant) Check() platform.Check {
	return platform.Check{Table: platform.TableLeases, Key: g.Duty, Version: g.Version, Era: g.Era}
}

// Left returns how much of the term is left.
func (g Grant) Left(now clock.Instant) time.Duration { return g.Until.Sub(now) }

// Params are the times of a lease.
type Params struct {
	Term   time.Duration // of the lease
	Margin time.Duration // others wait it beyond the term: clock drift and scheduling
	Step   time.Duration // a lower-ranked node waits this much more for each rank
}

// DefaultParams returns the parameters for a term.
func DefaultParams(term time.Duration) Params {
	return Params{Term: term, Margin: max(term/10, 200*time.Millisecond), Step: term / 3}
}

// Action is what to do about a lease row.
type Action string

// The actions.
const (
	None    Action = "none"    // nothing to do now
	Read    Action = "read"    // the row is not known well enough
	Wait    Action = "wait"    // another node may hold it
	Acquire Action = "acquire" // write the row with the next fence
	Renew   Action = "renew"   // write the row with the same fence
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Next   Row           // the value to write for Acquire and Renew
	Wake   clock.Instant // when to decide again at the latest; for Wait and None
	Reason string
}

// Decide says what node self should do about the lease row. held is the grant
// the node believes in (zero: none), rank its position in rendezvous order
// among the live nodes.
func Decide(p Params, seen Seen, held Grant, self fleet.Node, rank int, now clock.Instant) Decision {
	if !seen.Known {
		return Decision{Action: Read, Reason: "the row was never read"}
	}
	if held.Fence != 0 {
		return decideHolder(p, seen, held, self, now)
	}
	return decideOther(p, seen, self, rank, now)
}

func decideHolder(p Params, seen Seen, held Grant, self fleet.Node, now clock.Instant) Decision {
	if seen.Version != held.Version || seen.Row.Owner != self {
		return Decision{Action: Read, Reason: "the row changed under the holder"}
	}
	// A holder that was paused past its term must not renew as if nothing had
	// happened: another node may have acquired and released the lease, and a
	// blind renewal would hide the gap. It reads the row and starts anew.
	if !now.Before(held.Until) {
		return Decision{Action: Read, Reason: fmt.Sprintf("the term ended %v ago", now.Sub(held.Until))}
	}
	renewAt := held.Until.Add(-p.Term * 2 / 3)
	if now.Before(renewAt) {
		return Decision{Action: None, Wake: renewAt, Reason: "held"}
	}
	next := seen.Row
	next.Term = p.Term
	return Decision{Action: Renew, Next: next, Reason: "a third of the term has passed"}
}

// left returns how much of the holder's term may be left at First. The table's clock tells
// it of a holder that ended before this node saw the row: after a loss of all nodes nobody
// would take a duty for a whole term and more.
func (s *Seen) left() time.Duration {
	if s.Row.Over == 0 || s.Clock == 0 {
		return s.Row.Term
	}
	return min(s.Row.Term, max(0, time.Duration(s.Row.Over-s.Clock)*time.Millisecond))
}

// fencesPerEra is how many fences one era may give out. The era stands above them: a
// table that came back from an older copy has lost the newest fences, and its next ones
// would be given out twice.
const fencesPerEra = 1 << 28

// nextFence returns a fence that was never given out, higher than all of the present era. A
// row that was written in it tells the newest one; of another row the version does, which
// has grown by one at least with each that was given out.
func nextFence(seen Seen) uint64 {
	if seen.Row.Era == seen.Era {
		return seen.Row.Fence + 1
	}
	return max(seen.Row.Fence+1, seen.Era*fencesPerEra+seen.Version%fencesPerEra)
}

func decideOther(p Params, seen Seen, self fleet.Node, rank int, now clock.Instant) Decision {
	next := Row{Owner: self, Fence: nextFence(seen), Term: p.Term}
	// The owner's own process may take its row over at once: it knows that it
	// has stopped acting on the earlier grant.
	free := seen.Version == 0 || seen.Row.Released || seen.Row.Owner == self
	ready := seen.First.Add(time.Duration(rank) * p.Step)
	reason := "no node holds it"
	if !free {
		// The holder counts from before it sent the write, this node from when
		// it first saw the result, which is later. So the holder's term is over
		// when this wait is, without comparing clocks.
		ready = ready.Add(seen.left() + p.Margin)
		reason = "the term of " + seen.Row.Owner.String() + " and the margin are over"
	}
	if seen.EraFirst != 0 {
		// The row may be one of before, whatever it says: somebody has acquired the lease
		// since, or renewed it, and acts on that until its term ends, which was counted
		// from before the table came back.
		ready = max(ready, seen.EraFirst.Add(max(p.Term, seen.Row.Term)+p.Margin+time.Duration(rank)*p.Step))
	}
	if now.Before(ready) {
		return Decision{Action: Wait, Wake: ready, Reason: "held by " + seen.Row.Owner.String() + " or a higher-ranked node tries first"}
	}
	return Decision{Action: Acquire, Next: next, Reason: reason}
}
