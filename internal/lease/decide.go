// Package lease decides which node holds a duty and for how long.
//
// A lease is a row of the platform's table. Rendezvous hashing only determines which node
// tries first; the conditional write of the row decides. The holder counts its term on
// CLOCK_BOOTTIME from before it sent the write. Every other node counts from when it first
// read the row's version, and waits for the term and a margin. Clocks of different VMs are
// never compared.
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
	Fence    uint64        `json:"fence"` // incremented by each acquisition
	Term     time.Duration `json:"term"`
	Released bool          `json:"released,omitempty"` // released by the owner before the end of the term
	// Era is the table's era in which the row was written. In a later era the row is a
	// restored copy, or a delayed write from before the restore has replaced the newest
	// row.
	Era uint64 `json:"era,omitempty"`
	// TermEnd is a time on the table's clock, in ms, at which the term has certainly ended; 0:
	// unknown.
	TermEnd int64 `json:"over,omitempty"`
	// Contact tells other nodes how to reach the owner, in the owner's own format.
	Contact string `json:"contact,omitempty"`
}

// ObservedRow is a node's knowledge of the lease row.
type ObservedRow struct {
	Row        Row
	Version    uint64        // 0: the row does not exist
	FirstSeen  clock.Instant // when this node first saw this version
	Known      bool          // the row has been read at least once
	Era        uint64        // era of the table for which Version is valid
	TableClock int64         // the table's clock at the first read of this version or earlier, in ms; 0: unknown
	// EraFirstSeen is when this node first saw the era; 0: no earlier era can matter.
	EraFirstSeen clock.Instant
}

// Grant is a lease that this node holds.
type Grant struct {
	Duty    string
	Fence   uint64
	Version uint64 // of the lease row; checked by every write made under the lease
	Era     uint64 // era of the table for which Version is valid
	// TakenOver reports whether the previous holder was another node that had not released
	// the lease.
	TakenOver bool
	Since     clock.Instant // when the first write of this tenure was sent
	Until     clock.Instant // end of the term, counted from before the newest write was sent
}

// Check returns the condition that the lease row is still at this grant's version.
func (g Grant) Check() platform.Check {
	return platform.Check{Table: platform.TableLeases, Key: g.Duty, Version: g.Version, Era: g.Era}
}

// Remaining returns the remaining time of the term; it is negative after its end.
func (g Grant) Remaining(now clock.Instant) time.Duration { return g.Until.Sub(now) }

// Params are the durations that govern a lease.
type Params struct {
	Term   time.Duration // of the lease
	Margin time.Duration // additional wait of other nodes after the term, for clock drift and scheduling delays
	Step   time.Duration // additional wait of a node for each rank
}

// DefaultParams returns the parameters for a term.
func DefaultParams(term time.Duration) Params {
	return Params{Term: term, Margin: max(term/10, 200*time.Millisecond), Step: term / 3}
}

// Action is the next step for a lease row.
type Action string

// The possible actions.
const (
	None    Action = "none"    // nothing to do now
	Read    Action = "read"    // the row has to be read first
	Wait    Action = "wait"    // another node may hold it
	Acquire Action = "acquire" // write the row with the next fence
	Renew   Action = "renew"   // write the row with the same fence
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Next   Row           // the value to write for Acquire and Renew
	Wake   clock.Instant // latest time of the next decision; for Wait and None
	Reason string
}

// Decide returns the action of node self for the lease row. held is the grant that the node
// assumes to hold (zero: none), rank its position in rendezvous order among the live nodes.
func Decide(p Params, seen ObservedRow, held Grant, self fleet.Node, rank int, now clock.Instant) Decision {
	if !seen.Known {
		return Decision{Action: Read, Reason: "the row was never read"}
	}
	if held.Fence != 0 {
		return decideHolder(p, seen, held, self, now)
	}
	return decideCandidate(p, seen, self, rank, now)
}

func decideHolder(p Params, seen ObservedRow, held Grant, self fleet.Node, now clock.Instant) Decision {
	if seen.Version != held.Version || seen.Row.Owner != self {
		return Decision{Action: Read, Reason: "the row changed under the holder"}
	}
	// A holder that was suspended past its term must not simply renew: another node may
	// have acquired and released the lease in the meantime, and a renewal would hide the
	// gap. It reads the row and starts again.
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

// remainingTerm returns how much of the holder's term may remain after the first read. The
// table's clock shows whether the term had ended before this node read the row; without it
// no node would acquire a duty for more than a term after the loss of all nodes.
func (s *ObservedRow) remainingTerm() time.Duration {
	if s.Row.TermEnd == 0 || s.TableClock == 0 {
		return s.Row.Term
	}
	return min(s.Row.Term, max(0, time.Duration(s.Row.TermEnd-s.TableClock)*time.Millisecond))
}

// fencesPerEra is the number of fences per era; the era forms the higher bits. A table
// restored from an older copy has lost the newest fences and would otherwise issue them
// twice.
const fencesPerEra = 1 << 28

// nextFence returns a fence that has never been issued and is higher than all fences of the
// current era. If the row was written in the current era, it contains the newest fence.
// Otherwise the row's version is used, which has grown by at least one with each fence.
func nextFence(seen ObservedRow) uint64 {
	if seen.Row.Era == seen.Era {
		return seen.Row.Fence + 1
	}
	return max(seen.Row.Fence+1, seen.Era*fencesPerEra+seen.Version%fencesPerEra)
}

func decideCandidate(p Params, seen ObservedRow, self fleet.Node, rank int, now clock.Instant) Decision {
	next := Row{Owner: self, Fence: nextFence(seen), Term: p.Term}
	// The owner's own process may acquire its row immediately: it has stopped acting on the
	// earlier grant.
	free := seen.Version == 0 || seen.Row.Released || seen.Row.Owner == self
	ready := seen.FirstSeen.Add(time.Duration(rank) * p.Step)
	reason := "no node holds it"
	if !free {
		// The holder counts from before it sent the write, this node from when it first
		// read the result, which is later. So the holder's term has ended after this wait,
		// without a comparison of clocks.
		ready = ready.Add(seen.remainingTerm() + p.Margin)
		reason = "the term of " + seen.Row.Owner.String() + " and the margin are over"
	}
	if seen.EraFirstSeen != 0 {
		// The row may be a restored copy, whatever it contains: another node may have
		// acquired or renewed the lease since, and acts on it until its term ends, which is
		// counted from before the restore.
		ready = max(ready, seen.EraFirstSeen.Add(max(p.Term, seen.Row.Term)+p.Margin+time.Duration(rank)*p.Step))
	}
	if now.Before(ready) {
		return Decision{Action: Wait, Wake: ready, Reason: "held by " + seen.Row.Owner.String() + " or a higher-ranked node tries first"}
	}
	return Decision{Action: Acquire, Next: next, Reason: reason}
}
