package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// Handle names one request within a lane. The driver of the lane chooses it: a
// small number that no request in the lane holds. It is free again after a
// Refuse or Withdrawn decision, or after the Finish event of an admitted
// request.
type Handle int32

// EventKind is what happened.
type EventKind uint8

// The kinds of event.
const (
	Arrive   EventKind = iota + 1 // a request came; Arrival is set
	Finish                        // an admitted request ended; Completion is set
	Withdraw                      // the caller of a request left
	Tick                          // time passed
	Replan                        // the limits changed; Plan is set
)

// Event is one thing that happened to a lane.
type Event struct {
	Kind       EventKind
	Handle     Handle // Arrive, Finish and Withdraw
	Arrival    Arrival
	Completion Completion
	Plan       *Plan
}

// Arrival is what a lane needs to know of a request.
type Arrival struct {
	Organisation fleet.Organisation
	Target       fleet.Target  // model lane only
	Service      string        // lookup lane only
	Priority     int           // larger goes first within the organisation
	Deadline     clock.Instant // 0: none
	PromptTokens int
	MaxTokens    int // 0: not bounded by the caller
	// Admitted is set when another node admitted the request already: it is
	// not counted against the organisation again.
	Admitted bool
}

// Completion is how an admitted request ended.
type Completion struct {
	FirstToken time.Duration // from admission to the first event; 0: not a stream, or none came
	Total      time.Duration // from admission to the end
	Tokens     int           // events of the stream; 0: not a stream
	Answered   bool          // a whole answer was given: the durations are a fair sample
	Shed       bool          // the endpoints refused it for want of room
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts. Queue is followed by exactly one of the others; Refuse and
// Withdrawn are final; Admit is final for the caller of Step and ends with a
// Finish event.
const (
	Admit Verdict = iota + 1
	Queue
	Refuse
	Withdrawn
)

// String returns the verdict as explanations show it.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Queue:
		return "queue"
	case Refuse:
		return "refuse"
	case Withdrawn:
		return "withdrawn"
	}
	return "unknown"
}

// Reason is why a verdict was given. The set is closed: reasons are metric
// labels.
type Reason string

// The reasons.
const (
	ReasonRoom          Reason = "room"           // a slot was free
	ReasonTurn          Reason = "turn"           // its turn came
	ReasonAdmitted      Reason = "admitted"       // another node admitted it
	ReasonBusy          Reason = "busy"           // all slots are taken
	ReasonRate          Reason = "rate"           // the organisation's rate is used up
	ReasonConcurrency   Reason = "concurrency"    // the organisation has too many in progress
	ReasonSaturated     Reason = "saturated"      // the lane has too many in progress
	ReasonDeadline      Reason = "deadline"       // it cannot be answered in time
	ReasonExpired       Reason = "expired"        // its deadline has passed
	ReasonQueueFull     Reason = "queue-full"     // the queue is full and the organisation is furthest over its share
	ReasonOrganisation  Reason = "organisation"   // the organisation's part of the queue is full
	ReasonNoCapacity    Reason = "no-capacity"    // nothing serves the target
	ReasonCallerGone    Reason = "caller-gone"    // the caller left
	ReasonLaneFull      Reason = "lane-full"      // the lane's ring is full
	ReasonShuttingDown  Reason = "shutting-down"  // the lane has stopped
	ReasonNotConfigured Reason = "not-configured" // no configuration is known yet
)

// Decision is what a lane decided about one request.
type Decision struct {
	Handle     Handle
	Verdict    Verdict
	Kind       outcome.Kind  // Refuse only
	RetryAfter time.Duration // Refuse only; 0: no advice
	Reason     Reason
	Wait       time.Duration // estimated on Queue and Refuse, measured on Admit
	Service    time.Duration // estimated time from admission to the whole answer
	Waiting    int           // requests in the queue when it was decided
	Limit      int           // concurrency limit when it was decided
	InProgress int           // requests in progress when it was decided
	Share      int           // slots that are this node's when all nodes are equally busy
}
