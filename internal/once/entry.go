package once

import (
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// State is the state of one key or ticket on one incarnation of a node.
type State uint8

// The states. Only in Running, Ran and Unresolved may the call have been run by
// an endpoint; in every other state nothing was dispatched that could have run.
const (
	Free       State = iota // no call known
	Claiming                // the claim is in flight to the table
	Abandoned               // the table may contain a claim of this incarnation that was never dispatched
	Running                 // dispatched
	Ran                     // ran; the answer may be stored
	Unresolved              // dispatched; whether it ran is unknown
	Released                // dispatched, but it certainly did not run
)

var stateNames = [...]string{"free", "claiming", "abandoned", "running", "ran", "unresolved", "released"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Hash identifies the method, path and body of a call.
type Hash [16]byte

// Entry is the state of one key or ticket on the node that holds it.
type Entry struct {
	State State
	// Keyed is set for keys, which need a claim in the table before each dispatch.
	// Tickets need none.
	Keyed bool
	Body  Hash
	// Version is the latest version of the row written by this incarnation, or 0.
	Version uint64
	// Prior is the state before Claiming. A row claimed by this incarnation may be
	// claimed again for a dispatch only if Prior shows that nothing was dispatched
	// under it.
	Prior State
	// Waiting reports whether a caller waits for the claim.
	Waiting bool
}

// Event is an input of the state machine of an entry.
type Event interface{ event() }

// The events.
type (
	// Call: a caller sent a try.
	Call struct{ Body Hash }
	// CallerLeft: the caller stopped waiting for the claim.
	CallerLeft struct{}
	// ClaimCommitted: the claim was committed to the table.
	ClaimCommitted struct{ Version uint64 }
	// ClaimConflict: the row was not at the version that the claim expected; Row is its
	// current state.
	ClaimConflict struct{ Row RowFacts }
	// ClaimFailed: the claim was certainly not committed and never will be.
	ClaimFailed struct{}
	// ClaimAmbiguous: the claim may have been committed or may still be.
	ClaimAmbiguous struct{}
	// Ended: the dispatch ended with the outcome.
	Ended struct{ Outcome outcome.Outcome }
)

func (Call) event()           {}
func (CallerLeft) event()     {}
func (ClaimCommitted) event() {}
func (ClaimConflict) event()  {}
func (ClaimFailed) event()    {}
func (ClaimAmbiguous) event() {}
func (Ended) event()          {}

// RowFacts is the content of a row as found by a claim.
type RowFacts struct {
	Version uint64 // 0: the row does not exist
	Holder  fleet.Node
	State   RowState
	Body    Hash
	Expired bool
	Answer  *keptAnswer // RowRan: nil if it was too large
}

// Verb is the action to take after an event.
type Verb uint8

// The verbs.
const (
	Nothing         Verb = iota
	WriteClaim           // write the claim, if the row is at Action.Version
	AwaitClaim           // wait for the claim of an earlier try
	Dispatch             // dispatch the call; happens at most once per claim
	Replay               // send the first answer from memory
	ReplayRow            // send the first answer from the row
	Forward              // forward the call to Action.Holder
	RefuseRunning        // refuse: the first try is in progress
	RefuseKeyReused      // refuse: the key was used with another body
	RefuseUnknown        // refuse: whether the call ran is unknown
	RefuseNoClaim        // refuse: not dispatched, as the key could not be claimed
	WriteOutcome         // write the outcome to the row
	WriteReleased        // write to the row that the key is free again
)

var verbNames = [...]string{"nothing", "write-claim", "await-claim", "dispatch", "replay", "replay-row", "pass-on",
	"still-running", "key-reused", "unknown", "no-claim", "write-outcome", "write-released"}

// String returns the name of the verb.
func (v Verb) String() string { return verbNames[v] }

// Action is a decision with its parameters and its reason.
type Action struct {
	Verb    Verb
	Version uint64      // WriteClaim, WriteOutcome, WriteReleased: the expected row version
	Holder  fleet.Node  // Forward: the node to forward to
	Ran     bool        // Forward: the call ran according to the row; the holder may have the answer
	Answer  *keptAnswer // ReplayRow: nil if it was too large
	Reason  string
}

// Decide is the transition function: it returns the entry after the event and the
// action to take. self is the incarnation of the node that holds the entry.
//
// At-most-once execution rests on one invariant: each dispatch of a keyed call
// follows its own conditional write that is known to be committed. A write that
// timed out and is applied late therefore meets a newer version and fails.
func Decide(self fleet.Node, e Entry, ev Event) (Entry, Action) {
	switch ev := ev.(type) {
	case Call:
		return decideCall(e, ev)
	case CallerLeft:
		return decideCallerLeft(e)
	case ClaimCommitted:
		return decideClaimCommitted(e, ev)
	case ClaimConflict:
		return decideClaimConflict(self, e, ev.Row)
	case ClaimFailed:
		e.State, e.Waiting = e.Prior, false
		return e, Action{Verb: RefuseNoClaim, Reason: "the claim did not land"}
	case ClaimAmbiguous:
		e.State, e.Waiting = Abandoned, false
		return e, Action{Verb: RefuseNoClaim, Reason: "whether the claim landed is not known; nothing was dispatched"}
	case Ended:
		return decideEnded(e, ev.Outcome)
	}
	return e, Action{}
}

func decideCall(e Entry, ev Call) (Entry, Action) {
	switch e.State {
	case Free, Abandoned, Released:
		return decideFirstCall(e, ev)
	}
	same := e.Body == ev.Body
	switch {
	case e.State == Claiming && same && !e.Waiting:
		e.Waiting = true
		return e, Action{Verb: AwaitClaim, Reason: "an earlier try left its claim on the way"}
	case e.State == Claiming:
		// This includes other bodies: until the claim is committed, the key may
		// belong to another node and may have run there with this body.
		return e, Action{Verb: RefuseRunning, Reason: "an earlier try waits for the claim"}
	case !same:
		return e, Action{Verb: RefuseKeyReused, Reason: "the key was first used with another body"}
	case e.State == Running:
		return e, Action{Verb: RefuseRunning, Reason: "the first try is in progress"}
	}
	return e, Action{Verb: Replay, Reason: "the first try has ended"}
}

func decideFirstCall(e Entry, ev Call) (Entry, Action) {
	e.Body = ev.Body
	if !e.Keyed {
		e.State = Running
		return e, Action{Verb: Dispatch, Reason: "first use of the ticket"}
	}
	e.Prior, e.State, e.Waiting = e.State, Claiming, true
	return e, Action{Verb: WriteClaim, Version: e.Version, Reason: "nothing was dispatched for the key by this life"}
}

func decideCallerLeft(e Entry) (Entry, Action) {
	if e.State != Claiming {
		return e, Action{}
	}
	e.Waiting = false
	return e, Action{Verb: RefuseNoClaim, Reason: "the table did not answer in time"}
}

func decideClaimCommitted(e Entry, ev ClaimCommitted) (Entry, Action) {
	e.Version = ev.Version
	if !e.Waiting {
		// The caller has already received "not-run" for this try, so it must not be
		// dispatched any more.
		e.State = Abandoned
		return e, Action{Reason: "the claim landed after the caller had left"}
	}
	e.State, e.Waiting = Running, false
	return e, Action{Verb: Dispatch, Reason: "claimed"}
}

// decideClaimConflict handles a row that was not at the version expected by the claim.
func decideClaimConflict(self fleet.Node, e Entry, r RowFacts) (Entry, Action) {
	switch {
	case r.Version == 0 || r.Expired || r.State == RowReleased:
		return decideClaimAgain(e, r, "the row is free")
	case r.Holder == self && r.State == RowClaimed && e.Prior != Free:
		return decideClaimAgain(e, r, "the row is this life's and was never dispatched")
	}
	body := e.Body
	e = Entry{Keyed: true}
	switch {
	case r.Body != body:
		return e, Action{Verb: RefuseKeyReused, Reason: "the row names another body"}
	case r.State == RowRan && r.Answer == nil && r.Holder != self:
		return e, Action{Verb: Forward, Holder: r.Holder, Ran: true, Reason: "it ran; the holder may have the answer"}
	case r.State == RowRan:
		return e, Action{Verb: ReplayRow, Answer: r.Answer, Reason: "the row tells that it ran"}
	case r.State == RowUnresolved:
		return e, Action{Verb: RefuseUnknown, Reason: "the row tells that the outcome is not known"}
	case r.Holder == self:
		// This incarnation no longer has an entry for the row; the call may have run.
		return e, Action{Verb: RefuseUnknown, Reason: "the row is this life's, which does not remember it"}
	}
	return e, Action{Verb: Forward, Holder: r.Holder, Reason: "the row names another holder"}
}

func decideClaimAgain(e Entry, r RowFacts, reason string) (Entry, Action) {
	e.Version = r.Version
	if !e.Waiting {
		e.State = e.Prior
		return e, Action{Reason: reason + ", but the caller has left"}
	}
	return e, Action{Verb: WriteClaim, Version: r.Version, Reason: reason}
}

func decideEnded(e Entry, o outcome.Outcome) (Entry, Action) {
	if e.State != Running {
		return e, Action{}
	}
	switch o {
	case outcome.Ran:
		e.State = Ran
	case outcome.NotRun:
		e.State = Released
	default:
		e.State = Unresolved
	}
	switch {
	case !e.Keyed:
		return e, Action{Reason: "the ticket's state is in memory only"}
	case e.State == Released:
		return e, Action{Verb: WriteReleased, Version: e.Version, Reason: "it did not run"}
	}
	return e, Action{Verb: WriteOutcome, Version: e.Version, Reason: "it was dispatched"}
}
