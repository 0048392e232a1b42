package once

import (
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// State is what one life of a node knows of one key or ticket.
type State uint8

// The states. Only Running, Ran and Unresolved have handed the call to an
// endpoint; in every other state nothing was dispatched that could have run.
const (
	Free       State = iota // nothing is known
	Claiming                // the claim is on its way to the table
	Abandoned               // a claim of this life may stand in the table and was never dispatched
	Running                 // dispatched
	Ran                     // ran; the answer may be kept
	Unresolved              // dispatched, and whether it ran cannot be told
	Released                // dispatched, and it surely did not run
)

var stateNames = [...]string{"free", "claiming", "abandoned", "running", "ran", "unresolved", "released"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Hash identifies the method, path and body of a call.
type Hash [16]byte

// Entry is the memory of one key or ticket at the node that holds it.
type Entry struct {
	State State
	// Keyed entries need a row of the table before each dispatch; tickets need
	// none.
	Keyed bool
	Body  Hash
	// Version is the newest version of the row that this life wrote, or 0.
	Version uint64
	// Prior is the state that Claiming began in. A row that names this life may
	// be dispatched under only when Prior tells that it never was.
	Prior State
	// Waiting is set while a caller waits for the claim.
	Waiting bool
}

// Event is something that happened to an entry.
type Event interface{ event() }

// The events.
type (
	// Call is a try of a caller.
	Call struct{ Body Hash }
	// Left tells that the caller stopped waiting for the claim.
	Left struct{}
	// Claimed tells that the claim stands in the table.
	Claimed struct{ Version uint64 }
	// Taken tells that the row was not as the claim expected, and how it is.
	Taken struct{ Row RowFacts }
	// ClaimFailed tells that the claim surely did not land.
	ClaimFailed struct{}
	// ClaimUnclear tells that the claim may or may not have landed, or may yet.
	ClaimUnclear struct{}
	// Ended tells how the dispatch ended.
	Ended struct{ Outcome outcome.Outcome }
)

func (Call) event()         {}
func (Left) event()         {}
func (Claimed) event()      {}
func (Taken) event()        {}
func (ClaimFailed) event()  {}
func (ClaimUnclear) event() {}
func (Ended) event()        {}

// RowFacts is a row of the table as a claim met it.
type RowFacts struct {
	Version uint64 // 0: no row
	Holder  fleet.Node
	State   RowState
	Body    Hash
	Expired bool
	Answer  *keptAnswer // RowRan: nil when it was too long
}

// Verb says what to do after an event.
type Verb uint8

// The verbs.
const (
	Nothing       Verb = iota
	WriteClaim         // write the row under the condition Action.Version
	AwaitClaim         // an earlier try's claim is on its way: wait for it
	Dispatch           // hand the call on; it is the only dispatch of this claim
	Replay             // give the first answer, from memory
	ReplayRow          // give the first answer, from the row
	PassOn             // pass the call to Action.Holder
	TellRunning        // the first try is in progress
	TellReused         // the key came with another body
	TellUnknown        // whether the call ran cannot be told
	TellNoClaim        // nothing was dispatched because the table gave no claim
	WriteOutcome       // write the outcome to the row
	WriteReleased      // write to the row that the key is free again
)

var verbNames = [...]string{"nothing", "write-claim", "await-claim", "dispatch", "replay", "replay-row", "pass-on",
	"still-running", "key-reused", "unknown", "no-claim", "write-outcome", "write-released"}

// String returns the verb's name.
func (v Verb) String() string { return verbNames[v] }

// Action is a decision with its reason.
type Action struct {
	Verb    Verb
	Version uint64      // WriteClaim, WriteOutcome, WriteReleased: the condition
	Holder  fleet.Node  // PassOn
	Ran     bool        // PassOn: the row tells that the call ran; the holder may have the answer
	Answer  *keptAnswer // ReplayRow: nil when it was too long
	Reason  string
}

// Decide returns the entry after the event and what to do. self is the life of
// the node that holds the entry.
//
// One rule carries the promise: each dispatch of a keyed call comes after a
// conditional write of its own that is known to have landed. So a write that
// was given up on and lands late always meets a newer version and fails.
func Decide(self fleet.Node, e Entry, ev Event) (Entry, Action) {
	switch ev := ev.(type) {
	case Call:
		return call(e, ev)
	case Left:
		return left(e)
	case Claimed:
		return claimed(e, ev)
	case Taken:
		return taken(self, e, ev.Row)
	case ClaimFailed:
		e.State, e.Waiting = e.Prior, false
		return e, Action{Verb: TellNoClaim, Reason: "the claim did not land"}
	case ClaimUnclear:
		e.State, e.Waiting = Abandoned, false
		return e, Action{Verb: TellNoClaim, Reason: "whether the claim landed is not known; nothing was dispatched"}
	case Ended:
		return ended(e, ev.Outcome)
	}
	return e, Action{}
}

func call(e Entry, ev Call) (Entry, Action) {
	switch e.State {
	case Free, Abandoned, Released:
		return begin(e, ev)
	}
	same := e.Body == ev.Body
	switch {
	case e.State == Claiming && same && !e.Waiting:
		e.Waiting = true
		return e, Action{Verb: AwaitClaim, Reason: "an earlier try left its claim on the way"}
	case e.State == Claiming:
		// Also with another body: until the claim stands, the key may be
		// another node's, and may have run with this body there.
		return e, Action{Verb: TellRunning, Reason: "an earlier try waits for the claim"}
	case !same:
		return e, Action{Verb: TellReused, Reason: "the key was first used with another body"}
	case e.State == Running:
		return e, Action{Verb: TellRunning, Reason: "the first try is in progress"}
	}
	return e, Action{Verb: Replay, Reason: "the first try has ended"}
}

func begin(e Entry, ev Call) (Entry, Action) {
	e.Body = ev.Body
	if !e.Keyed {
		e.State = Running
		return e, Action{Verb: Dispatch, Reason: "first use of the ticket"}
	}
	e.Prior, e.State, e.Waiting = e.State, Claiming, true
	return e, Action{Verb: WriteClaim, Version: e.Version, Reason: "nothing was dispatched for the key by this life"}
}

func left(e Entry) (Entry, Action) {
	if e.State != Claiming {
		return e, Action{}
	}
	e.Waiting = false
	return e, Action{Verb: TellNoClaim, Reason: "the table did not answer in time"}
}

func claimed(e Entry, ev Claimed) (Entry, Action) {
	e.Version = ev.Version
	if !e.Waiting {
		// The caller was told that this try did not run. Dispatching now would
		// make that false.
		e.State = Abandoned
		return e, Action{Reason: "the claim landed after the caller had left"}
	}
	e.State, e.Waiting = Running, false
	return e, Action{Verb: Dispatch, Reason: "claimed"}
}

// taken decides on a row that was not at the version the claim expected.
func taken(self fleet.Node, e Entry, r RowFacts) (Entry, Action) {
	switch {
	case r.Version == 0 || r.Expired || r.State == RowReleased:
		return claimAgain(e, r, "the row is free")
	case r.Holder == self && r.State == RowClaimed && e.Prior != Free:
		return claimAgain(e, r, "the row is this life's and was never dispatched")
	}
	body := e.Body
	e = Entry{Keyed: true}
	switch {
	case r.Body != body:
		return e, Action{Verb: TellReused, Reason: "the row names another body"}
	case r.State == RowRan && r.Answer == nil && r.Holder != self:
		return e, Action{Verb: PassOn, Holder: r.Holder, Ran: true, Reason: "it ran; the holder may have the answer"}
	case r.State == RowRan:
		return e, Action{Verb: ReplayRow, Answer: r.Answer, Reason: "the row tells that it ran"}
	case r.State == RowUnresolved:
		return e, Action{Verb: TellUnknown, Reason: "the row tells that the outcome is not known"}
	case r.Holder == self:
		// This life has forgotten what it did under the row: it may have run.
		return e, Action{Verb: TellUnknown, Reason: "the row is this life's, which does not remember it"}
	}
	return e, Action{Verb: PassOn, Holder: r.Holder, Reason: "the row names another holder"}
}

func claimAgain(e Entry, r RowFacts, reason string) (Entry, Action) {
	e.Version = r.Version
	if !e.Waiting {
		e.State = e.Prior
		return e, Action{Reason: reason + ", but the caller has left"}
	}
	return e, Action{Verb: WriteClaim, Version: r.Version, Reason: reason}
}

func ended(e Entry, o outcome.Outcome) (Entry, Action) {
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
